package router

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const testAim = 400 * time.Millisecond

// fill enters as many as there are places for, and says how many.
func (w *window) fill() (n int) {
	for w.enter() {
		n++
	}
	return n
}

// The window has its first size, gives each place once, and takes it again.
func TestWindowBoundsWhoIsIn(t *testing.T) {
	is := is.New(t)
	w := &window{}
	is.Equal(w.fill(), 32)
	is.True(!w.enter())
	w.leave()
	w.leave()
	is.Equal(w.fill(), 2)
}

// While first pieces take long it shrinks by a fifth, at most each 100 ms, and never below two.
func TestWindowShrinksAndKeepsTwo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &window{}
		w.fill()
		time.Sleep(time.Second)
		before := w.size
		for range 50 {
			w.learn(testAim/2+time.Millisecond, testAim) // all at once: one cut
		}
		is.Equal(w.size, before*0.8)
		time.Sleep(99 * time.Millisecond)
		w.learn(testAim, testAim)
		is.Equal(w.size, before*0.8)
		time.Sleep(time.Millisecond)
		w.learn(testAim, testAim)
		is.Equal(w.size, before*0.8*0.8)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			w.learn(testAim, testAim)
			is.True(w.size >= 2)
		}
		is.Equal(w.size, 2.0)
		for w.out > 0 {
			w.leave()
		}
		is.Equal(w.fill(), 2)
	})
}

// A window that is larger than what is in is cut from what is in: the places that nobody uses are no room to grow into.
func TestWindowIsCutFromWhatIsIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &window{}
		for range 9 {
			is.True(w.enter())
		}
		time.Sleep(time.Second)
		w.learn(testAim, testAim)
		is.Equal(w.size, 8.0)
	})
}

// While it is full and first pieces are quick it grows, by about one for each round, up to its bound; half empty it does not, and neither
// does a middling wait change it.
func TestWindowGrowsWhileFullAndQuick(t *testing.T) {
	is := is.New(t)
	w := &window{}
	w.fill()
	w.learn(testAim/4, testAim) // neither quick nor long
	w.learn(testAim/2, testAim)
	is.Equal(w.size, 32.0)
	for range 32 {
		w.learn(-time.Second, testAim) // quicker than its reading
	}
	is.True(w.size > 32.9 && w.size < 33.1)
	for w.out > 10 {
		w.leave()
	}
	before := w.size
	w.learn(0, testAim)
	is.Equal(w.size, before) // not half full
	w.fill()
	for range 200000 {
		w.learn(0, testAim)
		w.fill()
	}
	is.Equal(w.size, windowMost)
}
