package config

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"asterridge/apierror"
	"asterridge/idempotency"
	"asterridge/register"
)

// RetirementKey is the register of the retirements, by the old base (docs/design.md §6.6).
const RetirementKey = "retirement"

// Adapter is a small change of a base model, built for each base that it runs on.
type Adapter struct {
	Name    string            `json:"name"`
	Base    string            `json:"base"`              // where it was declared; retirements lead on from there
	Builds  map[string]string `json:"builds,omitempty"`  // base → build
	Tenants []string          `json:"tenants,omitempty"` // that may use it; none: all
}

// Phase is that of a retirement, or of one adapter in it.
type Phase string

// The phases.
const (
	Moving   Phase = "moving"   // adapters are loaded on the new base, tried, switched
	Clearing Phase = "clearing" // every adapter answers there; no proxy may be able to send to the old base before the first drop
	Dropping Phase = "dropping" // from here on there is no way back
	Retired  Phase = "retired"
	Undoing  Phase = "undoing" // routes lead to the old base again; the new one is dropped

	Switched Phase = "switched" // of an adapter: its route leads to the new base
	Live     Phase = "live"     // … and it has answered live traffic there on enough replicas of every pool
)

// Retirement moves every adapter of one base to another, and drops the old one.
type Retirement struct {
	Number uint64          `json:"number"` // the register's version that began it
	Old    string          `json:"old"`
	New    string          `json:"new"`
	Phase  Phase           `json:"phase"`
	Since  time.Time       `json:"since"` // for operators alone
	Moves  map[string]Move `json:"moves,omitempty"`
}

// Move is how far one adapter has moved; one without an entry is being loaded.
type Move struct {
	Phase Phase     `json:"phase"`
	Build string    `json:"build"`
	Since time.Time `json:"since"` // for operators alone
}

// With gives the retirement with one more step; the receiver is not changed.
func (t Retirement) With(phase Phase, adapter string, m Move) Retirement {
	t.Moves = maps.Clone(t.Moves)
	if adapter != "" {
		if t.Moves == nil {
			t.Moves = map[string]Move{}
		}
		t.Moves[adapter] = m
	}
	if t.Phase != phase {
		t.Phase, t.Since = phase, m.Since
	}
	return t
}

// IsRunning reports whether there is something left to do.
func (t Retirement) IsRunning() bool { return t.Phase != Retired }

// IsPast reports whether the retirement cannot be undone any more.
func (t Retirement) IsPast() bool { return t.Phase == Dropping || t.Phase == Retired }

// Retirements are all that there ever were, by the old base.
type Retirements map[string]Retirement

// RoleHolder is who last wrote to the register of a singleton role, and under which lease: what older leases write late is rejected.
type RoleHolder struct {
	Holder string `json:"holder"`
	Lease  uint64 `json:"term"`
}

// RoleHolderField is the field of the RoleHolder in the registers of retirements and loads.
const RoleHolderField = "~duty"

// ParseRoleHolder reads the RoleHolder among a register's fields, or of a change of them; the zero one if there is none.
func ParseRoleHolder(fields register.Fields) (holder RoleHolder, err error) {
	if raw := fields[RoleHolderField]; raw != nil {
		err = json.Unmarshal(raw, &holder)
	}
	return holder, apierror.Wrap(err, apierror.Malformed, "register field "+RoleHolderField)
}

// splitHolder takes the RoleHolder out of a register's fields.
func splitHolder(fields register.Fields) (others register.Fields, holder RoleHolder, err error) {
	others = fields.Clone()
	delete(others, RoleHolderField)
	holder, err = ParseRoleHolder(fields)
	return others, holder, err
}

// Check rejects what comes under a lease below the one that has written last. The error is apierror.Superseded.
func (h RoleHolder) Check(writer RoleHolder) error {
	if writer.Lease >= h.Lease {
		return nil
	}
	return apierror.New(apierror.Superseded, "lease %d of %s has taken this up, yours is %d", h.Lease, h.Holder, writer.Lease)
}

// ParseRetirements reads the register's content.
func ParseRetirements(fields register.Fields) (Retirements, RoleHolder, error) {
	others, holder, err := splitHolder(fields)
	if err != nil {
		return nil, RoleHolder{}, err
	}
	maps.DeleteFunc(others, func(field string, _ json.RawMessage) bool { return idempotency.IsField(field) })
	all, err := Load[Retirement](others)
	return all, holder, err
}

// Route gives the base and the build that an adapter's requests go to now.
func (s Retirements) Route(a Adapter) (base, build string) {
	base, build = a.Base, a.Builds[a.Base]
	for range s { // each retirement leads on at most once
		t, ok := s[base]
		if !ok || t.Phase == Undoing {
			return base, build
		}
		m, switched := t.Moves[a.Name]
		switch {
		case switched:
			base, build = t.New, m.Build
		case t.IsPast(): // declared since
			base, build = t.New, a.Builds[t.New]
		default:
			return base, build
		}
	}
	return base, build
}

// IsOn reports whether an adapter is on a base, or was until a retirement moved it.
func (s Retirements) IsOn(a Adapter, base string) bool {
	at := a.Base
	for range len(s) + 1 {
		if at == base {
			return true
		}
		t, ok := s[at]
		if !ok || t.Phase == Undoing {
			return false
		}
		at = t.New
	}
	return false
}

// Crossing gives a running retirement that concerns one of the bases.
func (s Retirements) Crossing(bases ...string) (Retirement, bool) {
	for _, old := range slices.Sorted(maps.Keys(s)) {
		if t := s[old]; t.IsRunning() && (slices.Contains(bases, t.Old) || slices.Contains(bases, t.New)) {
			return t, true
		}
	}
	return Retirement{}, false
}

// readAdapter reads an adapter field by field.
func readAdapter(a *Adapter, field string, v Value) error {
	switch field {
	case "name":
		return set(&a.Name, v.Name)
	case "base":
		return set(&a.Base, v.Name)
	case "builds": // are added to and changed, not taken away: a retirement may count on them
		builds := maps.Clone(a.Builds)
		if builds == nil {
			builds = map[string]string{}
		}
		a.Builds = builds
		return v.Object(func(base string, v Value) (err error) {
			builds[base], err = v.Name()
			return err
		})
	case "tenants":
		a.Tenants = nil
		return v.List(func(item Value) error {
			name, err := item.Name()
			a.Tenants = append(a.Tenants, name)
			return err
		})
	}
	return v.Reject(apierror.UnknownField, "not a field of an adapter")
}

// checkAdapters looks for dangling references of adapters and to them.
func (b *Config) checkAdapters() error {
	reject := func(c apierror.Code, field, format string, args ...any) error {
		f := apierror.New(c, format, args...)
		f.Field = field
		return f
	}
	for _, name := range slices.Sorted(maps.Keys(b.Adapters)) {
		a := b.Adapters[name]
		if a.Base == "" {
			return reject(apierror.Missing, "adapters."+name+".base", "an adapter needs a base model")
		}
		for _, tenant := range a.Tenants {
			if _, ok := b.Tenants[tenant]; !ok {
				return reject(apierror.Dangling, "adapters."+name+".tenants", "there is no tenant %q", tenant)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(b.Paths)) {
		p := b.Paths[name]
		if p.Adapter == "" {
			continue
		}
		if _, ok := b.Adapters[p.Adapter]; !ok {
			return reject(apierror.Dangling, "paths."+name+".adapter", "there is no adapter %q", p.Adapter)
		}
		for _, target := range p.Pools() {
			if kind := b.Pools[target.Pool].Kind; kind != ModelPool {
				return reject(apierror.Dangling, "paths."+name+".adapter", "pool %q has no model for an adapter", target.Pool)
			}
		}
	}
	return nil
}

// KeepBases rejects a configuration that moves an adapter by itself: what answers on a base is changed by a retirement alone
// (docs/design.md §6.6).
func (b *Config) KeepBases(before *Config) error {
	for _, name := range slices.Sorted(maps.Keys(b.Adapters)) {
		was, ok := before.Adapters[name]
		if now := b.Adapters[name]; ok && (now.Base != was.Base || was.Builds[was.Base] != "" && now.Builds[was.Base] != was.Builds[was.Base]) {
			f := apierror.New(apierror.Conflict, "adapter %q is on %s with build %q: a retirement moves it", name, was.Base, was.Builds[was.Base])
			f.Field = "adapters." + name
			return f
		}
	}
	return nil
}

// Placement is one adapter on one base, with its build.
type Placement struct {
	Adapter string `json:"adapter"`
	Base    string `json:"base"`
	Build   string `json:"build"`
}

// Key names an adapter on a base among what a replica has.
func (u Placement) Key() string { return u.Adapter + "@" + u.Base }

// Desired lists the placements that each pool's replicas are to have, by pool.
func (b *Config) Desired(s Retirements) map[string][]Placement {
	desired := map[string][]Placement{}
	for _, name := range slices.Sorted(maps.Keys(b.Paths)) {
		p := b.Paths[name]
		a, ok := b.Adapters[p.Adapter]
		if !ok {
			continue
		}
		var all []Placement
		base, build := s.Route(a)
		all = append(all, Placement{a.Name, base, build})
		for _, t := range s {
			if t.IsRunning() && t.Phase != Undoing && s.IsOn(a, t.Old) {
				if base != t.New {
					all = append(all, Placement{a.Name, t.New, a.Builds[t.New]})
				} else if !t.IsPast() { // the way back stays open
					before := maps.Clone(s)
					delete(before, t.Old)
					base, build := before.Route(a)
					all = append(all, Placement{a.Name, base, build})
				}
			}
		}
		for _, target := range p.Pools() {
			for _, u := range all {
				if u.Build != "" && !slices.Contains(desired[target.Pool], u) {
					desired[target.Pool] = append(desired[target.Pool], u)
				}
			}
		}
	}
	return desired
}
