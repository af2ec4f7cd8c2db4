package fake

import (
	"context"
	"time"

	"asterridge/prefixindex"
)

type change struct {
	number uint64
	hash   string
	gone   bool
}

const maxChanges = 20000

// remember reads what the cache has of the prompt, and keeps all of it.
func (r *Replica) remember(run *Run, chain []string) {
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
			r.keep(fresh)
			made = append(made, fresh)
		}
	}
	if r.options.Store != "" && len(made) > 0 {
		go func() { _ = r.post(context.Background(), r.options.Store+"/kv/put", made, nil) }() // a store that lacks it is read by nobody
	}
}

// keep adds a block to the cache and drops the oldest over the bound; r.mu is held.
func (r *Replica) keep(kv kvBlock) {
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
