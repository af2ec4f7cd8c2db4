// Package prefixindex is the index of kept prompts: which replica is thought to keep which prefix, by cache domain. It is a
// hint; the replica alone decides what it reads from its cache (docs/design.md §6.1, §6.3).
package prefixindex

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"
)

// A prompt is cut into fine blocks first and coarse ones after them: short prompts are told apart by little, and very long ones need not
// fill the index (docs/design.md §6.1).
const (
	Fine       = 256
	Coarse     = 2048
	FineBlocks = 64
	MaxBlocks  = 1024 // about 2 MB; what comes after is not looked at
)

// Covered is how many bytes of a prompt so many blocks stand for.
func Covered(blocks int) int {
	return min(blocks, FineBlocks)*Fine + max(0, blocks-FineBlocks)*Coarse
}

// Domain is the cache domain of a request: its wall, which is one life of a tenant's name, and the weights.
func Domain(tenant string, tenantVersion uint64, isolated bool, weights string) string {
	if isolated {
		return "tenant:" + tenant + "." + strconv.FormatUint(tenantVersion, 10) + "@" + weights
	}
	return "common@" + weights
}

// Blocks chains the hashes of a prompt's whole blocks.
func Blocks(domain, text string) []string {
	var chain []string
	sum := sha256.Sum256([]byte(domain))
	for i := 0; i < MaxBlocks && Covered(i+1) <= len(text); i++ {
		h := sha256.New()
		h.Write(sum[:])
		h.Write([]byte(text[Covered(i):Covered(i+1)]))
		h.Sum(sum[:0])
		chain = append(chain, hex.EncodeToString(sum[:12]))
	}
	return chain
}

// Block is a piece of a prompt: the key under which replicas keep it, and its size in bytes or tokens.
type Block struct {
	Key  string
	Size int
}

// Whole is what a replica keeps of a block that it keeps all of.
const Whole = 0

// TextBlocks gives the blocks of a prompt that is known as text.
func TextBlocks(domain, text string) []Block {
	keys := Blocks(domain, text)
	blocks := make([]Block, len(keys))
	for i, key := range keys {
		blocks[i] = Block{key, Covered(i+1) - Covered(i)}
	}
	return blocks
}

type item struct {
	block, replica string
	kept           int // of the block; Whole
	at             time.Time
}

// Index is bounded; the oldest news goes first.
type Index struct {
	mu   sync.Mutex
	most int
	tree *btree.BTreeG[*item]
	line []*item // in order of arrival; may name items that were renewed or dropped
}

// NewIndex keeps at most most entries.
func NewIndex(limit int) *Index {
	return &Index{most: limit, tree: btree.NewG(16, func(a, b *item) bool {
		if a.block != b.block {
			return a.block < b.block
		}
		return a.replica < b.replica
	})}
}

// Add notes that a replica keeps these blocks whole.
func (x *Index) Add(replica string, blocks []Block) {
	for _, block := range blocks {
		x.Update(replica, block.Key, Whole)
	}
}

// Update notes how much of a block a replica keeps.
func (x *Index) Update(replica, key string, cached int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	it := &item{key, replica, cached, time.Now()}
	x.tree.ReplaceOrInsert(it)
	x.line = append(x.line, it)
	for len(x.line) > 0 && (x.tree.Len() > x.most || len(x.line) > 4*x.most) {
		old := x.line[0]
		x.line = x.line[1:]
		if present, ok := x.tree.Get(old); ok && present == old {
			x.tree.Delete(old)
		}
	}
}

// Forget drops what a replica was thought to keep: all of it, or the named blocks.
func (x *Index) Forget(replica string, blocks []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if blocks != nil {
		for _, block := range blocks {
			x.tree.Delete(&item{block: block, replica: replica})
		}
		return
	}
	var removed []*item
	x.tree.Ascend(func(it *item) bool {
		if it.replica == replica {
			removed = append(removed, it)
		}
		return true
	})
	for _, it := range removed {
		x.tree.Delete(it)
	}
}

// Cached gives, by replica, how much of the chain's beginning is thought to be kept: what follows a gap does not count.
func (x *Index) Cached(chain []Block) map[string]int {
	cached := map[string]int{}
	x.mu.Lock()
	defer x.mu.Unlock()
	before := 0 // what a replica has that keeps all blocks up to here
	for _, block := range chain {
		isAny := false
		x.tree.AscendGreaterOrEqual(&item{block: block.Key}, func(it *item) bool {
			if it.block != block.Key {
				return false
			}
			if cached[it.replica] != before {
				return true
			}
			size := block.Size
			if it.kept != Whole {
				size = min(size, it.kept)
			}
			if size > 0 {
				cached[it.replica] = before + size
			}
			isAny = isAny || size == block.Size
			return true
		})
		if !isAny {
			break
		}
		before += block.Size
	}
	return cached
}

// Len is the number of entries.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.tree.Len()
}

// Text joins what a prompt is made of, in order.
func Text(parts ...string) string { return strings.Join(parts, "\n") }
