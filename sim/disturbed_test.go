package sim

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/router"
	"asterridge/watch"
)

// Who waits for the time of an old version to end counts it anew when a core falls silent or returns (§6.5). An agent that hears nobody is the
// one in trouble: that it was frozen or cut off for a while disturbs no core, and the cores may have loaded all that time.
func TestOwnSilenceIsNoDisturbanceOfTheCores(t *testing.T) {
	t.Parallel()
	for n, c := range []struct {
		what     string
		isTold   bool
		disturbs func(f *Fleet)
	}{
		{"the agent is frozen", false, func(f *Fleet) {
			f.Net.Freeze(ProxyIP(0), true)
			time.Sleep(4 * time.Second)
			f.Net.Freeze(ProxyIP(0), false)
		}},
		{"the agent is cut off", false, func(f *Fleet) {
			cores := []string{CoreIP(0), CoreIP(1), CoreIP(2), CoreIP(3)}
			f.Net.PartitionGroups([]string{ProxyIP(0)}, cores, true)
			time.Sleep(4 * time.Second)
			f.Net.PartitionGroups([]string{ProxyIP(0)}, cores, false)
		}},
		{"the agent starts anew", false, func(f *Fleet) {
			f.Kill(ProxyIP(0))
			time.Sleep(4 * time.Second)
			f.StartPair(0)
		}},
		{"a core is frozen", true, func(f *Fleet) {
			f.Net.Freeze(CoreIP(0), true)
			time.Sleep(4 * time.Second)
			f.Net.Freeze(CoreIP(0), false)
		}},
		{"a core returns a while after the agent has", true, func(f *Fleet) {
			f.Kill(CoreIP(0))
			f.Net.Freeze(ProxyIP(0), true)
			time.Sleep(4 * time.Second)
			f.Net.Freeze(ProxyIP(0), false)
			time.Sleep(4 * time.Second)
			f.StartCore(0)
		}},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			inNumbered(t, numberedOptions(uint64(230+n), 4), func(is *is.I, f *Fleet) {
				f.untilMembership(10*time.Second, allFour)
				f.declare(0, numbered(1, 0, true, "a"))
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				var updates atomic.Int64
				watcher := watch.NewClient(watch.ClientOptions{RPC: f.Wire, Address: ProxyIP(0) + ":7001", Path: "/agent/pull", Wait: 100 * time.Millisecond,
					Request: func() watch.Request { return watch.Request{Name: "watcher", Role: "watcher"} },
					OnUpdate: func(_ *watch.Client, answer watch.Response) {
						for _, e := range answer.Updates {
							if e.Key == router.DisturbedKey {
								updates.Add(1)
							}
						}
					}})
				go watcher.Run(ctx)
				time.Sleep(3 * time.Second)
				before := updates.Load()
				c.disturbs(f)
				time.Sleep(3 * time.Second)
				is.Equal(updates.Load() > before, c.isTold)
			})
		})
	}
}
