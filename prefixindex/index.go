// Package prefixindex is the index of cached prefixes: which replica is thought to have which blocks of prompts in its cache, by cache domain.
// It is a hint; the replica alone decides what it reads from its cache (docs/design.md §6.1, §6.3).
//
// A prompt is a chain of blocks, each named by all that comes before it, so that a prompt's cached part is the longest beginning of its chain
// that a replica has.
package prefixindex

import (
	"sync"
	"time"

	"github.com/google/btree"
)

// treeDegree is that of the index's B-tree.
const treeDegree = 16

// queueFactor bounds the order of arrival by the index's limit: blocks that are renewed often stand in it several times.
const queueFactor = 4

// Block is a part of a prompt: the key under which replicas cache it, and its size in bytes or tokens.
type Block struct {
	Key  string
	Size int
}

// Complete is the amount that is cached of a block which is cached whole.
const Complete = 0

// item is what one replica has of one block.
type item struct {
	block, replica string
	amount         int // of the block; Complete
	at             time.Time
}

func before(a, b *item) bool {
	if a.block != b.block {
		return a.block < b.block
	}
	return a.replica < b.replica
}

// Index is bounded; what is known for longest is forgotten first.
type Index struct {
	mu    sync.Mutex // guards what follows
	limit int
	items *btree.BTreeG[*item]
	// arrivals are the items in their order; some were renewed or dropped since.
	arrivals []*item
}

// NewIndex makes an index of at most limit entries.
func NewIndex(limit int) *Index {
	return &Index{limit: limit, items: btree.NewG(treeDegree, before)}
}

// Add notes that a replica has these blocks cached whole.
func (x *Index) Add(replica string, blocks []Block) {
	for _, block := range blocks {
		x.Update(replica, block.Key, Complete)
	}
}

// Update notes how much of a block a replica has cached.
func (x *Index) Update(replica, key string, amount int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	added := &item{block: key, replica: replica, amount: amount, at: time.Now()}
	x.items.ReplaceOrInsert(added)
	x.arrivals = append(x.arrivals, added)
	for len(x.arrivals) > 0 && (x.items.Len() > x.limit || len(x.arrivals) > queueFactor*x.limit) {
		oldest := x.arrivals[0]
		x.arrivals = x.arrivals[1:]
		if present, ok := x.items.Get(oldest); ok && present == oldest {
			x.items.Delete(oldest)
		}
	}
}

// Forget drops what a replica was thought to have cached: all of it, or the named blocks.
func (x *Index) Forget(replica string, blocks []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if blocks != nil {
		for _, block := range blocks {
			x.items.Delete(&item{block: block, replica: replica})
		}
		return
	}
	var removed []*item
	x.items.Ascend(func(it *item) bool {
		if it.replica == replica {
			removed = append(removed, it)
		}
		return true
	})
	for _, it := range removed {
		x.items.Delete(it)
	}
}

// Cached gives, by replica, how much of the chain's beginning is thought to be cached, in the blocks' units. What follows a gap does not
// count.
func (x *Index) Cached(chain []Block) map[string]int {
	cached := map[string]int{}
	x.mu.Lock()
	defer x.mu.Unlock()
	covered := 0 // the size of all blocks up to here
	for _, block := range chain {
		anyComplete := false
		x.items.AscendGreaterOrEqual(&item{block: block.Key}, func(it *item) bool {
			if it.block != block.Key {
				return false
			}
			if cached[it.replica] != covered {
				return true // it lacks a block before
			}
			size := block.Size
			if it.amount != Complete {
				size = min(size, it.amount)
			}
			if size > 0 {
				cached[it.replica] = covered + size
			}
			anyComplete = anyComplete || size == block.Size
			return true
		})
		if !anyComplete {
			break
		}
		covered += block.Size
	}
	return cached
}

// Len is the number of entries.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.items.Len()
}
