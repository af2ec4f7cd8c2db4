package router

import (
	"cmp"
	"slices"
	"time"

	"asterridge/config"
	"asterridge/prefixindex"
	"asterridge/queue"
	"asterridge/rendezvous"
)

// credit is one slot of one replica, with what the request is to find there.
type credit struct {
	replica *replica
	weights string
	// source is the address of a peer or store to fetch the prefix from; empty: it is computed anew.
	source string
	// sink is the address of a store to leave the prefix at; empty: none.
	sink string
	// work is what the replica has to prefill of the prompt, in the prompt's units; ahead, what this router had sent there before it.
	work  int64
	ahead int64
	// expected is the estimated time from the write to the first chunk, in milliseconds.
	expected float64
	pool     *pool
	// windowed: the request has a place in the pool's window.
	windowed  bool
	placement config.Placement
}

// pick takes a credit for a waiting request: at the replica that a core has named for it, else at the one with the least estimated cost,
// among those that can serve and have capacity.
func (r *Router) pick(item *queue.Item) (credit, bool) {
	x := item.Body.(*Exchange)
	v := r.view.Load()
	p := v.pools[x.Pool.Name]
	if p == nil {
		return credit{}, false
	}
	now := time.Now()
	best := r.bestCandidate(x, v, p, now)
	if best == nil || x.Path.LatencyTargetMs > 0 && !p.window.enter() {
		return credit{}, false
	}
	c := r.creditOf(x, v, best)
	c.windowed = x.Path.LatencyTargetMs > 0
	c.pool = p
	c.replica.running.Add(1)
	c.replica.sent.Add(1)
	c.replica.pending.Add(c.work)
	if c.replica.Name != x.advice.replica {
		r.balancer.loadChanged(c.replica.Name)
	}
	return c, true
}

// bestCandidate gives the replica that a core has named for a request if it can serve still, else the first in the order of
// compareCandidates; nil if there is none.
func (r *Router) bestCandidate(x *Exchange, v *View, p *pool, now time.Time) *candidate {
	if advised := v.replicas[x.advice.replica]; advised != nil && advised.Pool == p.Name && now.Before(x.advice.until) {
		if candidates := r.candidates(x, v, p, []*replica{advised}, now); len(candidates) > 0 {
			return &candidates[0]
		}
	}
	candidates := r.candidates(x, v, p, p.replicas, now)
	if len(candidates) == 0 {
		return nil
	}
	least := slices.MinFunc(candidates, compareCandidates)
	return &least
}

// creditOf makes a credit of a candidate.
func (r *Router) creditOf(x *Exchange, v *View, best *candidate) credit {
	rep, d := best.replica, best.cache
	c := credit{
		replica: rep, weights: best.weights, placement: best.placement, source: best.source, sink: r.sinkFor(x, v, d),
		work: int64(x.Prompt.Size() - d.cached[rep.Name]), ahead: rep.pending.Load(),
		expected: best.work + r.pendingTime(rep),
	}
	if c.source == "" {
		c.source = r.backUp(v, rep, d.cached)
	}
	return c
}

// candidate is a replica that can serve a request, with what is cached of its prompt in the replica's domain.
type candidate struct {
	replica   *replica
	weights   string
	cache     *cacheState
	placement config.Placement
	// work is the estimated time in milliseconds until the replica has the prompt, source where it fetches from; cost is what counts.
	work   float64
	source string
	cost   float64
}

// compareCandidates puts the candidate first that costs less, or, at the same cost, ranks higher for the prompt.
func compareCandidates(a, b candidate) int {
	if a.cost != b.cost {
		return cmp.Compare(a.cost, b.cost)
	}
	return cmp.Compare(rendezvous.Weight(b.cache.anchor, b.replica.Name), rendezvous.Weight(a.cache.anchor, a.replica.Name))
}

// candidates gives those of some replicas of a pool that can serve a request and have capacity, with what it costs there.
func (r *Router) candidates(x *Exchange, v *View, p *pool, replicas []*replica, now time.Time) []candidate {
	domains := map[string]*cacheState{}
	var fit []candidate
	for _, rep := range replicas {
		weights, servable := r.canServe(v, p, rep, x.Prompt.Model, now)
		on, ready := v.placement(x, x.Path, rep)
		if !servable || !ready || !r.hasCapacity(rep, now) || now.Before(*rep.coolUntil.Load()) {
			continue
		}
		domain := prefixindex.Domain(x.Tenant.Name, x.Tenant.CreatedVersion, x.Tenant.Isolated, domainOf(weights, on))
		if domains[domain] == nil {
			domains[domain] = r.cacheStateOf(x, v, p, domain)
		}
		d := domains[domain]
		d.meet(rep.Name)
		fit = append(fit, candidate{replica: rep, weights: weights, cache: d, placement: on})
	}
	for i := range fit {
		r.estimate(x, v, p, &fit[i], now)
	}
	return fit
}

// estimate works out what a request costs at a candidate.
func (r *Router) estimate(x *Exchange, v *View, p *pool, c *candidate, now time.Time) {
	rep, d := c.replica, c.cache
	c.work, c.source = r.work(x, v, p, rep, d)
	c.cost = r.cost(rep, c.work, now) - firstGain(rep, c.placement)
	if x.Prompt.Segments != nil && rep.Zone != r.options.Zone {
		c.cost += zoneCost
	}
	if x.Prompt.Segments != nil && d.home != rep.Name {
		c.cost += homeGain + againCost*float64(max(0, d.shared-max(d.cached[rep.Name], d.maxCached)))/rep.rate()
	}
	if r.options.Protocol.ReportPath() != "" && c.weights != p.Weights {
		c.cost += oldCost
	}
	if r.signals.HasRejected(rep.index, x.Tenant.index) {
		c.cost += oldCost // another replica's answer tells more
	}
}
