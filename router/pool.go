package router

import (
	"slices"
	"strconv"
	"sync"
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

// Costs are in milliseconds of prefill, rates in the prompt's units per millisecond.
const (
	// reportAge is the age at which a report no longer counts, seenAge that of a load that an answer told.
	reportAge = 1500 * time.Millisecond
	seenAge   = 2 * time.Second
	// maxBorrowed is the part of a replica's slots that may be taken by its report, beyond one's own share; it moves by borrowedStep.
	maxBorrowed  = 0.75
	borrowedStep = 0.01
	// unseenLimit is how many requests a router sends to a replica of which it knows nothing, whatever its share.
	unseenLimit = 2

	// defaultRate is the prefill rate of texts in bytes until a replica reports, segmentRate that of segments until it is observed.
	defaultRate = 4.0
	segmentRate = 100.0
	// minSample is the size from which a prefill is a sample of the rate, prefillBase the time that a first chunk takes without any.
	minSample   = 1000
	prefillBase = 25 * time.Millisecond

	// homeGain lowers the cost of the replica on which routers without cache updates agree.
	homeGain = 20.0
	// againCost is a factor of the prefill of what others may share and nobody is known to have cached: it is best computed in one place.
	againCost = 2.0
	// zoneCost is for a replica in another zone, waitCost for each request that a replica reports to be waiting.
	zoneCost = 4.0
	waitCost = 40.0
	// oldCost is for a replica on old weights, which will be told to load at any moment, or one that has rejected the tenant.
	oldCost    = 400.0
	loadWeight = 40.0
	newestWarm = 3 * time.Second
	// fetchDelay is the time before the first byte of a fetched prefix, fetchTry the rate expected of a source that was not tried yet.
	fetchDelay = 5.0
	fetchTry   = 200.0

	// cooldownStep is the first time for which a replica is left alone, maxCooldown the longest; it doubles up to maxCooldownDoublings times.
	cooldownStep         = 50 * time.Millisecond
	maxCooldown          = 2 * time.Second
	maxCooldownDoublings = 6
)

// canServe reports whether a replica may start work for the pool now, with its weights (docs/design.md §6.1).
func (r *Router) canServe(v *View, p *pool, rep *replica, model string, now time.Time) (weights string, fit bool) {
	if rep.State == config.ReplicaDraining {
		return "", false
	}
	if r.options.Protocol.ReportPath() == "" {
		if !slices.Contains(p.Models, model) {
			return "", true
		}
		if rep.order != nil && !rep.order.Done && rep.order.Model == model {
			return "", false
		}
		version := rep.version(model)
		return strconv.FormatUint(version, 10), r.mayStart(v, p, model, version, now)
	}
	report := rep.report.Load()
	if report == nil || now.Sub(report.at) > reportAge || !p.allows(report.Weights, now) {
		return "", false
	}
	if rep.State == config.ReplicaWarming && !report.Warm {
		return "", false
	}
	return report.Weights, true
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

// bestCandidate gives the replica that a core has named for a request if it can serve still, else the one that precedes all others; nil if
// there is none.
func (r *Router) bestCandidate(x *Exchange, v *View, p *pool, now time.Time) (best *candidate) {
	if named := v.replicas[x.advice.replica]; named != nil && named.Pool == p.Name && now.Before(x.advice.until) {
		if candidates := r.candidates(x, v, p, []*replica{named}, now); len(candidates) > 0 {
			return &candidates[0]
		}
	}
	candidates := r.candidates(x, v, p, p.replicas, now)
	for i := range candidates {
		if c := &candidates[i]; best == nil || c.precedes(best) {
			best = c
		}
	}
	return best
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

// precedes reports whether a candidate goes before another one: it costs less, or, at the same cost, ranks higher for the prompt.
func (c *candidate) precedes(other *candidate) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	return rendezvous.Weight(c.cache.anchor, c.replica.Name) > rendezvous.Weight(other.cache.anchor, other.replica.Name)
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

// cacheState is what is known of a prompt in one cache domain.
type cacheState struct {
	anchor    string
	cached    map[string]int // by replica or store
	holders   []*replica     // of some of it
	maxCached int            // that any of them keeps
	shared    int            // what of it others may ask for too
	// sharedBlocks are the keys of the blocks that make shared.
	sharedBlocks []string
	home         string // of the replicas that may serve: the one on which proxies without news agree
	weight       uint64
}

// cacheStateOf looks a prompt up in one cache domain.
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
		d.shared = x.Prompt.Size() - x.Prompt.Segments[n-1].Size
		for _, block := range x.chain(domain)[:n-1] {
			d.sharedBlocks = append(d.sharedBlocks, block.Key)
		}
	}
	return d
}

// holders gives the replicas of a pool that are not draining, and the stores, that have some of a prompt cached.
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

// meet has a replica compete for being the home: the one on which routers without cache updates agree.
func (d *cacheState) meet(name string) {
	if w := rendezvous.Weight(d.anchor, name); d.home == "" || w > d.weight {
		d.home, d.weight = name, w
	}
}

// endPrefill ends a request's part in its replica's prefill, and its place in the pool's window.
func (r *Router) endPrefill(x *Exchange) {
	c := x.prefill
	x.prefill = credit{}
	c.endPrefill()
	if c.replica != nil {
		r.balancer.loadChanged(c.replica.Name)
	}
	if c.windowed {
		r.queue.Wake(c.pool.index)
	}
}

// endPrefill takes back what a credit stands for until the first chunk.
func (c credit) endPrefill() {
	if c.replica != nil {
		c.replica.pending.Add(-c.work)
	}
	if c.windowed {
		c.pool.window.release()
	}
}

// coolDown leaves a replica alone for a while that rejects everyone, or fails; longer each time until it serves again.
func (r *Router) coolDown(rep *replica) {
	backoff := min(cooldownStep<<min(rep.bad.Add(1)-1, maxCooldownDoublings), maxCooldown)
	until := time.Now().Add(backoff)
	rep.coolUntil.Store(&until)
	time.AfterFunc(backoff+time.Millisecond, r.queue.WakeAll)
}

// hasCapacity looks at this router's share of a replica's slots, and beyond it at what the replica's report leaves free (docs/design.md
// §5.3).
func (r *Router) hasCapacity(rep *replica, now time.Time) bool {
	own := int(rep.running.Load())
	if own < rep.share {
		return true
	}
	if report := rep.report.Load(); report != nil {
		return float64(report.Running)+float64(rep.sent.Load())+1 <= r.borrow.share()*float64(rep.Limit)
	}
	if seen := rep.seen.Load(); seen != nil && now.Sub(seen.at) < seenAge {
		return max(seen.Running+seen.Waiting+int(rep.sent.Load()), own)+1 <= int(maxBorrowed*float64(rep.Limit))
	}
	return r.options.Protocol.ReportPath() == "" && own < unseenLimit
}

// borrowedShare is the part of a replica's slots up to which this router goes beyond its share. Reports are several requests old, and all
// routers look at the same ones: who meets a full replica halves its part, and each answer gives a little back.
type borrowedShare struct {
	mu  sync.Mutex
	now float64
}

// share is the part now.
func (b *borrowedShare) share() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

// observe takes whether a replica was met full.
func (b *borrowedShare) observe(full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if full {
		b.now /= 2
	} else {
		b.now = min(b.now+borrowedStep, maxBorrowed)
	}
}

// release returns a credit.
func (r *Router) release(c credit) {
	c.replica.running.Add(-1)
	r.balancer.loadChanged(c.replica.Name)
}

// returnUnused returns a credit whose request left in the moment of the grant; it is called under the queue's lock.
func (r *Router) returnUnused(c credit) {
	r.release(c)
	c.endPrefill()
}

// chain gives the prompt's blocks in a cache domain; they are computed once.
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

// anchor stands for the beginning of the prompt, by which routers without cache updates agree on a replica. The last segment of a prompt is
// its own.
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
