package sim

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/fake"
)

// replaceConfig replaces the configuration as a whole by the present one with a change made to it.
func (f *Fleet) replaceConfig(is *is.I, change func(text map[string]any)) {
	is.Helper()
	var text map[string]any
	is.NoErr(json.Unmarshal([]byte(f.Options.Config), &text))
	change(text)
	raw, err := json.Marshal(text)
	is.NoErr(err)
	_, err = f.Order(1, config.Key, controlplane.ConfigChange{Text: raw})
	is.NoErr(err)
}

// foreignHits counts the runs of a tenant since the first of the given number that used blocks made for another tenant.
func (f *Fleet) foreignHits(since int, tenant, maker string) (hits int) {
	for _, r := range f.Ledgers.Runs[since:] {
		if _, used := r.Met[maker]; used && r.Tenant == tenant && r.HasRun {
			hits++
		}
	}
	return hits
}

// A tenant that is not isolated leaves blocks with all replicas, and is then isolated. Guards against the other tenants using these blocks:
// after an amendment and a whole configuration, after all cores and proxies have started again, and when the tenant was removed in between.
func TestTenantThatBecomesIsolatedLeavesNothingToOthers(t *testing.T) {
	t.Parallel()
	isolated := json.RawMessage(`{"name":"a","walled":true}`)
	for n, c := range []struct {
		what    string
		isolate func(is *is.I, f *Fleet)
	}{
		{"amended", func(_ *is.I, f *Fleet) { must(f.merge(`{"tenants":[{"name":"a","walled":true}]}`)) }},
		{"replaced", func(is *is.I, f *Fleet) {
			f.replaceConfig(is, func(text map[string]any) {
				for _, t := range text["tenants"].([]any) {
					if tenant := t.(map[string]any); tenant["name"] == "a" {
						tenant["walled"] = true
					}
				}
			})
		}},
		{"restarted", func(_ *is.I, f *Fleet) {
			must(f.merge(`{"tenants":[{"name":"a","walled":true}]}`))
			for i := range f.Options.Cores {
				f.Kill(CoreIP(i))
			}
			for i := range f.Proxies {
				f.Kill(ProxyIP(i))
			}
			for i := range f.Options.Cores {
				f.StartCore(i)
			}
			for i := range f.Proxies {
				f.StartPair(i)
			}
			time.Sleep(10 * time.Second)
		}},
		{"removed in between", func(is *is.I, f *Fleet) {
			must(f.merge(`{"remove":{"tenants":["a"]}}`))
			must(f.merge(`{"tenants":[{"name":"d"}]}`))
			must(f.merge(`{"tenants":[` + string(isolated) + `]}`))
			must(f.Order(1, "keys", controlplane.AccessKeyChange{Tenant: "a", Hash: config.HashKey("a-new")}))
		}},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			inBubble(t, options(uint64(9400+n)), func(is *is.I, f *Fleet) {
				f.Load(150, 30, callers, 1)
				is.True(f.foreignHits(0, "c", "a") > 0) // both may share so far
				c.isolate(is, f)
				time.Sleep(5 * time.Second)
				before := len(f.Ledgers.Runs)
				f.Load(150, 30, callers[1:], 2)
				is.Equal(f.foreignHits(before, "c", "a"), 0)
				is.True(f.foreignHits(before, "c", "c") > 0) // it caches for itself again
				noBreach(is, f, 8)
			})
		})
	}
}

// A tenant that is isolated from its beginning has nothing in the shared cache. Guards against a new scope, and so a new read of every
// prefix, that nothing asked for.
func TestNewIsolatedTenantCostsOthersNoCache(t *testing.T) {
	t.Parallel()
	inBubble(t, options(9410), func(is *is.I, f *Fleet) {
		f.Load(150, 30, callers, 1)
		scopes := map[string]bool{}
		for _, r := range f.Ledgers.Runs {
			if (r.Tenant == "a" || r.Tenant == "c") && r.Size > 0 {
				scopes[r.Domain] = true
			}
		}
		is.Equal(len(scopes), 1)
		must(f.merge(`{"tenants":[{"name":"new","walled":true}]}`))
		must(f.merge(`{"remove":{"tenants":["b"]}}`)) // an isolated one
		time.Sleep(5 * time.Second)
		before := len(f.Ledgers.Runs)
		f.Load(150, 30, []fake.Client{callers[0], callers[2]}, 2)
		for _, r := range f.Ledgers.Runs[before:] {
			is.True(r.Size == 0 || scopes[r.Domain]) // a request for a page has no prompt
		}
	})
}
