package sim

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
)

// cutReplicas cuts a proxy's machine from all replicas, or mends that.
func (f *Fleet) cutReplicas(proxy int, cut bool) {
	for i := range f.Options.Replicas {
		f.Net.PartitionGroups([]string{ProxyIP(proxy)}, []string{ReplicaIP(i)}, cut)
	}
}

// What the kernel has taken while a link was cut does not start work when the link is mended, seconds after the key was revoked, the
// replica was said to be leaving, or other weights were accepted.
func TestBytesTakenWhileALinkWasCutStartNoLateWork(t *testing.T) {
	t.Parallel()
	for n, c := range []struct {
		what  string
		rule  int
		later time.Duration
		order func(f *Fleet)
	}{
		{"key revoked", 5, 6 * time.Second, func(f *Fleet) {
			must(f.Order(0, "keys", controlplane.AccessKeyChange{Tenant: "a", Hash: config.HashKey("a-key"), Revoked: true}))
		}},
		{"all replicas leaving", 7, 4 * time.Second, func(f *Fleet) {
			for i := range f.Options.Replicas {
				must(f.Order(0, "replicas", controlplane.ReplicasChange{Text: fmt.Appendf(nil, `{"replicas":[{"name":%q,"state":"leaving"}]}`, ReplicaName(i))}))
			}
		}},
		{"weights accepted that no replica loads", 9, 22 * time.Second, func(f *Fleet) {
			for i := range f.Options.Replicas { // the cores cannot tell them
				f.Net.PartitionGroups([]string{CoreIP(0), CoreIP(1), CoreIP(2), CoreIP(3)}, []string{ReplicaIP(i)}, true)
			}
			must(f.merge(`{"pools":[{"name":"pool","weights":"w2"}]}`))
		}},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			inBubble(t, options(uint64(90+n)), func(is *is.I, f *Fleet) {
				f.Load(60, 30, callers, 90) // connections to every replica stand
				f.cutReplicas(0, true)
				var asking sync.WaitGroup
				asking.Go(func() {
					f.record(fake.Load, fake.LoadOptions{Callers: callers[:1], Count: 8, Rate: 100, Seed: 91, Prefix: "cut"})
				})
				time.Sleep(200 * time.Millisecond)
				c.order(f)
				time.Sleep(c.later)
				f.cutReplicas(0, false)
				time.Sleep(2 * time.Second)
				asking.Wait()
				noBreach(is, f)
				unknown := 0
				for _, a := range f.Ledgers.Asked {
					if a.Code == 220 || a.Code == 0 && a.Status == 0 {
						unknown++
					}
				}
				is.True(unknown > 0) // some were in the kernel, and nobody said "not run" of them
			})
		})
	}
}

// A dial that hangs is not a request that was sent: what was checked before it is checked anew when the connection is there.
func TestWhatHangsInTheDialIsCheckedWhenItIsWritten(t *testing.T) {
	t.Parallel()
	inBubble(t, options(93), func(is *is.I, f *Fleet) {
		time.Sleep(6 * time.Second) // no idle connection is left
		f.cutReplicas(0, true)
		var code, again string
		var asking sync.WaitGroup
		asking.Go(func() { _, code, _ = f.Ask(0, "a", "", chat("light")) })
		asking.Go(func() { _, again, _ = f.Ask(0, "b", "", chat("light")) })
		time.Sleep(100 * time.Millisecond)
		must(f.Order(0, "keys", controlplane.AccessKeyChange{Tenant: "a", Hash: config.HashKey("a-key"), Revoked: true}))
		time.Sleep(700 * time.Millisecond) // less than a dial may take
		f.cutReplicas(0, false)
		asking.Wait()
		is.Equal(code, "200")
		is.Equal(again, "")
		for _, r := range f.Ledgers.Runs {
			is.True(!r.HasRun || r.Tenant != "a")
		}
		noBreach(is, f)
	})
}

// A wall that goes up while a request waits is the wall that it is sent behind; a name given anew meets nothing of the tenant before it.
func TestWallsPutUpAndNamesGivenAnew(t *testing.T) {
	t.Parallel()
	inBubble(t, options(94), func(is *is.I, f *Fleet) {
		again := func(seed uint64) { f.Load(150, 30, callers, seed) }
		again(1)
		f.behave(fake.Behaviour{Tenant: "a", Refusing: true, RetryAfter: "6"})
		var waiting sync.WaitGroup
		waiting.Go(func() { again(2) })
		time.Sleep(time.Second)
		f.behave(fake.Behaviour{Tenant: "a"})
		must(f.merge(`{"tenants":[{"name":"a","walled":true}]}`))
		waiting.Wait()
		again(3)
		must(f.merge(`{"tenants":[{"name":"a","walled":false}]}`))
		again(4)
		must(f.merge(`{"remove":{"tenants":["b"]}}`))
		must(f.merge(`{"tenants":[{"name":"b","walled":true}]}`))
		time.Sleep(time.Second)
		_, code, _ := f.Ask(0, "b", "", chat("light"))
		is.Equal(code, "200") // the key was the former tenant's
		fresh := controlplane.AccessKeyChange{Tenant: "b", Hash: config.HashKey("b-key")}
		must(f.Order(1, "keys", fresh)) // … and may be granted to the new one
		time.Sleep(time.Second)
		before := len(f.Ledgers.Runs)
		again(5)
		hits := 0
		for _, r := range f.Ledgers.Runs[before:] {
			if r.Tenant == "b" && r.HasRun {
				hits += r.Hit
			}
		}
		is.True(hits > 0) // it has a cache of its own again
		noBreach(is, f, 8)
	})
}

// Wall clocks that jumped, to and fro, change no hold: a Retry-After date counts by the clock of the replica that sent it.
func TestJumpedClocksChangeNoHold(t *testing.T) {
	t.Parallel()
	for n, by := range []time.Duration{-24 * time.Hour, -time.Minute, time.Minute, 24 * time.Hour} {
		t.Run(by.String(), func(t *testing.T) {
			t.Parallel()
			inBubble(t, options(uint64(96+n)), func(is *is.I, f *Fleet) {
				f.JumpClock(ProxyIP(0), by)
				f.JumpClock(CoreIP(1), -by)
				f.behave(fake.Behaviour{Tenant: "a", Refusing: true, RetryIn: 5})
				go f.Ask(0, "a", "", chat("light"))
				time.Sleep(100 * time.Millisecond)
				f.behave(fake.Behaviour{Tenant: "a"})
				began := time.Now()
				status, _, _ := f.Ask(1, "a", "", chat("light"))
				is.Equal(status, 200)
				is.True(time.Since(began) > 3500*time.Millisecond && time.Since(began) < 7*time.Second)
				must(f.merge(`{"tenants":[{"name":"a","weight":3}]}`))
				noBreach(is, f)
			})
		})
	}
}

// A path that is led to another pool, or made not repeatable, while a request waits: the request goes by the path as it is when it is sent.
func TestPathMovedWhileWorkWaits(t *testing.T) {
	t.Parallel()
	inBubble(t, options(99), func(is *is.I, f *Fleet) {
		f.behave(fake.Behaviour{Tenant: "a", Refusing: true, RetryAfter: "5"})
		var waiting sync.WaitGroup
		waiting.Go(func() {
			status, code, _ := f.Ask(0, "a", "", chat("light"))
			is.Equal(status, 503)
			is.Equal(code, "213") // the pool that it is led to now has no replica
		})
		time.Sleep(time.Second)
		f.behave(fake.Behaviour{Tenant: "a"})
		must(f.merge(`{"pools":[{"name":"other","weights":"w1"}],"paths":[{"name":"light","pool":"other"}]}`))
		waiting.Wait()
		for _, r := range f.Ledgers.Runs {
			is.True(!r.HasRun)
		}
		must(f.merge(`{"remove":{"paths":["light"]}}`))
		time.Sleep(time.Second)
		_, code, _ := f.Ask(0, "a", "", chat("light"))
		is.Equal(code, "201")
		noBreach(is, f)
	})
}
