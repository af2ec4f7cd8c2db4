package sim

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"asterridge/fake"
	"asterridge/router"
)

const plan = `{"tenants":[{"name":"a","backlog":500},{"name":"b","walled":true},{"name":"c"}],
 "pools":[{"name":"pool","weights":"w1"},{"name":"web","kind":"web"}],
 "paths":[{"name":"pages","address":"/web/","pool":"web"},
  {"name":"light","address":"/v1/chat/completions","model":"light","pool":"pool"},
  {"name":"middle","address":"/v1/chat/completions","model":"middle","pool":"pool","cost":2},
  {"name":"heavy","address":"/v1/chat/completions","model":"heavy","pool":"pool","cost":4}]}`

var callers = []fake.Client{{Tenant: "a", Access: "a-key", Weight: 2}, {Tenant: "b", Access: "b-key", Weight: 1}, {Tenant: "c", Access: "c-key", Weight: 1}}

func options(seed uint64) FleetOptions {
	return FleetOptions{Cores: 4, Proxies: 3, Replicas: 4, Seed: seed, Config: plan, Tenants: []string{"a", "b", "c"}, Log: zerolog.Nop(), ClaimRetention: time.Hour,
		Replica: fake.ReplicaOptions{Kind: "model", Weights: "w1", Limit: 12, Rate: 100, ChunkMs: 5, LoadMs: 1000, WarmMs: 500, Blocks: 2000, Link: 400}}
}

// inBubble runs a whole fleet in fake time.
func inBubble(t *testing.T, o FleetOptions, play func(is *is.I, f *Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := NewFleet(o)
		defer f.Stop()
		f.Configure()
		play(is.New(t), f)
	})
}

// noBreach wants zero of every rule, and that each of the named rules had something to judge.
func noBreach(is *is.I, f *Fleet, judged ...int) {
	is.Helper()
	for _, finding := range f.Check() {
		if finding.Count > 0 || finding.Seen == 0 && slices.Contains(judged, finding.Rule) {
			is.Equal(finding, fake.Finding{Rule: finding.Rule, Name: finding.Name})
		}
	}
}

func whole(all []fake.Exchange) int {
	n := 0
	for _, a := range all {
		if a.Status == 200 && a.Ended {
			n++
		}
	}
	return n
}

func TestOrdinaryTrafficIsServedWhole(t *testing.T) {
	t.Parallel()
	inBubble(t, options(1), func(is *is.I, f *Fleet) {
		all := f.Load(300, 30, callers, 1)
		is.Equal(whole(all), 300)
		noBreach(is, f)
	})
}

func TestOneThrottledTenantIsHeldByEveryProxy(t *testing.T) {
	t.Parallel()
	inBubble(t, options(2), func(is *is.I, f *Fleet) {
		for _, r := range f.Replicas {
			r.Behave(fake.Behaviour{Tenant: "a", Refusing: true, RetryAfter: "3"})
		}
		go f.Ask(0, "a", "", chat("light"))
		spread := f.Until(time.Second, "every proxy holds a", func() bool { return f.holding("a") == 3 })
		is.True(spread < 100*time.Millisecond)
		for _, r := range f.Replicas {
			r.Behave(fake.Behaviour{Tenant: "a"})
		}
		began := time.Now()
		status, _, _ := f.Ask(1, "a", "", chat("light"))
		is.Equal(status, 200)
		is.True(time.Since(began) > 2500*time.Millisecond) // it waited for the common moment
		status, _, _ = f.Ask(2, "b", "", chat("light"))
		is.Equal(status, 200)
		noBreach(is, f)
	})
}

func chat(kind string) string {
	return `{"model":"` + kind + `","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"where does the track begin"}]}`
}

// holding counts the proxies that hold a scope.
func (f *Fleet) holding(scope string) int {
	n := 0
	for _, p := range f.Proxies {
		rows, _ := p.Router.Rows(context.Background(), router.Query{What: "holds"})
		for _, row := range rows {
			if row["scope"] == scope {
				n++
			}
		}
	}
	return n
}
