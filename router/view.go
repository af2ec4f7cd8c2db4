package router

import (
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"asterridge/blueprint"
	"asterridge/register"
)

// View is one compiled state of the world; it is never changed, only replaced. Names are dense indices here.
type View struct {
	Version  register.Stamp
	tenants  map[string]*tenant
	access   map[string]*tenant // by hash of the access key
	paths    []*path            // longest address first
	pools    map[string]*pool
	replicas map[string]*replica
	stores   []*replica // of pools that keep prompts for the others
	hold     blueprint.Hold
	proxies  []string
}

type tenant struct {
	blueprint.Tenant
	index int
}

type path struct {
	blueprint.Path
	index int
	pool  *pool
}

type pool struct {
	blueprint.Pool
	index    int
	replicas []*replica
	// Old weights may still be used until then (§6.2).
	oldWeights string
	oldUntil   time.Time
}

// replica is one back end; its load lives on from view to view.
type replica struct {
	blueprint.Replica
	*load
	index int
	share int
}

type load struct {
	bad       atomic.Int64 // refusals of everyone and failures in a row
	coolUntil atomic.Pointer[time.Time]
	running   atomic.Int64 // sent by this proxy and not ended
	sent      atomic.Int64 // by this proxy since the report
	report    atomic.Pointer[report]
}

func newLoad() *load {
	l := &load{}
	l.coolUntil.Store(&time.Time{})
	return l
}

// Report is what a replica says of itself; Number rises with each within a run.
type Report struct {
	Run     string  `json:"run"`
	Number  uint64  `json:"number"`
	Weights string  `json:"weights"`
	Running int     `json:"running"`
	IsWarm  bool    `json:"warm"`
	Rate    float64 `json:"rate"` // bytes of prompt read anew per ms
	// Fetch has, by source, the bytes of prompt that this replica has got per ms; a source that it has not tried is not there.
	Fetch map[string]float64 `json:"fetch,omitempty"`
}

type report struct {
	Report
	at time.Time
}

// indices gives out dense numbers for names, for good.
type indices struct{ byName map[string]int }

func (x *indices) of(name string) int {
	i, isThere := x.byName[name]
	if !isThere {
		i = len(x.byName)
		x.byName[name] = i
	}
	return i
}

// oldWeightsTime is how long old weights may start work after the new ones were learned.
const oldWeightsTime = 12 * time.Second

// compile makes a view of the registers. wasCurrent: the last view was vouched for until now.
func (r *Router) compile(read func(key string) (register.Stamp, register.Fields), keys []string, wasCurrent bool) (*View, error) {
	old := r.view.Load()
	stamp, fields := read(blueprint.Key)
	plan, err := blueprint.FromFields(fields)
	if err != nil {
		return nil, err
	}
	_, told := read(blueprint.ReplicasKey)
	replicas, err := blueprint.Load[blueprint.Replica](told)
	if err != nil {
		return nil, err
	}
	_, partners := read(ProxiesKey)
	v := &View{
		Version: stamp, hold: plan.Hold, tenants: map[string]*tenant{}, access: map[string]*tenant{}, pools: map[string]*pool{},
		replicas: map[string]*replica{},
	}
	for name := range partners {
		v.proxies = append(v.proxies, name)
	}
	sort.Strings(v.proxies)
	for name, t := range plan.Tenants {
		v.tenants[name] = &tenant{t, r.names.of("tenant/" + name)}
	}
	for _, key := range keys {
		owner, isKeys := strings.CutPrefix(key, blueprint.KeysPrefix)
		if t := v.tenants[owner]; isKeys && t != nil {
			_, fields := read(key)
			all, err := blueprint.Load[blueprint.Access](fields)
			if err != nil {
				return nil, err
			}
			for hash, access := range all {
				if !access.IsRevoked && access.Born == t.Born {
					v.access[hash] = t
				}
			}
		}
	}
	for name, p := range plan.Pools {
		made := &pool{Pool: p, index: r.names.of("pool/" + name)}
		if old != nil && old.pools[name] != nil && wasCurrent {
			before := old.pools[name]
			made.oldWeights, made.oldUntil = before.oldWeights, before.oldUntil
			if before.Weights != p.Weights {
				made.oldWeights, made.oldUntil = before.Weights, time.Now().Add(oldWeightsTime)
			}
		}
		v.pools[name] = made
	}
	for name, p := range plan.Paths {
		v.paths = append(v.paths, &path{p, r.names.of("path/" + name), v.pools[p.Pool]})
	}
	sort.Slice(v.paths, func(i, j int) bool {
		a, b := v.paths[i], v.paths[j]
		if len(a.Address) != len(b.Address) {
			return len(a.Address) > len(b.Address)
		}
		if (a.Model == "") != (b.Model == "") {
			return b.Model == ""
		}
		return a.Name < b.Name
	})
	for name, told := range replicas {
		made := &replica{Replica: told, load: newLoad(), index: r.names.of("replica/" + name)}
		if old != nil && old.replicas[name] != nil && old.replicas[name].Address == told.Address {
			made.load = old.replicas[name].load
		}
		made.share = share(told.Limit, v.proxies, r.options.Name, name)
		if p := v.pools[told.Pool]; p != nil {
			p.replicas = append(p.replicas, made)
			if p.Kind == "store" {
				v.stores = append(v.stores, made)
			}
		}
		v.replicas[name] = made
	}
	for _, p := range v.pools {
		sort.Slice(p.replicas, func(i, j int) bool { return p.replicas[i].Name < p.replicas[j].Name })
	}
	return v, nil
}

// share is this proxy's fixed part of a replica's slots; over all proxies the shares add up to the limit (§5.3).
func share(limit int, proxies []string, own, replica string) int {
	if len(proxies) == 0 {
		return limit
	}
	part, rest := limit/len(proxies), limit%len(proxies)
	ranked := append([]string(nil), proxies...)
	sort.Slice(ranked, func(i, j int) bool { return register.Weight(replica, ranked[i]) > register.Weight(replica, ranked[j]) })
	for i, name := range ranked {
		if name == own && i < rest {
			part++
		}
	}
	return part
}

// find gives the path for an address and model.
func (v *View) find(address, model string) *path {
	for _, p := range v.paths {
		isAt := p.Address == address || strings.HasSuffix(p.Address, "/") && strings.HasPrefix(address, p.Address)
		if isAt && (p.Model == "" || p.Model == model) {
			return p
		}
	}
	return nil
}

// isStaffed says whether the platform has told of a replica that is not leaving.
func (p *pool) isStaffed() bool {
	return slices.ContainsFunc(p.replicas, func(rep *replica) bool { return rep.State != "leaving" })
}

// allows says whether a replica with these weights may start work for the pool now.
func (p *pool) allows(weights string, now time.Time) bool {
	if p.Kind == "web" || weights == p.Weights {
		return true
	}
	return weights == p.oldWeights && weights != "" && now.Before(p.oldUntil)
}
