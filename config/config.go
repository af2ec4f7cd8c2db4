package config

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"asterridge/apierror"
	"asterridge/register"
)

// Key names the register that holds the configuration.
const Key = "blueprint"

// tenantPrefix is the prefix of the register fields that hold the tenants.
const tenantPrefix = "tenant/"

// MaxText is the maximum size of an operator's configuration text in bytes.
const MaxText = 16 << 20

// Tenant is a customer of the fleet.
type Tenant struct {
	Name           string `json:"name"`
	Isolated       bool   `json:"walled"`
	Weight         int    `json:"weight"`         // weight in the weighted round robin among tenants
	Backlog        int    `json:"backlog"`        // maximum number of requests queued in one proxy
	Scope          string `json:"scope"`          // "tenant" or "pool": what a throttle applies to
	CreatedVersion uint64 `json:"born,omitempty"` // configuration version that created it; a reused name is another tenant (§6.3)
	// Keys are the hashes of the access keys declared with the tenant; further keys are granted individually (§2.1).
	Keys    []string `json:"keys,omitempty"`
	Urgency *int     `json:"urgency,omitempty"` // overrides the path's urgency
	// CacheTracked marks a tenant as written by a build that tracks the use of the shared cache scope (SharedCache).
	CacheTracked bool `json:"cache_tracked,omitempty"`
}

// Pool kinds.
const (
	ModelPool = "model" // replicas of a language model
	WebPool   = "web"   // web back ends
	StorePool = "store" // stores of cached prompt prefixes
)

// Pool is a set of replicas that serve the same weights, a web back end, or a store of cached prompt prefixes.
type Pool struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`    // ModelPool, WebPool or StorePool
	Weights string `json:"weights"` // accepted weights version; empty for a web pool
	// Models lists the models that the replicas serve, each with its own published version (§2.9). If empty, Weights applies.
	Models     []string `json:"models,omitempty"`
	MaxConns   int      `json:"max_conns,omitempty"`   // connections to one replica from all callers; 0: unlimited
	CacheSize  int      `json:"cache_size,omitempty"`  // cache capacity of one replica or store, in units (tokens)
	UnitBytes  int      `json:"unit_bytes,omitempty"`  // cache memory per unit (token) of a prompt
	LinkMbps   float64  `json:"link_mbps,omitempty"`   // bandwidth of one replica or store for transfers of cached prefixes
	MaxReaders int      `json:"max_readers,omitempty"` // readers that may wait for one replica's cache updates; 0: not read
	Address    string   `json:"address,omitempty"`     // address of a store that is not in the replica register
	Zone       string   `json:"zone,omitempty"`        // zone of such a store
}

// Path routes the requests for a URL path to pools.
type Path struct {
	Name       string `json:"name"`
	Address    string `json:"address"` // URL path; one that ends in / matches every path below it
	Model      string `json:"model"`   // requested model; empty matches any
	Pool       string `json:"pool"`
	Idempotent bool   `json:"repeatable"`
	DeadlineMs int    `json:"deadline_ms"` // time limit for the first chunk of the response
	MaxBody    int    `json:"max_body"`
	Cost       int    `json:"cost"` // cost of one request in the weighted round robin

	Host            string   `json:"host,omitempty"`      // requested host; empty matches any
	Targets         []Target `json:"targets,omitempty"`   // weighted split over several pools; replaces Pool
	Tries           int      `json:"tries,omitempty"`     // maximum attempts per request; 0: limited by the retry budget only
	LatencyTargetMs int      `json:"aim_ms,omitempty"`    // latency target for the first chunk
	GapMs           int      `json:"gap_ms,omitempty"`    // target for the longest gap between chunks
	Urgency         int      `json:"urgency,omitempty"`   // 0 is served first
	Resumable       bool     `json:"resumable,omitempty"` // an interrupted stream may continue on another replica (§5.7)
	Public          bool     `json:"public,omitempty"`    // no access key required
	Adapter         string   `json:"adapter,omitempty"`   // adapter that serves the requests (§6.6)
}

// Target is a pool with its weight in a path's traffic split.
type Target struct {
	Pool   string `json:"pool"`
	Weight int    `json:"share"`
}

// Pools returns the pools that the path may route requests to, with their weights.
func (p Path) Pools() []Target {
	if len(p.Targets) > 0 {
		return p.Targets
	}
	return []Target{{p.Pool, 1}}
}

// Limits bounds what clients may send. A zero field selects the built-in limit.
type Limits struct {
	HeaderBytes int `json:"header_bytes,omitempty"`
	BodyBytes   int `json:"body_bytes,omitempty"`
	HeaderMs    int `json:"header_ms,omitempty"`
	IdleMs      int `json:"idle_ms,omitempty"`
}

// ThrottleRule holds the backoff settings of the shared throttles.
type ThrottleRule struct {
	BaseMs    int     `json:"base_ms"`
	CapMs     int     `json:"cap_ms"`
	Jitter    float64 `json:"jitter"` // 0: always the full backoff; 1: uniform between zero and the full backoff
	Observe   bool    `json:"observe"`
	SlowRatio float64 `json:"slow_ratio"`
}

// Config is the complete configuration of the fleet.
type Config struct {
	Adapters map[string]Adapter

	Tenants  map[string]Tenant
	Pools    map[string]Pool
	Paths    map[string]Path
	Throttle ThrottleRule
	Limits   Limits
	// SharedCache identifies the cache scope of the tenants that are not isolated.
	SharedCache SharedCache
	KeyPolicy   KeyPolicy
}

// Empty returns a configuration with the default throttle rule and key policy, and nothing else.
func Empty() *Config {
	return &Config{
		Tenants: map[string]Tenant{}, Pools: map[string]Pool{}, Paths: map[string]Path{}, Adapters: map[string]Adapter{},
		Throttle:  ThrottleRule{BaseMs: 1000, CapMs: 64000, Jitter: 1, SlowRatio: 3},
		KeyPolicy: KeyRequired,
	}
}

// FromFields decodes a configuration from the fields of its register. The error is apierror.Malformed if a field cannot be decoded.
func FromFields(fields register.Fields) (*Config, error) {
	c := Empty()
	for name, raw := range fields {
		kind, rest, _ := strings.Cut(name, "/")
		var err error
		switch kind {
		case "tenant":
			err = load(c.Tenants, rest, raw)
		case "pool":
			err = load(c.Pools, rest, raw)
		case "path":
			err = load(c.Paths, rest, raw)
		case "adapter":
			err = load(c.Adapters, rest, raw)
		case "hold":
			err = json.Unmarshal(raw, &c.Throttle)
		case "limits":
			err = json.Unmarshal(raw, &c.Limits)
		case sharedCacheField:
			err = json.Unmarshal(raw, &c.SharedCache)
		}
		if err != nil {
			return nil, apierror.Wrap(err, apierror.Malformed, "register field "+name)
		}
	}
	policy, err := storedKeyPolicy(fields)
	if isEmptiedByEarlierBuild(fields, policy) {
		c.SharedCache.Tracked = false
	}
	c.KeyPolicy = policy
	return c, err
}

// load decodes one item and stores it under its name.
func load[T any](into map[string]T, name string, raw json.RawMessage) error {
	var item T
	if err := json.Unmarshal(raw, &item); err != nil {
		return err
	}
	into[name] = item
	return nil
}

// Inherit sets what a configuration takes over from base, which it replaces under the given version: CreatedVersion, which is new for new
// tenants only, and the shared cache scope.
func (c *Config) Inherit(base *Config, version uint64) {
	for name, t := range c.Tenants {
		t.CreatedVersion = version
		if before, ok := base.Tenants[name]; ok {
			t.CreatedVersion = before.CreatedVersion
		}
		c.Tenants[name] = t
	}
	c.inheritSharedCache(base, version)
}

// DeclaresSame reports whether two configurations differ at most in what is recorded beside their items.
func (c *Config) DeclaresSame(other *Config) bool {
	return len(Delta(c.declaration(), other.declaration())) == 0
}

// declaration returns the register fields without the records of the shared cache scope.
func (c *Config) declaration() register.Fields {
	declared := *c
	declared.SharedCache, declared.Tenants = SharedCache{}, map[string]Tenant{}
	for name, t := range c.Tenants {
		t.CacheTracked = false
		declared.Tenants[name] = t
	}
	return declared.Fields()
}

// Fields encodes the configuration as register fields.
func (c *Config) Fields() register.Fields {
	fields := register.Fields{}
	put := func(name string, item any) {
		raw, _ := json.Marshal(item) // plain structs always encode
		fields[name] = raw
	}
	for name, t := range c.Tenants {
		put(tenantPrefix+name, t)
	}
	for name, p := range c.Pools {
		put("pool/"+name, p)
	}
	for name, p := range c.Paths {
		put("path/"+name, p)
	}
	for name, a := range c.Adapters {
		put("adapter/"+name, a)
	}
	put("hold", c.Throttle)
	if c.Limits != (Limits{}) {
		put("limits", c.Limits)
	}
	if c.SharedCache.Tracked {
		put(sharedCacheField, c.SharedCache)
	}
	if c.KeyPolicy.Accepts(false) {
		put(openField, true) // also read by earlier builds
	}
	if c.KeyPolicy == KeyOptional {
		put(keyPolicyField, c.KeyPolicy)
	}
	return fields
}

// Delta returns the change that turns the fields of old into those of current. Deleted fields map to nil.
func Delta(old, current register.Fields) register.Fields {
	change := register.Fields{}
	for name, raw := range current {
		if string(old[name]) != string(raw) {
			change[name] = raw
		}
	}
	for name := range old {
		if _, kept := current[name]; !kept {
			change[name] = nil
		}
	}
	return change
}

// Check reports dangling references, values out of range, and conflicts such as two paths that match the same requests or two tenants with
// the same access key.
func (c *Config) Check() error {
	pathsByMatch := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Paths)) {
		p := c.Paths[name]
		reject := func(code apierror.Code, field, format string, args ...any) error {
			rejection := apierror.New(code, format, args...)
			rejection.Field = "paths." + name + "." + field
			return rejection
		}
		weightSum := 0
		for _, target := range p.Pools() {
			if _, ok := c.Pools[target.Pool]; !ok {
				return reject(apierror.Dangling, "pool", "there is no pool %q", target.Pool)
			}
			if c.Pools[target.Pool].Kind == StorePool {
				return reject(apierror.Dangling, "pool", "pool %q is a store and serves no requests", target.Pool)
			}
			if target.Weight < 0 {
				return reject(apierror.OutOfRange, "targets", "pool %q has a share below 0", target.Pool)
			}
			weightSum += target.Weight
		}
		if weightSum == 0 {
			return reject(apierror.OutOfRange, "targets", "the shares sum to 0")
		}
		if p.DeadlineMs <= 0 {
			return reject(apierror.OutOfRange, "deadline_ms", "%d ms are no deadline", p.DeadlineMs)
		}
		if p.Address == "" {
			return reject(apierror.Missing, "address", "a path needs an address")
		}
		match := strings.ToLower(p.Host) + " " + p.Address + " " + p.Model // host names have no case
		if other, taken := pathsByMatch[match]; taken {
			return reject(apierror.RepeatField, "address", "path %q has the same host, address and model", other)
		}
		pathsByMatch[match] = name
	}
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Tenants)) {
		for _, key := range c.Tenants[name].Keys {
			if other, taken := owners[key]; taken && other != name {
				rejection := apierror.New(apierror.RepeatField, "tenant %q has the same key", other)
				rejection.Field = "tenants." + name + ".keys"
				return rejection
			}
			owners[key] = name
		}
	}
	return c.checkAdapters()
}
