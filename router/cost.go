package router

import (
	"math"
	"time"

	"asterridge/config"
)

// Costs are in milliseconds of prefill, rates in the prompt's units per millisecond. What each is worth: docs/policy.md.
const (
	// defaultRate is the prefill rate of texts in bytes until a replica reports, segmentRate that of segments until it is observed.
	defaultRate = 4.0
	segmentRate = 100.0
	// minSample is the size from which a prefill is a sample of the rate, prefillBase the time that a first chunk takes without any.
	minSample   = 1000
	prefillBase = 25 * time.Millisecond

	// homeGain lowers the cost of the replica on which routers without cache updates agree.
	homeGain = 20.0
	// againCost is a factor of the prefill of what others may share and nobody is known to have cached: it is best computed in one place.
	// Measured: 4 and 0.5 are worse than 2 (docs/policy.md).
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
)

// work estimates the milliseconds until a replica has the whole prompt. What it lacks is computed anew, or fetched from a peer or store
// that is thought to have more of it cached, if that was measured to be quicker (docs/design.md §6.1). source names the peer or store.
func (r *Router) work(x *Exchange, v *View, p *pool, rep *replica, d *cacheState) (ms float64, source string) {
	has, size, rate := d.cached[rep.Name], x.Prompt.Size(), rep.rate()
	ms = float64(size-has) / rate
	for _, other := range d.holders {
		theirs := d.cached[other.Name]
		more := theirs - has
		if other.Name == rep.Name || more <= 0 {
			continue
		}
		fetched := fetchDelay + float64(more)/max(r.fetchRate(v, p, rep, other), 0.01) + float64(size-theirs)/rate
		if fetched < ms {
			ms, source = fetched, other.Address
		}
	}
	return ms, source
}

// backUp names a store that has as much of the prompt as the replica is thought to: if the replica has dropped it since, it need not
// compute it anew.
func (r *Router) backUp(v *View, rep *replica, cached map[string]int) string {
	for _, store := range v.stores {
		if theirs := cached[store.Name]; theirs > 0 && theirs >= cached[rep.Name]/2 {
			return store.Address
		}
	}
	return ""
}

// sinkFor names a store that answers and lacks some of what other requests may share.
func (r *Router) sinkFor(x *Exchange, v *View, d *cacheState) string {
	for _, store := range v.stores {
		if _, up := r.sources.Load(store.Name); up && d.cached[store.Name] < d.shared {
			return store.Address
		}
	}
	return ""
}

// fetchRate is how much of a prompt a replica gets from a source per millisecond: as it has measured, or as the pool's links are
// configured.
func (r *Router) fetchRate(v *View, p *pool, rep, other *replica) float64 {
	if report := rep.report.Load(); report != nil {
		if rate, tried := report.Fetch[other.Name]; tried {
			return rate
		}
	}
	link := p.LinkMbps
	if from := v.pools[other.Pool]; from != nil && from.LinkMbps > 0 {
		link = min(link, from.LinkMbps)
	}
	if link <= 0 || p.UnitBytes <= 0 {
		return fetchTry
	}
	rate := link * 125 / float64(p.UnitBytes) // Mbit/s to bytes per ms
	if rep.Zone != other.Zone {
		rate /= 2
	}
	return rate
}

// pendingTime estimates the milliseconds that a replica needs for what this router has sent there and that has not begun.
func (r *Router) pendingTime(rep *replica) float64 { return float64(rep.pending.Load()) / rep.rate() }

// cost adds the replica's load and warm-up to the work, in milliseconds.
func (r *Router) cost(rep *replica, work float64, now time.Time) float64 {
	busy, warm := float64(rep.running.Load()), rep.State != config.ReplicaWarming
	if report := rep.report.Load(); report != nil {
		busy, warm = float64(report.Running)+float64(rep.sent.Load()), report.Warm
	} else {
		work += r.pendingTime(rep)
		if seen := rep.seen.Load(); seen != nil && now.Sub(seen.at) < seenAge {
			busy = max(busy, float64(seen.Running)+float64(rep.sent.Load()))
			work += waitCost * float64(seen.Waiting)
		}
	}
	cost := work + loadWeight*busy*busy/float64(max(1, rep.Limit))/float64(max(1, rep.Limit))
	if !warm {
		cost += float64(newestWarm.Milliseconds())
	}
	return cost
}

// occupied takes a replica's report of its load; what this router sends from then on counts beside it.
func (rep *replica) occupied(o *Occupancy) {
	if before := rep.seen.Load(); before == nil || before.at.Before(o.at) {
		rep.seen.Store(o)
		rep.sent.Store(0)
	}
}

// rate is how fast the replica prefills, in the prompt's units per millisecond: as it reports, or as was observed.
func (rep *replica) rate() float64 {
	if report := rep.report.Load(); report != nil {
		return report.rate()
	}
	if learned := math.Float64frombits(rep.rateBits.Load()); learned > 0 {
		return learned
	}
	return segmentRate
}

// observePrefillRate takes the time to a first chunk as a sample of the prefill rate. A replica is slowed by more than its prefill, so a
// quick sample counts for more than a slow one.
func (r *Router) observePrefillRate(x *Exchange, delay time.Duration) {
	rep := x.replica
	work := x.prefill.work
	if target := time.Duration(x.Path.LatencyTargetMs) * time.Millisecond; target > 0 {
		x.prefill.pool.window.observe(delay-prefillBase-time.Duration(float64(work)/rep.rate()*float64(time.Millisecond)), target)
	}
	if work < minSample || x.source != "" || rep.pending.Load() > work || delay <= prefillBase {
		return
	}
	sample, before := float64(work)/float64((delay-prefillBase).Milliseconds()+1), rep.rate()
	gain := 0.05
	if sample > before {
		gain = 0.3
	}
	rep.rateBits.Store(math.Float64bits(before + gain*(min(sample, 4*before)-before)))
}

// rate is the reported prefill rate in bytes per millisecond, or the default.
func (report *report) rate() float64 {
	if report.Rate <= 0 {
		return defaultRate
	}
	return report.Rate
}
