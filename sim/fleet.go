package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"asterridge/agent"
	"asterridge/apierror"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/daemon"
	"asterridge/fake"
	"asterridge/proxy"
	"asterridge/rpc"
)

// FleetOptions configure a simulated fleet.
type FleetOptions struct {
	Cores, Proxies, Replicas int
	Seed                     uint64
	Config                   string
	Tenants                  []string // each gets the access key NAME-key
	Log                      zerolog.Logger
	ClaimRetention           time.Duration
	BodyMemory               int64
	PrefixIndexSize          int                 // entries of the proxies' index; 0: 200000, less: none
	Replica                  fake.ReplicaOptions // what all replicas share
	Names                    []string            // of the replicas: POOL-N; kinds web and store by their pool's name; none: pool-1, pool-2 …
	Founders                 []string            // the cores' founders and seeds; nil: each core's own address and its neighbours
	Core                     controlplane.Options
	Agent                    agent.Options
	ChangeCoreHost           func(i int, p *daemon.Host)      // changes where a core stands, before it starts; nil: nothing
	Backend                  func(i int) controlplane.Backend // how a core speaks with a platform; nil: not at all
	Wrap                     func(n rpc.Network) rpc.Network  // stands between each daemon and the network; nil: nothing
}

// Fleet is a fleet of cores, agents, proxies and fake replicas inside one synctest bubble.
type Fleet struct {
	Options  FleetOptions
	Net      *Network
	Disks    []*Disk
	Replicas map[string]*fake.Replica
	Wire     *rpc.Client
	Client   *http.Client

	mu         sync.Mutex
	kills      map[string]context.CancelFunc // by host
	running    sync.WaitGroup
	Proxies    []*proxy.Proxy
	Cores      map[int]*controlplane.Core // as last started and serving
	Ledgers    fake.Ledgers
	FactLog    fake.FactLog
	AgentSeeds []string // of agents started from now on
	AgentDisks map[int]*Disk
	dead       map[string]bool          // hosts that were killed and not started again
	asked      atomic.Int64             // by hand
	clockSkews map[string]time.Duration // of wall clocks, by host
	replaced   map[int]bool             // core machines that were replaced for good
}

// CoreIP returns the address of the nth core machine.
func CoreIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// ProxyIP returns the address of the nth machine with an agent and a proxy.
func ProxyIP(i int) string { return fmt.Sprintf("10.0.1.%d", i+1) }

// ReplicaIP returns the address of the nth replica.
func ReplicaIP(i int) string { return fmt.Sprintf("10.0.2.%d", i+1) }

// CallerIP is the address from which clients and operators connect.
const CallerIP = "10.0.9.1"

// At returns the address of a host's main port.
func At(ip string) string { return ip + ":7000" }

// fleetName is the name of every simulated fleet.
const fleetName = "sim"

// NewFleet creates the network and the disks, and starts every process.
func NewFleet(o FleetOptions) *Fleet {
	f := &Fleet{Options: o, Net: NewNetwork(time.Millisecond), Replicas: map[string]*fake.Replica{}, kills: map[string]context.CancelFunc{},
		Proxies: make([]*proxy.Proxy, o.Proxies), AgentDisks: map[int]*Disk{}, Cores: map[int]*controlplane.Core{}, replaced: map[int]bool{}, dead: map[string]bool{}, clockSkews: map[string]time.Duration{}, AgentSeeds: []string{At(CoreIP(0)), At(CoreIP(1)), At(CoreIP(2))}}
	outside := f.Net.Host(CallerIP)
	f.Wire = rpc.NewClient(fleetName, outside)
	f.Client = &http.Client{Transport: &http.Transport{DialContext: outside.DialContext, MaxIdleConnsPerHost: 256}}
	for range o.Cores {
		f.Disks = append(f.Disks, NewDisk())
	}
	for i := range o.Cores {
		f.StartCore(i)
	}
	for i := range o.Replicas {
		f.StartReplica(i)
	}
	if len(o.Names) == 0 {
		f.StartReplica(webIndex)
	}
	for i := range o.Proxies {
		f.StartPair(i)
	}
	return f
}

// launch runs a process on a host until the host is killed.
func (f *Fleet) launch(ip string, run func(ctx context.Context)) {
	f.mu.Lock()
	ctx, kill := context.WithCancel(context.Background())
	f.kills[ip] = kill
	delete(f.dead, ip)
	f.mu.Unlock()
	f.running.Go(func() { run(ctx) })
}

// Kill ends all processes of a host at once.
func (f *Fleet) Kill(ip string) {
	f.mu.Lock()
	kill := f.kills[ip]
	f.dead[ip] = true
	f.mu.Unlock()
	f.Net.Freeze(ip, false)
	f.Net.Crash(ip)
	if kill != nil {
		kill()
	}
	f.Net.Crash(ip)
}

// host returns a host's side of the network.
func (f *Fleet) host(name, ip, zone string) daemon.Host {
	var network rpc.Network = f.Net.Host(ip)
	if f.Options.Wrap != nil {
		network = f.Options.Wrap(network)
	}
	return daemon.Host{Name: name, Fleet: fleetName, Zone: zone, Address: At(ip), Net: network, Log: f.Options.Log.With().Str("daemon", name).Logger(),
		Clock: func() time.Time {
			f.mu.Lock()
			defer f.mu.Unlock()
			return time.Now().Add(f.clockSkews[ip])
		}}
}

// JumpClock moves a machine's wall clock.
func (f *Fleet) JumpClock(ip string, by time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clockSkews[ip] += by
}

// must panics on an error: a simulation that cannot be set up is a fault of its test.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// StartCore starts a core on its disk. As with the other starts, what ran on the host before is killed.
func (f *Fleet) StartCore(i int) {
	f.Kill(CoreIP(i))
	p := f.host(fmt.Sprintf("core-%d", i+1), CoreIP(i), fmt.Sprintf("zone-%d", i+1))
	for back := 1; back <= 3; back++ { // its three neighbours; for a machine that was not there before, the last three
		j := i - back
		if i < f.Options.Cores {
			j = (i + back) % f.Options.Cores
		}
		p.Seeds = append(p.Seeds, At(CoreIP(j)))
	}
	if f.Options.Founders != nil {
		p.BootstrapPeers, p.Seeds = f.Options.Founders, f.Options.Founders
	}
	if f.Options.ChangeCoreHost != nil {
		f.Options.ChangeCoreHost(i, &p)
	}
	o := f.Options.Core
	if f.Options.Backend != nil {
		o.Backend = f.Options.Backend(i)
	}
	o.Endpoints = func(c *controlplane.Core, _ *http.ServeMux) { // it can be asked from now on
		f.mu.Lock()
		defer f.mu.Unlock()
		f.Cores[i] = c
	}
	if o.ClaimRetention == 0 {
		o.ClaimRetention = f.Options.ClaimRetention
	}
	f.mu.Lock()
	if i == len(f.Disks) { // a machine that was not there before
		f.Disks = append(f.Disks, NewDisk())
	}
	f.mu.Unlock()
	d := f.Disks[i].Open()
	f.launch(CoreIP(i), func(ctx context.Context) {
		core, err := controlplane.New(p, d, o) // waits while the disk stalls
		if err != nil {
			f.Options.Log.Error().Err(err).Msg("core not started")
			f.mu.Lock()
			defer f.mu.Unlock()
			f.dead[CoreIP(i)] = f.dead[CoreIP(i)] || ctx.Err() == nil // a full disk that is empty of this core: until somebody starts it again
			return
		}
		if ctx.Err() != nil {
			return
		}
		listener, err := p.Net.Listen(p.Address)
		if err != nil {
			return // another start was quicker
		}
		_ = core.Serve(ctx, listener) // it ends when its host is killed
	})
}

// StartPair starts a machine's agent and proxy.
func (f *Fleet) StartPair(i int) {
	ip := ProxyIP(i)
	f.Kill(ip)
	p := f.host(fmt.Sprintf("agent-%d", i+1), ip, fmt.Sprintf("zone-%d", i%4+1))
	p.Seeds = f.AgentSeeds
	f.mu.Lock()
	if f.AgentDisks[i] == nil {
		f.AgentDisks[i] = NewDisk()
	}
	remaining := f.AgentDisks[i].Open()
	f.mu.Unlock()
	agent := agent.New(p, remaining, f.Options.Agent)
	local, outer := must(p.Net.Listen(ip+":7001")), must(p.Net.Listen(p.Address))
	q := p
	q.Name, q.Log = fmt.Sprintf("proxy-%d", i+1), f.Options.Log.With().Str("daemon", fmt.Sprintf("proxy-%d", i+1)).Logger()
	index := f.Options.PrefixIndexSize
	if index == 0 {
		index = 200000
	}
	proxy := proxy.New(q, proxy.Options{Agent: ip + ":7001", Admin: ip + ":7003", Grace: time.Second, Seed: f.Options.Seed, PrefixIndexSize: index, BodyMemory: f.Options.BodyMemory})
	callers, admin := must(p.Net.Listen(ip+":7002")), must(p.Net.Listen(ip+":7003"))
	f.mu.Lock()
	f.Proxies[i] = proxy
	f.mu.Unlock()
	f.launch(ip, func(ctx context.Context) {
		var both sync.WaitGroup
		both.Go(func() { _ = agent.Serve(ctx, local, outer) })   // it ends when its host is killed
		both.Go(func() { _ = proxy.Serve(ctx, callers, admin) }) // it ends when its host is killed
		both.Wait()
	})
}

// ReplicaName returns the name of replica i of the pool "pool".
func ReplicaName(i int) string { return fmt.Sprintf("pool-%d", i+1) }

// webIndex is the position of a web back end among replicas without names of their own.
const webIndex = 90

// name returns a replica's name and its pool.
func (f *Fleet) name(i int) (name, pool string) {
	name = ReplicaName(i)
	if i == webIndex {
		name = "web-1"
	}
	if i < len(f.Options.Names) {
		name = f.Options.Names[i]
	}
	pool, _, _ = strings.Cut(name, "-")
	return name, pool
}

// StartReplica starts a fake replica with the weights that it has at its start.
func (f *Fleet) StartReplica(i int) {
	o := f.Options.Replica
	name, pool := f.name(i)
	o.Name = name
	if pool == config.WebPool || pool == config.StorePool {
		o.Kind = pool
	}
	if at := slices.Index(f.Options.Names, "store-1"); at >= 0 && at != i {
		o.Store = At(ReplicaIP(at))
	}
	o.Client = &http.Client{Transport: &http.Transport{DialContext: f.Net.Host(ReplicaIP(i)).DialContext}}
	o.Ledger = func(r fake.Run) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.Ledgers.Runs = append(f.Ledgers.Runs, r)
	}
	r := fake.NewReplica(o)
	f.mu.Lock()
	f.Replicas[o.Name] = r
	f.mu.Unlock()
	ip := ReplicaIP(i)
	f.Kill(ip)
	listener := must(f.Net.Host(ip).Listen(At(ip)))
	f.launch(ip, func(ctx context.Context) {
		server := &http.Server{Handler: r.Handler()}
		go func() { <-ctx.Done(); _ = server.Close() }() // it ends when its host is killed
		_ = server.Serve(listener)                       // it ends when its host is killed
	})
}

// Order sends a change to a core.
func (f *Fleet) Order(core int, name string, q any) (controlplane.Accepted, error) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	a, err := rpc.Call[controlplane.Accepted](ctx, f.Wire, At(CoreIP(core)), "/op/"+name, q)
	if err == nil || apierror.Of(err).Code.Executed != apierror.NotRun {
		f.FactLog.Order(name, q, a.Version, err != nil)
	}
	return a, err
}

// Query asks a core for rows.
func (f *Fleet) Query(core int, what string) (controlplane.QueryResponse, error) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	return rpc.Call[controlplane.QueryResponse](ctx, f.Wire, At(CoreIP(core)), "/query", controlplane.Query{Kind: what})
}

// replicaUpdate returns a replica's entry in the platform's list.
func (f *Fleet) replicaUpdate(i int, state string) string {
	name, pool := f.name(i)
	return fmt.Sprintf(`{"name":%q,"address":%q,"pool":%q,"zone":"zone-%d","limit":%d,"state":%q}`, name, At(ReplicaIP(i)), pool, i%4+1, f.Options.Replica.Limit, state)
}

// Configure waits until the fleet has been bootstrapped, and applies its configuration, keys and replicas.
func (f *Fleet) Configure() {
	f.Until(10*time.Second, "a founded fleet takes the configuration", func() bool {
		_, err := f.Order(0, config.Key, controlplane.ConfigChange{Text: json.RawMessage(f.Options.Config)})
		return err == nil
	})
	for _, tenant := range f.Options.Tenants {
		must(f.Order(0, "keys", controlplane.AccessKeyChange{Tenant: tenant, Hash: config.HashKey(tenant + "-key")}))
	}
	var updates []string
	for i := range f.Options.Replicas {
		updates = append(updates, f.replicaUpdate(i, "present"))
	}
	if len(f.Options.Names) == 0 {
		updates = append(updates, f.replicaUpdate(webIndex, "present"))
	}
	must(f.Order(0, "replicas", controlplane.ReplicasChange{Text: json.RawMessage(`{"replicas":[` + strings.Join(updates, ",") + `]}`)}))
	f.Until(10*time.Second, "all proxies are ready", f.AreReady)
	time.Sleep(time.Second) // replicas have reported, and the proxies know of each other
}

// AreReady reports whether every proxy serves.
func (f *Fleet) AreReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.Proxies {
		if !p.Router.IsReady() {
			return false
		}
	}
	return true
}

// Until waits in fake time for a condition, and panics if it does not come true.
func (f *Fleet) Until(limit time.Duration, what string, so func() bool) time.Duration {
	began := time.Now()
	for !so() {
		if time.Since(began) > limit {
			panic("not within " + limit.String() + ": " + what)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// ProxyAddress returns the address at which clients reach a proxy.
func ProxyAddress(i int) string { return ProxyIP(i) + ":7002" }
