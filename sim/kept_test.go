package sim

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/inflight"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/watch"
)

const storeAt = "10.0.3.1:9"

// keeping has a fleet with three replicas and a store whose news are read, and a watcher at each machine's agent.
func keeping(t *testing.T, seed uint64, play func(is *is.I, f *Fleet, b *backends, agents []*watch.Client)) {
	t.Helper()
	b := newBackends()
	b.add("pool", 3, "m")
	o := b.options(seed)
	o.Proxies = 2
	inNumbered(t, o, func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, "core-1 core-2 core-3")
		for name, r := range b.replicas {
			b.keep(r.Address, 7, map[string]int{"d/" + name: 100})
		}
		b.keep(storeAt, 7, map[string]int{"d/s": 100})
		f.declare(0, pools(1, config.Pool{Name: "pool", Kind: "model", Models: []string{"m"}, MaxReaders: 3},
			config.Pool{Name: "st", Kind: "store", Address: storeAt, MaxReaders: 3}))
		f.nameShared("d/s", "d/t", "d/u", "d/new", "e/t")
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		var agents []*watch.Client
		for i := range f.Proxies {
			agents = append(agents, f.follow(ctx, ProxyIP(i)+":7001", "/agent/pull"))
		}
		play(is, f, b, agents)
	})
}

// nameShared tells one core, as a proxy does, that prompts share these blocks.
func (f *Fleet) nameShared(blocks ...string) {
	must(rpc.Call[inflight.Response](context.Background(), f.Wire, At(CoreIP(0)), "/core/place", inflight.Request{Proxy: "p", Run: "1", Number: 1, Shared: blocks}))
}

// untilKept waits until all agents pass on just this of a source.
func untilKept(f *Fleet, agents []*watch.Client, limit time.Duration, source string, want map[string]int) time.Duration {
	last := ""
	defer func() {
		if failure := recover(); failure != nil {
			panic(fmt.Sprintf("%v; last: %s", failure, last))
		}
	}()
	return f.Until(limit, fmt.Sprint(source, " keeps ", want), func() bool {
		for _, agent := range agents {
			remaining, up := keptAt(agent, source)
			if last = fmt.Sprint(remaining, up); up != (want != nil) || !maps.Equal(remaining, want) {
				return false
			}
		}
		return true
	})
}

var theStore = router.StoreName("st")

// reader gives the one core that has read a source since; more, or none, is an error.
func (b *backends) reader(address string, since map[int]int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reader, err := -1, error(nil)
	for core, times := range b.sources[address].readTimes {
		if times > since[core] && reader >= 0 {
			err = fmt.Errorf("cores %d and %d read %s", reader+1, core+1, address)
		}
		if times > since[core] {
			reader = core
		}
	}
	if reader < 0 {
		err = fmt.Errorf("nobody reads %s", address)
	}
	return reader, err
}

func (b *backends) readTimes(address string) map[int]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.sources[address].readTimes)
}

// Each source has one reader, whose news every agent passes on: what is there, what comes and goes, and all anew after a restart.
func TestOneReaderForEachSource(t *testing.T) {
	t.Parallel()
	keeping(t, 230, func(is *is.I, f *Fleet, b *backends, agents []*watch.Client) {
		untilKept(f, agents, 5*time.Second, theStore, map[string]int{"d/s": 100})
		for name := range b.replicas {
			untilKept(f, agents, 5*time.Second, name, map[string]int{"d/" + name: 100})
		}
		before := map[string]map[int]int{}
		for address := range b.sources {
			before[address] = b.readTimes(address)
		}
		took := time.Duration(0)
		for n := range 5 {
			b.keep(storeAt, 7, map[string]int{"d/t": 50 + n, "e/t": 8})
			took = max(took, untilKept(f, agents, 2*time.Second, theStore, map[string]int{"d/t": 50 + n, "e/t": 8}))
		}
		t.Logf("news take %v", took)
		is.True(took < time.Second)
		time.Sleep(10 * time.Second)
		for address, s := range b.sources {
			_, err := b.reader(address, before[address])
			is.NoErr(err)
			is.Equal(s.most, 1)
		}
	})
}

// Of what replicas and a store cache, agents are told of the blocks that prompts share: at once if a proxy has named them before, else when
// one does, whichever core that asks and whichever reads the source.
func TestOnlySharedBlocksAreToldOf(t *testing.T) {
	t.Parallel()
	keeping(t, 235, func(is *is.I, f *Fleet, b *backends, agents []*watch.Client) {
		time.Sleep(25 * time.Second) // the cores have just started, and publish everything
		sources := map[string]string{theStore: storeAt}
		for name, r := range b.replicas {
			sources[name] = r.Address
		}
		for _, address := range sources {
			b.keep(address, 7, map[string]int{"d/s": 100})
		}
		for source := range sources {
			untilKept(f, agents, 5*time.Second, source, map[string]int{"d/s": 100})
		}
		for _, address := range sources {
			b.keep(address, 7, map[string]int{"d/s": 100, "d/t": 30, "d/later": 20, "d/own": 10})
		}
		for source := range sources {
			untilKept(f, agents, 2*time.Second, source, map[string]int{"d/s": 100, "d/t": 30})
		}
		time.Sleep(3 * time.Second)
		for source := range sources {
			untilKept(f, agents, time.Second, source, map[string]int{"d/s": 100, "d/t": 30})
		}
		f.nameShared("d/later")
		for source := range sources {
			untilKept(f, agents, 2*time.Second, source, map[string]int{"d/s": 100, "d/t": 30, "d/later": 20})
		}
		for _, address := range sources {
			b.keep(address, 7, map[string]int{"d/t": 30, "d/own": 10})
		}
		for source := range sources {
			untilKept(f, agents, 2*time.Second, source, map[string]int{"d/t": 30})
		}
	})
}

// A store that is gone is passed on as gone, so that nobody fetches from it or fills it; when it is back, it is up again with what it
// keeps now, whether it was only out of reach or has started anew. One failure alone is no end.
func TestStoreGoesAndComesBack(t *testing.T) {
	t.Parallel()
	keeping(t, 232, func(is *is.I, f *Fleet, b *backends, agents []*watch.Client) {
		untilKept(f, agents, 5*time.Second, theStore, map[string]int{"d/s": 100})
		b.silence(storeAt, true)
		took := untilKept(f, agents, 4*time.Second, theStore, nil)
		t.Logf("gone within %v", took)
		time.Sleep(10 * time.Second)
		b.silence(storeAt, false) // it was only out of reach
		untilKept(f, agents, 4*time.Second, theStore, map[string]int{"d/s": 100})
		b.keep(storeAt, 8, map[string]int{"d/t": 6}) // it has started anew in between two calls: the rest is gone
		untilKept(f, agents, 4*time.Second, theStore, map[string]int{"d/t": 6})
		b.keep(storeAt, 8, map[string]int{})
		untilKept(f, agents, 4*time.Second, theStore, map[string]int{})
		time.Sleep(600 * time.Millisecond) // a call is held there
		stop := poll(func() {
			for _, agent := range agents {
				_, up := keptAt(agent, theStore)
				is.True(up)
			}
		})
		b.silence(storeAt, true)
		time.Sleep(100 * time.Millisecond)
		b.silence(storeAt, false)
		b.keep(storeAt, 8, map[string]int{"d/t": 7})
		untilKept(f, agents, 4*time.Second, theStore, map[string]int{"d/t": 7})
		stop()
	})
}

// A replica that leaves, and a pool whose news may not be read, have no readers any more.
func TestNobodyReadsWhoLeaves(t *testing.T) {
	t.Parallel()
	keeping(t, 233, func(is *is.I, f *Fleet, b *backends, agents []*watch.Client) {
		untilKept(f, agents, 5*time.Second, "pool-01", map[string]int{"d/pool-01": 100})
		b.change("pool-01", func(r *backend) { r.State = "leaving" })
		f.declare(0, pools(2, config.Pool{Name: "pool", Kind: "model", Models: []string{"m"}, MaxReaders: 3}, config.Pool{Name: "st", Kind: "store", Address: storeAt}))
		time.Sleep(5 * time.Second)
		one, two, store := b.readTimes("10.0.2.1:80"), b.readTimes("10.0.2.2:80"), b.readTimes(storeAt)
		time.Sleep(5 * time.Second)
		is.Equal(b.readTimes("10.0.2.1:80"), one)
		is.Equal(b.readTimes(storeAt), store)
		_, err := b.reader("10.0.2.2:80", two)
		is.NoErr(err)
	})
}
