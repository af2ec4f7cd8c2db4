package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/router"
	"asterridge/watch"
)

// loadLease is longer than a lease, so that its keeping shows.
const loadLease = 20 * time.Second

// rollout has a fleet with back ends, founded and declared, and a watcher of the reservations at each core.
func rollout(t *testing.T, seed uint64, b *backends, d config.NumberedConfig, play func(is *is.I, f *Fleet, watcher *watch.Client)) {
	t.Helper()
	o := b.options(seed)
	o.Core.Lease = loadLease
	inNumbered(t, o, func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, "core-1 core-2 core-3")
		f.declare(0, d)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		watcher := f.follow(ctx, At(CoreIP(2)), "/core/pull")
		time.Sleep(3 * time.Second) // the replicas are listed
		play(is, f, watcher)
	})
}

// name has the fleet take a model's version.
func (f *Fleet) nameVersion(core int, model string, version uint64) {
	f.Until(5*time.Second, "the version is named", func() bool {
		return f.core(core).PublishModelVersion(context.Background(), controlplane.ModelVersionChange{Model: model, Version: version}) == nil
	})
}

// poll looks at the reservations again and again until the test ends; the function that it gives ends it.
func poll(look func()) (stop func()) {
	ctx, end := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() {
		for ctx.Err() == nil {
			look()
			time.Sleep(10 * time.Millisecond)
		}
	})
	return func() { end(); watching.Wait() }
}

var oneModel = config.Pool{Name: "pool", Kind: "model", Models: []string{"m"}}

// A named version comes to all replicas. Each reservation is known for a while before its order is given, a third of the pool at the most is
// reserved at a time, every order bears a holder and a fence, and reservations end as done.
func TestNamedVersionIsLoadedShareByShare(t *testing.T) {
	t.Parallel()
	b := newBackends()
	b.add("pool", 15, "m")
	rollout(t, 220, b, pools(1, oneModel), func(is *is.I, f *Fleet, watcher *watch.Client) {
		since, most, opened, before := map[string]time.Time{}, 0, 0, map[string]config.LoadOrder{}
		var mu sync.Mutex
		stop := poll(func() {
			mu.Lock()
			defer mu.Unlock()
			open := reservations(watcher)
			most = max(most, len(open))
			for name, o := range open {
				if since[name].IsZero() {
					since[name] = time.Now()
				}
				is.Equal(o, config.LoadOrder{Model: "m", Version: 2})
				if _, wasOpen := before[name]; !wasOpen {
					opened++
				}
			}
			before = open
		})
		b.onLoad = func(o ordered) {
			mu.Lock()
			defer mu.Unlock()
			is.True(!since[o.replica].IsZero() && time.Since(since[o.replica]) >= 200*time.Millisecond)
			is.True(o.Fence > 0 && o.Holder != "")
		}
		f.nameVersion(1, "m", 2)
		took := f.Until(time.Minute, "all have it", func() bool { return b.has("m", 2) })
		f.Until(5*time.Second, "no mark is open", func() bool { return len(reservations(watcher)) == 0 })
		time.Sleep(2 * listLag)
		stop()
		is.Equal(opened, 15) // though the list tells late what they have
		t.Logf("%v; marked at once: %d, loading at once: %d", took, most, b.atOnce("pool"))
		is.Equal(most, 5)
		is.Equal(len(b.given()), 15) // nobody was told twice
		for _, o := range b.given() {
			is.True(o.taken)
			is.Equal(o.core, b.given()[0].core)
			is.Equal(o.Holder, b.given()[0].Holder)
		}
		time.Sleep(20 * time.Second)
		is.Equal(len(b.given()), 15)
		f.nameVersion(0, "m", 2) // named already
		f.nameVersion(0, "m", 1)
		time.Sleep(5 * time.Second)
		named, err := config.Load[config.Model](watcher.Read(config.ModelsKey).Fields)
		is.NoErr(err)
		is.Equal(named["m"].Version, uint64(2))
		is.Equal(len(b.given()), 15)
	})
}

// The holder is killed in the midst: the next one goes on from the reservations, under a higher fence, and tells a replica that the holder before may
// have told only a lease later; on no replica does a fence ever fall.
func TestNextHolderGoesOnAndKeepsTheLease(t *testing.T) {
	t.Parallel()
	b := newBackends()
	b.add("pool", 15, "m")
	rollout(t, 221, b, pools(1, oneModel), func(is *is.I, f *Fleet, watcher *watch.Client) {
		f.nameVersion(0, "m", 2)
		f.Until(20*time.Second, "some are ordered", func() bool { return len(b.given()) >= 4 })
		first := b.given()[0].core
		f.Kill(CoreIP(first))
		f.Until(time.Minute, "all have it", func() bool { return b.has("m", 2) })
		checkOrders(is, b, loadLease)
		is.True(b.given()[len(b.given())-1].core != first)
		f.StartCore(first)
		time.Sleep(5 * time.Second)
		f.nameVersion(first, "m", 3)
		f.Until(time.Minute, "all have the next", func() bool { return b.has("m", 3) })
		checkOrders(is, b, loadLease)
	})
}

// The holder ends in order in the midst: before it ends it gives the role up, and another core has it within a second, not after the two of a
// lease. Every version is loaded, and no replica gets orders of two holders within a lease.
func TestRoleOfAStoppedCoreIsHandedOver(t *testing.T) {
	t.Parallel()
	b := newBackends()
	b.add("pool", 15, "m")
	rollout(t, 225, b, pools(1, oneModel), func(is *is.I, f *Fleet, _ *watch.Client) {
		f.nameVersion(0, "m", 2)
		f.Until(20*time.Second, "some are ordered", func() bool { return len(b.given()) >= 4 })
		first := b.given()[0].core
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		watcher := f.follow(ctx, At(CoreIP((first+1)%3)), "/core/whole")
		holder := func() (name string) {
			_ = json.Unmarshal(watcher.Read("term/loading").Fields["holder"], &name) // not followed yet: nobody
			return name
		}
		f.Until(time.Second, "the holder is known", func() bool { return strings.HasPrefix(holder(), fmt.Sprint("core-", first+1)) })
		stopped := time.Now()
		f.Terminate(first)
		f.Until(time.Minute, "another one holds the role", func() bool {
			return holder() != "" && !strings.HasPrefix(holder(), fmt.Sprint("core-", first+1))
		})
		t.Logf("another one holds the role after %v", time.Since(stopped))
		is.True(time.Since(stopped) < time.Second)
		f.Until(time.Minute, "all have it", func() bool { return b.has("m", 2) })
		checkOrders(is, b, loadLease)
	})
}

// checkOrders looks at all orders: fences rise with the holders, and no replica gets orders of two holders within a lease of each other. It
// held the lease between any two orders of two holders before; the rule it is there for binds one replica's orders.
func checkOrders(is *is.I, b *backends, lease time.Duration) {
	is.Helper()
	all, last := byTime(b.given()), map[string]int{}
	for i, o := range all {
		if i > 0 {
			is.True(o.Fence >= all[i-1].Fence)
			is.True(o.Holder == all[i-1].Holder || o.Fence > all[i-1].Fence)
		}
		if before, again := last[o.replica]; again && all[before].Holder != o.Holder {
			is.True(o.at.Sub(all[before].at) >= lease)
		}
		last[o.replica] = i
	}
}

// The holder is cut off from the other cores, and not from the replicas: it gives up in time, so that no two ever give orders at once.
func TestHolderThatIsCutOffGivesWay(t *testing.T) {
	t.Parallel()
	b := newBackends()
	b.add("pool", 15, "m")
	rollout(t, 222, b, pools(1, oneModel), func(is *is.I, f *Fleet, _ *watch.Client) {
		f.nameVersion(0, "m", 2)
		f.Until(20*time.Second, "some are ordered", func() bool { return len(b.given()) >= 2 })
		first := b.given()[0].core
		var others []string
		for i := range 3 {
			if i != first {
				others = append(others, CoreIP(i))
			}
		}
		f.Net.PartitionGroups([]string{CoreIP(first)}, others, true)
		f.Net.PartitionGroups(others, []string{CoreIP(first)}, true)
		f.Until(time.Minute, "all have it", func() bool { return b.has("m", 2) })
		checkOrders(is, b, loadLease)
		is.True(b.given()[len(b.given())-1].core != first)
		f.Net.PartitionGroups([]string{CoreIP(first)}, others, false)
		f.Net.PartitionGroups(others, []string{CoreIP(first)}, false)
	})
}

// A replica that does not answer holds up nobody: its reservation is taken back, so that it may serve, and it is looked at again later.
func TestSilentReplicaIsLeftForLater(t *testing.T) {
	t.Parallel()
	b := newBackends()
	b.add("pool", 6, "m")
	rollout(t, 223, b, pools(1, oneModel), func(is *is.I, f *Fleet, watcher *watch.Client) {
		b.change("pool-01", func(r *backend) { r.silent = true })
		f.nameVersion(0, "m", 2)
		f.Until(time.Minute, "the others have it", func() bool { return b.has("m", 2, "pool-01") })
		reserved, free := false, false
		stop := poll(func() {
			_, ok := reservations(watcher)["pool-01"]
			reserved, free = reserved || ok, free || !ok
		})
		time.Sleep(20 * time.Second)
		stop()
		is.True(reserved && free) // tried again, and let go again
		b.change("pool-01", func(r *backend) { r.silent = false })
		f.Until(20*time.Second, "it has it too", func() bool { return b.has("m", 2) })
	})
}

// A replica that goes while it is reserved takes its reservation with it; one that comes with an old version is loaded.
func TestReplicasThatGoAndComeDuringLoading(t *testing.T) {
	t.Parallel()
	b := newBackends()
	b.add("pool", 5, "m")
	rollout(t, 224, b, pools(1, oneModel), func(is *is.I, f *Fleet, watcher *watch.Client) {
		b.change("pool-01", func(r *backend) { r.silent = true })
		f.nameVersion(0, "m", 2)
		f.Until(10*time.Second, "it is marked", func() bool { _, ok := reservations(watcher)["pool-01"]; return ok })
		b.mu.Lock()
		delete(b.replicas, "pool-01")
		b.mu.Unlock()
		b.change("pool-02", func(r *backend) { r.State = "leaving" })
		f.Until(time.Minute, "the others have it", func() bool { return b.has("m", 2, "pool-02") })
		f.Until(10*time.Second, "no reservation is left", func() bool { return len(reservations(watcher)) == 0 })
		b.add("pool", 2, "m")
		f.Until(time.Minute, "the new ones have it", func() bool { return b.has("m", 2, "pool-02") })
	})
}

// A newer version is named while the one before is being loaded: all end with the newer one.
func TestNewerVersionNamedMeanwhile(t *testing.T) {
	t.Parallel()
	b := newBackends()
	b.add("pool", 10, "m")
	rollout(t, 225, b, pools(1, oneModel), func(is *is.I, f *Fleet, watcher *watch.Client) {
		f.nameVersion(0, "m", 2)
		f.Until(20*time.Second, "some are ordered", func() bool { return len(b.given()) >= 2 })
		f.nameVersion(1, "m", 5)
		f.Until(time.Minute, "all have the newer", func() bool { return b.has("m", 5) })
		f.Until(10*time.Second, "no reservation is left", func() bool { return len(reservations(watcher)) == 0 })
	})
}

// A version is named while the one before it is being loaded. The replicas that have neither come first: theirs is the version that may be
// used for the shortest time. A replica that has been told to load takes its reservation off with what it got, and serves with that until its turn
// comes again; it is not kept out for two loads on end.
func TestSecondVersionNamedSoonAfterTheFirst(t *testing.T) {
	t.Parallel()
	const size = 15
	b := newBackends()
	b.add("pool", size, "m")
	rollout(t, 226, b, pools(1, oneModel), func(is *is.I, f *Fleet, watcher *watch.Client) {
		var mu sync.Mutex
		open, updates := map[string]bool{}, map[string]bool{}
		twice := 0 // orders to a replica whose mark has stood since its last order
		stop := poll(func() {
			mu.Lock()
			defer mu.Unlock()
			open = map[string]bool{}
			for name := range reservations(watcher) {
				open[name] = true
			}
			for name := range updates {
				if !open[name] {
					delete(updates, name)
				}
			}
		})
		defer stop()
		b.onLoad = func(o ordered) {
			mu.Lock()
			defer mu.Unlock()
			if updates[o.replica] {
				twice++
			}
			updates[o.replica] = true
		}
		f.nameVersion(0, "m", 2)
		f.Until(20*time.Second, "half are ordered", func() bool { return len(b.given()) >= size/2 })
		f.nameVersion(1, "m", 3)
		before := len(b.given())
		f.Until(time.Minute, "all have the newer", func() bool { return b.has("m", 3) })
		f.Until(10*time.Second, "no reservation is left", func() bool { return len(reservations(watcher)) == 0 })
		is.Equal(twice, 0)
		seen, again := map[string]bool{}, 0
		for i, o := range byTime(b.given()) {
			if seen[o.replica] {
				again++
				is.Equal(len(seen), size) // nobody is told again before all were told once
			}
			seen[o.replica] = true
			if i < before {
				is.Equal(o.Version, uint64(2))
			}
		}
		t.Logf("ordered before the second version: %d, again after it: %d", before, again)
		is.Equal(again, before) // who came later skipped the version between
	})
}

// followVersions takes what three cores tell of the ages of versions, as an agent does.
func (f *Fleet) followVersions(ctx context.Context, named *atomic.Pointer[router.ModelVersions]) {
	for i := range 3 {
		follower := watch.NewClient(watch.ClientOptions{RPC: f.Wire, Address: At(CoreIP(i)), Path: "/core/pull", Wait: 100 * time.Millisecond,
			Request: func() watch.Request { return watch.Request{Name: "agent", Role: "agent"} },
			OnUpdate: func(_ *watch.Client, answer watch.Response) {
				for _, e := range answer.Updates {
					if e.Key == router.ModelVersionsKey {
						named.Load().Apply(e.Fields, e.AgesMs)
					}
				}
			}})
		go follower.Run(ctx)
	}
}

// The time of an old version that is over stays over when all cores and agents are killed, since a majority has recorded it; one that is not
// over counts from the first core's new start.
func TestEndOfAnOldVersionOutlastsARestartOfAll(t *testing.T) {
	t.Parallel()
	const limit = 5 * time.Second
	o := numberedOptions(226, 3)
	o.Core.OldVersionLimit = limit
	inNumbered(t, o, func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, "core-1 core-2 core-3")
		var named atomic.Pointer[router.ModelVersions]
		named.Store(&router.ModelVersions{})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		f.followVersions(ctx, &named)
		restart := func() {
			for i := range 3 {
				f.Kill(CoreIP(i))
			}
			named.Store(&router.ModelVersions{})
			for i := range 3 {
				f.StartCore(i)
			}
			time.Sleep(2 * time.Second)
		}
		age := func() time.Duration {
			since, ok := named.Load().Superseded("m", 1)
			is.True(ok)
			return time.Since(since)
		}
		f.nameVersion(0, "m", 2)
		time.Sleep(limit - time.Second)
		restart()
		is.True(age() < limit) // at its edge: not over before the restart
		time.Sleep(limit)
		is.True(age() >= limit)
		restart()
		is.True(age() >= limit)
		for version := range uint64(300) {
			f.nameVersion(0, "m", 3+version)
		}
		restart()
		is.True(age() >= limit)
		f.nameVersion(0, "m", 500)
		time.Sleep(time.Second)
	})
}

// All cores are killed while a version is being loaded. Since when it is named is known to nobody then, and it counts from the first core's
// new start: so the replicas that have the version before may be used while the loading goes on. A single core that starts anew adds nothing
// to what the others know.
func TestNamedVersionCountsFromTheStartOfAllCores(t *testing.T) {
	t.Parallel()
	b := newBackends()
	b.add("pool", 15, "m")
	rollout(t, 229, b, pools(1, oneModel), func(is *is.I, f *Fleet, _ *watch.Client) {
		var named atomic.Pointer[router.ModelVersions]
		named.Store(&router.ModelVersions{})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		f.followVersions(ctx, &named)
		age := func() time.Duration {
			since, ok := named.Load().Superseded("m", 1)
			is.True(ok)
			return time.Since(since).Round(time.Second)
		}
		f.nameVersion(0, "m", 2)
		time.Sleep(3 * time.Second)
		is.Equal(age(), 3*time.Second)
		f.Kill(CoreIP(0))
		time.Sleep(time.Second)
		f.StartCore(0)
		time.Sleep(time.Second)
		is.Equal(age(), 5*time.Second)
		for i := range 3 {
			f.Kill(CoreIP(i))
		}
		named.Store(&router.ModelVersions{}) // the agents are killed with them
		time.Sleep(time.Second)
		for i := range 3 {
			f.StartCore(i)
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Second)
		is.Equal(age(), 5*time.Second)
		f.Until(time.Minute, "all have it", func() bool { return b.has("m", 2) })
	})
}
