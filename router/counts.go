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

// newCounts makes counters at zero.
func newCounts() counts { return counts{byName: map[string]int64{}} }

// add adds to a counter.
func (c *counts) add(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byName[name] += n
}

// step counts a request's step to a state.
func (c *counts) step(to State) { c.add("state_"+string(to), 1) }

// reject counts a rejection by its code.
func (c *counts) reject(code apierror.Code) { c.add("bounce_"+code.Name, 1) }

// all gives the counters' values.
func (c *counts) all() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byName)
}

// budget pays for retries, so that they cannot outgrow the first attempts (docs/design.md §5.4).
type budget struct {
	mu     sync.Mutex
	tokens float64
	limit  float64 // what may be saved up; 0: maxRetryTokens
	ratio  float64 // of a retry that each first attempt pays for; 0: defaultRetryRatio
}

// A retry costs one token.
const (
	defaultRetryRatio = 0.1
	retryAllowance    = 1   // of each life of the process
	slackRatio        = 0.5 // of the fleet's slack that may be saved up by all routers: the rest is for lives of processes
	maxRetryTokens    = 5   // what is saved up: a burst beyond the part is no larger
)

// first adds what a first attempt earns.
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

// ratioOf is what each first attempt earns where retries are bound to a ratio of them: half of it. The rest is for how unevenly retries
// fall on the pools and on the windows in which they are counted.
func ratioOf(ratio float64) float64 {
	if ratio == 0 {
		return defaultRetryRatio
	}
	return min(defaultRetryRatio, ratio/2)
}

// share bounds what may be saved up by this router's part of what the whole fleet may send beyond the ratio; one token stays.
func (b *budget) share(slack float64, routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slack > 0 {
		b.limit = min(maxRetryTokens, max(1, slackRatio*slack/float64(max(1, routers))))
		b.tokens = min(b.tokens, b.limit)
	}
}

// spend takes a token, and reports whether there was one.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
