package fake

import (
	"context"
	"time"

	"asterridge/prefixindex"
)

// change is one block that the cache has gained or lost.
type change struct {
	number uint64
	hash   string
	gone   bool
}

// maxChanges bounds the list of recent changes; a reader further behind reads the whole cache.
const maxChanges = 20000

// lookupAndAdd counts the cached leading blocks of a prompt and adds the whole prompt to the cache.
func (r *Replica) lookupAndAdd(run *Run, chain []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Met = map[string]time.Time{}
	hit := true
	var made []kvBlock
	for i, hash := range chain {
		b := r.cache[hash]
		hit = hit && b != nil
		if hit {
			run.Hit = prefixindex.Covered(i + 1)
			if oldest, met := run.Met[b.Tenant]; !met || b.At.Before(oldest) {
				run.Met[b.Tenant] = b.At
			}
			if b.Weights != r.weights || b.Placement != run.Placement {
				run.Outdated++
			}
		}
		if b == nil {
			fresh := kvBlock{hash, run.Tenant, r.weights, run.At, run.Placement}
			r.add(fresh)
			made = append(made, fresh)
		}
	}
	if r.options.Store != "" && len(made) > 0 {
		go func() { _ = r.post(context.Background(), r.options.Store+"/kv/put", made, nil) }() // a store that lacks it is read by nobody
	}
}

// Cached returns how many leading bytes of a prompt of a cache domain are in the cache.
func (r *Replica) Cached(domain, text string) (size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, hash := range prefixindex.Blocks(domain, text) {
		if r.cache[hash] == nil {
			break
		}
		size = prefixindex.Covered(i + 1)
	}
	return size
}

// add adds a block to the cache and evicts the oldest beyond the bound. The caller holds r.mu.
func (r *Replica) add(kv kvBlock) {
	r.number++
	r.cache[kv.Hash] = &kv
	r.line = append(r.line, &kv)
	r.changes = append(r.changes, change{r.number, kv.Hash, false})
	for len(r.line) > r.options.Blocks {
		old := r.line[0]
		r.line = r.line[1:]
		delete(r.cache, old.Hash)
		r.number++
		r.changes = append(r.changes, change{r.number, old.Hash, true})
	}
	if over := len(r.changes) - maxChanges; over > 0 {
		r.dropped = r.changes[over-1].number
		r.changes = append([]change(nil), r.changes[over:]...)
	}
}
