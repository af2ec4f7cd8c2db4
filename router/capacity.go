package router

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"asterridge/config"
)

// Limits on what a router sends to one replica.
const (
	// maxReportAge is the age from which a replica's report is ignored, maxOccupancyAge that of a load that a replica has sent in a response.
	maxReportAge    = 1500 * time.Millisecond
	maxOccupancyAge = 2 * time.Second
	// maxBorrowed is the largest part of a replica's slots that a router may fill beyond its own share, as far as the replica's report shows
	// them free; each response raises the current part by borrowedStep.
	maxBorrowed  = 0.75
	borrowedStep = 0.01
	// noReportLimit is how many requests a router has in flight at a replica with no known load, even if its own share is smaller.
	noReportLimit = 2

	// minCooldown is the first cooldown of a failing replica, maxCooldown the longest; it doubles up to maxCooldownDoublings times.
	minCooldown          = 50 * time.Millisecond
	maxCooldown          = 2 * time.Second
	maxCooldownDoublings = 6
)

// canServe reports whether a replica may start work for the pool now, and with which weights (docs/design.md §6.1).
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
	if report == nil || now.Sub(report.at) > maxReportAge || !p.allows(report.Weights, now) {
		return "", false
	}
	if rep.State == config.ReplicaWarming && !report.Warm {
		return "", false
	}
	return report.Weights, true
}

// hasCapacity reports whether a replica has a slot for this router: within the router's own share of the slots, or beyond it if the
// replica's report shows free slots (docs/design.md §5.3).
func (r *Router) hasCapacity(rep *replica, now time.Time) bool {
	own := int(rep.running.Load())
	if own < rep.share {
		return true
	}
	if report := rep.report.Load(); report != nil {
		return float64(report.Running)+float64(rep.sent.Load())+1 <= r.borrow.share()*float64(rep.Limit)
	}
	if seen := rep.occupancy.Load(); seen != nil && now.Sub(seen.at) < maxOccupancyAge {
		return max(seen.Running+seen.Waiting+int(rep.sent.Load()), own)+1 <= int(maxBorrowed*float64(rep.Limit))
	}
	return r.options.Protocol.ReportPath() == "" && own < noReportLimit
}

// borrowedShare is the part of a replica's slots up to which this router sends beyond its own share. Reports lag by several requests, and all
// routers see the same ones. So a router that meets a full replica halves its part, and each response raises it by a small step.
type borrowedShare struct {
	mu       sync.Mutex
	fraction float64
}

// share returns the current part.
func (b *borrowedShare) share() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fraction
}

// observe adjusts the part after a request: full reports whether the replica was full.
func (b *borrowedShare) observe(full bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if full {
		b.fraction /= 2
	} else {
		b.fraction = min(b.fraction+borrowedStep, maxBorrowed)
	}
}

// coolDown ejects a replica that fails, or that rejects requests of all tenants, for a while. The time doubles until the replica serves
// again.
func (r *Router) coolDown(rep *replica) {
	backoff := min(minCooldown<<min(rep.bad.Add(1)-1, maxCooldownDoublings), maxCooldown)
	until := time.Now().Add(backoff)
	rep.coolUntil.Store(&until)
	time.AfterFunc(backoff+time.Millisecond, r.queue.WakeAll)
}

// release returns a credit's slot.
func (r *Router) release(c credit) {
	c.replica.running.Add(-1)
	r.balancer.loadChanged(c.replica.Name)
}

// returnUnused returns a credit whose request was canceled at the moment of the grant; it is called under the queue's lock.
func (r *Router) returnUnused(c credit) {
	r.release(c)
	c.endPrefill()
}

// endPrefill ends a request's prefill: at the replica and in the pool's concurrency window.
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

// endPrefill returns what a credit holds only until the first chunk.
func (c credit) endPrefill() {
	if c.replica != nil {
		c.replica.pending.Add(-c.work)
	}
	if c.windowed {
		c.pool.window.release()
	}
}
