package fake

import (
	"encoding/json"
	"reflect"
	"slices"
	"sort"
	"strings"

	"asterridge/config"
	"asterridge/register"
)

// State is the configuration that one process holds.
type State struct {
	Where string
	Keys  map[string]Kept
}

// Kept is one register of a State.
type Kept struct {
	Version uint64
	Fields  register.Fields
}

// States groups the rows of a query for fields by the process that answered.
func States(rows []map[string]any) (all []State) {
	byPlace := map[string]State{}
	for _, row := range rows {
		where, key, field := row["where"].(string), row["key"].(string), row["field"].(string)
		s, ok := byPlace[where]
		if !ok {
			s = State{where, map[string]Kept{}}
			byPlace[where] = s
		}
		k := s.Keys[key]
		if k.Fields == nil {
			version, _ := row["version"].(float64)
			k = Kept{uint64(version), register.Fields{}}
		}
		k.Fields[field], _ = json.Marshal(row["value"])
		s.Keys[key] = k
	}
	for _, s := range byPlace {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Where < all[j].Where })
	return all
}

// configuration checks rule 11: once the fleet is at rest, all processes hold the same configuration, and it contains every accepted
// change.
func (c *check) configuration() {
	for key, want := range c.accepted() {
		for _, s := range c.Rest {
			cached, ok := s.Keys[key]
			if !ok && strings.HasPrefix(s.Where, "proxy") && key == config.MembersKey {
				continue // proxies are not told of the members
			}
			if c.seen(ruleLostConfiguration); cached.Version < want.version {
				c.found(ruleLostConfiguration, "%s has version %d of %s, %d was accepted", s.Where, cached.Version, key, want.version)
				continue
			}
			for field, attributes := range want.fields {
				for name, values := range attributes {
					if !values.fit(cached.Fields[field], name) {
						c.found(ruleLostConfiguration, "%s has %s of %s as %s, where %s must be %s", s.Where, field, key, cached.Fields[field], name, values)
					}
				}
			}
		}
	}
	for i, s := range c.Rest {
		for key, cached := range s.Keys {
			for _, other := range c.Rest[:i] {
				there, ok := other.Keys[key]
				if ok {
					c.seen(ruleLostConfiguration)
				}
				if ok && len(config.Delta(there.Fields, cached.Fields)) > 0 {
					c.found(ruleLostConfiguration, "%s and %s differ in %s", s.Where, other.Where, key)
				}
			}
		}
	}
}

// wanted is the expected content of one register, by field and attribute.
type wanted struct {
	version uint64
	fields  map[string]map[string]values
}

// values are the contents that an attribute may have; nil stands for a field that is absent.
type values []json.RawMessage

// fit reports whether a content is one of the expected values.
func (v values) fit(field json.RawMessage, attribute string) bool {
	var has map[string]json.RawMessage
	_ = json.Unmarshal(field, &has) // none: no attribute
	return slices.ContainsFunc(v, func(want json.RawMessage) bool {
		if want == nil || has == nil {
			return want == nil && has == nil
		}
		var a, b any
		return attribute == "" || json.Unmarshal(has[attribute], &a) == nil && json.Unmarshal(want, &b) == nil && reflect.DeepEqual(a, b)
	})
}

// String lists the expected values for a report.
func (v values) String() string {
	var all []string
	for _, raw := range v {
		all = append(all, string(raw))
	}
	return strings.Join(all, " or ")
}

// attributes splits a field's content into its attributes. A removed field has the one attribute "" with the content nil.
func attributes(value json.RawMessage) (all map[string]json.RawMessage) {
	if _ = json.Unmarshal(value, &all); all == nil { // what cannot be read is shown as it is
		all = map[string]json.RawMessage{"": nil}
	}
	return all
}

// accepted derives the expected registers from the facts. Among several acceptances under one version, and for a change whose answer was
// lost, either content is allowed.
func (c *check) accepted() map[string]wanted {
	all := map[string]wanted{}
	facts := slices.DeleteFunc(slices.Clone(c.Facts), func(f Fact) bool { return f.Kind != Took })
	sort.SliceStable(facts, func(i, j int) bool { return facts[i].Version < facts[j].Version })
	under := map[string]uint64{}
	for _, f := range facts {
		if f.Tried {
			continue
		}
		w, ok := all[f.Name]
		if !ok {
			w = wanted{fields: map[string]map[string]values{}}
		}
		if f.Full && f.Version > w.version {
			for field := range w.fields {
				w.fields[field] = map[string]values{"": {nil}}
			}
		}
		w.version = max(w.version, f.Version)
		for field, value := range f.Fields {
			has := w.fields[field]
			_, wasGone := has[""]
			sameVersion := under[f.Name+field] == f.Version
			if has == nil || !sameVersion && (wasGone || value == nil) || sameVersion && wasGone != (value == nil) {
				has = map[string]values{} // of a change and a removal under one version nothing can be said
			}
			if sameVersion && wasGone != (value == nil) {
				w.fields[field] = has
				continue
			}
			for name, content := range attributes(value) {
				if place := f.Name + field + " " + name; under[place] == f.Version {
					has[name] = append(has[name], content)
				} else {
					under[place], has[name] = f.Version, values{content}
				}
			}
			under[f.Name+field], w.fields[field] = f.Version, has
		}
		all[f.Name] = w
	}
	for _, f := range facts {
		if !f.Tried {
			continue
		}
		if f.Full {
			delete(all, f.Name) // nothing can be said of it
		}
		for field, value := range f.Fields {
			for name, may := range all[f.Name].fields[field] {
				if content, named := attributes(value)[name]; named || value == nil {
					all[f.Name].fields[field][name] = append(may, content)
				} else if len(may) == 1 && may[0] == nil {
					delete(all[f.Name].fields[field], name) // gone, or perhaps there again
				}
			}
		}
	}
	return all
}
