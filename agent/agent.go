// Package agent is the program that runs beside each proxy. It watches all cores and feeds its proxy over loopback with what a majority of
// them has committed.
//
// An agent is current while a majority of the members has answered lately and no register shows a version that may or may not be committed
// for too long (currency.go; docs/design.md §3.2 has the arithmetic). It tells its proxy for how much longer it is current, and the proxy
// admits no request beyond that. So a proxy that is cut off stops before the cores can have moved on without it.
//
// The other files: discovery.go finds the members and watches them, forwarding.go takes calls of the proxy to the cores and the cores'
// queries to the proxy, replica_reports.go polls replicas that speak our own interface, cache_updates.go passes on what cores have read of
// the replicas' caches.
package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/daemon"
	"asterridge/disk"
	"asterridge/gossip"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/replicaclient"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/throttle"
	"asterridge/watch"
)

const (
	agentRole = "agent"
	proxyRole = "proxy"
)

// Options of an agent.
type Options struct {
	// Protocol is how replicas are spoken to; nil: router.ChatProtocol.
	Protocol router.Protocol
	// FreshLimit is T: how old a majority's answers may be for the agent to be current; 0: protocol.FreshLimit.
	FreshLimit time.Duration
	// UndecidedLimit is U: how long the agent stays current beside a version that may be committed; 0: protocol.UndecidedLimit.
	UndecidedLimit time.Duration
	// WatchWait is how long a core holds a watch request open; 0: protocol.DefaultWatchWait.
	WatchWait time.Duration
	// Grace is how long a stopping agent goes on beside a proxy that has yet to stop; 0: not at all.
	Grace time.Duration
	// CloseTimeout is how long running answers may take when the agent closes its listeners; 0: 1 s.
	CloseTimeout time.Duration
}

// Agent watches the cores and feeds the proxy beside it.
type Agent struct {
	host          daemon.Host
	options       Options
	rpc           *rpc.Client
	replicaClient *http.Client
	proxyUpdates  *watch.Server
	throttles     *throttle.Table
	detector      *gossip.Detector
	// disk holds the cores' addresses; nil: they are lost with the process.
	disk disk.Disk

	mu sync.Mutex // guards what follows
	// members is the list in force, previousMembers the one before while keys are transferred from it.
	members         []config.Member
	previousMembers []config.Member
	// cores are the watches of the members, by address.
	cores map[string]*watch.Client
	// applied is the revision of each register that the proxy was given; it only rises.
	applied map[string]register.Revision
	// undecided are the versions above it that may be committed.
	undecided map[string]undecidedVersion
	// currentUntil is the end of currency as last evaluated, notCurrentReason why it has ended, loggedCurrent what the log says.
	currentUntil     time.Time
	notCurrentReason string
	loggedCurrent    bool
	// everCurrent is closed when this agent is current for the first time.
	everCurrent      chan struct{}
	closeEverCurrent sync.Once
	// unresponsive is which members did not answer when last looked at, by address.
	unresponsive map[string]bool
	// quorumSince is since when a majority of the members answers; zero while it does not.
	quorumSince time.Time
	// proxies are those that share the replicas, liveCoreFields the cores that answer, as the proxy was told.
	proxies        register.Fields
	liveCoreFields register.Fields
	modelVersions  router.ModelVersions
	// cacheReaders is, by the key of a source's cache updates, the address of the core that they are taken from.
	cacheReaders map[string]string
	// polled are the replicas that are polled for reports, stopPolling what ends that.
	polled      map[string]config.Replica
	stopPolling map[string]context.CancelFunc
}

// New makes an agent. Its disk may be nil.
func New(host daemon.Host, d disk.Disk, options Options) *Agent {
	if options.Protocol == nil {
		options.Protocol = router.ChatProtocol{}
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
	if options.CloseTimeout == 0 {
		options.CloseTimeout = daemon.CloseTimeout
	}
	a := &Agent{
		host:             host,
		options:          options,
		rpc:              rpc.NewClient(host.Fleet, host.Net),
		replicaClient:    replicaclient.New(host.Net),
		disk:             d,
		cores:            map[string]*watch.Client{},
		applied:          map[string]register.Revision{},
		undecided:        map[string]undecidedVersion{},
		notCurrentReason: "no core found yet",
		unresponsive:     map[string]bool{},
		everCurrent:      make(chan struct{}),
		proxies:          register.Fields{},
		cacheReaders:     map[string]string{},
		polled:           map[string]config.Replica{},
		stopPolling:      map[string]context.CancelFunc{},
	}
	a.detector = daemon.NewDetector(host, agentRole, a.rpc)
	a.proxyUpdates = watch.NewServer(watch.ServerOptions{ValidFor: a.remaining})
	a.throttles = throttle.NewTable(a.publishThrottle)
	return a
}

// Serve runs the agent until stopped ends, and then for as long as its proxy still runs, options.Grace at most. local is the loopback
// listener for the proxy, listener the one that cores reach.
func (a *Agent) Serve(stopped context.Context, local, listener net.Listener) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stopped))
	defer cancel()
	go func() {
		defer cancel()
		<-stopped.Done()
		a.awaitProxyStop()
	}()
	go rpc.Every(ctx, protocol.HelloInterval, func() { a.discoverCores(ctx) })
	go rpc.Every(ctx, protocol.CacheReaderInterval, a.switchCacheReaders)
	go rpc.Every(ctx, protocol.CacheReaderInterval, a.forwardCores)
	go rpc.Every(ctx, time.Minute, a.throttles.Prune)
	go a.detector.Run(ctx)
	go func() {
		if err := daemon.Serve(ctx, listener, a.coreHandler(), a.options.CloseTimeout); err != nil {
			a.host.Log.Error().Err(err).Msg("listener for cores failed")
		}
	}()
	a.host.Log.Info().Str("address", a.host.Address).Msg("agent started")
	return daemon.Serve(ctx, local, a.proxyHandler(), a.options.CloseTimeout)
}

// proxyHandler has the endpoints for the proxy.
func (a *Agent) proxyHandler() http.Handler {
	mux, fleet := http.NewServeMux(), a.host.Fleet
	mux.Handle("POST /agent/pull", rpc.Handler(fleet, a.handleProxyWatch))
	mux.Handle("POST /agent/hold", rpc.Handler(fleet, a.forwardThrottle))
	mux.Handle("POST /agent/claim", rpc.Handler(fleet, a.forwardClaim))
	return mux
}

// handleProxyWatch answers the proxy's watch requests once this agent was current for the first time. Before that it has part of the registers
// at the most, and would lead back a proxy that knows them from the agent's run before. The error is apierror.NotCurrent.
func (a *Agent) handleProxyWatch(ctx context.Context, request watch.Request) (watch.Response, error) {
	wait, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond)
	defer cancel()
	select {
	case <-a.everCurrent:
		return a.proxyUpdates.Watch(ctx, request)
	case <-wait.Done():
		return watch.Response{}, apierror.New(apierror.NotCurrent, "no majority of cores was heard since this agent started")
	}
}

// coreHandler has the endpoints for cores, other daemons and operators.
func (a *Agent) coreHandler() http.Handler {
	mux, fleet := http.NewServeMux(), a.host.Fleet
	mux.Handle("POST /agent/query", rpc.Handler(fleet, a.handleQuery))
	mux.Handle("POST /core/hello", rpc.Handler(fleet, a.handleHello))
	daemon.HandleGossip(mux, fleet, a.detector)
	daemon.HandleMetrics(mux, a.gauges)
	rpc.HandleReady(mux, func() bool { return a.remaining() > 0 })
	return mux
}

// awaitProxyStop waits while the proxy run that watches this agent goes on doing so, so that it stays current until its last request is
// answered. A run that is started after it is no reason to stay: it watches the next run of this agent.
func (a *Agent) awaitProxyStop() {
	served, connected := a.proxyStatus(membership.LivenessTimeout)
	for end := time.Now().Add(a.options.Grace); connected && time.Now().Before(end); {
		time.Sleep(min(protocol.HelloInterval, time.Until(end)))
		var present connectedProxy
		present, connected = a.proxyStatus(membership.LivenessTimeout)
		connected = connected && present.RunName() == served.RunName()
	}
}

// connectedProxy is the proxy beside this agent, as it last introduced itself.
type connectedProxy struct {
	router.Status
	applied map[string]register.Revision
}

// proxyStatus gives the proxy that was heard within a time, if any.
func (a *Agent) proxyStatus(within time.Duration) (proxy connectedProxy, connected bool) {
	for _, state := range a.proxyUpdates.ClientStates(within) {
		if state.Role != proxyRole {
			continue
		}
		connected = true
		var status router.Status
		if json.Unmarshal(state.Status, &status) == nil {
			proxy = connectedProxy{Status: status, applied: state.Applied}
		}
	}
	return proxy, connected
}

func (a *Agent) publishThrottle(e throttle.Entry) {
	raw, _ := json.Marshal(e.Notice) // a plain struct always encodes
	a.proxyUpdates.PublishHint(router.ThrottleKey, register.Fields{e.Scope: raw}, false)
}
