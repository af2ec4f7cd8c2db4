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

// Files in the identity folder of a core's disk.
const (
	incarnationFile = "incarnation"
	// firstStartFile exists if the disk was initialized when the fleet was first started.
	firstStartFile = "founder"
)

// Options configures a core. Unless stated otherwise, the zero value of a field disables the feature.
type Options struct {
	// ClaimRetention is the minimum time for which clients' idempotency keys are remembered.
	ClaimRetention time.Duration
	// AutoMembership lets the cores admit joiners and remove lost members without an operator.
	AutoMembership bool
	// Tolerance is the set of simultaneous failures that the members must survive; AutoMembership maintains a list that does.
	Tolerance membership.Tolerance
	// LeaveTimeout bounds how long a core that is shutting down tries to leave the members.
	LeaveTimeout time.Duration
	// CloseTimeout bounds how long requests in progress may take once the core closes its listener; 0: 1 s.
	CloseTimeout time.Duration
	// Backend talks to a platform and its replicas; nil if replicas implement the project's own interface.
	Backend Backend
	// Lease is the minimum time between the last order of one holder of a singleton role and the first order of the next holder.
	Lease time.Duration
	// PendingBytes limits the size of the changes sent to one member and not answered yet, in bytes; 0: 16 MiB.
	PendingBytes int
	// OldVersionLimit is how long a model version may be used after the next one was published; 0: no limit is recorded.
	OldVersionLimit time.Duration
	// WatchWait is how long a watch request from another core is held open; 0: protocol.DefaultWatchWait.
	WatchWait time.Duration
	// Throttle is the throttle rule used by a fleet with numbered configurations that do not set one; nil: the rule of an empty
	// configuration.
	Throttle *config.ThrottleRule
	// Endpoints registers the endpoints of an additional interface; nil: none.
	Endpoints func(*Core, *http.ServeMux)
}

// Core is a control-plane process: one replica of the control state, kept on its disk.
type Core struct {
	host    daemon.Host
	options Options
	disk    disk.Disk
	// incarnation is the random ID of the disk.
	incarnation string
	// mayBootstrap is true if the disk was initialized when the fleet was first started.
	mayBootstrap bool

	rpc           *rpc.Client
	replicaClient *http.Client
	detector      *gossip.Detector
	acceptor      *register.Acceptor
	owner         *register.Owner
	throttles     *throttle.Table
	// pendingAccepts limits the bytes of changes awaiting each member's response.
	pendingAccepts *byteBudget
	loads          inflight.Table
	operations     operations
	// peerUpdates serves every register to the other cores; agentUpdates serves what agents need.
	peerUpdates  *watch.Server
	agentUpdates *watch.Server
	prefixes     prefixFilter

	// members is the membership that this core acts on; nil until it knows one. Written under membershipMu.
	members      atomic.Pointer[activeMembership]
	membershipMu sync.Mutex
	// memberID is this core's member ID. It is retained after the core is removed, since IDs are never reused.
	memberID atomic.Uint32
	// leaving is set once this core is shutting down, so that it does not ask to be admitted again.
	leaving atomic.Bool
	// caughtUp is true if, at the last tick, a majority was reachable and everything it had committed was on this core's disk.
	caughtUp atomic.Bool
	// damaged is true if a torn file has lost an accepted change. This core's responses then count toward no quorum until it has caught
	// up (docs/design.md §2.5).
	damaged atomic.Bool

	// transferMu guards transferred and is held while registers are transferred.
	transferMu  sync.Mutex
	transferred transferProgress
	// reconcileMu is held while this core changes the membership, refreshMu while it asks the members for a newer list, and
	// supersededMu while it records which model versions may no longer be used.
	reconcileMu  sync.Mutex
	refreshMu    sync.Mutex
	supersededMu sync.Mutex
	// lostDisks are the disks of members that are proven lost.
	lostDisks lostDisks
	// reconcileAge and transferAge are accessed only by ticks.
	reconcileAge taskAge
	transferAge  taskAge
	// recordingSlot lets one goroutine at a time write the unresponsive members to disk. It is a channel rather than a mutex because a
	// disk may stall for a long time.
	recordingSlot chan struct{}
	// recordedNodes are the addresses of the known processes as last written to disk; accessed only by recordNodes after the start.
	recordedNodes []string
	// wakeups holds a token if a tick has been requested.
	wakeups chan struct{}

	// loggedFailures is the set of keys, and of revisions of the list of members, for which a failure to catch up has been logged.
	loggedFailures sync.Map
	// claimFirstSeen is when this process first saw each claim; used only by pruneClaims.
	claimFirstSeen map[string]time.Time

	// versionsMu guards announcedVersions: by model, the versions announced to agents, newest last. It is acquired while a register's
	// lock is held.
	versionsMu        sync.Mutex
	announcedVersions map[string][]announcedVersion

	mu sync.Mutex // guards the fields below
	// peers are the watches on the other members, by member name.
	peers map[string]*watch.Client
	// bootstrapContacts are the cores contacted before a membership existed: incarnation by address.
	bootstrapContacts map[string]string
	// outdatedSince is since when members have had an older list of members than another core; replaced as a whole by each tick.
	outdatedSince map[string]time.Time
	// uncommittedSince is when a register was first seen with an uncommitted change.
	uncommittedSince map[string]time.Time
	// joiners are the cores that ask to be admitted, by name.
	joiners map[string]membership.Joiner
	// liveness tracks unresponsive members; its Recorded field is loaded before the first tick.
	liveness membership.Tracker
	// membershipChanged is closed, and replaced, when another list takes effect.
	membershipChanged chan struct{}
	// candidates are this core's candidates for the singleton roles.
	candidates []*lease.Candidate
	// proxies is the set of running proxies, as last announced to agents.
	proxies register.Fields
}

// New opens a core's disk and loads its state. The error is apierror.DiskFailed if the disk cannot be read or written.
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
	serverOptions := watch.ServerOptions{Incarnation: c.votingIncarnation}
	c.peerUpdates, c.agentUpdates = watch.NewServer(serverOptions), watch.NewServer(serverOptions)
	if err := c.loadIdentity(); err != nil {
		return nil, err
	}
	c.loadUnresponsive()
	c.loadNodes()
	if err := c.loadRegisters(); err != nil {
		return nil, err
	}
	c.applyMembers()
	return c, nil
}

// votingIncarnation is sent in watch responses: this disk's incarnation while the core is a member whose responses count toward a
// quorum, else empty.
func (c *Core) votingIncarnation() string {
	if c.membership().self == nil || c.damaged.Load() {
		return ""
	}
	return c.incarnation
}

// loadRegisters loads the registers from the disk, restores stored throttles and announces the published model versions.
func (c *Core) loadRegisters() (err error) {
	c.acceptor, err = register.OpenAcceptor(register.AcceptorOptions{Disk: c.disk, OnChange: c.publishAccepted, OnSkipped: c.logSkippedFile})
	if err != nil {
		return err
	}
	c.damaged.Store(c.acceptor.IsDamaged())
	c.owner = register.NewOwner(register.OwnerOptions{
		MemberID: c.memberID.Load, Acceptor: c.acceptor, Voters: c.voters, Timeout: protocol.QuorumTimeout,
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

// loadIdentity reads or creates the disk's incarnation, and reads whether the disk was initialized at the fleet's first start.
func (c *Core) loadIdentity() error {
	raw, err := c.disk.Get(protocol.IdentityFolder, incarnationFile)
	switch {
	case apierror.Is(err, apierror.NotFound):
		raw, err = c.createIncarnation()
	case err == nil:
		err = c.disk.Sync(protocol.IdentityFolder) // an earlier process may have crashed before it synced the file
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

// createIncarnation assigns an incarnation to an empty disk. The first-start marker is written first, so that a disk with an
// incarnation but without the marker is known to have been initialized later.
func (c *Core) createIncarnation() ([]byte, error) {
	if !c.host.Bootstrapped {
		if err := c.disk.Put(protocol.IdentityFolder, firstStartFile, nil); err != nil {
			return nil, err
		}
	}
	raw := []byte(rand.Text())
	return raw, c.disk.Put(protocol.IdentityFolder, incarnationFile, raw)
}

// Serve runs the core until the context is canceled.
func (c *Core) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.runBootstrap(ctx)
	go c.runTicks(ctx)
	go rpc.Every(ctx, nodesInterval, c.recordNodes)
	handler := c.handler()
	go c.runRoles(ctx)
	if c.options.Backend != nil {
		c.runBackend(ctx)
	}
	go c.detector.Run(ctx)
	c.host.Log.Info().Str("address", c.host.Address).Str("incarnation", c.incarnation).Msg("core started")
	return daemon.Serve(ctx, listener, handler, c.options.CloseTimeout)
}

// handlePlacement records the requests that a proxy has in flight and chooses a replica for one of its requests.
func (c *Core) handlePlacement(_ context.Context, request inflight.Request) (inflight.Response, error) {
	c.addShared(request.Shared)
	return c.loads.Assign(request), nil
}

// handler returns the handler for all endpoints of a core.
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
