package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const testTarget = 400 * time.Millisecond

// fill enters the window until it is full, and returns how many requests entered.
func (w *concurrencyWindow) fill() (n int) {
	for w.enter() {
		n++
	}
	return n
}

// The window starts at its initial size, grants each place once, and grants a released place again.
func TestWindowBoundsRequestsInFlight(t *testing.T) {
	is := is.New(t)
	w := &concurrencyWindow{}
	is.Equal(w.fill(), 32)
	is.True(!w.enter())
	w.release()
	w.release()
	is.Equal(w.fill(), 2)
}

// While first chunks are slow the window shrinks by a fifth, at most once per 100 ms, and never below two.
func TestWindowShrinksToItsMinimum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &concurrencyWindow{}
		w.fill()
		time.Sleep(time.Second)
		before := w.size
		for range 50 {
			w.observe(testTarget/2+time.Millisecond, testTarget) // simultaneous: only one cut
		}
		is.Equal(w.size, before*0.8)
		time.Sleep(99 * time.Millisecond)
		w.observe(testTarget, testTarget)
		is.Equal(w.size, before*0.8)
		time.Sleep(time.Millisecond)
		w.observe(testTarget, testTarget)
		is.Equal(w.size, before*0.8*0.8)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			w.observe(testTarget, testTarget)
			is.True(w.size >= 2)
		}
		is.Equal(w.size, 2.0)
		for w.inFlight > 0 {
			w.release()
		}
		is.Equal(w.fill(), 2)
	})
}

// A window that is larger than the number of requests in flight is cut from that number: cutting unused places would not reduce the load.
func TestWindowIsCutFromRequestsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &concurrencyWindow{}
		for range 9 {
			is.True(w.enter())
		}
		time.Sleep(time.Second)
		w.observe(testTarget, testTarget)
		is.Equal(w.size, 8.0)
	})
}

// While at least half of the window is in use and first chunks are quick it grows, by about one per round, up to its maximum. It does not
// grow when less than half is in use, and a medium wait does not change it.
func TestWindowGrowsWhileFullAndQuick(t *testing.T) {
	is := is.New(t)
	w := &concurrencyWindow{}
	w.fill()
	w.observe(testTarget/4, testTarget) // neither quick nor slow
	w.observe(testTarget/2, testTarget)
	is.Equal(w.size, 32.0)
	for range 32 {
		w.observe(-time.Second, testTarget) // quicker than the estimated prefill
	}
	is.True(w.size > 32.9 && w.size < 33.1)
	for w.inFlight > 10 {
		w.release()
	}
	before := w.size
	w.observe(0, testTarget)
	is.Equal(w.size, before) // less than half in use
	w.fill()
	for range 200000 {
		w.observe(0, testTarget)
		w.fill()
	}
	is.Equal(w.size, maxWindow)
}
