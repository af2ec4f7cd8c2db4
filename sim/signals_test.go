package sim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/fake"
	"asterridge/router"
)

// sum adds up a count over all proxies.
func (f *Fleet) sum(name string) (n int64) {
	for _, p := range f.Proxies {
		rows, _ := p.Router.Rows(context.Background(), router.Query{What: "counts"})
		if has, ok := rows[0][name].(int64); ok {
			n += has
		}
	}
	return n
}

// What is slow or refuses for everyone is the replica's matter; what does so for one tenant holds that tenant and no other.
func TestSignalsHoldTheThrottledTenantAlone(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		conduct fake.Behaviour
		replica string // "" for all
		held    []string
		free    []string
	}{
		{"nothing is wrong", fake.Behaviour{Tenant: "nobody"}, "", nil, []string{"a", "b", "c"}},
		{"one tenant is refused by name", fake.Behaviour{Tenant: "a", Refusing: true}, "", []string{"a"}, []string{"b", "c"}},
		{"one tenant is refused without a ground", fake.Behaviour{Tenant: "a", Refusing: true, Unnamed: true}, "", []string{"a"}, []string{"b", "c"}},
		{"one tenant is slowed", fake.Behaviour{Tenant: "a", SlowMs: 1500}, "", []string{"a"}, []string{"b", "c"}},
		{"one replica refuses everyone", fake.Behaviour{Refusing: true}, "pool-2", nil, []string{"a", "b", "c"}},
		{"every replica is slow for everyone", fake.Behaviour{SlowMs: 1500}, "", nil, []string{"a", "b", "c"}},
	}
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			inBubble(t, options(uint64(40+n)), func(is *is.I, f *Fleet) {
				met := map[string]bool{}
				f.during(700, 40, uint64(40+n), func() {
					time.Sleep(6 * time.Second) // the baseline
					for name, r := range f.Replicas {
						if c.replica == "" || c.replica == name {
							r.Behave(c.conduct)
						}
					}
					for range 800 {
						time.Sleep(10 * time.Millisecond)
						for _, tenant := range f.Options.Tenants {
							if f.holding(tenant) > 0 {
								met[tenant] = true
							}
						}
					}
				})
				for _, tenant := range c.held {
					is.True(met[tenant])
				}
				for _, tenant := range c.free {
					is.True(!met[tenant])
				}
				noBreach(is, f)
			})
		})
	}
}

// Refusals that name no ground: whoever is refused by replicas that serve others, or by all that it meets, is held; who meets a sick
// replica is not, at ordinary and at low traffic, and also if it is alone.
func TestUnnamedRefusalsHoldWhomTheyMean(t *testing.T) {
	t.Parallel()
	alone := []fake.Client{{Tenant: "a", Access: "a-key", Weight: 1}}
	refusing := fake.Behaviour{Refusing: true, Unnamed: true}
	one := fake.Behaviour{Tenant: "a", Refusing: true, Unnamed: true}
	cases := []struct {
		name    string
		callers []fake.Client
		conduct fake.Behaviour
		sick    int // how many replicas behave so; 0: all
		held    []string
		free    []string
	}{
		{"alone and throttled", alone, one, 0, []string{"a"}, []string{"b", "c"}},
		{"one of several", callers, one, 0, []string{"a"}, []string{"b", "c"}},
		{"all throttled", callers, refusing, 0, []string{"a", "b", "c"}, nil},
		{"one sick replica", callers, refusing, 1, nil, []string{"a", "b", "c"}},
		{"two sick replicas", callers, refusing, 2, nil, []string{"a", "b", "c"}},
		{"alone and one sick replica", alone, refusing, 1, nil, []string{"a", "b", "c"}},
		{"a cold cache", callers, fake.Behaviour{Emptied: true}, 0, nil, []string{"a", "b", "c"}},
	}
	for n, c := range cases {
		for _, rate := range []float64{40, 4} {
			t.Run(fmt.Sprintf("%s, %.0f requests a second", c.name, rate), func(t *testing.T) {
				t.Parallel()
				inBubble(t, options(uint64(500+n)), func(is *is.I, f *Fleet) {
					held := map[string]int{}
					var load sync.WaitGroup
					load.Go(func() { f.Load(int(rate*14), rate, c.callers, uint64(500+n)) })
					time.Sleep(5 * time.Second)
					i := 0
					for _, r := range f.Replicas {
						if i++; c.sick == 0 || i <= c.sick {
							r.Behave(c.conduct)
						}
					}
					for range 800 {
						time.Sleep(10 * time.Millisecond)
						for _, tenant := range f.Options.Tenants {
							if f.holding(tenant) > 0 {
								held[tenant]++
							}
						}
					}
					f.behave(fake.Behaviour{Tenant: c.conduct.Tenant})
					load.Wait()
					t.Logf("held of 8 s: a %d0 ms, b %d0 ms, c %d0 ms; refusals %d, retries %d; %s", held["a"], held["b"], held["c"],
						f.sum("refusals"), f.sum("second_shots"), fake.Summary(f.Ledgers.Asked))
					for _, tenant := range c.held {
						is.True(held[tenant] > 50 || rate < 10 && held[tenant] > 10) // at a request a second a proxy needs seconds to see two
					}
					for _, tenant := range c.free {
						if c.sick > 1 && rate < 10 {
							is.True(held[tenant] <= 100) // half the pool is sick, and proxies see a request a second: a first step of backoff may pass
						} else {
							is.Equal(held[tenant], 0)
						}
					}
					noBreach(is, f)
				})
			})
		}
	}
}
