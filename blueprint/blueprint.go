package blueprint

import (
	"encoding/json"
	"sort"
	"strings"

	"asterridge/fail"
	"asterridge/register"
)

// Key is the register of the blueprint.
const Key = "blueprint"

// MaxText bounds an operator's blueprint.
const MaxText = 16 << 20

// Tenant is a customer of the fleet.
type Tenant struct {
	Name     string `json:"name"`
	IsWalled bool   `json:"walled"`
	Weight   int    `json:"weight"`         // its part in the round robin
	Backlog  int    `json:"backlog"`        // how many requests may wait in one proxy
	Scope    string `json:"scope"`          // "tenant" or "pool": what a hold covers
	Born     uint64 `json:"born,omitempty"` // the blueprint's version that created it: a name given anew is another tenant (§6.3)
}

// Pool is a set of replicas that serve the same weights, or a web back end.
type Pool struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`    // "model", "web", or "store": a store of kept prompts
	Weights string `json:"weights"` // the accepted version; empty for web
}

// Path leads requests to a pool.
type Path struct {
	Name         string `json:"name"`
	Address      string `json:"address"` // URL path; one that ends in / covers all below
	Model        string `json:"model"`   // the model asked for; empty matches any
	Pool         string `json:"pool"`
	IsRepeatable bool   `json:"repeatable"`
	DeadlineMs   int    `json:"deadline_ms"` // how long a request may wait for its first piece
	MaxBody      int    `json:"max_body"`
	Cost         int    `json:"cost"` // in the round robin
}

// Hold has the settings of the shared waiting rule.
type Hold struct {
	BaseMs    int     `json:"base_ms"`
	CapMs     int     `json:"cap_ms"`
	Jitter    float64 `json:"jitter"` // 1: uniform from zero; 0: always the full step
	IsObserve bool    `json:"observe"`
	SlowRatio float64 `json:"slow_ratio"`
}

// Blueprint is the whole declaration.
type Blueprint struct {
	Tenants map[string]Tenant
	Pools   map[string]Pool
	Paths   map[string]Path
	Hold    Hold
}

// Empty is a blueprint with the default hold.
func Empty() *Blueprint {
	return &Blueprint{
		Tenants: map[string]Tenant{}, Pools: map[string]Pool{}, Paths: map[string]Path{},
		Hold: Hold{BaseMs: 1000, CapMs: 64000, Jitter: 1, SlowRatio: 3},
	}
}

// FromFields reads the register's content.
func FromFields(fields register.Fields) (*Blueprint, error) {
	b := Empty()
	for name, raw := range fields {
		kind, rest, _ := strings.Cut(name, "/")
		var err error
		switch kind {
		case "tenant":
			err = load(b.Tenants, rest, raw)
		case "pool":
			err = load(b.Pools, rest, raw)
		case "path":
			err = load(b.Paths, rest, raw)
		case "hold":
			err = json.Unmarshal(raw, &b.Hold)
		}
		if err != nil {
			return nil, fail.Wrap(err, fail.Malformed, "register field "+name)
		}
	}
	return b, nil
}

func load[T any](into map[string]T, name string, raw json.RawMessage) error {
	var item T
	if err := json.Unmarshal(raw, &item); err != nil {
		return err
	}
	into[name] = item
	return nil
}

// Inherit has the tenants that were there keep the version that created them, and gives the others this one.
func (b *Blueprint) Inherit(base *Blueprint, version uint64) {
	for name, t := range b.Tenants {
		t.Born = version
		if before, isThere := base.Tenants[name]; isThere {
			t.Born = before.Born
		}
		b.Tenants[name] = t
	}
}

// Fields writes the blueprint as register fields.
func (b *Blueprint) Fields() register.Fields {
	fields := register.Fields{}
	put := func(name string, item any) {
		raw, _ := json.Marshal(item) // plain structs always encode
		fields[name] = raw
	}
	for name, t := range b.Tenants {
		put("tenant/"+name, t)
	}
	for name, p := range b.Pools {
		put("pool/"+name, p)
	}
	for name, p := range b.Paths {
		put("path/"+name, p)
	}
	put("hold", b.Hold)
	return fields
}

// Delta gives only what differs between two contents.
func Delta(old, now register.Fields) register.Fields {
	change := register.Fields{}
	for name, raw := range now {
		if string(old[name]) != string(raw) {
			change[name] = raw
		}
	}
	for name := range old {
		if _, isKept := now[name]; !isKept {
			change[name] = nil
		}
	}
	return change
}

// Check looks for dangling references.
func (b *Blueprint) Check() error {
	names := make([]string, 0, len(b.Paths))
	for name := range b.Paths {
		names = append(names, name)
	}
	sort.Strings(names)
	met := map[string]string{}
	for _, name := range names {
		p := b.Paths[name]
		bounce := func(c fail.Code, field, format string, args ...any) error {
			f := fail.New(c, format, args...)
			f.Field = "paths." + name + "." + field
			return f
		}
		if _, isThere := b.Pools[p.Pool]; !isThere {
			return bounce(fail.Dangling, "pool", "there is no pool %q", p.Pool)
		}
		if b.Pools[p.Pool].Kind == "store" {
			return bounce(fail.Dangling, "pool", "pool %q is a store and serves no requests", p.Pool)
		}
		if p.Address == "" {
			return bounce(fail.Missing, "address", "a path needs an address")
		}
		at := p.Address + " " + p.Model
		if other, isTaken := met[at]; isTaken {
			return bounce(fail.RepeatField, "address", "path %q has the same address and model", other)
		}
		met[at] = name
	}
	return nil
}

// Read takes an operator's text: whole, or partial upon the present blueprint. Nothing of a bad text is used.
func Read(text []byte, base *Blueprint, isPartial bool) (*Blueprint, error) {
	if len(text) > MaxText {
		return nil, fail.New(fail.Oversize, "%d bytes, at most %d", len(text), MaxText)
	}
	doc, err := document(text)
	if err != nil {
		return nil, err
	}
	b := Empty()
	if isPartial {
		for name, t := range base.Tenants {
			b.Tenants[name] = t
		}
		for name, p := range base.Pools {
			b.Pools[name] = p
		}
		for name, p := range base.Paths {
			b.Paths[name] = p
		}
		b.Hold = base.Hold
	}
	err = doc.object(func(name string, v value) error {
		switch name {
		case "tenants":
			return items(v, b.Tenants, Tenant{Weight: 1, Backlog: 256, Scope: "tenant"}, readTenant)
		case "pools":
			return items(v, b.Pools, Pool{Kind: "model"}, readPool)
		case "paths":
			return items(v, b.Paths, Path{DeadlineMs: 30000, MaxBody: 1 << 20, Cost: 1}, readPath)
		case "hold":
			return readHold(v, &b.Hold)
		case "remove":
			if isPartial {
				return remove(v, b)
			}
		}
		return v.bounce(fail.UnknownField, "not a field of a blueprint")
	})
	if err == nil {
		err = b.Check()
	}
	if err != nil {
		return nil, fail.Wrap(err, fail.Malformed, "blueprint")
	}
	return b, nil
}

// items reads a list of named things; one that is there already is changed field by field.
func items[T any](v value, into map[string]T, fresh T, read func(item *T, name string, field value) error) error {
	met := map[string]bool{}
	return v.list(func(entry value) error {
		name := ""
		err := entry.object(func(field string, v value) (err error) {
			if field == "name" {
				name, err = v.name()
				if err == nil && met[name] {
					err = v.bounce(fail.RepeatField, "%q stands twice in the list", name)
				}
			}
			return err
		})
		if err != nil {
			return err
		}
		if name == "" {
			return entry.bounce(fail.Missing, "needs a name")
		}
		met[name] = true
		item, isThere := into[name]
		if !isThere {
			item = fresh
		}
		if err := entry.object(func(field string, v value) error { return read(&item, field, v) }); err != nil {
			return err
		}
		into[name] = item
		return nil
	})
}

func remove(v value, b *Blueprint) error {
	return v.object(func(kind string, list value) error {
		return list.list(func(item value) error {
			name, err := item.name()
			if err != nil {
				return err
			}
			isThere := false
			switch kind {
			case "tenants":
				_, isThere = b.Tenants[name]
				delete(b.Tenants, name)
			case "pools":
				_, isThere = b.Pools[name]
				delete(b.Pools, name)
			case "paths":
				_, isThere = b.Paths[name]
				delete(b.Paths, name)
			default:
				return list.bounce(fail.UnknownField, "nothing of this kind can be removed")
			}
			if !isThere {
				return item.bounce(fail.Dangling, "there is no %q to remove", name)
			}
			return nil
		})
	})
}

func set[T any](into *T, read func() (T, error)) error {
	got, err := read()
	if err == nil {
		*into = got
	}
	return err
}

func between(v value, least, most int) func() (int, error) {
	return func() (int, error) { return v.whole(least, most) }
}

func word(v value, words ...string) func() (string, error) {
	return func() (string, error) { return v.oneOf(words...) }
}

func readTenant(t *Tenant, field string, v value) error {
	switch field {
	case "name":
		return set(&t.Name, v.name)
	case "walled":
		return set(&t.IsWalled, v.flag)
	case "weight":
		return set(&t.Weight, between(v, 1, 100))
	case "backlog":
		return set(&t.Backlog, between(v, 0, 100000))
	case "scope":
		return set(&t.Scope, word(v, "tenant", "pool"))
	}
	return v.bounce(fail.UnknownField, "not a field of a tenant")
}

func readPool(p *Pool, field string, v value) error {
	switch field {
	case "name":
		return set(&p.Name, v.name)
	case "kind":
		return set(&p.Kind, word(v, "model", "web", "store"))
	case "weights":
		return set(&p.Weights, v.name)
	}
	return v.bounce(fail.UnknownField, "not a field of a pool")
}

func readPath(p *Path, field string, v value) error {
	switch field {
	case "name":
		return set(&p.Name, v.name)
	case "address":
		if err := set(&p.Address, v.text); err != nil {
			return err
		}
		if !strings.HasPrefix(p.Address, "/") || len(p.Address) > 256 {
			return v.bounce(fail.OutOfRange, "an address starts with / and has at most 256 bytes")
		}
		return nil
	case "model":
		return set(&p.Model, v.name)
	case "pool":
		return set(&p.Pool, v.name)
	case "repeatable":
		return set(&p.IsRepeatable, v.flag)
	case "deadline_ms":
		return set(&p.DeadlineMs, between(v, 100, 600000))
	case "max_body":
		return set(&p.MaxBody, between(v, 0, 16<<20))
	case "cost":
		return set(&p.Cost, between(v, 1, 1000))
	}
	return v.bounce(fail.UnknownField, "not a field of a path")
}

func readHold(v value, h *Hold) error {
	return v.object(func(field string, v value) error {
		switch field {
		case "base_ms":
			return set(&h.BaseMs, between(v, 1, 60000))
		case "cap_ms":
			return set(&h.CapMs, between(v, 1, 600000))
		case "jitter":
			return set(&h.Jitter, func() (float64, error) { return v.figure(0, 1) })
		case "observe":
			return set(&h.IsObserve, v.flag)
		case "slow_ratio":
			return set(&h.SlowRatio, func() (float64, error) { return v.figure(1.5, 100) })
		}
		return v.bounce(fail.UnknownField, "not a field of the hold")
	})
}
