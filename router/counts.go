package router

import (
	"maps"
	"sync"

	"asterridge/apierror"
)

// counts are this router's counters, by name.
type counts struct {
	mu     sync.Mutex
	byName map[string]int64
}

// newCounts returns counters at zero.
func newCounts() counts { return counts{byName: map[string]int64{}} }

// add adds n to a counter.
func (c *counts) add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name] += n
}

// step counts a request's transition to a state.
func (c *counts) step(to State) { c.add("state_"+string(to), 1) }

// reject counts a rejection under its code's name.
func (c *counts) reject(code apierror.Code) { c.add("bounce_"+code.Name, 1) }

// all returns a copy of the counters.
func (c *counts) all() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byName)
}

// budget is a token bucket that bounds retries to a part of the first attempts (docs/design.md §5.4).
type budget struct {
	mu     sync.Mutex
	tokens float64
	limit  float64 // maximum number of tokens; 0: maxRetryTokens
	ratio  float64 // tokens that each first attempt adds; 0: defaultRetryRatio
}

// Tokens of the retry budget. A retry costs one token.
const (
	defaultRetryRatio = 0.1
	retryAllowance    = 1   // tokens at the start of the process
	slackRatio        = 0.5 // part of the fleet's retry slack that all routers may accumulate; the rest covers the tokens of process starts
	maxRetryTokens    = 5   // maximum number of tokens, which bounds a burst of retries
)

// first adds the tokens of a first attempt.
func (b *budget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limit
	if limit == 0 {
		limit = maxRetryTokens
	}
	earned := b.ratio
	if earned == 0 {
		earned = defaultRetryRatio
	}
	b.tokens = min(b.tokens+earned, limit)
}

// ratioOf returns how many tokens each first attempt adds where retries must stay below a ratio of the first attempts: half of the ratio.
// The other half allows for retries that are spread unevenly over pools and over the time windows in which they are counted.
func ratioOf(ratio float64) float64 {
	if ratio == 0 {
		return defaultRetryRatio
	}
	return min(defaultRetryRatio, ratio/2)
}

// share limits the tokens to this router's part of the fleet's retry slack, but to no less than one.
func (b *budget) share(slack float64, routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slack > 0 {
		b.limit = min(maxRetryTokens, max(1, slackRatio*slack/float64(max(1, routers))))
		b.tokens = min(b.tokens, b.limit)
	}
}

// spend takes a token, and reports whether one was available.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
