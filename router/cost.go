package router

import (
	"math"
	"time"

	"asterridge/config"
)

// Costs are in milliseconds of prefill, rates in the prompt's units per millisecond. The reasons for the values: docs/policy.md.
const (
	// defaultPrefillRate is the assumed prefill rate of text, in bytes per millisecond, until a replica reports its own.
	// segmentPrefillRate is the assumed prefill rate of segments until one is observed.
	defaultPrefillRate = 4.0
	segmentPrefillRate = 100.0
	// minRateSample is the minimum prefill size that counts as a sample of the rate. firstChunkOverhead is the time to the first chunk of a
	// request without any prefill.
	minRateSample      = 1000
	firstChunkOverhead = 25 * time.Millisecond

	// notHomeCost is added for replicas other than the prompt's home, the one on which routers without cache updates agree.
	notHomeCost = 20.0
	// duplicatePrefillFactor weights the prefill of blocks that other prompts may share and that no replica is known to have cached. It is
	// added for replicas other than the home, so that such blocks are computed in one place. With 4 or 0.5 the requests served
	// in time are worth slightly less in sum (docs/policy.md).
	duplicatePrefillFactor = 2.0
	// crossZoneCost is added for a replica in another zone if the prompt has segments. waitingRequestCost is added for each request that a
	// replica reports as waiting.
	crossZoneCost      = 4.0
	waitingRequestCost = 40.0
	// avoidCost is added for a replica on old weights, which will be told to load new ones at any moment, or for one that has rejected the
	// tenant; it is also the discount for a replica that has not answered with an adapter yet. fullLoadCost is added for a replica whose
	// slots are all in use; it scales with the square of the load.
	avoidCost    = 400.0
	fullLoadCost = 40.0
	// warmUpTime is added for a replica that is still warming up.
	warmUpTime = 3 * time.Second
	// fetchLatency is the time before the first byte of a fetched prefix, untriedFetchRate the assumed rate of a source that has no measured
	// one.
	fetchLatency     = 5.0
	untriedFetchRate = 200.0
)

// estimatePrefill estimates the milliseconds until a replica has the whole prompt. The replica computes the uncached part, or fetches some
// of it from a peer or store that is believed to have more cached, if the measured rates make that faster (docs/design.md §6.1). source is
// the address of that peer or store.
func (r *Router) estimatePrefill(x *Exchange, v *View, p *pool, rep *replica, d *cacheState) (ms float64, source string) {
	cached, size, rate := d.cached[rep.Name], x.Prompt.Size(), rep.rate()
	ms = float64(size-cached) / rate
	for _, other := range d.holders {
		theirs := d.cached[other.Name]
		more := theirs - cached
		if other.Name == rep.Name || more <= 0 {
			continue
		}
		fetched := fetchLatency + float64(more)/max(r.fetchRate(v, p, rep, other), 0.01) + float64(size-theirs)/rate
		if fetched < ms {
			ms, source = fetched, other.Address
		}
	}
	return ms, source
}

// backupStore returns the address of a store that has at least half as much of the prompt as the replica is believed to have: if the
// replica has evicted its copy since, it can fetch that prefix instead of computing it. Empty if there is none.
func (r *Router) backupStore(v *View, rep *replica, cached map[string]int) string {
	for _, store := range v.stores {
		if theirs := cached[store.Name]; theirs > 0 && theirs >= cached[rep.Name]/2 {
			return store.Address
		}
	}
	return ""
}

// sinkFor returns the address of a reachable store that lacks part of the prompt's shareable prefix; empty if there is none.
func (r *Router) sinkFor(x *Exchange, v *View, d *cacheState) string {
	for _, store := range v.stores {
		if _, up := r.sources.Load(store.Name); up && d.cached[store.Name] < d.sharedSize {
			return store.Address
		}
	}
	return ""
}

// fetchRate returns how much of a prompt a replica fetches from a source per millisecond: the rate that the replica has measured, else one
// derived from the configured bandwidth of the pools' links.
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
		return untriedFetchRate
	}
	rate := link * 125 / float64(p.UnitBytes) // Mbit/s to bytes per ms
	if rep.Zone != other.Zone {
		rate /= 2
	}
	return rate
}

// pendingMs estimates the milliseconds of prefill at a replica for this router's requests whose first chunks are outstanding.
func (r *Router) pendingMs(rep *replica) float64 { return float64(rep.pending.Load()) / rep.rate() }

// loadedCost adds the costs of the replica's load and warm-up to the prefill time, in milliseconds.
func (r *Router) loadedCost(rep *replica, work float64, now time.Time) float64 {
	busy, warm := float64(rep.running.Load()), rep.State != config.ReplicaWarming
	if report := rep.report.Load(); report != nil {
		busy, warm = float64(report.Running)+float64(rep.sent.Load()), report.Warm
	} else {
		work += r.pendingMs(rep)
		if seen := rep.occupancy.Load(); seen != nil && now.Sub(seen.at) < maxOccupancyAge {
			busy = max(busy, float64(seen.Running)+float64(rep.sent.Load()))
			work += waitingRequestCost * float64(seen.Waiting)
		}
	}
	cost := work + fullLoadCost*busy*busy/float64(max(1, rep.Limit))/float64(max(1, rep.Limit))
	if !warm {
		cost += float64(warmUpTime.Milliseconds())
	}
	return cost
}

// occupied records the load that a replica has reported in a response, and restarts the count of requests sent since.
func (rep *replica) occupied(o *Occupancy) {
	if before := rep.occupancy.Load(); before == nil || before.at.Before(o.at) {
		rep.occupancy.Store(o)
		rep.sent.Store(0)
	}
}

// rate returns the replica's prefill rate in the prompt's units per millisecond: the reported one, else the observed one.
func (rep *replica) rate() float64 {
	if report := rep.report.Load(); report != nil {
		return report.rate()
	}
	if learned := math.Float64frombits(rep.rateBits.Load()); learned > 0 {
		return learned
	}
	return segmentPrefillRate
}

// observePrefillRate takes the time to a first chunk as a sample of the prefill rate. Other things than prefill can delay a first chunk
// too, so a sample above the current estimate has a higher gain than one below.
func (r *Router) observePrefillRate(x *Exchange, delay time.Duration) {
	rep := x.replica
	work := x.prefill.work
	if target := time.Duration(x.Path.LatencyTargetMs) * time.Millisecond; target > 0 {
		x.prefill.pool.window.observe(delay-firstChunkOverhead-time.Duration(float64(work)/rep.rate()*float64(time.Millisecond)), target)
	}
	if work < minRateSample || x.source != "" || rep.pending.Load() > work || delay <= firstChunkOverhead {
		return
	}
	sample, before := float64(work)/float64((delay-firstChunkOverhead).Milliseconds()+1), rep.rate()
	gain := 0.05
	if sample > before {
		gain = 0.3
	}
	rep.rateBits.Store(math.Float64bits(before + gain*(min(sample, 4*before)-before)))
}

// rate returns the reported prefill rate in bytes per millisecond, or the default.
func (report *report) rate() float64 {
	if report.Rate <= 0 {
		return defaultPrefillRate
	}
	return report.Rate
}
