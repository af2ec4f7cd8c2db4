package router

import (
	"encoding/json"
	"net"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"asterridge/config"
	"asterridge/register"
	"asterridge/rendezvous"
)

// View is one compiled state of the world; it is never changed, only replaced. Names are dense indices here.
type View struct {
	Version  register.Revision
	tenants  map[string]*tenant
	access   map[string]*tenant // by hash of the access key
	paths    map[string][]*path // by host, longest address first
	pools    map[string]*pool
	replicas map[string]*replica
	stores   []*replica // of pools that keep prompts for the others
	models   map[string]config.Model
	public   *tenant // of those who need no key
	open     bool    // a fleet declared by numbers without tenants: nobody needs a key
	hold     config.ThrottleRule
	limits   config.Limits
	proxies  []string
	adapters map[string]adapter // by name (§6.6)
}

type tenant struct {
	config.Tenant
	index int
}

type path struct {
	config.Path
	index int
	pools []*pool // of the targets, in their order
}

// pick gives the request's pool by the targets' shares; a request draws the same one each time.
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

type pool struct {
	config.Pool
	index    int
	replicas []*replica
	names    []string // of the replicas that stay
	window   *concurrencyWindow
	answers  *answerTime
	// Old weights may still be used until then (§6.2).
	oldWeights string
	oldUntil   time.Time
}

// replica is one back end; its load lives on from view to view.
type replica struct {
	config.Replica
	*load
	index int
	share int
	order *config.LoadOrder // the last one, if any
}

// version is the newest version of a model that the replica is known to have; they only rise within a replica's life.
func (rep *replica) version(model string) uint64 {
	version := max(1, rep.Models[model], rep.seenVersion.Load())
	if rep.order != nil && rep.order.Done && rep.order.Model == model {
		version = max(version, rep.order.Version)
	}
	return version
}

type load struct {
	bad         atomic.Int64 // refusals of everyone and failures in a row
	coolUntil   atomic.Pointer[time.Time]
	running     atomic.Int64 // sent by this proxy and not ended
	sent        atomic.Int64 // by this proxy since the report
	report      atomic.Pointer[report]
	pending     atomic.Int64  // of prompts sent by this proxy, what the replica has to read before their first pieces
	rateBits    atomic.Uint64 // learned: units of prompt read per ms
	seen        atomic.Pointer[Occupancy]
	seenVersion atomic.Uint64
}

// Occupancy is what a replica tells of its load: in an answer, or to the core that asks it for all.
type Occupancy struct {
	Running, Waiting, Slots int
	Free                    int // units of prompts that fit beside what runs; 0: not told
	at                      time.Time
}

// Taken is the part of it that is told to all, as one field.
func (o Occupancy) Taken() json.RawMessage {
	raw, _ := json.Marshal([]int{o.Running, o.Waiting, o.Free}) // whole numbers always encode
	return raw
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
	Warm    bool    `json:"warm"`
	Rate    float64 `json:"rate"` // bytes of prompt read anew per ms
	// Fetch has, by source, the bytes of prompt that this replica has got per ms; a source that it has not tried is not there.
	Fetch map[string]float64 `json:"fetch,omitempty"`
	AdapterReport
}

type report struct {
	Report
	at time.Time
}

// indices gives out dense numbers for names, for good.
type indices struct{ byName map[string]int }

func (x *indices) of(name string) int {
	i, ok := x.byName[name]
	if !ok {
		i = len(x.byName)
		x.byName[name] = i
	}
	return i
}

// oldWeightsTime is how long old weights may start work after the new ones were learned, if the options do not say.
const oldWeightsTime = 12 * time.Second

// compile makes a view of the registers. wasCurrent: the last view was vouched for until now.
func (r *Router) compile(read func(key string) (register.Revision, register.Fields), keys []string, wasCurrent bool) (*View, error) {
	old := r.view.Load()
	revision, fields := read(config.Key)
	plan, err := config.FromFields(fields)
	if err != nil {
		return nil, err
	}
	_, listed := read(config.ReplicasKey)
	replicas, err := config.Load[config.Replica](listed)
	if err != nil {
		return nil, err
	}
	_, peers := read(ProxiesKey)
	v := &View{
		Version: revision, hold: plan.Throttle, limits: plan.Limits, tenants: map[string]*tenant{}, access: map[string]*tenant{}, pools: map[string]*pool{},
		replicas: map[string]*replica{}, paths: map[string][]*path{},
		public: &tenant{config.Tenant{Weight: 1, Backlog: publicBacklog, Scope: "pool"}, r.names.of("public")},
	}
	_, versions := read(config.ModelsKey)
	if v.models, err = config.Load[config.Model](versions); err != nil {
		return nil, err
	}
	if err := v.compileAdapters(plan, read); err != nil {
		return nil, err
	}
	_, reported := read(config.LoadsKey)
	orders, err := config.Load[config.LoadOrder](reported)
	if err != nil {
		return nil, err
	}
	for name := range peers {
		v.proxies = append(v.proxies, name)
	}
	sort.Strings(v.proxies)
	v.open = plan.Open
	for name, t := range plan.Tenants {
		made := &tenant{t, r.names.of("tenant/" + name)}
		v.tenants[name] = made
		for _, hash := range t.Keys {
			v.access[hash] = made
		}
	}
	for _, key := range keys {
		owner, isKeys := strings.CutPrefix(key, config.KeysPrefix)
		if t := v.tenants[owner]; isKeys && t != nil {
			_, fields := read(key)
			all, err := config.Load[config.Access](fields)
			if err != nil {
				return nil, err
			}
			for hash, access := range all {
				if !access.Revoked && access.TenantVersion == t.CreatedVersion {
					v.access[hash] = t
				}
			}
		}
	}
	for name, p := range plan.Pools {
		made := &pool{Pool: p, index: r.names.of("pool/" + name)}
		cached, _ := r.windows.LoadOrStore(name, &concurrencyWindow{})
		made.window, made.answers = cached.(*concurrencyWindow), &answerTime{}
		if old != nil && old.pools[name] != nil {
			made.answers = old.pools[name].answers
		}
		if old != nil && old.pools[name] != nil && wasCurrent {
			before := old.pools[name]
			made.oldWeights, made.oldUntil = before.oldWeights, before.oldUntil
			if before.Weights != p.Weights {
				made.oldWeights, made.oldUntil = before.Weights, time.Now().Add(r.options.OldWeightsLimit)
			}
		}
		v.pools[name] = made
	}
	for name, p := range plan.Paths {
		made := &path{Path: p, index: r.names.of("path/" + name)}
		for _, target := range p.Pools() {
			made.pools = append(made.pools, v.pools[target.Pool])
		}
		host := strings.ToLower(p.Host)
		v.paths[host] = append(v.paths[host], made)
	}
	for _, paths := range v.paths {
		sort.Slice(paths, func(i, j int) bool {
			a, b := paths[i], paths[j]
			if len(a.Address) != len(b.Address) {
				return len(a.Address) > len(b.Address)
			}
			if (a.Model == "") != (b.Model == "") {
				return b.Model == ""
			}
			return a.Name < b.Name
		})
	}
	for name, p := range v.pools {
		if p.Kind == config.StorePool && p.Address != "" {
			v.stores = append(v.stores, &replica{Replica: config.Replica{Name: StoreName(name), Address: p.Address, Pool: name, Zone: p.Zone, State: config.ReplicaPresent}, load: newLoad()})
		}
	}
	for name, reported := range replicas {
		made := &replica{Replica: reported, load: newLoad(), index: r.names.of("replica/" + name)}
		if order, ok := orders[name]; ok {
			made.order = &order
		}
		if old != nil && old.replicas[name] != nil && old.replicas[name].Address == reported.Address {
			made.load = old.replicas[name].load
		}
		made.share = share(reported.Limit, v.proxies, r.options.Name, name)
		if p := v.pools[reported.Pool]; p != nil {
			p.replicas = append(p.replicas, made)
			if p.Kind == config.StorePool {
				v.stores = append(v.stores, made)
			}
		}
		v.replicas[name] = made
	}
	for _, p := range v.pools {
		sort.Slice(p.replicas, func(i, j int) bool { return p.replicas[i].Name < p.replicas[j].Name })
		for _, rep := range p.replicas {
			if rep.State != config.ReplicaDraining {
				p.names = append(p.names, rep.Name)
			}
		}
	}
	return v, nil
}

// share is this proxy's fixed part of a replica's slots; over all proxies the shares add up to the limit (§5.3).
func share(limit int, proxies []string, own, replica string) int {
	if len(proxies) == 0 {
		return limit
	}
	element, remaining := limit/len(proxies), limit%len(proxies)
	if remaining == 0 || !slices.Contains(proxies, own) {
		return element
	}
	rank, weight := 0, rendezvous.Weight(replica, own)
	for _, name := range proxies {
		if rendezvous.Weight(replica, name) > weight {
			rank++
		}
	}
	if rank < remaining {
		element++
	}
	return element
}

const (
	publicBacklog = 1024
	storeName     = "store:" // in the index, before the pool's name
)

// find gives the path for a host, address and model. A path of the host goes before one of any host.
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

// isPublic says whether some path at the address needs no access key.
func (v *View) isPublic(host, address, model string) bool {
	p := v.find(host, address, model)
	return p != nil && p.Public
}

// isStaffed says whether the platform has told of a replica that is not leaving.
func (p *pool) isStaffed() bool {
	return slices.ContainsFunc(p.replicas, func(rep *replica) bool { return rep.State != config.ReplicaDraining })
}

// allows says whether a replica with these weights may start work for the pool now.
func (p *pool) allows(weights string, now time.Time) bool {
	if p.Kind == config.WebPool || weights == p.Weights {
		return true
	}
	return weights == p.oldWeights && weights != "" && now.Before(p.oldUntil)
}
