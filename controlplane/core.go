package controlplane

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"asterridge/apierror"
	"asterridge/claim"
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
	tickInterval    = 300 * time.Millisecond
	minTickInterval = 20 * time.Millisecond // between a beat and one that is asked for

	incarnationFile = "incarnation"
	founderFile     = "founder" // there since the fleet's very first start

)

// Core keeps the control state on its disk.
type Core struct {
	host          daemon.Host
	options       Options
	disk          disk.Disk
	incarnation   string
	mayBootstrap  bool // this disk is from the fleet's very first start (§2.6)
	rpc           *rpc.Client
	replicaClient *http.Client // for the replicas of adapters (§6.6)
	acceptor      *register.Acceptor
	owner         *register.Owner
	peerUpdates   *watch.Server // for the other cores: every key
	agentUpdates  *watch.Server // for the agents
	throttles     *throttle.Table
	detector      *gossip.Detector
	isDamaged     atomic.Bool // a torn file: this core's word counts for nobody until it has caught up (§2.5)
	membershipMu  sync.Mutex
	transferMu    sync.Mutex
	transferred   transferProgress // with carrying
	reconcileMu   sync.Mutex
	refreshMu     sync.Mutex                          // held while the members are asked for a newer list
	recordingSlot chan struct{}                       // of one place, held while who is silent is written down
	members       atomic.Pointer[committedMembership] // nil until the fleet is founded
	memberID      atomic.Uint32                       // this core's among the members; no longer a member, it keeps the number, which nobody is given again

	isLeaving atomic.Bool
	caughtUp  atomic.Bool // at the last beat: a majority was heard, and all that it has settled is here

	submitNumberedConfig   func(context.Context, config.Declaration) (Accepted, error)
	submitModelVersion     func(context.Context, ModelVersionChange) (Accepted, error)
	submitLoads            func(context.Context, register.Fields) (Accepted, error)
	submitCommit           func(context.Context, CommitRequest) (CommitResponse, error)
	submitMembershipChange func(context.Context, MembershipChange) (Accepted, error)

	prefixes          prefixFilter
	loggedFailures    sync.Map // keys whose catching up has failed, as the log has it
	announcedVersions sync.Map // versions of models whose coming was told to the agents

	claimsSeen map[string]time.Time // when this process first saw a request's claim; of the pruning alone

	mu                sync.Mutex
	peers             map[string]*watch.Client // by member name
	bootstrapContacts map[string]string        // founding: address → incarnation
	uncommittedSince  map[string]time.Time
	joiners           map[string]joiner // by name: cores that would be members
	liveness          livenessTracker   // of the members
	membershipChanged chan struct{}     // closed when another list of members counts
	wakeups           chan struct{}     // holds one if a beat is asked for
	proxies           register.Fields
}

// Options of a core.
type Options struct {
	ClaimRetention time.Duration // how long callers' keys are remembered, at the least
	// AutoMembership lets the core's members admit joiners and retire the lost by themselves (§2.8).
	AutoMembership bool
	Backend        Backend                     // the platform and its replicas, where they do not speak our own interface
	Lease          time.Duration               // between the last order of one holder of a duty and the first of the next
	Endpoints      func(*Core, *http.ServeMux) // more of them, in a manner of speaking that is not ours
	WatchWait      time.Duration               // how long the ask of another core is held; 0: 100 ms
	Tolerance      membership.Tolerance        // what may be lost at once
	LeaveTimeout   time.Duration               // how long a core that is told to stop may take to leave the members
	Throttle       *config.Hold                // the waiting rule of a fleet that is declared by numbers and does not set it
}

// New opens the disk and loads what it has.
func New(host daemon.Host, d disk.Disk, options Options) (*Core, error) {
	c := &Core{
		host: host, options: options, disk: d, rpc: rpc.NewClient(host.Fleet, host.Net), replicaClient: replicaclient.NewReplicaClient(host.Net),
		peers: map[string]*watch.Client{}, bootstrapContacts: map[string]string{}, uncommittedSince: map[string]time.Time{}, joiners: map[string]joiner{},
		membershipChanged: make(chan struct{}), wakeups: make(chan struct{}, 1), recordingSlot: make(chan struct{}, 1),
	}
	c.throttles = throttle.NewTable(c.publishThrottle)
	c.detector = daemon.NewDetector(host, "core", c.rpc)
	who := watch.ServerOptions{Incarnation: func() string {
		if c.membership().self == nil || c.isDamaged.Load() {
			return ""
		}
		return c.incarnation
	}}
	c.peerUpdates, c.agentUpdates = watch.NewServer(who), watch.NewServer(who)
	if err := c.loadIdentity(); err != nil {
		return nil, err
	}
	c.loadUnresponsive()
	var err error
	c.acceptor, err = register.OpenAcceptor(register.AcceptorOptions{Disk: d, OnChange: c.publishAccepted, OnSkipped: func(folder, file string, err error) {
		host.Log.Warn().Str("event", "file_left_out").Str("folder", folder).Str("file", file).Err(err).Msg("")
	}})
	if err != nil {
		return nil, err
	}
	c.isDamaged.Store(c.acceptor.IsDamaged())
	c.owner = register.NewOwner(register.OwnerOptions{
		MemberID: c.memberID.Load, Acceptor: c.acceptor, Peers: c.memberAcceptors, Timeout: protocol.QuorumTimeout,
	})
	for _, key := range c.acceptor.Keys() {
		if scope, isHold := strings.CutPrefix(key, protocol.ThrottlePrefix); isHold {
			c.restoreThrottle(scope)
		}
	}
	c.publishModelVersions(c.acceptor.Read(config.ModelsKey).Fields)
	c.applyMembers()
	return c, nil
}

// loadIdentity reads or makes the disk's incarnation, and whether it is from the fleet's very first start (§2.6).
func (c *Core) loadIdentity() error {
	raw, err := c.disk.Get(protocol.IdentityFolder, incarnationFile)
	switch {
	case apierror.Is(err, apierror.NotFound):
		raw, err = c.createIncarnation()
	case err == nil:
		err = c.disk.Sync(protocol.IdentityFolder) // a process before this one may have died while it wrote it
	}
	if err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "incarnation")
	}
	c.incarnation = string(raw)
	_, err = c.disk.Get(protocol.IdentityFolder, founderFile)
	c.mayBootstrap = err == nil || !c.host.Bootstrapped
	if err != nil && !apierror.Is(err, apierror.NotFound) && !apierror.Is(err, apierror.Torn) {
		return apierror.Wrap(err, apierror.DiskFailed, "founder")
	}
	return nil
}

// createIncarnation names a disk that is empty. The mark of the fleet's first start comes first: a disk with an incarnation and no mark is later.
func (c *Core) createIncarnation() ([]byte, error) {
	if !c.host.Bootstrapped {
		if err := c.disk.Put(protocol.IdentityFolder, founderFile, nil); err != nil {
			return nil, err
		}
	}
	raw := []byte(rand.Text())
	return raw, c.disk.Put(protocol.IdentityFolder, incarnationFile, raw)
}

// publishAccepted passes what the disk has accepted on to the links. It is called under the key's lock.
func (c *Core) publishAccepted(key string, at register.Record, change register.Fields, full bool) {
	c.peerUpdates.Publish(key, at.Revision, at.Committed, change, full)
	if protocol.IsPublished(key) {
		c.agentUpdates.Publish(key, at.Revision, at.Committed, withoutTexts(change), full)
	}
	if key == config.MembersKey && c.acceptor != nil {
		go func() {
			c.applyMembers()
			c.wake()
		}()
	}
	if key == config.ModelsKey && c.acceptor != nil {
		c.publishModelVersions(change)
	}
}

// publishModelVersions tells the agents when a version of a model came to this disk, or when this life began that found it there. The oldest word of all
// cores counts: one that has started anew adds nothing to it. Where all have, the cores were disturbed meanwhile, and the time of old versions
// counts from the first one's start (§6.5).
func (c *Core) publishModelVersions(change register.Fields) {
	models, err := config.Load[config.Model](change)
	if err != nil {
		return
	}
	fields := register.Fields{}
	for name, m := range models {
		if _, told := c.announcedVersions.LoadOrStore(router.NamedField(name, m.Version), true); !told {
			fields[router.NamedField(name, m.Version)] = json.RawMessage("0")
		}
	}
	if len(fields) > 0 {
		c.agentUpdates.Publish(router.NamedKey, register.Revision{}, register.Revision{}, fields, false)
	}
}

// withoutTexts leaves out what operators wrote, which only they read again.
func withoutTexts(change register.Fields) register.Fields {
	kept := register.Fields{}
	for field, raw := range change {
		if !config.IsText(field) {
			kept[field] = raw
		}
	}
	return kept
}

func (c *Core) publishThrottle(e throttle.Entry) {
	raw, _ := json.Marshal(e.Notice) // a plain struct always encodes
	fields := register.Fields{e.Scope: raw}
	c.peerUpdates.Publish(router.HoldKey, register.Revision{}, register.Revision{}, fields, false)
	c.agentUpdates.Publish(router.HoldKey, register.Revision{}, register.Revision{}, fields, false)
}

// restoreThrottle counts what a hold on disk had left from the start again: later, never earlier (§4.2).
func (c *Core) restoreThrottle(scope string) {
	var n throttle.Notice
	if raw := c.acceptor.Read(protocol.ThrottlePrefix + scope).Fields["hold"]; raw != nil && json.Unmarshal(raw, &n) == nil {
		c.throttles.Merge(n, throttle.Longest)
	}
}

// Serve runs the core until the context ends.
func (c *Core) Serve(ctx context.Context, listener net.Listener) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go c.bootstrap(ctx)
	go c.runTicks(ctx)
	handler := c.handler()
	go c.runRoles(ctx)
	if c.options.Backend != nil {
		c.runBackend(ctx)
	}
	go c.detector.Run(ctx)
	c.host.Log.Info().Str("event", "core_up").Str("address", c.host.Address).Str("incarnation", c.incarnation).Msg("")
	return daemon.Serve(ctx, listener, handler, time.Second)
}

func (c *Core) handler() http.Handler {
	mux, fleet := http.NewServeMux(), c.host.Fleet
	mux.Handle("POST /core/hello", rpc.Handler(fleet, c.handleHello))
	mux.Handle("POST /core/pull", rpc.Handler(fleet, c.agentUpdates.Watch))
	mux.Handle("POST /core/whole", rpc.Handler(fleet, c.peerUpdates.Watch))
	mux.Handle("POST /core/hold", rpc.Handler(fleet, c.handleThrottle))
	mux.Handle("POST /register/promise", rpc.Handler(fleet, c.handlePrepare))
	mux.Handle("POST /register/confirm", rpc.Handler(fleet, c.handleConfirm))
	mux.Handle("POST /register/accept", rpc.Handler(fleet, c.handleAccept))
	mux.Handle("POST /register/settle", rpc.Handler(fleet, c.handleCommit))
	daemon.HandleGossip(mux, fleet, c.detector)
	daemon.HandleMetrics(mux, c.gauges)
	mux.Handle("POST /query", rpc.Handler(fleet, c.Query))
	rpc.HandleReady(mux, func() bool {
		now := c.membership()
		return now.self != nil && len(c.live()) >= membership.Majority(len(now.members))
	})
	if c.options.Backend != nil {
		mux.Handle("POST /core/list", rpc.Handler(fleet, c.handleListRequest))
	}
	registerOperation(mux, c, config.Key, func(ConfigChange) string { return config.Key }, c.applyConfig, false)
	registerOperation(mux, c, "keys", func(o AccessKeyChange) string { return config.KeysPrefix + o.Tenant }, c.applyAccessKey, true)
	registerOperation(mux, c, "replicas", func(ReplicasChange) string { return config.ReplicasKey }, c.applyReplicas, true)
	registerOperation(mux, c, "claim", claim.Request.Register, c.applyClaim, true)
	registerOperation(mux, c, "hold", func(n throttle.Notice) string { return protocol.ThrottlePrefix + n.Scope }, c.applyThrottle, true)
	registerOperation(mux, c, "term", func(o LeaseRequest) string { return leasePrefix + o.Role }, c.grantLease, false)
	c.submitMembershipChange = registerOperation(mux, c, "members", func(MembershipChange) string { return config.MembersKey }, c.applyMembershipChange, false)
	c.submitCommit = registerOperation(mux, c, "settle", func(o CommitRequest) string { return o.Key }, c.commitKey, true)
	c.submitNumberedConfig = registerOperation(mux, c, "declaration", func(config.Declaration) string { return config.Key }, c.applyNumberedConfig, true)
	c.submitModelVersion = registerOperation(mux, c, "models", func(ModelVersionChange) string { return config.ModelsKey }, c.applyModelVersion, true)
	c.submitLoads = registerOperation(mux, c, "loads", func(register.Fields) string { return config.LoadsKey }, c.applyLoads, true)
	registerOperation(mux, c, "retirement", func(RetirementChange) string { return config.RetirementKey }, c.applyRetirement, false)
	registerOperation(mux, c, "advance", func(RetirementStep) string { return config.RetirementKey }, c.applyRetirementStep, true)
	if c.options.Endpoints != nil {
		c.options.Endpoints(c, mux)
	}
	return mux
}

// registerOperation serves a change at /op/NAME, where any core takes it to the key's owner, and at /own/NAME, where this core does it itself.
func registerOperation[Q, A any](mux *http.ServeMux, c *Core, name string, keyOf func(Q) string, do func(context.Context, Q) (A, error), idempotent bool) func(context.Context, Q) (A, error) {
	anywhere := func(ctx context.Context, q Q) (A, error) {
		var none A
		if now := c.membership(); now.self == nil && len(now.members) == 0 {
			return none, apierror.New(apierror.NotFounded, "the founders have not all met")
		} else if now.self == nil {
			return none, apierror.New(apierror.NoMember, "%s is no member", c.host.Name)
		}
		owner := register.Pick(keyOf(q), c.live())
		if owner == c.host.Name {
			return do(ctx, q)
		}
		short, stop := context.WithTimeout(ctx, 2*protocol.QuorumTimeout)
		defer stop()
		answer, err := rpc.Call[A](short, c.rpc, c.addressOf(owner), "/own/"+name, q)
		var dial *net.OpError
		unasked := errors.As(err, &dial) && dial.Op == "dial"
		switch {
		case err == nil || !apierror.Is(err, apierror.Unreachable):
			return answer, err
		case unasked:
			return do(ctx, q)
		case idempotent:
			again, failure := do(ctx, q)
			if failure != nil && apierror.Of(failure).Code.Ran == apierror.NotRun {
				failure = apierror.New(apierror.Undecided, "the owner %s did not answer: %v; then here: %v", owner, err, failure) // it may have taken it
			}
			return again, failure
		}
		return none, apierror.New(apierror.Undecided, "the owner %s did not answer: %v", owner, err)
	}
	mux.Handle("POST /own/"+name, rpc.Handler(c.host.Fleet, do))
	mux.Handle("POST /op/"+name, rpc.Handler(c.host.Fleet, anywhere))
	return anywhere
}

func (c *Core) addressOf(name string) string {
	for _, m := range c.membership().members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}

func (c *Core) watchWait() time.Duration {
	if c.options.WatchWait > 0 {
		return c.options.WatchWait
	}
	return protocol.DefaultWatchWait
}

// hasQuorum says whether this core is a member and hears a majority of the members. One that does not has no part in what a single core
// does for all: it would draw itself for everything.
func (c *Core) hasQuorum() bool {
	now := c.membership()
	return now.self != nil && len(c.live()) > len(now.members)/2
}

// isAssigned says whether this core is the one that looks after a key.
func (c *Core) isAssigned(key string) bool {
	return c.hasQuorum() && register.Pick(key, c.live()) == c.host.Name
}

// runTicks beats at each step, and at once when something has changed that the next beat would act upon.
func (c *Core) runTicks(ctx context.Context) {
	step := time.NewTicker(tickInterval)
	defer step.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-step.C:
		case <-c.wakeups:
		}
		c.tick(ctx)
		if rpc.Sleep(ctx, minTickInterval) != nil {
			return
		}
	}
}

// wake asks for a beat soon.
func (c *Core) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default: // one is asked for already
	}
}
