package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"asterridge/register"
)

// policyFleet is a test register whose numbered configurations have tenants without further content.
type policyFleet struct {
	*testRegister
	is *is.I
}

// Whether a text has a list of tenants.
var (
	noList    = false
	emptyList = true
)

// declare applies a numbered configuration. lists is nil for one that an earlier build sends on.
func (f policyFleet) declare(full bool, lists *bool, tenants, removed []string) {
	f.is.Helper()
	number := f.number() + 1
	d := NumberedConfig{Number: number, BasedOn: number - 1, Full: full, Digest: fmt.Sprint(number), Items: tenantItems(tenants), ListsTenants: lists}
	for _, name := range removed {
		d.Removed = append(d.Removed, "tenant/"+name)
	}
	_, err := f.apply(d)
	f.is.NoErr(err)
	stored, err := DecodeNumbered(f.fields)
	f.is.NoErr(err)
	f.is.Equal(stored.KeyPolicy, f.config(f.is).KeyPolicy)
	again, err := FromFields(f.config(f.is).Fields())
	f.is.NoErr(err)
	f.is.Equal(again.KeyPolicy, stored.KeyPolicy)
}

func (f policyFleet) remove(names ...string) { f.is.Helper(); f.declare(false, &noList, nil, names) }
func (f policyFleet) add(names ...string)    { f.is.Helper(); f.declare(false, &emptyList, names, nil) }
func (f policyFleet) replace(lists *bool, names ...string) {
	f.is.Helper()
	f.declare(true, lists, names, nil)
}

// writeByEarlierBuild applies a change as an earlier build does: it derives the open field from the number of tenants, keeps a key policy
// where it amends, and drops it where it replaces.
func (f policyFleet) writeByEarlierBuild(full bool, tenants, removed []string) {
	f.is.Helper()
	stored := f.fields[keyPolicyField]
	f.declare(full, nil, tenants, removed)
	delete(f.fields, keyPolicyField)
	delete(f.fields, openField)
	if !full && stored != nil {
		f.fields[keyPolicyField] = stored
	}
	if len(f.config(f.is).Tenants) == 0 {
		f.fields.Apply(Field(openField, true))
	}
}

// Guards against a fleet that serves everybody, with revoked keys too, once its last tenant is removed; and against one that asks for keys
// though no tenant was ever declared.
func TestKeysStayRequiredWithoutTheLastTenant(t *testing.T) {
	for what, c := range map[string]struct {
		steps []func(f policyFleet)
		want  KeyPolicy
	}{
		"no tenants":                      {[]func(f policyFleet){func(f policyFleet) { f.replace(&noList) }}, KeyIgnored},
		"no tenants, an empty list":       {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList) }}, KeyIgnored},
		"no tenants, from an older core":  {[]func(f policyFleet){func(f policyFleet) { f.replace(nil) }}, KeyIgnored},
		"no tenants, amended":             {[]func(f policyFleet){func(f policyFleet) { f.replace(&noList) }, func(f policyFleet) { f.add() }, func(f policyFleet) { f.remove("never") }}, KeyIgnored},
		"no tenants, replaced":            {[]func(f policyFleet){func(f policyFleet) { f.replace(&noList) }, func(f policyFleet) { f.replace(&emptyList) }, func(f policyFleet) { f.replace(&noList) }}, KeyIgnored},
		"no tenants, stored before":       {[]func(f policyFleet){func(f policyFleet) { f.writeByEarlierBuild(true, nil, nil) }, func(f policyFleet) { f.add() }}, KeyIgnored},
		"first amended":                   {[]func(f policyFleet){func(f policyFleet) { f.add() }}, KeyIgnored},
		"tenants":                         {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a") }}, KeyRequired},
		"tenants added later":             {[]func(f policyFleet){func(f policyFleet) { f.replace(&noList) }, func(f policyFleet) { f.add("a") }}, KeyRequired},
		"last one removed":                {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a", "b") }, func(f policyFleet) { f.remove("a") }, func(f policyFleet) { f.remove("b") }}, KeyRequired},
		"all removed at once":             {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a", "b") }, func(f policyFleet) { f.remove("a", "b") }}, KeyRequired},
		"removed, and amended after that": {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a") }, func(f policyFleet) { f.remove("a") }, func(f policyFleet) { f.add() }}, KeyRequired},
		"replaced with an empty list":     {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a") }, func(f policyFleet) { f.replace(&emptyList) }}, KeyRequired},
		"replaced by an older core":       {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a") }, func(f policyFleet) { f.replace(nil) }}, KeyRequired},
		"replaced without a list":         {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a") }, func(f policyFleet) { f.replace(&noList) }}, KeyOptional},
		"removed, then without a list":    {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a") }, func(f policyFleet) { f.remove("a") }, func(f policyFleet) { f.replace(&noList) }, func(f policyFleet) { f.add() }}, KeyOptional},
		"optional, then an empty list":    {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a") }, func(f policyFleet) { f.replace(&noList) }, func(f policyFleet) { f.replace(&emptyList) }}, KeyRequired},
		"optional, then tenants":          {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a") }, func(f policyFleet) { f.replace(&noList) }, func(f policyFleet) { f.add("b") }, func(f policyFleet) { f.remove("b") }}, KeyRequired},
		"stored before with tenants":      {[]func(f policyFleet){func(f policyFleet) { f.writeByEarlierBuild(true, []string{"a"}, nil) }, func(f policyFleet) { f.remove("a") }}, KeyRequired},
		"removed by an older core": {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a") }, func(f policyFleet) { f.writeByEarlierBuild(false, nil, []string{"a"}) }},
			KeyRequired},
		"removed by an older core, and amended": {[]func(f policyFleet){func(f policyFleet) { f.replace(&emptyList, "a") }, func(f policyFleet) { f.writeByEarlierBuild(false, nil, []string{"a"}) }, func(f policyFleet) { f.add() }},
			KeyRequired},
	} {
		t.Run(what, func(t *testing.T) {
			f := policyFleet{&testRegister{fields: register.Fields{}}, is.New(t)}
			for _, step := range c.steps {
				step(f)
			}
			f.is.Equal(f.config(f.is).KeyPolicy, c.want)
			_, open := f.fields[openField]
			f.is.True(!open || c.want != KeyRequired || what == "removed by an older core") // proxies of an earlier build read this field
		})
	}
}

// The operators' own language always asks for keys, with tenants and without.
func TestOwnLanguageRequiresKeysWithoutTenants(t *testing.T) {
	is := is.New(t)
	c, err := Parse([]byte(`{"tenants":[{"name":"a"}]}`), nil, false)
	is.NoErr(err)
	for _, text := range []string{`{"remove":{"tenants":["a"]}}`, `{"pools":[{"name":"p"}]}`} {
		next, err := Parse([]byte(text), c, true)
		is.NoErr(err)
		next.Inherit(c, 2)
		c, err = FromFields(next.Fields())
		is.NoErr(err)
		is.Equal(c.KeyPolicy, KeyRequired)
	}
}

// Guards against the shared cache scope being kept when an earlier build has removed the last tenant, whose name is then isolated.
func TestTenantRemovedAsTheLastByAnEarlierBuildIsRemembered(t *testing.T) {
	f := policyFleet{&testRegister{fields: register.Fields{}}, is.New(t)}
	f.replace(&emptyList, "a")
	f.writeByEarlierBuild(false, nil, []string{"a"})
	before := f.config(f.is).SharedCacheScope()
	f.add("a!", "b")
	f.is.True(f.config(f.is).SharedCacheScope() != before)
}
