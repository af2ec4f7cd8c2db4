package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"asterridge/register"
)

// cacheFleet is a test register with tenants; the names of isolated ones have a "!" behind them.
type cacheFleet struct {
	*testRegister
	is *is.I
}

func newCacheFleet(t *testing.T) cacheFleet {
	return cacheFleet{&testRegister{fields: register.Fields{}}, is.New(t)}
}

// tenantItems returns the items of tenants with the given names.
func tenantItems(names []string) register.Fields {
	items := register.Fields{}
	for _, name := range names {
		plain := strings.TrimSuffix(name, "!")
		items.Apply(Field("tenant/"+plain, Tenant{Name: plain, Isolated: plain != name, Weight: 1}))
	}
	return items
}

// numbered applies a numbered configuration with tenants of the given names.
func (f cacheFleet) numbered(full bool, names, removed []string) {
	f.is.Helper()
	number := f.number() + 1
	d := NumberedConfig{Number: number, BasedOn: number - 1, Full: full, Digest: fmt.Sprint(number), Items: tenantItems(names)}
	for _, name := range removed {
		d.Removed = append(d.Removed, "tenant/"+name)
	}
	_, err := f.apply(d)
	f.is.NoErr(err)
}

func (f cacheFleet) replace(names ...string) { f.is.Helper(); f.numbered(true, names, nil) }
func (f cacheFleet) amend(names ...string)   { f.is.Helper(); f.numbered(false, names, nil) }
func (f cacheFleet) remove(names ...string)  { f.is.Helper(); f.numbered(false, nil, names) }

// writeByEarlierBuild applies a change and drops what an earlier build drops when it writes the configuration.
func (f cacheFleet) writeByEarlierBuild(full bool, names, removed []string) {
	f.is.Helper()
	recorded := f.fields[sharedCacheField]
	f.numbered(full, names, removed)
	delete(f.fields, sharedCacheField)
	if !full && recorded != nil {
		f.fields[sharedCacheField] = recorded
	}
	for field, raw := range f.fields {
		var t Tenant
		if strings.HasPrefix(field, "tenant/") && json.Unmarshal(raw, &t) == nil {
			t.CacheTracked = false
			f.fields.Apply(Field(field, t))
		}
	}
}

// scopes returns the cache scopes of the configuration by tenant; "" is the scope of requests without a tenant.
func (f cacheFleet) scopes() map[string]string {
	c := f.config(f.is)
	scopes := map[string]string{"": c.SharedCacheScope()}
	for name, t := range c.Tenants {
		scopes[name] = c.SharedCacheScope()
		if t.Isolated {
			scopes[name] = t.IsolatedCacheScope()
		}
	}
	return scopes
}

// checkScopes plays a step and checks that no isolated tenant has a scope which another tenant of the same name or any other used before, or
// uses now. used has, by scope, the tenants that have used it.
func (f cacheFleet) checkScopes(used map[string]map[string]bool, step func()) {
	f.is.Helper()
	step()
	isolated := map[string]bool{}
	for name, t := range f.config(f.is).Tenants {
		isolated[name] = t.Isolated
	}
	scopes := f.scopes()
	for name, scope := range scopes {
		if used[scope] == nil {
			used[scope] = map[string]bool{}
		}
		used[scope][name] = true
	}
	for name, scope := range scopes {
		for maker := range used[scope] {
			f.is.True(maker == name || !isolated[maker] && !isolated[name]) // one of the two is isolated
		}
	}
}

// A tenant that becomes isolated has left prefixes in the shared cache. Guards against other tenants using them, whichever way it came to be
// isolated, and against builds that know nothing of that having written the configuration in between.
func TestNobodyUsesWhatATenantMadeBeforeItWasIsolated(t *testing.T) {
	for what, steps := range map[string][]func(f cacheFleet){
		"amended":          {func(f cacheFleet) { f.replace("a", "b") }, func(f cacheFleet) { f.amend("a!") }},
		"replaced":         {func(f cacheFleet) { f.replace("a", "b") }, func(f cacheFleet) { f.replace("a!", "b") }},
		"again":            {func(f cacheFleet) { f.replace("a", "b") }, func(f cacheFleet) { f.amend("a!") }, func(f cacheFleet) { f.amend("a") }, func(f cacheFleet) { f.amend("a!") }},
		"one by one":       {func(f cacheFleet) { f.replace("a", "b", "c") }, func(f cacheFleet) { f.amend("a!") }, func(f cacheFleet) { f.amend("b!") }},
		"removed before":   {func(f cacheFleet) { f.replace("a", "b") }, func(f cacheFleet) { f.remove("a") }, func(f cacheFleet) { f.amend("c") }, func(f cacheFleet) { f.amend("a!") }},
		"left out before":  {func(f cacheFleet) { f.replace("a", "b") }, func(f cacheFleet) { f.replace("b") }, func(f cacheFleet) { f.replace("a!", "b") }},
		"all removed":      {func(f cacheFleet) { f.replace("a") }, func(f cacheFleet) { f.remove("a") }, func(f cacheFleet) { f.amend("a!", "b") }},
		"unknown build":    {func(f cacheFleet) { f.replace("a", "b") }, func(f cacheFleet) { f.writeByEarlierBuild(false, []string{"a!"}, nil) }, func(f cacheFleet) { f.amend("c") }},
		"stored":           {func(f cacheFleet) { f.writeByEarlierBuild(true, []string{"a", "b"}, nil) }, func(f cacheFleet) { f.writeByEarlierBuild(false, []string{"a!"}, nil) }, func(f cacheFleet) { f.amend("c") }},
		"unknown, in turn": {func(f cacheFleet) { f.replace("a!", "b") }, func(f cacheFleet) { f.writeByEarlierBuild(false, []string{"a"}, nil) }, func(f cacheFleet) { f.writeByEarlierBuild(false, []string{"a!"}, nil) }, func(f cacheFleet) { f.amend("b") }},
		"unknown, whole": {func(f cacheFleet) { f.replace("a", "b") }, func(f cacheFleet) { f.amend("a!") }, func(f cacheFleet) { f.writeByEarlierBuild(true, []string{"a", "b"}, nil) },
			func(f cacheFleet) { f.writeByEarlierBuild(true, []string{"a!", "b"}, nil) }, func(f cacheFleet) { f.replace("a!", "b") }},
		"removed unknown":  {func(f cacheFleet) { f.replace("a", "b") }, func(f cacheFleet) { f.writeByEarlierBuild(false, nil, []string{"a"}) }, func(f cacheFleet) { f.amend("c") }, func(f cacheFleet) { f.amend("a!") }},
		"named by version": {func(f cacheFleet) { f.replace("a", "b") }, func(f cacheFleet) { f.amend("a!", "common") }, func(f cacheFleet) { f.amend("common!") }},
	} {
		t.Run(what, func(t *testing.T) {
			f, used := newCacheFleet(t), map[string]map[string]bool{}
			for _, step := range steps {
				f.checkScopes(used, func() { step(f) })
			}
			f.checkScopes(used, func() { f.amend("d") }) // and a later change brings nothing back
			f.is.True(len(used) > 1)
		})
	}
}

// A new scope costs every prefix that the tenants share. Guards against one that nothing asked for.
func TestSharedScopeStaysWhereNobodyIsIsolatedFromIt(t *testing.T) {
	f := newCacheFleet(t)
	f.replace("a", "b", "c!")
	f.is.Equal(f.scopes()[""], initialSharedScope) // also used by earlier builds
	unchanged := func(step func()) {
		t.Helper()
		before := f.scopes()[""]
		step()
		f.is.Equal(f.scopes()[""], before)
	}
	unchanged(func() { f.amend("d") })
	unchanged(func() { f.amend("new!") })
	unchanged(func() { f.remove("new") })
	unchanged(func() { f.amend("new!") })
	unchanged(func() { f.replace("a", "b", "c!", "d", "other!") })
	unchanged(func() { f.amend("c") }) // it shares from now on
	f.is.Equal(f.scopes()["c"], f.scopes()["a"])
	f.amend("c!")
	f.is.True(f.scopes()[""] != initialSharedScope)
	f.is.Equal(f.scopes()["a"], f.scopes()["b"]) // these still share
	unchanged(func() { f.amend("c!", "b") })
	unchanged(func() { f.remove("d") })
	unchanged(func() { f.amend("e!") })
	f.amend("d!") // it shared once
	unchanged(func() { f.replace("a", "b", "c!", "d!") })
	unchanged(func() { f.remove("c", "d") })
	unchanged(func() { f.amend("c!", "d!") })
}

// A configuration that an earlier build stored keeps its scope as long as nobody is isolated; replicas then keep what they have.
func TestScopeOfStoredConfigurationWithoutIsolatedTenants(t *testing.T) {
	f := newCacheFleet(t)
	f.writeByEarlierBuild(true, []string{"a", "b"}, nil)
	f.is.Equal(f.scopes()["a"], initialSharedScope)
	f.amend("c")
	f.is.Equal(f.scopes()["a"], initialSharedScope)
}

// Tenants that come and go for years must not make the record grow without bound, nor be forgotten.
func TestFormerTenantsAreBounded(t *testing.T) {
	f := newCacheFleet(t)
	f.replace("a")
	largest := 0
	for i := range 3 * maxFormerTenants {
		name := fmt.Sprint("t", i)
		f.amend(name)
		f.remove(name)
		largest = max(largest, len(f.fields[sharedCacheField]))
	}
	f.is.True(largest < 4096)
	before := f.scopes()[""]
	f.amend("t0!")
	f.is.True(f.scopes()[""] != before)
	before = f.scopes()[""]
	f.amend("t1!") // the new scope has no former tenants
	f.is.Equal(f.scopes()[""], before)
}

// The operators' own language leads to the same scopes, and a request that is sent again changes nothing.
func TestSharedScopeOfTheOwnLanguage(t *testing.T) {
	is := is.New(t)
	c := Empty()
	version := uint64(0)
	scope := func(text string, partial bool) string {
		t.Helper()
		next, err := Parse([]byte(text), c, partial)
		is.NoErr(err)
		version++
		next.Inherit(c, version)
		stored, err := FromFields(next.Fields())
		is.NoErr(err)
		is.Equal(stored, next)
		if again, err := Parse([]byte(text), next, partial); !strings.Contains(text, "remove") { // what is gone cannot be removed again
			is.NoErr(err)
			again.Inherit(next, version+1)
			is.True(again.DeclaresSame(next))
		}
		c = next
		return c.SharedCacheScope()
	}
	first := scope(`{"pools":[{"name":"p"}]}`, false)
	is.Equal(first, initialSharedScope)
	is.Equal(scope(`{"tenants":[{"name":"a"},{"name":"b"},{"name":"c","walled":true}]}`, true), first)
	second := scope(`{"tenants":[{"name":"a","walled":true}]}`, true)
	is.True(second != first)
	is.Equal(scope(`{"tenants":[{"name":"a","walled":true},{"name":"b"}]}`, false), second)
	third := scope(`{"tenants":[{"name":"a","walled":true},{"name":"b","walled":true}]}`, false)
	is.True(third != first && third != second)
	is.Equal(scope(`{"tenants":[{"name":"d"}],"remove":{"tenants":["b"]}}`, true), third)
	is.True(!c.DeclaresSame(Empty()))
}
