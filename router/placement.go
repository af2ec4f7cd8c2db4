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

// credit is a reserved slot at a replica, with what the request needs in order to run there.
type credit struct {
	replica *replica
	weights string
	// source is the address of a peer or store to fetch the cached prefix from; empty: the replica computes it.
	source string
	// sink is the address of a store to write the prefix to; empty: none.
	sink string
	// work is the uncached size of the prompt at the replica, in the prompt's units; ahead is the prefill that this router had already sent
	// there and that had not begun.
	work  int64
	ahead int64
	// expected is the estimated time from sending the request to its first chunk, in milliseconds.
	expected float64
	pool     *pool
	// windowed reports whether the request holds a place in the pool's concurrency window.
	windowed  bool
	placement config.Placement
}

// pick reserves a slot for a waiting request: at the replica that a core has chosen for it, else at the one with the lowest estimated
// cost, among those that can serve it and have capacity.
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
	c := r.newCredit(x, v, best)
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

// bestCandidate returns the replica that a core has chosen for a request if it can still serve it, else the first candidate in the order
// of compareCandidates; nil if there is none.
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

// newCredit returns the credit for the chosen candidate.
func (r *Router) newCredit(x *Exchange, v *View, best *candidate) credit {
	rep, d := best.replica, best.cache
	c := credit{
		replica: rep, weights: best.weights, placement: best.placement, source: best.source, sink: r.sinkFor(x, v, d),
		work: int64(x.Prompt.Size() - d.cached[rep.Name]), ahead: rep.pending.Load(),
		expected: best.prefillMs + r.pendingMs(rep),
	}
	if c.source == "" {
		c.source = r.backupStore(v, rep, d.cached)
	}
	return c
}

// candidate is a replica that can serve a request, with what the replicas in its cache domain have cached of the prompt.
type candidate struct {
	replica   *replica
	weights   string
	cache     *cacheState
	placement config.Placement
	// prefillMs is the estimated time in milliseconds until the replica has the whole prompt, and source where it fetches a prefix from.
	// costMs also includes load and the other terms by which candidates are compared.
	prefillMs float64
	source    string
	costMs    float64
}

// compareCandidates orders candidates by cost; at equal cost the one with the higher rendezvous weight for the prompt comes first.
func compareCandidates(a, b candidate) int {
	if a.costMs != b.costMs {
		return cmp.Compare(a.costMs, b.costMs)
	}
	return cmp.Compare(rendezvous.Weight(b.cache.anchor, b.replica.Name), rendezvous.Weight(a.cache.anchor, a.replica.Name))
}

// candidates returns those of the given replicas of a pool that can serve a request and have capacity, with its estimated cost at each.
func (r *Router) candidates(x *Exchange, v *View, p *pool, replicas []*replica, now time.Time) []candidate {
	domains := map[string]*cacheState{}
	var fit []candidate
	for _, rep := range replicas {
		weights, servable := r.canServe(v, p, rep, x.Prompt.Model, now)
		on, ready := v.placement(x, x.Path, rep)
		if !servable || !ready || !r.hasCapacity(rep, now) || now.Before(*rep.coolUntil.Load()) {
			continue
		}
		domain := prefixindex.Domain(x.Tenant.cacheScope, domainOf(weights, on))
		if domains[domain] == nil {
			domains[domain] = r.cacheStateOf(x, v, p, domain)
		}
		d := domains[domain]
		d.considerHome(rep.Name)
		fit = append(fit, candidate{replica: rep, weights: weights, cache: d, placement: on})
	}
	for i := range fit {
		r.estimate(x, v, p, &fit[i], now)
	}
	return fit
}

// estimate computes the prefill time, source and cost of a request at a candidate.
func (r *Router) estimate(x *Exchange, v *View, p *pool, c *candidate, now time.Time) {
	rep, d := c.replica, c.cache
	c.prefillMs, c.source = r.estimatePrefill(x, v, p, rep, d)
	c.costMs = r.loadedCost(rep, c.prefillMs, now) - firstAnswerDiscount(rep, c.placement)
	if x.Prompt.Segments != nil && rep.Zone != r.options.Zone {
		c.costMs += crossZoneCost
	}
	if x.Prompt.Segments != nil && d.home != rep.Name {
		c.costMs += notHomeCost + duplicatePrefillFactor*float64(max(0, d.sharedSize-max(d.cached[rep.Name], d.maxCached)))/rep.rate()
	}
	if r.options.Protocol.ReportPath() != "" && c.weights != p.Weights {
		c.costMs += avoidCost
	}
	if r.signals.HasRejected(rep.index, x.Tenant.index) {
		c.costMs += avoidCost // an answer from another replica is more informative
	}
}
