package router

import (
	"net"
	"reflect"
	"slices"
	"strings"
	"time"

	"asterridge/config"
	"asterridge/register"
	"asterridge/rendezvous"
)

// View is one compiled state of the registers. It is immutable, and replaced as a whole. Names are resolved to dense indices in it.
type View struct {
	Version      register.Revision
	tenants      map[string]*tenant
	access       map[string]*tenant // by hash of the access key
	paths        map[string][]*path // by host, longest address first
	pools        map[string]*pool
	replicas     map[string]*replica
	stores       []*replica // stores, which cache prompts for replicas
	models       map[string]config.Model
	public       *tenant // tenant of requests that need no access key
	keyPolicy    config.KeyPolicy
	throttleRule config.ThrottleRule
	limits       config.Limits
	proxies      []string
	adapters     map[string]adapter // by name
}

// tenant is a configured tenant with its index.
type tenant struct {
	config.Tenant
	index int
	// cacheScope separates the cached prefixes of its requests from those of other tenants.
	cacheScope string
}

// isSame reports whether requests of a tenant are handled in the same way as under another view.
func (t *tenant) isSame(other *tenant) bool {
	return t.cacheScope == other.cacheScope && reflect.DeepEqual(t.Tenant, other.Tenant)
}

// path is a configured path with its index and pools.
type path struct {
	config.Path
	index int
	pools []*pool // pools of the targets, in the order of the targets
}

// pick returns the request's pool, chosen by the targets' weights. The choice depends only on the path and the request.
func (p *path) pick(request string) *pool {
	targets, sum := p.Path.Pools(), 0
	for _, t := range targets {
		sum += t.Weight
	}
	at := int(rendezvous.Weight(p.Name, request) % uint64(max(1, sum)))
	for i, t := range targets {
		if at -= t.Weight; at < 0 {
			return p.pools[i]
		}
	}
	return p.pools[0]
}

// pool is a configured pool with its replicas and what was measured for it.
type pool struct {
	config.Pool
	index    int
	replicas []*replica
	names    []string // names of the replicas that are not draining
	window   *concurrencyWindow
	answers  *answerTime
	// oldWeights are the previous weights, allowed until oldUntil (docs/design.md §6.2).
	oldWeights string
	oldUntil   time.Time
}

// replica is a model server, web server or store that requests are sent to; its load is carried over from view to view.
type replica struct {
	config.Replica
	*load
	index int
	share int
	order *config.LoadOrder // the last order to load a model version; nil: none
}

// version returns the newest version of a model that the replica is known to have. Versions never decrease within a replica's incarnation.
func (rep *replica) version(model string) uint64 {
	return max(1, rep.Models[model], rep.modelVersion(model))
}

// Properties of objects that the configuration does not list.
const (
	publicBacklog = 1024
	storeName     = "store:" // prefix of a store's name in the prefix index, before the pool's name
)

// find returns the path for a host, address and model; nil if there is none. Paths of the host take precedence over those of any host.
func (v *View) find(host, address, model string) *path {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, paths := range [][]*path{v.paths[strings.ToLower(host)], v.paths[""]} {
		for _, p := range paths {
			at := p.Address == address || strings.HasSuffix(p.Address, "/") && strings.HasPrefix(address, p.Address)
			if at && (p.Model == "" || p.Model == model) {
				return p
			}
		}
	}
	return nil
}

// isPublic reports whether the path at an address needs no access key.
func (v *View) isPublic(host, address, model string) bool {
	p := v.find(host, address, model)
	return p != nil && p.Public
}

// isStaffed reports whether the pool has a replica that is not draining.
func (p *pool) isStaffed() bool {
	return slices.ContainsFunc(p.replicas, func(rep *replica) bool { return rep.State != config.ReplicaDraining })
}

// allows reports whether a replica with these weights may start work for the pool now.
func (p *pool) allows(weights string, now time.Time) bool {
	if p.Kind == config.WebPool || weights == p.Weights {
		return true
	}
	return weights == p.oldWeights && weights != "" && now.Before(p.oldUntil)
}
