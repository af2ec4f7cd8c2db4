package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"asterridge/apierror"
	"asterridge/register"
)

// Key is the register of the configuration.
const Key = "blueprint"

// MaxText bounds an operator's configuration, in bytes.
const MaxText = 16 << 20

// Tenant is a customer of the fleet.
type Tenant struct {
	Name           string `json:"name"`
	Isolated       bool   `json:"walled"`
	Weight         int    `json:"weight"`         // its part in the round robin
	Backlog        int    `json:"backlog"`        // how many requests may wait in one proxy
	Scope          string `json:"scope"`          // "tenant" or "pool": what a hold covers
	CreatedVersion uint64 `json:"born,omitempty"` // the configuration's version that created it: a name given anew is another tenant (§6.3)
	// Keys are hashes of access keys that are declared with the tenant; others are granted one by one (§2.1).
	Keys    []string `json:"keys,omitempty"`
	Urgency *int     `json:"urgency,omitempty"` // goes before the path's
}

// The kinds of pools.
const (
	ModelPool = "model" // replicas of a language model
	WebPool   = "web"   // web back ends
	StorePool = "store" // a store of cached prompt prefixes
)

// Pool is a set of replicas that serve the same weights, or a web back end.
type Pool struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`    // "model", "web", or "store": a store of kept prompts
	Weights string `json:"weights"` // the accepted version; empty for web
	// Models are served by the pool's replicas, each with a version of its own that operators name (§2.9); none: Weights speaks for all.
	Models     []string `json:"models,omitempty"`
	MaxConns   int      `json:"max_conns,omitempty"`   // connections that one replica takes from all callers; 0: any number
	CacheSize  int      `json:"cache_size,omitempty"`  // what one replica or store keeps of prompts
	UnitBytes  int      `json:"unit_bytes,omitempty"`  // memory of one unit of a prompt
	LinkMbps   float64  `json:"link_mbps,omitempty"`   // of one replica or store, for moves of kept prompts
	MaxReaders int      `json:"max_readers,omitempty"` // that may wait for a replica's news at once; 0: nobody reads them
	Address    string   `json:"address,omitempty"`     // of a store that is on no list
	Zone       string   `json:"zone,omitempty"`        // of such a store
}

// Path takes requests at an address to pools.
type Path struct {
	Name       string `json:"name"`
	Address    string `json:"address"` // URL path; one that ends in / covers all below
	Model      string `json:"model"`   // the model asked for; empty matches any
	Pool       string `json:"pool"`
	Idempotent bool   `json:"repeatable"`
	DeadlineMs int    `json:"deadline_ms"` // how long a request may wait for its first piece
	MaxBody    int    `json:"max_body"`
	Cost       int    `json:"cost"` // in the round robin

	Host            string   `json:"host,omitempty"`      // the host asked for; empty matches any
	Targets         []Target `json:"targets,omitempty"`   // a split over pools, in place of Pool
	Tries           int      `json:"tries,omitempty"`     // replicas that one request may be sent to; 0: no bound but the budget
	LatencyTargetMs int      `json:"aim_ms,omitempty"`    // the first piece is wanted within it
	GapMs           int      `json:"gap_ms,omitempty"`    // no longer pause is wanted between pieces
	Urgency         int      `json:"urgency,omitempty"`   // 0 goes first
	Resumable       bool     `json:"resumable,omitempty"` // a stream that broke off may go on at another replica (§5.7)
	Public          bool     `json:"public,omitempty"`    // needs no access key
	Adapter         string   `json:"adapter,omitempty"`   // that the requests run on (§6.6)
}

// Target is a pool with its weight among a path's pools.
type Target struct {
	Pool   string `json:"pool"`
	Weight int    `json:"share"`
}

// Pools are the pools that a path may take requests to.
func (p Path) Pools() []Target {
	if len(p.Targets) > 0 {
		return p.Targets
	}
	return []Target{{p.Pool, 1}}
}

// Limits bound what clients send; 0: the program's own bound.
type Limits struct {
	HeaderBytes int `json:"header_bytes,omitempty"`
	BodyBytes   int `json:"body_bytes,omitempty"`
	HeaderMs    int `json:"header_ms,omitempty"`
	IdleMs      int `json:"idle_ms,omitempty"`
}

// ThrottleRule has the settings of the shared throttles.
type ThrottleRule struct {
	BaseMs    int     `json:"base_ms"`
	CapMs     int     `json:"cap_ms"`
	Jitter    float64 `json:"jitter"` // 1: uniform from zero; 0: always the full step
	Observe   bool    `json:"observe"`
	SlowRatio float64 `json:"slow_ratio"`
}

// Config is the whole configuration.
type Config struct {
	Adapters map[string]Adapter

	Tenants  map[string]Tenant
	Pools    map[string]Pool
	Paths    map[string]Path
	Throttle ThrottleRule
	Limits   Limits
	Open     bool // declared without tenants: nobody needs an access key
}

// Empty is a configuration with the usual throttle rule and nothing else.
func Empty() *Config {
	return &Config{
		Tenants: map[string]Tenant{}, Pools: map[string]Pool{}, Paths: map[string]Path{}, Adapters: map[string]Adapter{},
		Throttle: ThrottleRule{BaseMs: 1000, CapMs: 64000, Jitter: 1, SlowRatio: 3},
	}
}

// FromFields reads the register's content. The error is apierror.Internal if a stored item cannot be read.
func FromFields(fields register.Fields) (*Config, error) {
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
		case "adapter":
			err = load(b.Adapters, rest, raw)
		case "hold":
			err = json.Unmarshal(raw, &b.Throttle)
		case "limits":
			err = json.Unmarshal(raw, &b.Limits)
		case "open":
			b.Open = true
		}
		if err != nil {
			return nil, apierror.Wrap(err, apierror.Malformed, "register field "+name)
		}
	}
	return b, nil
}

// load reads the items of one kind.
func load[T any](into map[string]T, name string, raw json.RawMessage) error {
	var item T
	if err := json.Unmarshal(raw, &item); err != nil {
		return err
	}
	into[name] = item
	return nil
}

// Inherit has the tenants that were in the base keep the version that created them, and gives the others this one.
func (b *Config) Inherit(base *Config, version uint64) {
	for name, t := range b.Tenants {
		t.CreatedVersion = version
		if before, ok := base.Tenants[name]; ok {
			t.CreatedVersion = before.CreatedVersion
		}
		b.Tenants[name] = t
	}
}

// Fields gives the configuration as the register's fields.
func (b *Config) Fields() register.Fields {
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
	for name, a := range b.Adapters {
		put("adapter/"+name, a)
	}
	put("hold", b.Throttle)
	if b.Limits != (Limits{}) {
		put("limits", b.Limits)
	}
	if b.Open {
		put("open", true)
	}
	return fields
}

// Delta gives the change from one content to another.
func Delta(old, now register.Fields) register.Fields {
	change := register.Fields{}
	for name, raw := range now {
		if string(old[name]) != string(raw) {
			change[name] = raw
		}
	}
	for name := range old {
		if _, others := now[name]; !others {
			change[name] = nil
		}
	}
	return change
}

// Check looks for dangling references, and for what cannot stand side by side.
func (b *Config) Check() error {
	met := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(b.Paths)) {
		p := b.Paths[name]
		reject := func(c apierror.Code, field, format string, args ...any) error {
			f := apierror.New(c, format, args...)
			f.Field = "paths." + name + "." + field
			return f
		}
		sum := 0
		for _, target := range p.Pools() {
			if _, ok := b.Pools[target.Pool]; !ok {
				return reject(apierror.Dangling, "pool", "there is no pool %q", target.Pool)
			}
			if b.Pools[target.Pool].Kind == StorePool {
				return reject(apierror.Dangling, "pool", "pool %q is a store and serves no requests", target.Pool)
			}
			if target.Weight < 0 {
				return reject(apierror.OutOfRange, "targets", "pool %q has a share below 0", target.Pool)
			}
			sum += target.Weight
		}
		if sum == 0 {
			return reject(apierror.OutOfRange, "targets", "the shares sum to 0")
		}
		if p.DeadlineMs <= 0 {
			return reject(apierror.OutOfRange, "deadline_ms", "%d ms are no deadline", p.DeadlineMs)
		}
		if p.Address == "" {
			return reject(apierror.Missing, "address", "a path needs an address")
		}
		at := p.Host + " " + p.Address + " " + p.Model
		if other, taken := met[at]; taken {
			return reject(apierror.RepeatField, "address", "path %q has the same host, address and model", other)
		}
		met[at] = name
	}
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(b.Tenants)) {
		for _, key := range b.Tenants[name].Keys {
			if other, taken := owners[key]; taken && other != name {
				f := apierror.New(apierror.RepeatField, "tenant %q has the same key", other)
				f.Field = "tenants." + name + ".keys"
				return f
			}
			owners[key] = name
		}
	}
	return b.checkAdapters()
}
