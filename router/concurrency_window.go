package router

import (
	"math"
	"sync"
	"time"
)

// Sizes are in requests; ratios are parts of the latency target or of a request's time to its deadline.
const (
	initialWindow     = 32.0
	minWindow         = 2.0
	minWindowTargets  = 1.25 // the window holds at least the arrivals of this many latency targets
	arrivalDecayTime  = 2 * time.Second
	maxWindow         = 512.0
	windowCutInterval = 100 * time.Millisecond // minimum time between two cuts
	windowCutFactor   = 0.8
	slowWaitRatio     = 0.5  // of the latency target: a wait beyond the estimated prefill that shrinks the window
	quickWaitRatio    = 0.25 // of the latency target: a wait below this lets the window grow
	dueShare          = 0.6  // of the latency target: a request queued for longer is unlikely to meet it
	waitShare         = 0.4  // of the time to the deadline: a request that is not sent by then is rejected with a time to retry after
)

// concurrencyWindow bounds how many requests are at a pool's replicas before their first chunks. Further ones wait in the queue, where
// those that can still meet their latency target go first (docs/design.md §5.3). The window shrinks when replicas take long beyond the
// estimated prefill, and grows while it is in use and they do not.
type concurrencyWindow struct {
	mu          sync.Mutex
	size        float64
	minSize     float64
	arrivals    float64 // recent arrivals, decayed exponentially
	lastArrival time.Time
	inFlight    int
	lastCut     time.Time
}

// arrived counts a request. The minimum size follows the arrival rate: a proxy with more clients needs a larger part of the replicas'
// prefill capacity, and replicas that are not sent enough prefill are idle.
func (w *concurrencyWindow) arrived(target time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.arrivals *= math.Exp(-float64(now.Sub(w.lastArrival)) / float64(arrivalDecayTime))
	w.arrivals, w.lastArrival = w.arrivals+1, now
	w.minSize = max(minWindow, minWindowTargets*float64(target)*w.arrivals/float64(arrivalDecayTime))
}

// enter takes a place in the window, and reports whether one was free.
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

// release returns a place.
func (w *concurrencyWindow) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
}

// observe adjusts the window to how long a request waited at its replica beyond the estimated prefill.
func (w *concurrencyWindow) observe(waited, target time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch now := time.Now(); {
	case float64(waited) > slowWaitRatio*float64(target):
		if now.Sub(w.lastCut) >= windowCutInterval {
			w.size, w.lastCut = max(minWindow, w.minSize, min(w.size, float64(w.inFlight+1))*windowCutFactor), now
		}
	case float64(waited) < quickWaitRatio*float64(target) && float64(w.inFlight)+1 >= w.size/2:
		w.size = min(maxWindow, w.size+1/w.size)
	}
}
