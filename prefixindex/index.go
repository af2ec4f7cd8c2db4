// Package prefixindex has the index of cached prefixes: which replica probably has which blocks of prompts in its cache, by cache domain. The
// index is a hint; only the replica decides what it reads from its cache (docs/design.md §6.1, §6.3).
//
// A prompt is a chain of blocks. The key of each block depends on all blocks before it, so the cached part of a prompt at a replica is the
// longest prefix of the chain that the replica has.
package prefixindex

import (
	"sync"
	"time"

	"github.com/google/btree"
)

// treeDegree is the degree of the index's B-tree.
const treeDegree = 16

// arrivalsFactor times the index's limit is the maximum length of the list of arrivals, in which a block is listed again for each update.
const arrivalsFactor = 4

// Block is a part of a prompt: the key under which replicas cache it, and its size in bytes or tokens.
type Block struct {
	Key  string
	Size int
}

// Complete is the amount that marks a block as cached completely.
const Complete = 0

// item records how much of one block one replica has cached.
type item struct {
	block, replica string
	amount         int // how much of the block is cached, in its unit, or Complete
	at             time.Time
}

func less(a, b *item) bool {
	if a.block != b.block {
		return a.block < b.block
	}
	return a.replica < b.replica
}

// Index is an index with a limited number of entries; the entries that were updated least recently are evicted first.
type Index struct {
	mu    sync.Mutex // guards what follows
	limit int
	items *btree.BTreeG[*item]
	// arrivals has the items in the order of their updates, including some that have been replaced or deleted since.
	arrivals []*item
}

// NewIndex returns an empty index of at most limit entries.
func NewIndex(limit int) *Index {
	return &Index{limit: limit, items: btree.NewG(treeDegree, less)}
}

// Add records that a replica has these blocks cached completely.
func (x *Index) Add(replica string, blocks []Block) {
	for _, block := range blocks {
		x.Update(replica, block.Key, Complete)
	}
}

// Update records how much of a block a replica has cached.
func (x *Index) Update(replica, key string, amount int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	added := &item{block: key, replica: replica, amount: amount, at: time.Now()}
	x.items.ReplaceOrInsert(added)
	x.arrivals = append(x.arrivals, added)
	for len(x.arrivals) > 0 && (x.items.Len() > x.limit || len(x.arrivals) > arrivalsFactor*x.limit) {
		oldest := x.arrivals[0]
		x.arrivals = x.arrivals[1:]
		if present, ok := x.items.Get(oldest); ok && present == oldest {
			x.items.Delete(oldest)
		}
	}
}

// Forget deletes the entries of a replica: those of the named blocks, or all if blocks is nil.
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

// Cached returns, by replica, the size of the longest prefix of the chain that is probably cached, in the blocks' units. Blocks after a gap do
// not count.
func (x *Index) Cached(chain []Block) map[string]int {
	cached := map[string]int{}
	x.mu.Lock()
	defer x.mu.Unlock()
	covered := 0 // the size of all blocks before this one
	for _, block := range chain {
		anyComplete := false
		x.items.AscendGreaterOrEqual(&item{block: block.Key}, func(it *item) bool {
			if it.block != block.Key {
				return false
			}
			if cached[it.replica] != covered {
				return true // the replica lacks a block before this one
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

// Len returns the number of entries.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.items.Len()
}
