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

// lockedRandom is a random source for several goroutines.
type lockedRandom struct {
	mu sync.Mutex
	r  *mathrand.Rand
}

// backoff draws a backoff.
func (l *lockedRandom) backoff(rule config.ThrottleRule, attempt int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return throttle.Backoff(rule, attempt, l.r)
}

// throttleExtended wakes the queue when a throttle here was extended.
func (r *Router) throttleExtended(e throttle.Entry) {
	r.log.Info().Str("scope", e.Scope).Str("id", e.ID).Int64("remaining_ms", e.RemainingMs).Str("reason", e.Reason).Msg("throttle extended")
	r.queue.WakeAll()
}

// releaseDelay spreads the first releases after a throttle over the proxies: the first by rendezvous rank goes at once, the second a step
// later, then two, four and so on. If the first is rejected again, the others hear of it before they send (docs/design.md §4.4).
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
	return time.Duration(bits.Len(uint(before))) * turnStep
}

// turnStep is the time between two steps of release.
const turnStep = 100 * time.Millisecond

// throttle extends a scope's throttle here at once, and has it reported to all (docs/design.md §4.2).
func (r *Router) throttle(x *Exchange, delay time.Duration, reason, raw string) {
	rule := r.view.Load().throttleRule
	limit := time.Duration(rule.CapMs) * time.Millisecond
	n := throttle.Notice{
		Scope: x.item.Scope, ID: fmt.Sprintf("%s.%s.%d", r.options.Name, r.runID, r.noticesSent.Add(1)), Raw: raw,
		RemainingMs: min(delay, limit).Milliseconds(), Reason: reason, Attempt: x.Attempt, Observed: rule.Observe,
	}
	r.counts.add("throttles", 1)
	if !r.throttles.Merge(n, limit) {
		return // an equal or longer hold stands here, and was told already
	}
	r.log.Info().Str("scope", n.Scope).Str("request", x.ID).Int64("delay_ms", n.RemainingMs).Str("reason", reason).Msg("throttle reported")
	select {
	case r.throttleReports <- n:
	default: // a full line means a storm; the local hold stands and others report too
	}
}

// reportThrottles reports throttles to the agent. What cannot be reported is tried again while it lasts.
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
				_ = rpc.Sleep(ctx, 100*time.Millisecond) // the loop looks at the context
			}
		}
	}
}
