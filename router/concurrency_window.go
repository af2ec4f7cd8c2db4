package router

import (
	"math"
	"sync"
	"time"
)

// The sizes are in requests; shares are parts of the latency target or of a request's time.
const (
	initialWindow     = 32.0
	minWindow         = 2.0
	windowTargets     = 1.25 // the window never goes below what arrives here in so many aims
	rateTime          = 2 * time.Second
	maxWindow         = 512.0
	windowCutInterval = 100 * time.Millisecond // between two cuts
	windowCutFactor   = 0.8
	slowShare         = 0.5 // of the aim: a wait beyond the reading that is too long
	quickShare        = 0.25
	dueShare          = 0.6 // of the aim: who waits here for longer will hardly make it
	waitShare         = 0.4 // of a request's time that it may wait here: what is not sent by then is told when to come back
)

// concurrencyWindow bounds how many requests are at a pool's replicas before their first chunks. Beyond it they wait in the queue, where
// those that can still be in time go first (docs/design.md §5.3). It shrinks when replicas take long beyond the prefill, and grows while
// it is full and they do not.
type concurrencyWindow struct {
	mu          sync.Mutex
	size        float64
	minSize     float64
	arrivals    float64 // lately, fading
	lastArrival time.Time
	inFlight    int
	lastCut     time.Time
}

// arrived counts a request. The least size follows the rate of arrivals: a proxy with more clients needs a larger part of the replicas'
// prefill, and replicas without prefill stand idle.
func (w *concurrencyWindow) arrived(target time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.arrivals *= math.Exp(-float64(now.Sub(w.lastArrival)) / float64(rateTime))
	w.arrivals, w.lastArrival = w.arrivals+1, now
	w.minSize = max(minWindow, windowTargets*float64(target)*w.arrivals/float64(rateTime))
}

// enter takes a place in the window, and reports whether there was one.
func (w *concurrencyWindow) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.size == 0 {
		w.size = initialWindow
	}
	if float64(w.inFlight) >= max(w.size, w.minSize) {
		return false
	}
	w.inFlight++
	return true
}

// release gives a place back.
func (w *concurrencyWindow) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
}

// observe adds how long a request waited at its replica beyond its prefill.
func (w *concurrencyWindow) observe(waited, target time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch now := time.Now(); {
	case float64(waited) > slowShare*float64(target):
		if now.Sub(w.lastCut) >= windowCutInterval {
			w.size, w.lastCut = max(minWindow, w.minSize, min(w.size, float64(w.inFlight+1))*windowCutFactor), now
		}
	case float64(waited) < quickShare*float64(target) && float64(w.inFlight)+1 >= w.size/2:
		w.size = min(maxWindow, w.size+1/w.size)
	}
}
