package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/disk"
	"asterridge/gossip"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/throttle"
	"asterridge/watch"
)

// The limits of §3.2.
const (
	freshLimit     = 1200 * time.Millisecond // T
	undecidedLimit = 500 * time.Millisecond  // U
	reportStep     = 300 * time.Millisecond
	reportLimit    = time.Second
)

// Agent keeps the links to the cores and feeds the proxy beside it.
type Agent struct {
	host    Host
	options AgentOptions
	dialect router.Dialect
	wire    *rpc.Client
	plain   *http.Client
	source  *watch.Server
	table   *throttle.Table
	ring    *gossip.Detector
	disk    disk.Disk // may be nil: then what was learned of the cores is lost with the process

	mu           sync.Mutex
	members      []config.Member
	prior        []config.Member          // the list before, while keys are carried over from it
	links        map[string]*watch.Client // by core's address
	applied      map[string]register.Revision
	undecided    map[string]doubt
	until        time.Time // current until then, as last worked out
	why          string
	saidCurrent  bool // as the log has it
	proxies      register.Fields
	silent       map[string]bool // members, by address
	hearingSince time.Time       // since when a majority of the members answers; zero: it does not
	named        router.Named
	readers      map[string]string // by key of news of kept prompts: the core they are taken from
	replicas     map[string]context.CancelFunc
	watched      map[string]config.Replica
}

// AgentOptions of an agent; what is zero has its usual value.
type AgentOptions struct {
	Dialect   router.Dialect
	Fresh     time.Duration // T
	Undecided time.Duration // U
	LinkWait  time.Duration // how long an ask is held by a core
	Grace     time.Duration // how long it goes on beside a proxy that has yet to stop
}

// NewAgent makes an agent. On its disk, if it has one, it keeps where the cores are.
func NewAgent(host Host, d disk.Disk, options AgentOptions) *Agent {
	if options.Dialect == nil {
		options.Dialect = router.ChatDialect{}
	}
	if options.Fresh == 0 {
		options.Fresh = freshLimit
	}
	if options.Undecided == 0 {
		options.Undecided = undecidedLimit
	}
	if options.LinkWait == 0 {
		options.LinkWait = DefaultWatchWait
	}
	a := &Agent{
		disk: d, options: options,
		host: host, dialect: options.Dialect, wire: rpc.NewClient(host.Fleet, host.Net),
		plain: newPlain(host.Net),
		links: map[string]*watch.Client{}, applied: map[string]register.Revision{}, undecided: map[string]doubt{},
		why: "no core found yet", proxies: register.Fields{}, silent: map[string]bool{}, readers: map[string]string{}, replicas: map[string]context.CancelFunc{}, watched: map[string]config.Replica{},
	}
	a.ring = NewDetector(host, "agent", a.wire)
	a.source = watch.NewServer(watch.ServerOptions{ValidFor: a.remaining})
	a.table = throttle.NewTable(func(e throttle.Entry) {
		raw, _ := json.Marshal(e.Notice) // a plain struct always encodes
		a.source.Publish(router.HoldKey, register.Revision{}, register.Revision{}, register.Fields{e.Scope: raw}, false)
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
		a.seeOff()
	}()
	mux, fleet := http.NewServeMux(), a.host.Fleet
	mux.Handle("POST /agent/pull", rpc.Handler(fleet, a.source.Watch))
	mux.Handle("POST /agent/hold", rpc.Handler(fleet, a.tellHold))
	mux.Handle("POST /agent/claim", rpc.Handler(fleet, a.claim))
	outer := http.NewServeMux()
	HandleGossip(outer, fleet, a.ring)
	HandleMetrics(outer, a.figures)
	outer.Handle("POST /agent/query", rpc.Handler(fleet, a.query))
	outer.Handle("POST /core/hello", rpc.Handler(fleet, a.hello))
	rpc.HandleReady(outer, func() bool { return a.remaining() > 0 })
	go Every(ctx, HelloInterval, func() { a.discover(ctx) })
	go Every(ctx, readerInterval, a.changeReaders)
	go a.ring.Run(ctx)
	go Every(ctx, time.Minute, func() { a.table.Prune(time.Hour) })
	go func() { _ = Serve(ctx, listener, outer, time.Second) }()
	a.host.Log.Info().Str("event", "agent_up").Str("address", a.host.Address).Msg("")
	return Serve(ctx, local, mux, time.Second)
}

// seeOff goes on beside a proxy that is stopping, so that it stays current until its last request is answered.
func (a *Agent) seeOff() {
	for end := time.Now().Add(a.options.Grace); time.Now().Before(end); {
		ok := false
		for _, s := range a.source.ClientStates(LivenessTimeout) {
			ok = ok || s.Role == "proxy"
		}
		if !ok || rpc.Sleep(context.Background(), HelloInterval) != nil {
			return
		}
	}
}

func (a *Agent) hello(context.Context, Hello) (Hello, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Hello{Name: a.host.Name, Role: "agent", Address: a.host.Address, Zone: a.host.Zone, Members: a.members}, nil
}

// discover asks the seeds for the members until some are known, and links to each member.
func (a *Agent) discover(ctx context.Context) {
	a.mu.Lock()
	known := a.members
	a.mu.Unlock()
	if len(known) > 0 {
		a.connect(ctx, known)
		return
	}
	for _, seed := range a.asked() {
		short, stop := context.WithTimeout(ctx, time.Second)
		h, err := rpc.Call[Hello](short, a.wire, seed, "/core/hello", Hello{})
		stop()
		if err == nil && len(h.Members) > 0 {
			a.connect(ctx, h.Members)
			return
		}
	}
}

// asked is whom to ask for the members: the seeds, what the ring has heard of, and what was kept from an earlier life.
func (a *Agent) asked() []string {
	all := slices.Clone(a.host.Seeds)
	for _, d := range a.ring.Nodes()[1:] {
		all = append(all, d.Address)
	}
	if a.disk != nil {
		var kept []string
		raw, err := a.disk.Get(IdentityFolder, coresFile)
		if err == nil && json.Unmarshal(raw, &kept) == nil {
			all = append(all, kept...)
		}
	}
	return all
}

// keepCores writes down where the cores are; a.mu is held, the disk is not waited for.
func (a *Agent) keepCores() {
	if a.disk == nil {
		return
	}
	var addresses []string
	for _, m := range a.members {
		addresses = append(addresses, m.Address)
	}
	raw, _ := json.Marshal(addresses) // strings always encode
	go func() {
		if err := a.disk.Put(IdentityFolder, coresFile, raw); err != nil {
			a.host.Log.Warn().Str("event", "cores_not_kept").Err(err).Msg("")
		}
	}()
}

const coresFile = "cores"

func (a *Agent) connect(ctx context.Context, members []config.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.members) == 0 {
		a.members = members
	}
	for address, f := range a.links {
		if !listed(a.members, address) && !listed(a.prior, address) {
			f.Stop()
			delete(a.links, address)
		}
	}
	for _, m := range slices.Concat(a.members, a.prior) {
		if a.links[m.Address] == nil {
			f := watch.NewClient(watch.ClientOptions{
				RPC: a.wire, Address: m.Address, Path: "/core/pull", Wait: a.options.LinkWait, Request: a.ask,
				OnUpdate: func(f *watch.Client, answer watch.Response) { // the rest is looked at in digest, which follows each answer
					takeHolds(a.table)(f, answer)
					a.takeKept(f, answer)
					a.takeNamed(answer)
					a.takeOccupancy(answer)
				},
				OnResponse: func(*watch.Client, time.Time, time.Duration) { a.digest(ctx) },
			})
			a.links[m.Address] = f
			go f.Run(ctx)
		}
	}
}

func listed(members []config.Member, address string) bool {
	return slices.ContainsFunc(members, func(m config.Member) bool { return m.Address == address })
}

func (a *Agent) ask() watch.Request {
	status := AgentStatus{Address: a.host.Address, Zone: a.host.Zone, Current: a.remaining() > 0}
	ask := watch.Request{Name: a.host.Name, Role: "agent"}
	for _, s := range a.source.ClientStates(LivenessTimeout) {
		var p router.Status
		if s.Role == "proxy" && json.Unmarshal(s.Status, &p) == nil {
			status.Proxy, ask.Applied = &p, s.Applied
		}
	}
	a.mu.Lock()
	status.NotCurrentReason = a.why
	a.mu.Unlock()
	ask.Status, _ = json.Marshal(status) // a plain struct always encodes
	return ask
}

// takeHolds merges the running holds of a link's answer; cores take them from each other by it, too.
func takeHolds(table *throttle.Table) func(*watch.Client, watch.Response) {
	return func(_ *watch.Client, answer watch.Response) {
		for _, e := range answer.Updates {
			if e.Key == router.HoldKey {
				table.Learn(e.Fields, e.AgesMs)
			}
		}
	}
}

// digest applies what is known to be accepted, and works out until when this agent is current (§3.2).
func (a *Agent) digest(ctx context.Context) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.workOut()
	a.noteSilence()
	peers := register.Fields{}
	for _, f := range a.links {
		if time.Since(f.FreshAt()) < a.options.Fresh {
			for name, raw := range f.Read(router.ProxiesKey).Fields {
				peers[name] = raw
			}
		}
	}
	if change := config.Delta(a.proxies, peers); len(change) > 0 && len(peers) > 0 {
		a.proxies = peers
		a.source.Publish(router.ProxiesKey, register.Revision{}, register.Revision{}, change, false)
	}
	if a.dialect.ReportPath() != "" {
		a.watch(ctx)
	}
}

// takeOccupancy passes on the load of replicas; an older word than was had does no harm for long.
func (a *Agent) takeOccupancy(answer watch.Response) {
	for _, e := range answer.Updates {
		if e.Key == router.OccupancyKey && len(e.Fields) > 0 && !answer.Snapshot {
			a.source.PublishDeferred(e.Key, e.Fields, false)
		}
	}
}

// takeNamed passes on since when versions are named, as the core knows it that has known it for longest.
func (a *Agent) takeNamed(answer watch.Response) {
	for _, e := range answer.Updates {
		if e.Key != router.NamedKey {
			continue
		}
		if moved := a.named.Learn(e.Fields, e.AgesMs); len(moved) > 0 {
			a.source.Publish(router.NamedKey, register.Revision{}, register.Revision{}, moved, false)
		}
	}
}
