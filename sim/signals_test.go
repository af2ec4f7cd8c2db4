package sim

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/router"
	"asterridge/standin"
)

// sum adds up a count over all proxies.
func (f *Fleet) sum(name string) (n int64) {
	for _, p := range f.Proxies {
		rows, _ := p.Router.Rows(context.Background(), router.Query{What: "counts"})
		if has, isThere := rows[0][name].(int64); isThere {
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
		conduct standin.Behaviour
		replica string // "" for all
		held    []string
		free    []string
	}{
		{"nothing is wrong", standin.Behaviour{Tenant: "nobody"}, "", nil, []string{"a", "b", "c"}},
		{"one tenant is refused by name", standin.Behaviour{Tenant: "a", IsRefusing: true}, "", []string{"a"}, []string{"b", "c"}},
		{"one tenant is refused without a ground", standin.Behaviour{Tenant: "a", IsRefusing: true, IsUnnamed: true}, "", []string{"a"}, []string{"b", "c"}},
		{"one tenant is slowed", standin.Behaviour{Tenant: "a", SlowMs: 1500}, "", []string{"a"}, []string{"b", "c"}},
		{"one replica refuses everyone", standin.Behaviour{IsRefusing: true}, "pool-2", nil, []string{"a", "b", "c"}},
		{"every replica is slow for everyone", standin.Behaviour{SlowMs: 1500}, "", nil, []string{"a", "b", "c"}},
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
