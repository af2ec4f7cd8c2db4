package daemon

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
	"asterridge/config"
	"asterridge/disk"
	"asterridge/gossip"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/throttle"
	"asterridge/watch"
)

const (
	liveTime      = time.Second // a core not heard for so long is not picked as an owner
	majorityWait  = 1500 * time.Millisecond
	beatTime      = 300 * time.Millisecond
	leastBeatTime = 20 * time.Millisecond // between a beat and one that is asked for
	proxyTime     = 3 * time.Second
	pullWait      = 100 * time.Millisecond
	selfFolder    = "self"
	incarnFile    = "incarnation"
	founderFile   = "founder" // there since the fleet's very first start
	holdPrefix    = "hold/"
)

// Core keeps the control state on its disk.
type Core struct {
	host        Host
	options     CoreOptions
	disk        disk.Disk
	incarnation string
	mayFound    bool // this disk is from the fleet's very first start (§2.6)
	wire        *rpc.Client
	plain       *http.Client // for the replicas of adapters (§6.6)
	acceptor    *register.Acceptor
	owner       *register.Owner
	cores       *watch.Server // for the other cores: every key
	data        *watch.Server // for the agents
	table       *throttle.Table
	ring        *gossip.Detector
	isDamaged   atomic.Bool // a torn file: this core's word counts for nobody until it has caught up (§2.5)
	learning    sync.Mutex
	carrying    sync.Mutex
	carried     carried // with carrying
	tending     sync.Mutex
	refreshing  sync.Mutex                 // held while the members are asked for a newer list
	noting      chan struct{}              // of one place, held while who is silent is written down
	members     atomic.Pointer[membership] // nil until the fleet is founded
	number      atomic.Uint32              // this core's among the members; no longer a member, it keeps the number, which nobody is given again

	isLeaving   atomic.Bool
	hasSnapshot atomic.Bool // at the last beat: a majority was heard, and all that it has settled is here

	declare       func(context.Context, config.Declaration) (Accepted, error)
	name          func(context.Context, ModelOrder) (Accepted, error)
	loads         func(context.Context, register.Fields) (Accepted, error)
	resolve       func(context.Context, SettleOrder) (SettleAnswer, error)
	changeMembers func(context.Context, MembersOrder) (Accepted, error)

	kept       keptNews
	saidFailed sync.Map // keys whose catching up has failed, as the log has it
	toldNamed  sync.Map // versions of models whose coming was told to the agents

	claims map[string]time.Time // when this process first saw a request's claim; of the pruning alone

	mu        sync.Mutex
	followers map[string]*watch.Client // by member name
	met       map[string]string        // founding: address → incarnation
	unsettled map[string]time.Time
	joiners   map[string]joiner // by name: cores that would be members
	silence   silence           // of the members
	listNews  chan struct{}     // closed when another list of members counts
	nudges    chan struct{}     // holds one if a beat is asked for
	proxies   register.Fields
}

// CoreOptions of a core.
type CoreOptions struct {
	ClaimAge time.Duration // how long callers' keys are remembered, at the least
	// SelfAdmitting lets the core's members admit joiners and retire the lost by themselves (§2.8).
	SelfAdmitting bool
	Backend       Backend                     // the platform and its replicas, where they do not speak our own interface
	Lease         time.Duration               // between the last order of one holder of a duty and the first of the next
	Endpoints     func(*Core, *http.ServeMux) // more of them, in a manner of speaking that is not ours
	LinkWait      time.Duration               // how long the ask of another core is held; 0: 100 ms
	Tolerance     Tolerance                   // what may be lost at once
	LeaveLimit    time.Duration               // how long a core that is told to stop may take to leave the members
	Hold          *config.Hold                // the waiting rule of a fleet that is declared by numbers and does not set it
}

// NewCore opens the disk and loads what it has.
func NewCore(host Host, d disk.Disk, options CoreOptions) (*Core, error) {
	c := &Core{
		host: host, options: options, disk: d, wire: rpc.NewClient(host.Fleet, host.Net), plain: newPlain(host.Net),
		followers: map[string]*watch.Client{}, met: map[string]string{}, unsettled: map[string]time.Time{}, joiners: map[string]joiner{},
		listNews: make(chan struct{}), nudges: make(chan struct{}, 1), noting: make(chan struct{}, 1),
	}
	c.table = throttle.NewTable(c.holdNews)
	c.ring = NewDetector(host, "core", c.wire)
	who := watch.ServerOptions{Incarnation: func() string {
		if c.membership().self == nil || c.isDamaged.Load() {
			return ""
		}
		return c.incarnation
	}}
	c.cores, c.data = watch.NewServer(who), watch.NewServer(who)
	if err := c.identify(); err != nil {
		return nil, err
	}
	c.recallSilent()
	var err error
	c.acceptor, err = register.OpenAcceptor(register.AcceptorOptions{Disk: d, OnChange: c.acceptorNews, OnSkipped: func(folder, file string, err error) {
		host.Log.Warn().Str("event", "file_left_out").Str("folder", folder).Str("file", file).Err(err).Msg("")
	}})
	if err != nil {
		return nil, err
	}
	c.isDamaged.Store(c.acceptor.IsDamaged())
	c.owner = register.NewOwner(register.OwnerOptions{
		MemberID: c.number.Load, Acceptor: c.acceptor, Peers: c.acceptors, Timeout: majorityWait,
	})
	for _, key := range c.acceptor.Keys() {
		if scope, isHold := strings.CutPrefix(key, holdPrefix); isHold {
			c.resumeHold(scope)
		}
	}
	c.noteNamed(c.acceptor.Read(config.ModelsKey).Fields)
	c.learnMembers()
	return c, nil
}

// identify reads or makes the disk's incarnation, and whether it is from the fleet's very first start (§2.6).
func (c *Core) identify() error {
	raw, err := c.disk.Get(selfFolder, incarnFile)
	switch {
	case apierror.Is(err, apierror.NotFound):
		raw, err = c.newIncarnation()
	case err == nil:
		err = c.disk.Sync(selfFolder) // a process before this one may have died while it wrote it
	}
	if err != nil {
		return apierror.Wrap(err, apierror.DiskFailed, "incarnation")
	}
	c.incarnation = string(raw)
	_, err = c.disk.Get(selfFolder, founderFile)
	c.mayFound = err == nil || !c.host.Bootstrapped
	if err != nil && !apierror.Is(err, apierror.NotFound) && !apierror.Is(err, apierror.Torn) {
		return apierror.Wrap(err, apierror.DiskFailed, "founder")
	}
	return nil
}

// newIncarnation names a disk that is empty. The mark of the fleet's first start comes first: a disk with an incarnation and no mark is later.
func (c *Core) newIncarnation() ([]byte, error) {
	if !c.host.Bootstrapped {
		if err := c.disk.Put(selfFolder, founderFile, nil); err != nil {
			return nil, err
		}
	}
	raw := []byte(rand.Text())
	return raw, c.disk.Put(selfFolder, incarnFile, raw)
}

// acceptorNews passes what the disk has accepted on to the links. It is called under the key's lock.
func (c *Core) acceptorNews(key string, at register.Record, change register.Fields, full bool) {
	c.cores.Publish(key, at.Revision, at.Committed, change, full)
	if isForAgents(key) {
		c.data.Publish(key, at.Revision, at.Committed, withoutTexts(change), full)
	}
	if key == config.MembersKey && c.acceptor != nil {
		go func() {
			c.learnMembers()
			c.nudge()
		}()
	}
	if key == config.ModelsKey && c.acceptor != nil {
		c.noteNamed(change)
	}
}

// noteNamed tells the agents when a version of a model came to this disk, or when this life began that found it there. The oldest word of all
// cores counts: one that has started anew adds nothing to it. Where all have, the cores were disturbed meanwhile, and the time of old versions
// counts from the first one's start (§6.5).
func (c *Core) noteNamed(change register.Fields) {
	models, err := config.Load[config.Model](change)
	if err != nil {
		return
	}
	fields := register.Fields{}
	for name, m := range models {
		if _, told := c.toldNamed.LoadOrStore(router.NamedField(name, m.Version), true); !told {
			fields[router.NamedField(name, m.Version)] = json.RawMessage("0")
		}
	}
	if len(fields) > 0 {
		c.data.Publish(router.NamedKey, register.Revision{}, register.Revision{}, fields, false)
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

func isForAgents(key string) bool {
	return key == config.Key || key == config.ModelsKey || key == config.LoadsKey || key == config.RetirementKey || key == config.ReplicasKey || key == config.MembersKey || strings.HasPrefix(key, config.KeysPrefix)
}

func (c *Core) holdNews(e throttle.Entry) {
	raw, _ := json.Marshal(e.Notice) // a plain struct always encodes
	fields := register.Fields{e.Scope: raw}
	c.cores.Publish(router.HoldKey, register.Revision{}, register.Revision{}, fields, false)
	c.data.Publish(router.HoldKey, register.Revision{}, register.Revision{}, fields, false)
}

// resumeHold counts what a hold on disk had left from the start again: later, never earlier (§4.2).
func (c *Core) resumeHold(scope string) {
	var n throttle.Notice
	if raw := c.acceptor.Read(holdPrefix + scope).Fields["hold"]; raw != nil && json.Unmarshal(raw, &n) == nil {
		c.table.Merge(n, throttle.Longest)
	}
}

// Serve runs the core until the context ends.
func (c *Core) Serve(ctx context.Context, listener net.Listener) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go c.found(ctx)
	go c.runBeats(ctx)
	handler := c.handler()
	go c.runDuties(ctx)
	if c.options.Backend != nil {
		c.runBackend(ctx)
	}
	go c.ring.Run(ctx)
	c.host.Log.Info().Str("event", "core_up").Str("address", c.host.Address).Str("incarnation", c.incarnation).Msg("")
	return Serve(ctx, listener, handler, time.Second)
}

func (c *Core) handler() http.Handler {
	mux, fleet := http.NewServeMux(), c.host.Fleet
	mux.Handle("POST /core/hello", rpc.Handler(fleet, c.hello))
	mux.Handle("POST /core/pull", rpc.Handler(fleet, c.data.Watch))
	mux.Handle("POST /core/whole", rpc.Handler(fleet, c.cores.Watch))
	mux.Handle("POST /core/hold", rpc.Handler(fleet, c.shareHold))
	mux.Handle("POST /register/promise", rpc.Handler(fleet, c.promise))
	mux.Handle("POST /register/confirm", rpc.Handler(fleet, c.confirm))
	mux.Handle("POST /register/accept", rpc.Handler(fleet, c.accept))
	mux.Handle("POST /register/settle", rpc.Handler(fleet, c.settle))
	HandleGossip(mux, fleet, c.ring)
	HandleMetrics(mux, c.figures)
	mux.Handle("POST /query", rpc.Handler(fleet, c.Query))
	rpc.HandleReady(mux, func() bool {
		now := c.membership()
		return now.self != nil && len(c.live()) >= majorityOf(len(now.members))
	})
	if c.options.Backend != nil {
		mux.Handle("POST /core/list", rpc.Handler(fleet, c.listFor))
	}
	op(mux, c, config.Key, func(ConfigOrder) string { return config.Key }, c.orderConfig, false)
	op(mux, c, "keys", func(o KeyOrder) string { return config.KeysPrefix + o.Tenant }, c.orderKey, true)
	op(mux, c, "replicas", func(ReplicasOrder) string { return config.ReplicasKey }, c.orderReplicas, true)
	op(mux, c, "claim", func(o ClaimOrder) string { return claimGroup(o) }, c.orderClaim, true)
	op(mux, c, "hold", func(n throttle.Notice) string { return holdPrefix + n.Scope }, c.orderHold, true)
	op(mux, c, "term", func(o LeaseOrder) string { return leasePrefix + o.Duty }, c.orderLease, false)
	c.changeMembers = op(mux, c, "members", func(MembersOrder) string { return config.MembersKey }, c.orderMembers, false)
	c.resolve = op(mux, c, "settle", func(o SettleOrder) string { return o.Key }, c.orderSettle, true)
	c.declare = op(mux, c, "declaration", func(config.Declaration) string { return config.Key }, c.orderDeclaration, true)
	c.name = op(mux, c, "models", func(ModelOrder) string { return config.ModelsKey }, c.orderModel, true)
	c.loads = op(mux, c, "loads", func(register.Fields) string { return config.LoadsKey }, c.orderLoads, true)
	op(mux, c, "retirement", func(RetirementOrder) string { return config.RetirementKey }, c.orderRetirement, false)
	op(mux, c, "advance", func(AdvanceOrder) string { return config.RetirementKey }, c.orderAdvance, true)
	if c.options.Endpoints != nil {
		c.options.Endpoints(c, mux)
	}
	return mux
}

// op serves a change at /op/NAME, where any core takes it to the key's owner, and at /own/NAME, where this core does it itself.
func op[Q, A any](mux *http.ServeMux, c *Core, name string, keyOf func(Q) string, do func(context.Context, Q) (A, error), idempotent bool) func(context.Context, Q) (A, error) {
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
		short, stop := context.WithTimeout(ctx, 2*majorityWait)
		defer stop()
		answer, err := rpc.Call[A](short, c.wire, c.addressOf(owner), "/own/"+name, q)
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

func (c *Core) linkWait() time.Duration {
	if c.options.LinkWait > 0 {
		return c.options.LinkWait
	}
	return pullWait
}

// isWithMajority says whether this core is a member and hears a majority of the members. One that does not has no part in what a single core
// does for all: it would draw itself for everything.
func (c *Core) isWithMajority() bool {
	now := c.membership()
	return now.self != nil && len(c.live()) > len(now.members)/2
}

// isDrawn says whether this core is the one that looks after a key.
func (c *Core) isDrawn(key string) bool {
	return c.isWithMajority() && register.Pick(key, c.live()) == c.host.Name
}

// runBeats beats at each step, and at once when something has changed that the next beat would act upon.
func (c *Core) runBeats(ctx context.Context) {
	step := time.NewTicker(beatTime)
	defer step.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-step.C:
		case <-c.nudges:
		}
		c.beat(ctx)
		if rpc.Sleep(ctx, leastBeatTime) != nil {
			return
		}
	}
}

// nudge asks for a beat soon.
func (c *Core) nudge() {
	select {
	case c.nudges <- struct{}{}:
	default: // one is asked for already
	}
}
