package sim

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/watch"
)

// Of each pool a part alone is kept away from work, however many other pools there are.
func TestShareOfEachPoolIsItsOwn(t *testing.T) {
	t.Parallel()
	b := newBackends()
	b.add("a", 5, "m")
	b.add("b", 30, "n")
	rollout(t, 226, b, pools(1, config.Pool{Name: "a", Kind: "model", Models: []string{"m"}}, config.Pool{Name: "b", Kind: "model", Models: []string{"n"}}),
		func(is *is.I, f *Fleet, watcher *watch.Client) {
			most := 0
			stop := poll(func() {
				now := 0
				for name := range reservations(watcher) {
					if strings.HasPrefix(name, "a-") {
						now++
					}
				}
				most = max(most, now)
			})
			f.nameVersion(0, "m", 2)
			f.Until(time.Minute, "all have it", func() bool { return b.has("m", 2) })
			stop()
			is.True(most <= 2) // a fifth of five, and less than one more that runs dry
		})
}

// Where nothing is running, a reserved replica loads at once: as many as may be reserved then load at a time (§6.5), and the others wait. That is
// more than the fifth which loads in the mean where reserved ones run dry first; it said a fifth before.
func TestNoMoreLoadThanMayBeReserved(t *testing.T) {
	t.Parallel()
	b := newBackends()
	b.add("pool", 15, "m")
	rollout(t, 228, b, pools(1, oneModel), func(is *is.I, f *Fleet, _ *watch.Client) {
		f.nameVersion(0, "m", 2)
		f.Until(time.Minute, "all have it", func() bool { return b.has("m", 2) })
		is.Equal(b.atOnce("pool"), 5) // of 15: a fifth, and two thirds as many again
	})
}

// A replica with two models loads one after the other: an open reservation is not written over by the other model's.
func TestTwoModelsOfOneReplicaLoadInTurn(t *testing.T) {
	t.Parallel()
	b := newBackends()
	b.add("pool", 10, "m", "n")
	rollout(t, 227, b, pools(1, config.Pool{Name: "pool", Kind: "model", Models: []string{"m", "n"}}), func(is *is.I, f *Fleet, watcher *watch.Client) {
		f.nameVersion(0, "m", 2)
		f.nameVersion(0, "n", 2)
		changes, before := 0, map[string]config.LoadOrder{}
		stop := poll(func() {
			now := reservations(watcher)
			for name, o := range now {
				if was, ok := before[name]; ok && was != o {
					changes++
				}
			}
			before = now
		})
		f.Until(time.Minute, "all have both", func() bool { return b.has("m", 2) && b.has("n", 2) })
		f.Until(10*time.Second, "no reservation is left", func() bool { return len(reservations(watcher)) == 0 })
		stop()
		t.Logf("%d orders to 10 replicas", len(b.given()))
		is.Equal(changes, 0)
	})
}

// Guards against a replica that is taken out of service again for a version that it has: the record of one model's load was replaced by
// that of the other model's, and the platform's list still shows the former version.
func TestLoadOfAnotherModelReservesNothingTwice(t *testing.T) {
	t.Parallel()
	const size = 10
	b := newBackends()
	b.add("pool", size, "m", "n")
	rollout(t, 228, b, pools(1, config.Pool{Name: "pool", Kind: "model", Models: []string{"m", "n"}}), func(is *is.I, f *Fleet, watcher *watch.Client) {
		opened, before := 0, map[string]config.LoadOrder{}
		stop := poll(func() {
			now := reservations(watcher)
			for name, order := range now {
				if before[name] != order {
					opened++
				}
			}
			before = now
		})
		f.nameVersion(0, "m", 2)
		f.nameVersion(0, "n", 2)
		f.Until(time.Minute, "all have both", func() bool { return b.has("m", 2) && b.has("n", 2) })
		time.Sleep(2 * listLag)
		stop()
		is.Equal(opened, 2*size)
	})
}
