package router

import (
	"context"
	"fmt"
	"math/bits"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/rendezvous"
	"asterridge/rpc"
	"asterridge/throttle"
)

// lockedRandom is a random source that is safe for concurrent use.
type lockedRandom struct {
	mu sync.Mutex
	r  *mathrand.Rand
}

// backoff returns a random delay for an attempt, within the bounds of the rule.
func (l *lockedRandom) backoff(rule config.ThrottleRule, attempt int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return throttle.Backoff(rule, attempt, l.r)
}

// throttleExtended is called when a throttle was extended in this router's table; it wakes the queue.
func (r *Router) throttleExtended(e throttle.Entry) {
	r.log.Info().Str("scope", e.Scope).Str("id", e.ID).Int64("remaining_ms", e.RemainingMs).Str("reason", e.Reason).Msg("throttle extended")
	r.queue.WakeAll()
}

// releaseDelay spreads the first requests after a throttle over the proxies. The proxy that is first in rendezvous order sends at
// once, the next one a step later, then two proxies, four and so on. If the first request is rejected, the other proxies learn of the
// new throttle before they send (docs/design.md §4.4).
func (r *Router) releaseDelay(scope string) time.Duration {
	v := r.view.Load()
	if v == nil {
		return 0
	}
	own, before := rendezvous.Weight(scope, r.options.Name), 0
	for _, name := range v.proxies {
		if rendezvous.Weight(scope, name) > own {
			before++
		}
	}
	return time.Duration(bits.Len(uint(before))) * releaseStep
}

// releaseStep is the time between two steps of the release.
const releaseStep = 100 * time.Millisecond

// throttle extends a scope's throttle in this router at once, and queues it to be reported to all proxies (docs/design.md §4.2).
func (r *Router) throttle(x *Exchange, delay time.Duration, reason, raw string) {
	rule := r.view.Load().throttleRule
	limit := time.Duration(rule.CapMs) * time.Millisecond
	n := throttle.Notice{
		Scope: x.item.Scope, ID: fmt.Sprintf("%s.%s.%d", r.options.Name, r.runID, r.noticesSent.Add(1)), Raw: raw,
		RemainingMs: min(delay, limit).Milliseconds(), Reason: reason, Attempt: x.Attempt, Observed: rule.Observe,
	}
	r.counts.add("throttles", 1)
	if !r.throttles.Merge(n, limit) {
		return // an equal or longer throttle is in force here and was reported
	}
	r.log.Info().Str("scope", n.Scope).Str("request", x.ID).Int64("delay_ms", n.RemainingMs).Str("reason", reason).Msg("throttle reported")
	select {
	case r.throttleReports <- n:
	default: // queue full under many rejections: the local throttle stays, and other proxies report too
	}
}

// reportThrottles reports throttles to the agent. A failed report is repeated as long as the throttle lasts.
func (r *Router) reportThrottles(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-r.throttleReports:
			until := time.Now().Add(time.Duration(n.RemainingMs) * time.Millisecond)
			for time.Now().Before(until) && ctx.Err() == nil {
				n.RemainingMs = time.Until(until).Milliseconds()
				_, err := rpc.Call[struct{}](ctx, r.rpc, r.options.Agent, "/agent/hold", n)
				if err == nil {
					break
				}
				_ = rpc.Sleep(ctx, 100*time.Millisecond) // the loop checks the context
			}
		}
	}
}
