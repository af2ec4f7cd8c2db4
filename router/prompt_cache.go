package router

import (
	"asterridge/config"
	"asterridge/prefixindex"
	"asterridge/rendezvous"
)

// cacheState is what is known about the cached parts of a prompt in one cache domain.
type cacheState struct {
	anchor     string
	cached     map[string]int // cached size, by replica or store
	holders    []*replica     // replicas and stores that have some of it cached
	maxCached  int            // the largest cached size
	sharedSize int            // size of the prefix that other requests may share
	// sharedBlocks are the keys of the blocks of that prefix.
	sharedBlocks []string
	home         string // of the replicas that may serve: the one on which routers without cache updates agree
	homeWeight   uint64
}

// cacheStateOf looks up what is cached of a prompt in one cache domain.
func (r *Router) cacheStateOf(x *Exchange, v *View, p *pool, domain string) *cacheState {
	d := &cacheState{anchor: x.anchor(domain)}
	if p.Kind != config.ModelPool {
		return d
	}
	d.cached = r.index.Cached(x.chain(domain))
	for _, cached := range d.cached {
		d.maxCached = max(d.maxCached, cached)
	}
	d.holders = v.holders(p, d.cached)
	if n := len(x.Prompt.Segments); n > 1 {
		d.sharedSize = x.Prompt.Size() - x.Prompt.Segments[n-1].Size
		for _, block := range x.chain(domain)[:n-1] {
			d.sharedBlocks = append(d.sharedBlocks, block.Key)
		}
	}
	return d
}

// holders returns the replicas of a pool that are not draining, and the stores, that have some of a prompt cached.
func (v *View) holders(p *pool, cached map[string]int) (holders []*replica) {
	for _, sources := range [][]*replica{p.replicas, v.stores} {
		for _, rep := range sources {
			if cached[rep.Name] > 0 && rep.State != config.ReplicaDraining {
				holders = append(holders, rep)
			}
		}
	}
	return holders
}

// considerHome makes a replica the home if it has the highest rendezvous weight so far. Routers without cache updates agree on the home.
func (d *cacheState) considerHome(name string) {
	if w := rendezvous.Weight(d.anchor, name); d.home == "" || w > d.homeWeight {
		d.home, d.homeWeight = name, w
	}
}

// chain returns the prompt's blocks in a cache domain; they are computed once per domain.
func (x *Exchange) chain(domain string) []prefixindex.Block {
	if x.blocks == nil {
		x.blocks = map[string][]prefixindex.Block{}
	}
	chain, made := x.blocks[domain]
	if !made {
		if x.Prompt.Segments == nil {
			chain = prefixindex.TextBlocks(domain, x.Prompt.Text)
		}
		for _, segment := range x.Prompt.Segments {
			chain = append(chain, prefixindex.Block{Key: domain + "/" + segment.ID, Size: segment.Size})
		}
		x.blocks[domain] = chain
	}
	return chain
}

// anchor identifies the beginning of the prompt, by which routers without cache updates agree on a replica. The last segment of a prompt is
// not shared with other prompts, so it is left out if there are others.
func (x *Exchange) anchor(domain string) string {
	chain := x.chain(domain)
	if x.Prompt.Segments != nil {
		chain = chain[:max(min(len(chain), 1), len(chain)-1)]
	}
	if len(chain) > 0 {
		return chain[min(len(chain), 4)-1].Key
	}
	return x.Tenant.Name
}
