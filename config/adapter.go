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

// RetirementKey names the register that holds the retirements, by old base model (docs/design.md §6.6).
const RetirementKey = "retirement"

// Adapter is a fine-tuned adapter of a base model, with a separate build for each base that it runs on.
type Adapter struct {
	Name    string            `json:"name"`
	Base    string            `json:"base"`              // base model as declared; retirements move the adapter on from there
	Builds  map[string]string `json:"builds,omitempty"`  // base model → build
	Tenants []string          `json:"tenants,omitempty"` // tenants that may use it; empty: all
}

// Phase is the phase of a retirement, or of one adapter within it.
type Phase string

// Phases of a retirement; Switched and Live are phases of one adapter.
const (
	Moving   Phase = "moving"   // adapters are loaded on the new base, tested and switched over
	Clearing Phase = "clearing" // every adapter is live on the new base; waits until no proxy can still send to the old base
	Dropping Phase = "dropping" // adapters are unloaded from the old base; can no longer be undone
	Retired  Phase = "retired"
	Undoing  Phase = "undoing" // routes point to the old base again; adapters are unloaded from the new one

	Switched Phase = "switched" // the adapter's route points to the new base
	Live     Phase = "live"     // and it has served live traffic there on enough replicas of every pool
)

// Retirement moves every adapter from one base model to another and then retires the old one.
type Retirement struct {
	Number uint64          `json:"number"` // register version that started it
	Old    string          `json:"old"`
	New    string          `json:"new"`
	Phase  Phase           `json:"phase"`
	Since  time.Time       `json:"since"` // informational, for operators
	Moves  map[string]Move `json:"moves,omitempty"`
}

// Move is the progress of one adapter in a retirement. An adapter without an entry is still being loaded.
type Move struct {
	Phase Phase     `json:"phase"`
	Build string    `json:"build"`
	Since time.Time `json:"since"` // informational, for operators
}

// With returns a copy of the retirement in the given phase, with the move of the adapter recorded unless the adapter is "".
func (r Retirement) With(phase Phase, adapter string, m Move) Retirement {
	r.Moves = maps.Clone(r.Moves)
	if adapter != "" {
		if r.Moves == nil {
			r.Moves = map[string]Move{}
		}
		r.Moves[adapter] = m
	}
	if r.Phase != phase {
		r.Phase, r.Since = phase, m.Since
	}
	return r
}

// IsRunning reports whether the retirement is not yet complete.
func (r Retirement) IsRunning() bool { return r.Phase != Retired }

// IsPast reports whether the retirement can no longer be undone.
func (r Retirement) IsPast() bool { return r.Phase == Dropping || r.Phase == Retired }

// Retirements holds all retirements, including completed ones, by old base model.
type Retirements map[string]Retirement

// RoleHolder identifies the last writer to the register of a singleton role and its lease. The lease is a fencing token: late writes under an
// older lease are rejected.
type RoleHolder struct {
	Holder string `json:"holder"`
	Lease  uint64 `json:"term"`
}

// RoleHolderField is the field that holds the RoleHolder in the retirement and loads registers.
const RoleHolderField = "~duty"

// ParseRoleHolder decodes the RoleHolder from a register's fields or from a change to them. It returns the zero RoleHolder if there is none.
func ParseRoleHolder(fields register.Fields) (holder RoleHolder, err error) {
	if raw := fields[RoleHolderField]; raw != nil {
		err = json.Unmarshal(raw, &holder)
	}
	return holder, apierror.Wrap(err, apierror.Malformed, "register field "+RoleHolderField)
}

// splitHolder separates the RoleHolder from the other fields of a register.
func splitHolder(fields register.Fields) (others register.Fields, holder RoleHolder, err error) {
	others = fields.Clone()
	delete(others, RoleHolderField)
	holder, err = ParseRoleHolder(fields)
	return others, holder, err
}

// Check rejects a writer whose lease is older than that of the last writer. The error is apierror.Superseded.
func (h RoleHolder) Check(writer RoleHolder) error {
	if writer.Lease >= h.Lease {
		return nil
	}
	return apierror.New(apierror.Superseded, "lease %d of %s has taken this up, yours is %d", h.Lease, h.Holder, writer.Lease)
}

// ParseRetirements decodes the retirement register: the retirements and the role holder that wrote last.
func ParseRetirements(fields register.Fields) (Retirements, RoleHolder, error) {
	others, holder, err := splitHolder(fields)
	if err != nil {
		return nil, RoleHolder{}, err
	}
	maps.DeleteFunc(others, func(field string, _ json.RawMessage) bool { return idempotency.IsField(field) })
	all, err := Load[Retirement](others)
	return all, holder, err
}

// Route returns the base model and the build that serve an adapter's requests at present.
func (all Retirements) Route(a Adapter) (base, build string) {
	base, build = a.Base, a.Builds[a.Base]
	for range all { // follows each retirement at most once
		r, ok := all[base]
		if !ok || r.Phase == Undoing {
			return base, build
		}
		m, switched := r.Moves[a.Name]
		switch {
		case switched:
			base, build = r.New, m.Build
		case r.IsPast(): // adapter declared after the switch-over
			base, build = r.New, a.Builds[r.New]
		default:
			return base, build
		}
	}
	return base, build
}

// IsOn reports whether an adapter is on a base model, or was until a retirement moved it.
func (all Retirements) IsOn(a Adapter, base string) bool {
	current := a.Base
	for range len(all) + 1 {
		if current == base {
			return true
		}
		r, ok := all[current]
		if !ok || r.Phase == Undoing {
			return false
		}
		current = r.New
	}
	return false
}

// Crossing returns a running retirement that has one of the bases as its old or new base.
func (all Retirements) Crossing(bases ...string) (Retirement, bool) {
	for _, old := range slices.Sorted(maps.Keys(all)) {
		if r := all[old]; r.IsRunning() && (slices.Contains(bases, r.Old) || slices.Contains(bases, r.New)) {
			return r, true
		}
	}
	return Retirement{}, false
}

// readAdapter reads one field of an adapter.
func readAdapter(a *Adapter, field string, v Value) error {
	switch field {
	case "name":
		return set(&a.Name, v.Name)
	case "base":
		return set(&a.Base, v.Name)
	case "builds": // builds are only added or changed: a retirement may depend on those that are there
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

// checkAdapters reports adapters without a base, and dangling references of adapters and to them.
func (c *Config) checkAdapters() error {
	reject := func(code apierror.Code, field, format string, args ...any) error {
		rejection := apierror.New(code, format, args...)
		rejection.Field = field
		return rejection
	}
	for _, name := range slices.Sorted(maps.Keys(c.Adapters)) {
		a := c.Adapters[name]
		if a.Base == "" {
			return reject(apierror.Missing, "adapters."+name+".base", "an adapter needs a base model")
		}
		for _, tenant := range a.Tenants {
			if _, ok := c.Tenants[tenant]; !ok {
				return reject(apierror.Dangling, "adapters."+name+".tenants", "there is no tenant %q", tenant)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Paths)) {
		p := c.Paths[name]
		if p.Adapter == "" {
			continue
		}
		if _, ok := c.Adapters[p.Adapter]; !ok {
			return reject(apierror.Dangling, "paths."+name+".adapter", "there is no adapter %q", p.Adapter)
		}
		for _, target := range p.Pools() {
			if kind := c.Pools[target.Pool].Kind; kind != ModelPool {
				return reject(apierror.Dangling, "paths."+name+".adapter", "pool %q has no model for an adapter", target.Pool)
			}
		}
	}
	return nil
}

// KeepBases rejects a configuration that changes the base of an existing adapter or its build there: only a retirement may change what
// serves requests on a base (docs/design.md §6.6).
func (c *Config) KeepBases(previous *Config) error {
	for _, name := range slices.Sorted(maps.Keys(c.Adapters)) {
		was, ok := previous.Adapters[name]
		if now := c.Adapters[name]; ok && (now.Base != was.Base || was.Builds[was.Base] != "" && now.Builds[was.Base] != was.Builds[was.Base]) {
			rejection := apierror.New(apierror.Conflict, "adapter %q is on %s with build %q: a retirement moves it", name, was.Base, was.Builds[was.Base])
			rejection.Field = "adapters." + name
			return rejection
		}
	}
	return nil
}

// Placement is an adapter on a base model, with its build.
type Placement struct {
	Adapter string `json:"adapter"`
	Base    string `json:"base"`
	Build   string `json:"build"`
}

// Key identifies the adapter and base among the placements of a replica.
func (p Placement) Key() string { return p.Adapter + "@" + p.Base }

// Desired returns, by pool, the placements that the pool's replicas should have.
func (c *Config) Desired(retirements Retirements) map[string][]Placement {
	desired := map[string][]Placement{}
	for _, name := range slices.Sorted(maps.Keys(c.Paths)) {
		p := c.Paths[name]
		a, ok := c.Adapters[p.Adapter]
		if !ok {
			continue
		}
		var all []Placement
		base, build := retirements.Route(a)
		all = append(all, Placement{a.Name, base, build})
		for _, r := range retirements {
			if r.IsRunning() && r.Phase != Undoing && retirements.IsOn(a, r.Old) {
				if base != r.New {
					all = append(all, Placement{a.Name, r.New, a.Builds[r.New]})
				} else if !r.IsPast() { // keep the previous placement so that the retirement can be undone
					before := maps.Clone(retirements)
					delete(before, r.Old)
					base, build := before.Route(a)
					all = append(all, Placement{a.Name, base, build})
				}
			}
		}
		for _, target := range p.Pools() {
			for _, placement := range all {
				if placement.Build != "" && !slices.Contains(desired[target.Pool], placement) {
					desired[target.Pool] = append(desired[target.Pool], placement)
				}
			}
		}
	}
	return desired
}
