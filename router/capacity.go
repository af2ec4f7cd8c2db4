package router

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"asterridge/config"
)

// Bounds on what a router sends to one replica.
const (
	// reportAge is the age at which a report no longer counts, seenAge that of a load that an answer told.
	reportAge = 1500 * time.Millisecond
	seenAge   = 2 * time.Second
	// maxBorrowed is the part of a replica's slots that may be taken by its report, beyond one's own share; it moves by borrowedStep.
	maxBorrowed  = 0.75
	borrowedStep = 0.01
	// unseenLimit is how many requests a router sends to a replica of which it knows nothing, whatever its share.
	unseenLimit = 2

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

// coolDown leaves a replica alone for a while that rejects everyone, or fails; longer each time until it serves again.
func (r *Router) coolDown(rep *replica) {
	backoff := min(cooldownStep<<min(rep.bad.Add(1)-1, maxCooldownDoublings), maxCooldown)
	until := time.Now().Add(backoff)
	rep.coolUntil.Store(&until)
	time.AfterFunc(backoff+time.Millisecond, r.queue.WakeAll)
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
