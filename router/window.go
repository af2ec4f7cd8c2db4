package router

import (
	"math"
	"sync"
	"time"
)

const (
	windowFirst = 32.0
	windowLeast = 2.0
	windowAims  = 1.25 // the window never goes below what arrives here in so many aims
	rateTime    = 2 * time.Second
	windowMost  = 512.0
	windowRest  = 100 * time.Millisecond // between two cuts
	windowCut   = 0.8
	slowPart    = 0.5 // of the aim: a wait beyond the reading that is too long
	quickPart   = 0.25
	duePart     = 0.6 // of the aim: who waits here for longer will hardly make it
	waitPart    = 0.4 // of a request's time that it may wait here: what is not sent by then is told when to come back
)

// window bounds how many requests are with a pool's replicas before their first pieces: beyond it they wait here, where those that can
// still be in time go first (§5.3). It shrinks while replicas take long beyond their reading, and grows while it is full and they do not.
type window struct {
	mu       sync.Mutex
	size     float64
	least    float64
	arrivals float64 // lately, fading
	last     time.Time
	out      int
	cut      time.Time
}

// arrived counts a request. The least size follows what arrives here: a proxy with more callers has a larger part of what the replicas read,
// and replicas that have nothing to read stand idle.
func (w *window) arrived(aim time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.arrivals *= math.Exp(-float64(now.Sub(w.last)) / float64(rateTime))
	w.arrivals, w.last = w.arrivals+1, now
	w.least = max(windowLeast, windowAims*float64(aim)*w.arrivals/float64(rateTime))
}

// enter takes a place if there is one.
func (w *window) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.size == 0 {
		w.size = windowFirst
	}
	if float64(w.out) >= max(w.size, w.least) {
		return false
	}
	w.out++
	return true
}

func (w *window) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out--
}

// learn takes how long a request has waited at its replica beyond what it had to read.
func (w *window) learn(waited, aim time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch now := time.Now(); {
	case float64(waited) > slowPart*float64(aim):
		if now.Sub(w.cut) >= windowRest {
			w.size, w.cut = max(windowLeast, w.least, min(w.size, float64(w.out+1))*windowCut), now
		}
	case float64(waited) < quickPart*float64(aim) && float64(w.out)+1 >= w.size/2:
		w.size = min(windowMost, w.size+1/w.size)
	}
}
