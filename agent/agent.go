// Package agent implements the process that runs next to each proxy. It watches all cores and sends its proxy, over loopback, the state
// that a majority of the cores has committed.
//
// An agent is current while a majority of the members has answered recently and no register has held an in-doubt version for too long
// (see currency.go; docs/design.md §3.2 derives the time limits). The agent tells its proxy for how much longer it is current, and the
// proxy admits no requests after that time. A partitioned proxy therefore stops before the cores can commit changes without it.
//
// The other files: discovery.go finds the members and watches them; forwarding.go forwards calls from the proxy to the cores and queries
// from the cores to the proxy; replica_reports.go polls replicas that implement the project's own interface; cache_updates.go forwards
// the replica cache contents that the cores have read.
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

// Options configures an agent.
type Options struct {
	// Protocol is the API that the replicas implement; nil means router.ChatProtocol.
	Protocol router.Protocol
	// FreshLimit (T) is the maximum age of a majority's responses for the agent to be current; 0 means protocol.FreshLimit.
	FreshLimit time.Duration
	// UndecidedLimit (U) is how long the agent stays current while a version is in doubt; 0 means protocol.UndecidedLimit.
	UndecidedLimit time.Duration
	// WatchWait is how long a core holds a watch request open; 0 means protocol.DefaultWatchWait.
	WatchWait time.Duration
	// Grace is how long a stopping agent keeps running for a proxy that has not stopped yet; 0 means that it does not wait.
	Grace time.Duration
	// CloseTimeout is how long in-flight responses may take when the agent closes its listeners; 0 means 1 s.
	CloseTimeout time.Duration
}

// Agent watches the cores and sends committed state to its local proxy.
type Agent struct {
	host          daemon.Host
	options       Options
	rpc           *rpc.Client
	replicaClient *http.Client
	proxyUpdates  *watch.Server
	throttles     *throttle.Table
	detector      *gossip.Detector
	// disk stores the cores' addresses; if nil, they are not kept across restarts.
	disk disk.Disk

	mu sync.Mutex // guards the fields below
	// members is the active membership; previousMembers is its predecessor, set only while keys are being transferred from it.
	members         []config.Member
	previousMembers []config.Member
	// membersRecord is the register content that members were decoded from; nil if they were named without it. Its version never decreases.
	membersRecord *membership.Record
	// searchedAt is when a majority of the members was last fresh, or the last search for a newer list began.
	searchedAt time.Time
	// cores holds the watch clients of the members, by address.
	cores map[string]*watch.Client
	// applied is the revision of each register that was sent to the proxy; it never decreases.
	applied map[string]register.Revision
	// undecided holds the in-doubt versions that are later than the applied ones.
	undecided map[string]undecidedVersion
	// searchAsked and searchAnswers are how many addresses the last search for members asked, and how many of them answered.
	searchAsked, searchAnswers int
	// currentUntil is when the agent ceases to be current, as last evaluated; notCurrentReason is why it is not current.
	currentUntil     time.Time
	notCurrentReason string
	// loggedCurrent and loggedReason are what was last logged, at reasonLoggedAt.
	loggedCurrent  bool
	loggedReason   string
	reasonLoggedAt time.Time
	// everCurrent is closed when this agent becomes current for the first time.
	everCurrent      chan struct{}
	closeEverCurrent sync.Once
	// unresponsive records, by address, whether a member was unresponsive at the last check.
	unresponsive map[string]bool
	// quorumSince is the time since which a majority of the members has been responsive; zero while there is no such majority.
	quorumSince time.Time
	// proxies (those that share the replicas) and liveCoreFields (the responsive cores) are as last sent to the proxy.
	proxies        register.Fields
	liveCoreFields register.Fields
	modelVersions  router.ModelVersions
	// cacheReaders maps the key of a replica's cache updates to the address of the core that they are taken from.
	cacheReaders map[string]string
	// polled holds the replicas that are polled for reports; stopPolling cancels their pollers.
	polled      map[string]config.Replica
	stopPolling map[string]context.CancelFunc
}

// New returns an agent; d may be nil.
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

// Serve runs the agent until stopped is done, and then until its proxy has stopped, but no longer than options.Grace. local is the
// loopback listener for the proxy; listener is the one that the cores connect to.
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

// proxyHandler serves the endpoints for the proxy.
func (a *Agent) proxyHandler() http.Handler {
	mux, fleet := http.NewServeMux(), a.host.Fleet
	mux.Handle("POST /agent/pull", rpc.Handler(fleet, a.handleProxyWatch))
	mux.Handle("POST /agent/hold", rpc.Handler(fleet, a.forwardThrottle))
	mux.Handle("POST /agent/claim", rpc.Handler(fleet, a.forwardClaim))
	return mux
}

// handleProxyWatch answers the proxy's watch requests once this agent has been current. Before that, the agent has at most some of the
// registers and could revert a proxy to older state than it received from the agent's previous run. The error is apierror.NotCurrent.
func (a *Agent) handleProxyWatch(ctx context.Context, request watch.Request) (watch.Response, error) {
	wait, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond)
	defer cancel()
	select {
	case <-a.everCurrent:
		return a.proxyUpdates.Watch(ctx, request)
	case <-wait.Done():
		return watch.Response{}, apierror.New(apierror.NotCurrent, "no majority of cores has answered since this agent started")
	}
}

// coreHandler serves the endpoints for cores, other daemons and operators.
func (a *Agent) coreHandler() http.Handler {
	mux, fleet := http.NewServeMux(), a.host.Fleet
	mux.Handle("POST /agent/query", rpc.Handler(fleet, a.handleQuery))
	mux.Handle("POST /core/hello", rpc.Handler(fleet, a.handleHello))
	daemon.HandleGossip(mux, fleet, a.detector)
	daemon.HandleMetrics(mux, a.gauges)
	rpc.HandleReady(mux, func() bool { return a.remaining() > 0 })
	return mux
}

// awaitProxyStop waits until the proxy run that is now watching this agent stops watching, so that the proxy stays current until it has
// answered its last request. It does not wait for a later run of the proxy, which will watch the next run of this agent.
func (a *Agent) awaitProxyStop() {
	served, connected := a.proxyStatus(membership.LivenessTimeout)
	for end := time.Now().Add(a.options.Grace); connected && time.Now().Before(end); {
		time.Sleep(min(protocol.HelloInterval, time.Until(end)))
		var present connectedProxy
		present, connected = a.proxyStatus(membership.LivenessTimeout)
		connected = connected && present.RunName() == served.RunName()
	}
}

// connectedProxy is the local proxy as described by its last watch request.
type connectedProxy struct {
	router.Status
	applied map[string]register.Revision
}

// proxyStatus returns the proxy whose last watch request came within the given time, if any.
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
	raw, _ := json.Marshal(e.Notice) // encoding a plain struct cannot fail
	a.proxyUpdates.PublishHint(router.ThrottleKey, register.Fields{e.Scope: raw}, false)
}
