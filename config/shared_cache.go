package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// Tenants that are not isolated share one cache scope: replicas and stores keep their prompt prefixes together, and nothing tells afterwards
// which tenant made which prefix. When a tenant becomes isolated, what it made in the shared scope must not be used by others any more, so
// the others leave that scope for a new one (docs/design.md §6.3).

// sharedCacheField is the register field that holds the SharedCache.
const sharedCacheField = "shared_cache"

// initialSharedScope is the shared scope until a tenant that has used it becomes isolated.
const initialSharedScope = "common"

// maxFormerTenants bounds the removed tenants that are remembered by name.
const maxFormerTenants = 256

// SharedCache identifies the shared cache scope in force, and records which removed tenants have used it.
type SharedCache struct {
	// Tracked reports that the record was made by a build that maintains it.
	Tracked bool `json:"tracked,omitempty"`
	// Version is the configuration version that introduced the scope; 0: it is the initial one.
	Version uint64 `json:"version,omitempty"`
	// FormerTenants are the removed tenants that have used the scope, sorted by name. One that is declared again may be isolated then.
	FormerTenants []string `json:"former_tenants,omitempty"`
	// FormerUnknown reports that any name may be that of a removed tenant: FormerTenants would exceed maxFormerTenants, or a build that
	// does not record removed tenants has written the configuration.
	FormerUnknown bool `json:"former_unknown,omitempty"`
}

// addFormer records a removed tenant that has used the scope.
func (s *SharedCache) addFormer(name string) {
	at, known := slices.BinarySearch(s.FormerTenants, name)
	switch {
	case known || s.FormerUnknown:
	case len(s.FormerTenants) == maxFormerTenants:
		s.FormerTenants, s.FormerUnknown = nil, true
	default:
		s.FormerTenants = slices.Insert(slices.Clone(s.FormerTenants), at, name)
	}
}

// mayBeFormer reports whether a tenant of that name may have used the scope before it was removed.
func (s SharedCache) mayBeFormer(name string) bool {
	_, known := slices.BinarySearch(s.FormerTenants, name)
	return known || s.FormerUnknown
}

// IsolatedCacheScope returns the cache scope of the tenant's requests if it is isolated: replicas share cached prefixes only between requests
// of the same scope. It changes when a tenant is created again under the same name.
func (t Tenant) IsolatedCacheScope() string {
	return "tenant:" + t.Name + "." + strconv.FormatUint(t.CreatedVersion, 10)
}

// SharedCacheScope returns the cache scope of the tenants that are not isolated and of requests without a tenant. No isolated tenant has
// ever used it.
//
// Where a build that does not track the use of the scope has written the configuration, its isolated tenants may have used the recorded
// scope. Then the scope also names these tenants, so that it is one which they have not used under any configuration.
func (c *Config) SharedCacheScope() string {
	scope := initialSharedScope
	if c.SharedCache.Version > 0 {
		scope += "." + strconv.FormatUint(c.SharedCache.Version, 10)
	}
	isolated := c.isolatedTenants()
	if len(isolated) == 0 || c.tracksSharedCache() {
		return scope
	}
	sum := sha256.Sum256([]byte(fmt.Sprintf("%q", isolated)))
	return scope + "-" + hex.EncodeToString(sum[:8])
}

// isolatedTenants returns the names of the isolated tenants in order.
func (c *Config) isolatedTenants() (names []string) {
	for name, t := range c.Tenants {
		if t.Isolated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// tracksSharedCache reports whether the configuration was written by a build that tracks which tenants use the shared scope. An earlier
// build may keep the record, but drops the mark of all tenants whenever it writes the configuration.
func (c *Config) tracksSharedCache() bool {
	for _, t := range c.Tenants {
		if !t.CacheTracked {
			return false
		}
	}
	return c.SharedCache.Tracked
}

// inheritSharedCache sets the shared scope of a configuration that replaces base, and marks its tenants. A new scope begins with version if
// a tenant is isolated that has used the former scope, or may have. Isolating a new tenant, removing an isolated one, and ending the
// isolation of one leave the scope as it is.
func (c *Config) inheritSharedCache(base *Config, version uint64) {
	c.SharedCache = base.SharedCache
	tracked := base.tracksSharedCache()
	if !tracked && version > firstVersion {
		c.SharedCache.FormerTenants, c.SharedCache.FormerUnknown = nil, true
	}
	for _, name := range slices.Sorted(maps.Keys(base.Tenants)) {
		if _, kept := c.Tenants[name]; !kept && !base.Tenants[name].Isolated {
			c.SharedCache.addFormer(name)
		}
	}
	hasUsed := func(name string) bool {
		before, existed := base.Tenants[name]
		if !existed {
			return c.SharedCache.mayBeFormer(name)
		}
		return !before.Isolated || !tracked
	}
	if slices.ContainsFunc(c.isolatedTenants(), hasUsed) {
		c.SharedCache = SharedCache{Version: version}
	}
	c.SharedCache.Tracked = true
	for name, t := range c.Tenants {
		t.CacheTracked = true
		c.Tenants[name] = t
	}
}

// firstVersion is the version of the first configuration of a fleet.
const firstVersion = 1
