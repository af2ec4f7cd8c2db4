package router

import (
	"slices"
	"sort"
	"strings"
	"time"

	"asterridge/config"
	"asterridge/register"
	"asterridge/rendezvous"
)

// indices assigns dense indices to names. A name keeps its index for the life of the process.
type indices struct{ byName map[string]int }

// of returns a name's index, and assigns one if it has none.
func (x *indices) of(name string) int {
	i, ok := x.byName[name]
	if !ok {
		i = len(x.byName)
		x.byName[name] = i
	}
	return i
}

// defaultOldWeightsLimit is the default of Options.OldWeightsLimit.
const defaultOldWeightsLimit = 12 * time.Second

// readRegister returns a register's revision and content as received from the agent; zero values if there is none.
type readRegister func(key string) (register.Revision, register.Fields)

// compilation is the state of compiling one view from the registers.
type compilation struct {
	router *Router
	read   readRegister
	plan   *config.Config
	// previous is the view before this one, nil at first; wasCurrent reports whether the router was current with it until now.
	previous   *View
	wasCurrent bool
	view       *View
}

// compile builds a view of the registers. keys are the keys of all registers.
func (r *Router) compile(read readRegister, keys []string, wasCurrent bool) (*View, error) {
	revision, fields := read(config.Key)
	plan, err := config.FromFields(fields)
	if err != nil {
		return nil, err
	}
	c := &compilation{router: r, read: read, plan: plan, previous: r.view.Load(), wasCurrent: wasCurrent, view: r.newView(revision, plan)}
	if err := c.compileModels(); err != nil {
		return nil, err
	}
	if err := c.view.compileAdapters(plan, read); err != nil {
		return nil, err
	}
	c.compileProxies()
	if err := c.compileTenants(keys); err != nil {
		return nil, err
	}
	c.compilePools()
	c.compilePaths()
	if err := c.compileReplicas(); err != nil {
		return nil, err
	}
	return c.view, nil
}

// newView returns a view with the fleet-wide settings of the configuration, and without tenants, pools, paths or replicas.
func (r *Router) newView(revision register.Revision, plan *config.Config) *View {
	return &View{
		Version:      revision,
		throttleRule: plan.Throttle,
		limits:       plan.Limits,
		keyPolicy:    plan.KeyPolicy,
		tenants:      map[string]*tenant{},
		access:       map[string]*tenant{},
		pools:        map[string]*pool{},
		replicas:     map[string]*replica{},
		paths:        map[string][]*path{},
		public: &tenant{
			Tenant: config.Tenant{Weight: 1, Backlog: publicBacklog, Scope: "pool"}, index: r.names.of("public"), cacheScope: plan.SharedCacheScope(),
		},
	}
}

// compileModels reads the published versions of the models.
func (c *compilation) compileModels() (err error) {
	_, versions := c.read(config.ModelsKey)
	c.view.models, err = config.Load[config.Model](versions)
	return err
}

// compileProxies reads the names of the proxies that share the replicas.
func (c *compilation) compileProxies() {
	_, proxies := c.read(ProxiesKey)
	for name := range proxies {
		c.view.proxies = append(c.view.proxies, name)
	}
	sort.Strings(c.view.proxies)
}

// compileTenants adds the tenants, and their access keys from the configuration and from the registers.
func (c *compilation) compileTenants(keys []string) error {
	sharedScope := c.view.public.cacheScope
	for name, configured := range c.plan.Tenants {
		t := &tenant{Tenant: configured, index: c.router.names.of("tenant/" + name), cacheScope: sharedScope}
		if configured.Isolated {
			t.cacheScope = configured.IsolatedCacheScope()
		}
		c.view.tenants[name] = t
		for _, hash := range configured.Keys {
			c.view.access[hash] = t
		}
	}
	for _, key := range keys {
		name, found := strings.CutPrefix(key, config.KeysPrefix)
		t := c.view.tenants[name]
		if !found || t == nil {
			continue
		}
		_, fields := c.read(key)
		granted, err := config.Load[config.Access](fields)
		if err != nil {
			return err
		}
		for hash, access := range granted {
			if !access.Revoked && access.TenantVersion == t.CreatedVersion {
				c.view.access[hash] = t
			}
		}
	}
	return nil
}

// compilePools adds the pools; what was measured for a pool is carried over from the previous view.
func (c *compilation) compilePools() {
	for name, configured := range c.plan.Pools {
		window, _ := c.router.windows.LoadOrStore(name, &concurrencyWindow{})
		p := &pool{Pool: configured, index: c.router.names.of("pool/" + name), window: window.(*concurrencyWindow), answers: &answerTime{}}
		if before := c.oldPool(name); before != nil {
			p.answers = before.answers
			if c.wasCurrent {
				p.keepOldWeights(before, c.router.options.OldWeightsLimit)
			}
		}
		c.view.pools[name] = p
		if p.Kind == config.StorePool && p.Address != "" {
			store := config.Replica{Name: StoreName(name), Address: p.Address, Pool: name, Zone: p.Zone, State: config.ReplicaPresent}
			c.view.stores = append(c.view.stores, &replica{Replica: store, load: newLoad()})
		}
	}
}

// oldPool returns the pool of that name in the previous view; nil if there was none.
func (c *compilation) oldPool(name string) *pool {
	if c.previous == nil {
		return nil
	}
	return c.previous.pools[name]
}

// keepOldWeights allows the previous weights for a limited time after new ones were received.
func (p *pool) keepOldWeights(before *pool, limit time.Duration) {
	p.oldWeights, p.oldUntil = before.oldWeights, before.oldUntil
	if before.Weights != p.Weights {
		p.oldWeights, p.oldUntil = before.Weights, time.Now().Add(limit)
	}
}

// compilePaths adds the paths by host, each host's in the order of precedence.
func (c *compilation) compilePaths() {
	for name, configured := range c.plan.Paths {
		p := &path{Path: configured, index: c.router.names.of("path/" + name)}
		for _, target := range configured.Pools() {
			p.pools = append(p.pools, c.view.pools[target.Pool])
		}
		host := strings.ToLower(configured.Host)
		c.view.paths[host] = append(c.view.paths[host], p)
	}
	for _, paths := range c.view.paths {
		sort.Slice(paths, func(i, j int) bool { return paths[i].precedes(paths[j]) })
	}
}

// precedes reports whether a path is matched before another one of its host: a longer address comes first, then a path for one model before
// one for any model.
func (p *path) precedes(other *path) bool {
	if len(p.Address) != len(other.Address) {
		return len(p.Address) > len(other.Address)
	}
	if (p.Model == "") != (other.Model == "") {
		return other.Model == ""
	}
	return p.Name < other.Name
}

// compileReplicas adds the replicas; the load of one that keeps its address is carried over from the previous view.
func (c *compilation) compileReplicas() error {
	_, listed := c.read(config.ReplicasKey)
	replicas, err := config.Load[config.Replica](listed)
	if err != nil {
		return err
	}
	_, reserved := c.read(config.LoadsKey)
	orders, _, err := config.ParseLoads(reserved)
	if err != nil {
		return err
	}
	for name, configured := range replicas {
		rep := c.newReplica(name, configured, orders)
		c.view.replicas[name] = rep
		if p := c.view.pools[configured.Pool]; p != nil {
			p.replicas = append(p.replicas, rep)
			if p.Kind == config.StorePool {
				c.view.stores = append(c.view.stores, rep)
			}
		}
	}
	for _, p := range c.view.pools {
		p.sortReplicas()
	}
	return nil
}

// newReplica returns a replica with its last load order and this router's share of its slots.
func (c *compilation) newReplica(name string, configured config.Replica, orders map[string]config.LoadOrder) *replica {
	rep := &replica{Replica: configured, load: newLoad(), index: c.router.names.of("replica/" + name)}
	rep.share = share(configured.Limit, c.view.proxies, c.router.options.Name, name)
	if c.previous != nil && c.previous.replicas[name] != nil && c.previous.replicas[name].Address == configured.Address {
		rep.load = c.previous.replicas[name].load
	}
	if order, ok := orders[name]; ok {
		rep.order = &order
		if order.Done { // the order for the replica's next model replaces this one
			rep.observeModelVersion(order.Model, order.Version)
		}
	}
	return rep
}

// sortReplicas sorts a pool's replicas by name, and lists the names of those that are not draining.
func (p *pool) sortReplicas() {
	sort.Slice(p.replicas, func(i, j int) bool { return p.replicas[i].Name < p.replicas[j].Name })
	for _, rep := range p.replicas {
		if rep.State != config.ReplicaDraining {
			p.names = append(p.names, rep.Name)
		}
	}
}

// share returns this router's fixed part of a replica's slots; the shares of all routers add up to the limit (docs/design.md §5.3).
func share(limit int, proxies []string, own, replica string) int {
	if len(proxies) == 0 {
		return limit
	}
	slots, remaining := limit/len(proxies), limit%len(proxies)
	if remaining == 0 || !slices.Contains(proxies, own) {
		return slots
	}
	rank, weight := 0, rendezvous.Weight(replica, own)
	for _, name := range proxies {
		if rendezvous.Weight(replica, name) > weight {
			rank++
		}
	}
	if rank < remaining {
		slots++
	}
	return slots
}
