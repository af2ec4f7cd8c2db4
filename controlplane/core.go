package controlplane

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/daemon"
	"asterridge/disk"
	"asterridge/gossip"
	"asterridge/inflight"
	"asterridge/lease"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/replicaclient"
	"asterridge/rpc"
	"asterridge/throttle"
	"asterridge/watch"
)

// Files of a core's identity folder.
const (
	incarnationFile = "incarnation"
	// firstStartFile is there if the disk dates from the fleet's first start.
	firstStartFile = "founder"
)

// Options of a core. The zero value of each field that is not marked otherwise switches its part off.
type Options struct {
	// ClaimRetention is how long clients' idempotency keys are remembered, at the least.
	ClaimRetention time.Duration
	// AutoMembership lets the members admit joiners and remove lost members without an operator.
	AutoMembership bool
	// Tolerance is what may be lost at once; AutoMembership keeps the list fit to bear it.
	Tolerance membership.Tolerance
	// LeaveTimeout is how long a core that is told to stop may take to leave the members.
	LeaveTimeout time.Duration
	// CloseTimeout is how long running answers may take when the core closes its listener; 0: 1 s.
	CloseTimeout time.Duration
	// Backend is how a platform and its replicas are spoken to; nil where replicas speak our own interface.
	Backend Backend
	// Lease is the least time between the last order of one holder of a singleton role and the first of the next.
	Lease time.Duration
	// PendingBytes bounds the changes that wait for one member's answer, in bytes; 0: 16 MiB.
	PendingBytes int
	// OldVersionLimit is how long a version of a model may be used after the next one was published; 0: no end is recorded.
	OldVersionLimit time.Duration
	// WatchWait is how long a watch request of another core is held open; 0: protocol.DefaultWatchWait.
	WatchWait time.Duration
	// Throttle is the waiting rule of a fleet with numbered configurations that do not set it; nil: the rule of an empty configuration.
	Throttle *config.ThrottleRule
	// Endpoints adds endpoints of another interface; nil: none.
	Endpoints func(*Core, *http.ServeMux)
}

// Core keeps the control state on its disk.
type Core struct {
	host    daemon.Host
	options Options
	disk    disk.Disk
	// incarnation identifies the disk.
	incarnation string
	// mayBootstrap is true if the disk dates from the fleet's first start.
	mayBootstrap bool

	rpc           *rpc.Client
	replicaClient *http.Client
	detector      *gossip.Detector
	acceptor      *register.Acceptor
	owner         *register.Owner
	throttles     *throttle.Table
	// pendingAccepts bounds the changes that wait for each member's answer.
	pendingAccepts *byteBudget
	loads          inflight.Table
	operations     operations
	// peerUpdates serves every register to the other cores, agentUpdates what agents need.
	peerUpdates  *watch.Server
	agentUpdates *watch.Server
	prefixes     prefixFilter

	// members is the list that this core acts on; nil until it knows one. Written under membershipMu.
	members      atomic.Pointer[activeMembership]
	membershipMu sync.Mutex
	// memberID is this core's ID; it keeps it when it is a member no longer, since IDs are never given again.
	memberID atomic.Uint32
	// leaving is set once this core is told to stop: it does not ask to be admitted again.
	leaving atomic.Bool
	// caughtUp: at the last tick a majority was heard, and all that it had committed was here.
	caughtUp atomic.Bool
	// damaged: a torn file has lost a vote, so this core's answers count for nobody until it has caught up (docs/design.md §2.5).
	damaged atomic.Bool

	// transferMu guards transferred and is held while keys are transferred.
	transferMu  sync.Mutex
	transferred transferProgress
	// reconcileMu is held while this core changes the members, refreshMu while it asks them for a newer list.
	// supersededMu while this core records which versions of models have ended.
	reconcileMu  sync.Mutex
	refreshMu    sync.Mutex
	supersededMu sync.Mutex
	// recordingSlot admits one goroutine at a time to writing down who is unresponsive. It is no mutex: the disk may stall for long.
	recordingSlot chan struct{}
	// wakeups holds a token if a tick is wanted at once.
	wakeups chan struct{}

	// loggedFailures are the keys whose catching up has failed, as the log has it.
	loggedFailures sync.Map
	// claimsSeen is when this process first saw each claim; only pruneClaims uses it.
	claimsSeen map[string]time.Time

	// versionsMu guards announcedVersions: by model, the versions that agents were told of, the newest last. It is held under a register's lock.
	versionsMu        sync.Mutex
	announcedVersions map[string][]announcedVersion

	mu sync.Mutex // guards what follows
	// peers are the watches of the other members, by name.
	peers map[string]*watch.Client
	// bootstrapContacts are the cores met before there was a list: incarnation by address.
	bootstrapContacts map[string]string
	// uncommittedSince is when a register was first seen with a change that is not committed.
	uncommittedSince map[string]time.Time
	// joiners are cores that ask to be admitted, by name.
	joiners map[string]membership.Joiner
	// liveness has Recorded set before the first tick.
	liveness membership.Tracker
	// membershipChanged is closed, and replaced, when another list counts.
	membershipChanged chan struct{}
	// candidates are those of this core for the singleton roles.
	candidates []*lease.Candidate
	// proxies are those that run, as agents were told.
	proxies register.Fields
}

// New opens a core's disk and loads what it has. The error is apierror.DiskFailed if the disk cannot be read or written.
func New(host daemon.Host, d disk.Disk, options Options) (*Core, error) {
	if options.CloseTimeout == 0 {
		options.CloseTimeout = daemon.CloseTimeout
	}
	c := &Core{
		host:              host,
		options:           options,
		disk:              d,
		rpc:               rpc.NewClient(host.Fleet, host.Net),
		replicaClient:     replicaclient.New(host.Net),
		recordingSlot:     make(chan struct{}, 1),
		wakeups:           make(chan struct{}, 1),
		peers:             map[string]*watch.Client{},
		bootstrapContacts: map[string]string{},
		uncommittedSince:  map[string]time.Time{},
		joiners:           map[string]membership.Joiner{},
		pendingAccepts:    newByteBudget(options.PendingBytes),
		announcedVersions: map[string][]announcedVersion{},
		liveness:          membership.Tracker{MaxStep: 2 * tickInterval},
		membershipChanged: make(chan struct{}),
	}
	c.operations = newOperations(c)
	c.throttles = throttle.NewTable(c.publishThrottle)
	c.detector = daemon.NewDetector(host, coreRole, c.rpc)
	serverOptions := watch.ServerOptions{Incarnation: c.vouchedIncarnation}
	c.peerUpdates, c.agentUpdates = watch.NewServer(serverOptions), watch.NewServer(serverOptions)
	if err := c.loadIdentity(); err != nil {
		return nil, err
	}
	c.loadUnresponsive()
	if err := c.loadRegisters(); err != nil {
		return nil, err
	}
	c.applyMembers()
	return c, nil
}

// vouchedIncarnation is what watch responses bear: this disk's incarnation while the core is a member whose answers count, else empty.
func (c *Core) vouchedIncarnation() string {
	if c.membership().self == nil || c.damaged.Load() {
		return ""
	}
	return c.incarnation
}

// loadRegisters loads the registers from the disk and resumes what they hold.
func (c *Core) loadRegisters() (err error) {
	c.acceptor, err = register.OpenAcceptor(register.AcceptorOptions{Disk: c.disk, OnChange: c.publishAccepted, OnSkipped: c.logSkippedFile})
	if err != nil {
		return err
	}
	c.damaged.Store(c.acceptor.IsDamaged())
	c.owner = register.NewOwner(register.OwnerOptions{
		MemberID: c.memberID.Load, Acceptor: c.acceptor, Peers: c.memberAcceptors, Timeout: protocol.QuorumTimeout,
	})
	for _, key := range c.acceptor.Keys() {
		if scope, ok := strings.CutPrefix(key, protocol.ThrottlePrefix); ok {
			c.restoreThrottle(scope)
		}
	}
	c.publishModelVersions(c.acceptor.Read(config.ModelsKey).Fields)
	return nil
}

func (c *Core) logSkippedFile(folder, file string, err error) {
	c.host.Log.Warn().Str("folder", folder).Str("file", file).Err(err).Msg("file skipped while loading")
}

// loadIdentity reads or makes the disk's incarnation, and reads whether the disk dates from the fleet's first start.
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
	_, err = c.disk.Get(protocol.IdentityFolder, firstStartFile)
	c.mayBootstrap = err == nil || !c.host.Bootstrapped
	if err != nil && !apierror.Is(err, apierror.NotFound) && !apierror.Is(err, apierror.Torn) {
		return apierror.Wrap(err, apierror.DiskFailed, "founder")
	}
	return nil
}

// createIncarnation names an empty disk. The mark of the fleet's first start is written before: a disk with an incarnation and without the
// mark is of a later start.
func (c *Core) createIncarnation() ([]byte, error) {
	if !c.host.Bootstrapped {
		if err := c.disk.Put(protocol.IdentityFolder, firstStartFile, nil); err != nil {
			return nil, err
		}
	}
	raw := []byte(rand.Text())
	return raw, c.disk.Put(protocol.IdentityFolder, incarnationFile, raw)
}

// Serve runs the core until the context ends.
func (c *Core) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.runBootstrap(ctx)
	go c.runTicks(ctx)
	handler := c.handler()
	go c.runRoles(ctx)
	if c.options.Backend != nil {
		c.runBackend(ctx)
	}
	go c.detector.Run(ctx)
	c.host.Log.Info().Str("address", c.host.Address).Str("incarnation", c.incarnation).Msg("core started")
	return daemon.Serve(ctx, listener, handler, c.options.CloseTimeout)
}

// handlePlacement takes what a proxy has in flight, and chooses a replica for a request of it.
func (c *Core) handlePlacement(_ context.Context, request inflight.Request) (inflight.Response, error) {
	c.addShared(request.Shared)
	return c.loads.Assign(request), nil
}

// handler has all endpoints of a core.
func (c *Core) handler() http.Handler {
	mux, fleet := http.NewServeMux(), c.host.Fleet
	mux.Handle("POST /core/hello", rpc.Handler(fleet, c.handleHello))
	mux.Handle("POST /core/pull", rpc.Handler(fleet, c.agentUpdates.Watch))
	mux.Handle("POST /core/whole", rpc.Handler(fleet, c.peerUpdates.Watch))
	mux.Handle("POST /core/liveness", rpc.Handler(fleet, c.handleLiveness))
	mux.Handle("POST /core/hold", rpc.Handler(fleet, c.handleThrottle))
	mux.Handle("POST /core/place", rpc.Handler(fleet, c.handlePlacement))
	mux.Handle("POST /register/promise", rpc.Handler(fleet, c.handlePrepare))
	mux.Handle("POST /register/confirm", rpc.Handler(fleet, c.handleConfirm))
	mux.Handle("POST /register/accept", rpc.Handler(fleet, c.handleAccept))
	mux.Handle("POST /register/settle", rpc.Handler(fleet, c.handleCommit))
	mux.Handle("POST /query", rpc.Handler(fleet, c.Query))
	if c.options.Backend != nil {
		mux.Handle("POST /core/list", rpc.Handler(fleet, c.handleListRequest))
	}
	c.operations.handle(mux)
	daemon.HandleGossip(mux, fleet, c.detector)
	daemon.HandleMetrics(mux, c.gauges)
	rpc.HandleReady(mux, c.hasQuorum)
	if c.options.Endpoints != nil {
		c.options.Endpoints(c, mux)
	}
	return mux
}
