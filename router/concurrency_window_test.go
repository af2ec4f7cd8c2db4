package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const testTarget = 400 * time.Millisecond

// fill enters as many as there are places for, and says how many.
func (w *concurrencyWindow) fill() (n int) {
	for w.enter() {
		n++
	}
	return n
}

// The window has its first size, gives each place once, and takes it again.
func TestWindowBoundsRequestsInFlight(t *testing.T) {
	is := is.New(t)
	w := &concurrencyWindow{}
	is.Equal(w.fill(), 32)
	is.True(!w.enter())
	w.release()
	w.release()
	is.Equal(w.fill(), 2)
}

// While first pieces take long it shrinks by a fifth, at most each 100 ms, and never below two.
func TestWindowShrinksToItsMinimum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &concurrencyWindow{}
		w.fill()
		time.Sleep(time.Second)
		before := w.size
		for range 50 {
			w.observe(testTarget/2+time.Millisecond, testTarget) // all at once: one cut
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

// A window that is larger than what is in is cut from what is in: the places that nobody uses are no room to grow into.
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

// While it is full and first pieces are quick it grows, by about one for each round, up to its bound; half empty it does not, and neither
// does a middling wait change it.
func TestWindowGrowsWhileFullAndQuick(t *testing.T) {
	is := is.New(t)
	w := &concurrencyWindow{}
	w.fill()
	w.observe(testTarget/4, testTarget) // neither quick nor long
	w.observe(testTarget/2, testTarget)
	is.Equal(w.size, 32.0)
	for range 32 {
		w.observe(-time.Second, testTarget) // quicker than its reading
	}
	is.True(w.size > 32.9 && w.size < 33.1)
	for w.inFlight > 10 {
		w.release()
	}
	before := w.size
	w.observe(0, testTarget)
	is.Equal(w.size, before) // not half full
	w.fill()
	for range 200000 {
		w.observe(0, testTarget)
		w.fill()
	}
	is.Equal(w.size, maxWindow)
}
