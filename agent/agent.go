package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/daemon"
	"asterridge/disk"
	"asterridge/gossip"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/replicaclient"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/throttle"
	"asterridge/watch"
)

// The limits of §3.2.
const (
	reportInterval = 300 * time.Millisecond
)

// Agent keeps the links to the cores and feeds the proxy beside it.
type Agent struct {
	host          daemon.Host
	options       Options
	dialect       router.Dialect
	rpc           *rpc.Client
	replicaClient *http.Client
	proxyUpdates  *watch.Server
	throttles     *throttle.Table
	detector      *gossip.Detector
	disk          disk.Disk // may be nil: then what was learned of the cores is lost with the process

	mu               sync.Mutex
	members          []config.Member
	previousMembers  []config.Member          // the list before, while keys are carried over from it
	cores            map[string]*watch.Client // by core's address
	applied          map[string]register.Revision
	undecided        map[string]undecidedVersion
	currentUntil     time.Time // current until then, as last worked out
	notCurrentReason string
	loggedCurrent    bool // as the log has it
	proxies          register.Fields
	unresponsive     map[string]bool // members, by address
	quorumSince      time.Time       // since when a majority of the members answers; zero: it does not
	modelVersions    router.Named
	cacheReaders     map[string]string // by key of news of kept prompts: the core they are taken from
	stopPolling      map[string]context.CancelFunc
	polled           map[string]config.Replica
}

// Options of an agent; what is zero has its usual value.
type Options struct {
	Dialect        router.Dialect
	FreshLimit     time.Duration // T
	UndecidedLimit time.Duration // U
	WatchWait      time.Duration // how long an ask is held by a core
	Grace          time.Duration // how long it goes on beside a proxy that has yet to stop
}

// New makes an agent. On its disk, if it has one, it keeps where the cores are.
func New(host daemon.Host, d disk.Disk, options Options) *Agent {
	if options.Dialect == nil {
		options.Dialect = router.ChatDialect{}
	}
	if options.FreshLimit == 0 {
		options.FreshLimit = protocol.FreshLimit
	}
	if options.UndecidedLimit == 0 {
		options.UndecidedLimit = protocol.UndecidedLimit
	}
	if options.WatchWait == 0 {
		options.WatchWait = protocol.DefaultWatchWait
	}
	a := &Agent{
		disk: d, options: options,
		host: host, dialect: options.Dialect, rpc: rpc.NewClient(host.Fleet, host.Net),
		replicaClient: replicaclient.NewReplicaClient(host.Net),
		cores:         map[string]*watch.Client{}, applied: map[string]register.Revision{}, undecided: map[string]undecidedVersion{},
		notCurrentReason: "no core found yet", proxies: register.Fields{}, unresponsive: map[string]bool{}, cacheReaders: map[string]string{}, stopPolling: map[string]context.CancelFunc{}, polled: map[string]config.Replica{},
	}
	a.detector = daemon.NewDetector(host, "agent", a.rpc)
	a.proxyUpdates = watch.NewServer(watch.ServerOptions{ValidFor: a.remaining})
	a.throttles = throttle.NewTable(func(e throttle.Entry) {
		raw, _ := json.Marshal(e.Notice) // a plain struct always encodes
		a.proxyUpdates.Publish(router.HoldKey, register.Revision{}, register.Revision{}, register.Fields{e.Scope: raw}, false)
	})
	return a
}

// Serve runs the agent: local is the loopback side for its proxy, listener the side for the cores.
func (a *Agent) Serve(stopped context.Context, local, listener net.Listener) error {
	ctx, stop := context.WithCancel(context.WithoutCancel(stopped))
	defer stop()
	go func() {
		defer stop()
		<-stopped.Done()
		a.awaitProxyStop()
	}()
	mux, fleet := http.NewServeMux(), a.host.Fleet
	mux.Handle("POST /agent/pull", rpc.Handler(fleet, a.proxyUpdates.Watch))
	mux.Handle("POST /agent/hold", rpc.Handler(fleet, a.forwardThrottle))
	mux.Handle("POST /agent/claim", rpc.Handler(fleet, a.forwardClaim))
	outer := http.NewServeMux()
	daemon.HandleGossip(outer, fleet, a.detector)
	daemon.HandleMetrics(outer, a.gauges)
	outer.Handle("POST /agent/query", rpc.Handler(fleet, a.handleQuery))
	outer.Handle("POST /core/hello", rpc.Handler(fleet, a.handleHello))
	rpc.HandleReady(outer, func() bool { return a.remaining() > 0 })
	go daemon.Every(ctx, protocol.HelloInterval, func() { a.discoverCores(ctx) })
	go daemon.Every(ctx, protocol.CacheReaderInterval, a.switchCacheReaders)
	go a.detector.Run(ctx)
	go daemon.Every(ctx, time.Minute, func() { a.throttles.Prune(time.Hour) })
	go func() { _ = daemon.Serve(ctx, listener, outer, time.Second) }()
	a.host.Log.Info().Str("event", "agent_up").Str("address", a.host.Address).Msg("")
	return daemon.Serve(ctx, local, mux, time.Second)
}

// awaitProxyStop goes on beside a proxy that is stopping, so that it stays current until its last request is answered.
func (a *Agent) awaitProxyStop() {
	for end := time.Now().Add(a.options.Grace); time.Now().Before(end); {
		ok := false
		for _, s := range a.proxyUpdates.ClientStates(protocol.LivenessTimeout) {
			ok = ok || s.Role == "proxy"
		}
		if !ok || rpc.Sleep(context.Background(), protocol.HelloInterval) != nil {
			return
		}
	}
}

func (a *Agent) handleHello(context.Context, protocol.Hello) (protocol.Hello, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return protocol.Hello{Name: a.host.Name, Role: "agent", Address: a.host.Address, Zone: a.host.Zone, Members: a.members}, nil
}

// discoverCores asks the seeds for the members until some are known, and links to each member.
func (a *Agent) discoverCores(ctx context.Context) {
	a.mu.Lock()
	known := a.members
	a.mu.Unlock()
	if len(known) > 0 {
		a.connectCores(ctx, known)
		return
	}
	for _, seed := range a.seedAddresses() {
		short, stop := context.WithTimeout(ctx, time.Second)
		h, err := rpc.Call[protocol.Hello](short, a.rpc, seed, "/core/hello", protocol.Hello{})
		stop()
		if err == nil && len(h.Members) > 0 {
			a.connectCores(ctx, h.Members)
			return
		}
	}
}

// seedAddresses is whom to ask for the members: the seeds, what the ring has heard of, and what was kept from an earlier life.
func (a *Agent) seedAddresses() []string {
	all := slices.Clone(a.host.Seeds)
	for _, d := range a.detector.Nodes()[1:] {
		all = append(all, d.Address)
	}
	if a.disk != nil {
		var recorded []string
		raw, err := a.disk.Get(protocol.IdentityFolder, coresFile)
		if err == nil && json.Unmarshal(raw, &recorded) == nil {
			all = append(all, recorded...)
		}
	}
	return all
}

// recordCores writes down where the cores are; a.mu is held, the disk is not waited for.
func (a *Agent) recordCores() {
	if a.disk == nil {
		return
	}
	var addresses []string
	for _, m := range a.members {
		addresses = append(addresses, m.Address)
	}
	raw, _ := json.Marshal(addresses) // strings always encode
	go func() {
		if err := a.disk.Put(protocol.IdentityFolder, coresFile, raw); err != nil {
			a.host.Log.Warn().Str("event", "cores_not_kept").Err(err).Msg("")
		}
	}()
}

const coresFile = "cores"

func (a *Agent) connectCores(ctx context.Context, members []config.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.members) == 0 {
		a.members = members
	}
	for address, f := range a.cores {
		if !containsAddress(a.members, address) && !containsAddress(a.previousMembers, address) {
			f.Stop()
			delete(a.cores, address)
		}
	}
	for _, m := range slices.Concat(a.members, a.previousMembers) {
		if a.cores[m.Address] == nil {
			f := watch.NewClient(watch.ClientOptions{
				RPC: a.rpc, Address: m.Address, Path: "/core/pull", Wait: a.options.WatchWait, Request: a.watchRequest,
				OnUpdate: func(f *watch.Client, answer watch.Response) { // the rest is looked at in digest, which follows each answer
					protocol.MergeThrottles(a.throttles, answer)
					a.forwardCached(f, answer)
					a.forwardModelVersions(answer)
					a.forwardOccupancy(answer)
				},
				OnResponse: func(*watch.Client, time.Time, time.Duration) { a.applyUpdates(ctx) },
			})
			a.cores[m.Address] = f
			go f.Run(ctx)
		}
	}
}

func containsAddress(members []config.Member, address string) bool {
	return slices.ContainsFunc(members, func(m config.Member) bool { return m.Address == address })
}

func (a *Agent) watchRequest() watch.Request {
	status := protocol.AgentStatus{Address: a.host.Address, Zone: a.host.Zone, Current: a.remaining() > 0}
	request := watch.Request{Name: a.host.Name, Role: "agent"}
	for _, s := range a.proxyUpdates.ClientStates(protocol.LivenessTimeout) {
		var p router.Status
		if s.Role == "proxy" && json.Unmarshal(s.Status, &p) == nil {
			status.Proxy, request.Applied = &p, s.Applied
		}
	}
	a.mu.Lock()
	status.NotCurrentReason = a.notCurrentReason
	a.mu.Unlock()
	request.Status, _ = json.Marshal(status) // a plain struct always encodes
	return request
}

// applyUpdates applies what is known to be accepted, and works out until when this agent is current (§3.2).
func (a *Agent) applyUpdates(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.evaluateCurrency()
	a.detectDisturbance()
	peers := register.Fields{}
	for _, f := range a.cores {
		if time.Since(f.FreshAt()) < a.options.FreshLimit {
			for name, raw := range f.Read(router.ProxiesKey).Fields {
				peers[name] = raw
			}
		}
	}
	if change := config.Delta(a.proxies, peers); len(change) > 0 && len(peers) > 0 {
		a.proxies = peers
		a.proxyUpdates.Publish(router.ProxiesKey, register.Revision{}, register.Revision{}, change, false)
	}
	if a.dialect.ReportPath() != "" {
		a.pollReplicas(ctx)
	}
}

// forwardOccupancy passes on the load of replicas; an older word than was had does no harm for long.
func (a *Agent) forwardOccupancy(answer watch.Response) {
	for _, e := range answer.Updates {
		if e.Key == router.OccupancyKey && len(e.Fields) > 0 && !answer.Snapshot {
			a.proxyUpdates.PublishDeferred(e.Key, e.Fields, false)
		}
	}
}

// forwardModelVersions passes on since when versions are named, as the core knows it that has known it for longest.
func (a *Agent) forwardModelVersions(answer watch.Response) {
	for _, e := range answer.Updates {
		if e.Key != router.NamedKey {
			continue
		}
		if moved := a.modelVersions.Learn(e.Fields, e.AgesMs); len(moved) > 0 {
			a.proxyUpdates.Publish(router.NamedKey, register.Revision{}, register.Revision{}, moved, false)
		}
	}
}
