package sim

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/rendezvous"
	"asterridge/router"
	"asterridge/watch"
)

// listing runs a fleet with four cores that follow a platform's list, and gives the core that asks for it and a watcher at another one.
func listing(t *testing.T, seed uint64, play func(is *is.I, f *Fleet, b *backends, reader, other int, watcher *watch.Client)) {
	t.Helper()
	b := newBackends()
	b.add("pool", 3, "m")
	o := b.options(seed)
	o.Cores = 4
	inNumbered(t, o, func(is *is.I, f *Fleet) {
		f.untilMembership(10*time.Second, allFour)
		f.declare(0, pools(1, oneModel))
		reader, other := ownerOf(config.ReplicasKey)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		watcher := f.follow(ctx, At(CoreIP(other)), "/core/pull")
		f.Until(5*time.Second, "three replicas are known", func() bool { return len(watcher.Read(config.ReplicasKey).Fields) == 3 })
		play(is, f, b, reader, other, watcher)
	})
}

// A core that is cut off from the other cores for twenty seconds asks the platform for nothing; another one goes on within seconds.
func TestCutOffCoreAsksThePlatformForNothing(t *testing.T) {
	t.Parallel()
	for at, cut := range [][2]bool{{true, true}, {true, false}, {false, true}} { // sending, receiving
		listing(t, uint64(740+at), func(is *is.I, f *Fleet, b *backends, reader, other int, watcher *watch.Client) {
			f.isolate(reader, cut[0], cut[1], true)
			time.Sleep(3 * time.Second) // it may not know yet
			asked := b.lists(reader)
			b.add("pool", 1, "m")
			f.Until(3*time.Second, "another core lists", func() bool { return len(watcher.Read(config.ReplicasKey).Fields) == 4 })
			time.Sleep(longCut)
			is.Equal(b.lists(reader), asked)
			f.isolate(reader, true, true, false)
			b.add("pool", 1, "m")
			f.Until(4*time.Second, "all is as before", func() bool {
				return len(watcher.Read(config.ReplicasKey).Fields) == 5 && b.lists(reader) > asked
			})
		})
	}
}

// A core that hears the other cores but not the platform has another one ask for the list, and asks by itself again later.
func TestListIsFollowedByAnotherCoreWhereThePlatformDoesNotAnswer(t *testing.T) {
	t.Parallel()
	listing(t, 745, func(is *is.I, f *Fleet, b *backends, reader, other int, watcher *watch.Client) {
		isDown := func(cores ...int) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.onList = func(core int) error {
				for _, down := range cores {
					if core == down {
						return errors.New("no answer")
					}
				}
				return nil
			}
		}
		isDown(reader)
		for known := 4; known < 10; known++ { // twenty seconds and more
			b.add("pool", 1, "m")
			f.Until(4*time.Second, "another core lists", func() bool { return len(watcher.Read(config.ReplicasKey).Fields) == known })
			time.Sleep(3 * time.Second)
		}
		isDown(reader, other)
		b.add("pool", 1, "m")
		f.Until(10*time.Second, "the next one lists", func() bool { return len(watcher.Read(config.ReplicasKey).Fields) == 10 })
		isDown()
		time.Sleep(6 * time.Second)
		before := b.lists((reader+1)%4) + b.lists((reader+2)%4) + b.lists((reader+3)%4)
		time.Sleep(5 * time.Second)
		is.Equal(b.lists((reader+1)%4)+b.lists((reader+2)%4)+b.lists((reader+3)%4), before) // one core alone asks
	})
}

// A core is frozen for twenty seconds with the platform's list in its hands: on waking it does not write that list over a newer one.
func TestListOfAFrozenCoreIsVoid(t *testing.T) {
	t.Parallel()
	listing(t, 746, func(is *is.I, f *Fleet, b *backends, reader, other int, watcher *watch.Client) {
		held, release := make(chan struct{}, 1), make(chan struct{})
		b.mu.Lock()
		b.onListed = func(core int) {
			if core == reader && len(held) == 0 {
				held <- struct{}{}
				<-release
				return
			}
			time.Sleep(500 * time.Millisecond) // the platform takes its time
		}
		b.mu.Unlock()
		b.change("pool-01", func(r *backend) { r.Zone = "zone-2" }) // the list that is held differs from what is known
		f.Until(3*time.Second, "the list is held", func() bool { return len(held) == 1 })
		b.add("pool", 1, "m")
		listed, err := view{b, other}.List(context.Background())
		is.NoErr(err)
		var updates []string
		for _, r := range listed { // another core has written the list meanwhile
			updates = append(updates, `{"name":"`+r.Name+`","address":"`+r.Address+`","pool":"pool","zone":"`+r.Zone+`","limit":`+strconv.Itoa(r.Limit)+`,"state":"present"}`)
		}
		_, err = f.Order(other, "replicas", controlplane.ReplicasChange{Text: []byte(`{"replicas":[` + strings.Join(updates, ",") + `]}`)})
		is.NoErr(err)
		lost := false
		f.Until(3*time.Second, "it is known", func() bool { return len(watcher.Read(config.ReplicasKey).Fields) == 4 })
		stop := poll(func() { lost = lost || len(watcher.Read(config.ReplicasKey).Fields) < 4 })
		time.Sleep(longCut)
		close(release)
		time.Sleep(5 * time.Second)
		stop()
		is.True(!lost)
	})
}

// The news of kept prompts: a core that is cut off from the other cores reads on what it has read, since agents may hear it as before, and
// nothing else; the others read that too. Nothing is missed, and each source has one reader again afterwards.
func TestCutOffCoreReadsOnWhatItHasRead(t *testing.T) {
	t.Parallel()
	keeping(t, 747, func(is *is.I, f *Fleet, b *backends, agents []*watch.Client) {
		untilKept(f, agents, 5*time.Second, theStore, map[string]int{"d/s": 100})
		cores := []string{"core-1", "core-2", "core-3"}
		readerOf := func(source string) int {
			number, err := strconv.Atoi(strings.TrimPrefix(rendezvous.Pick(router.CachedPrefix+source, cores), "core-"))
			is.NoErr(err)
			return number - 1
		}
		core := readerOf(theStore)
		f.isolate(core, true, true, true)
		time.Sleep(4 * time.Second)
		before := map[string]map[int]int{}
		for address := range b.sources {
			before[address] = b.readTimes(address)
		}
		for at := range 5 {
			b.keep(storeAt, 7, map[string]int{"d/t": 50 + at})
			untilKept(f, agents, 4*time.Second, theStore, map[string]int{"d/t": 50 + at})
			time.Sleep(longCut / 5)
		}
		for name, r := range b.replicas {
			reading := b.readTimes(r.Address)[core] > before[r.Address][core]
			is.Equal(reading, readerOf(name) == core)
		}
		f.isolate(core, true, true, false)
		time.Sleep(4 * time.Second)
		for address := range b.sources {
			before[address] = b.readTimes(address)
		}
		b.keep(storeAt, 7, map[string]int{"d/u": 60})
		untilKept(f, agents, 5*time.Second, theStore, map[string]int{"d/u": 60})
		time.Sleep(3 * time.Second)
		for address := range b.sources {
			_, err := b.reader(address, before[address])
			is.NoErr(err)
		}
	})
}

// The holder of the loading duty is frozen for twenty seconds with a replica's answer in its hands, while another one goes on to the next
// version: on waking it writes no mark over that one's.
func TestMarksOfAFrozenHolderAreVoid(t *testing.T) {
	t.Parallel()
	listing(t, 748, func(is *is.I, f *Fleet, b *backends, _, _ int, _ *watch.Client) {
		held, release := make(chan int, 1), make(chan struct{})
		var isHeld atomic.Bool
		b.mu.Lock()
		b.onVersions = func(core int, models map[string]uint64) {
			if models["m"] == 2 && isHeld.CompareAndSwap(false, true) { // it is about to write that this one is done
				held <- core
				<-release
			}
		}
		b.mu.Unlock()
		f.nameVersion(0, "m", 2)
		holder := <-held
		f.Net.Freeze(CoreIP(holder), true)
		f.nameVersion((holder+1)%4, "m", 3)
		ctx, end := context.WithCancel(context.Background())
		defer end()
		watcher := f.follow(ctx, At(CoreIP((holder+1)%4)), "/core/pull")
		highest, back := map[string]uint64{}, false
		stop := poll(func() {
			all, _, _ := config.ParseLoads(watcher.Read(config.LoadsKey).Fields)
			for name, o := range all {
				back = back || o.Version < highest[name]
				highest[name] = max(highest[name], o.Version)
			}
		})
		f.Until(2*longCut, "another holder loads", func() bool { return b.has("m", 3) })
		time.Sleep(5 * time.Second)
		f.Net.Freeze(CoreIP(holder), false)
		time.Sleep(time.Second) // its connections are back before it goes on
		close(release)
		time.Sleep(5 * time.Second)
		stop()
		is.True(!back)
	})
}
