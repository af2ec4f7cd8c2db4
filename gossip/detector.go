// Package gossip implements the failure detector: it tells every process of the fleet which others are running. No correctness property
// depends on it; it serves to discover addresses and to show operators which nodes are down.
//
// Each node has a position on a hash ring, given by its name, and sends heartbeats to its watchers: the first few live nodes after that
// position, in different zones where possible. A watcher that misses heartbeats suspects the node and asks the other watchers; the node is
// marked down only if most of those that answer have not heard from it either. Updates are piggybacked on heartbeats, and each node sends
// each update a number of times proportional to the logarithm of the fleet's size. A node that learns that it was marked down refutes this
// with a higher incarnation (docs/design.md §3.4).
package gossip

import (
	"cmp"
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"asterridge/rendezvous"
	"asterridge/rpc"
)

const (
	// missedHeartbeats is the number of heartbeat intervals without a heartbeat after which a node is suspected.
	missedHeartbeats = 4
	// maxUpdates bounds the updates of one message.
	maxUpdates = 12
	// transmitsPerBit is how often a node sends an update for each bit of the fleet's size.
	transmitsPerBit = 3
	// flapHalfLife is the half-life of a node's flap count; maxDamping bounds the factor by which flaps extend its timeout; counts below
	// minFlaps are not decayed further.
	flapHalfLife = 30 * time.Second
	maxDamping   = 8
	minFlaps     = 0.1
	// fullSyncRounds is the number of rounds between two full synchronizations with a random node.
	fullSyncRounds = 10
	callTimeout    = 800 * time.Millisecond
	randomStream   = 9
)

// Options configures a detector.
type Options struct {
	Self      Node
	Seeds     []string
	Transport Transport
	// Interval is the time between two heartbeats.
	Interval time.Duration
	// Watchers is how many nodes watch each node.
	Watchers int
	// Seed seeds the random choice of nodes for full synchronizations.
	Seed uint64
	Log  zerolog.Logger
}

// Detector is one node's view of the fleet.
type Detector struct {
	options  Options
	position uint64

	mu    sync.Mutex // guards the fields below
	self  Node
	nodes map[string]*entry // all known nodes but this one, by name
	// sorted caches this node and the live ones, ordered by position; nil after a change.
	sorted       []*entry
	random       *rand.Rand
	round        int
	messagesSent int
	alarms       int // how often this node has marked another one down
	// remembered are addresses that an earlier run knew and this one has not heard from; startedAt is when Run began.
	remembered map[string]bool
	startedAt  time.Time
}

// entry is the detector's state for another node.
type entry struct {
	Node
	position uint64
	// lastHeard is when a heartbeat or an update last showed that the node is running.
	lastHeard time.Time
	// transmitsLeft is how often the newest update about the node is still to be sent.
	transmitsLeft int
	// flaps is the decaying count of the node's recoveries, as of lastFlap.
	flaps    float64
	lastFlap time.Time
}

// New returns a detector that knows only its own node.
func New(options Options) *Detector {
	return &Detector{
		options:    options,
		position:   positionOf(options.Self.Name),
		self:       options.Self,
		nodes:      map[string]*entry{},
		remembered: map[string]bool{},
		random:     rand.New(rand.NewPCG(options.Seed, randomStream)),
	}
}

func positionOf(name string) uint64 { return rendezvous.Weight("ring", name) }

// Run sends heartbeats until the context ends.
func (d *Detector) Run(ctx context.Context) {
	d.mu.Lock()
	d.startedAt = time.Now()
	d.mu.Unlock()
	d.tick(ctx)
	rpc.Every(ctx, d.options.Interval, func() { d.tick(ctx) })
}

// Nodes returns all known nodes, this one first.
func (d *Detector) Nodes() []Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Node{d.self}, d.others(true)...)
}

// Stats returns the number of messages sent and how often this node has marked another one down.
func (d *Detector) Stats() (messagesSent, alarms int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.messagesSent, d.alarms
}

// tick sends one round of heartbeats and checks the watched nodes whose heartbeats are missing.
func (d *Detector) tick(ctx context.Context) {
	targets, fullSyncTarget, suspects := d.nextRound()
	var pending sync.WaitGroup
	for _, address := range targets {
		pending.Go(func() { d.heartbeat(ctx, address, false) })
	}
	if fullSyncTarget != "" {
		pending.Go(func() { d.heartbeat(ctx, fullSyncTarget, true) })
	}
	for _, node := range suspects {
		pending.Go(func() { d.suspect(ctx, node) })
	}
	pending.Wait()
}

// nextRound returns the addresses to send heartbeats to, the address for a full synchronization (empty if none is due), and the nodes to
// suspect.
func (d *Detector) nextRound() (targets []string, fullSyncTarget string, suspects []Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, watcher := range d.watchers(d.self.Name, d.self.Zone) {
		targets = append(targets, watcher.Address)
	}
	if len(targets) < d.options.Watchers {
		targets = append(targets, d.options.Seeds...)
	}
	now := time.Now()
	for _, e := range d.nodes {
		if !e.Down && now.Sub(e.lastHeard) > d.timeout(e, now) && d.isWatcher(e) {
			suspects = append(suspects, e.Node)
		}
	}
	d.round++
	if d.round%fullSyncRounds == 0 {
		fullSyncTarget = d.randomAddress()
	}
	targets = append(targets, d.lostAddresses(now)...)
	d.messagesSent += len(targets)
	if fullSyncTarget != "" {
		d.messagesSent++
	}
	return targets, fullSyncTarget, suspects
}

// randomAddress returns the address of a random live node, or "" if there is none. The caller holds d.mu.
func (d *Detector) randomAddress() string {
	live := d.others(false)
	if len(live) == 0 {
		return ""
	}
	return live[d.random.IntN(len(live))].Address
}

// sortedNodes returns this node and the live ones, ordered by position. The caller holds d.mu.
func (d *Detector) sortedNodes() []*entry {
	if d.sorted == nil {
		d.sorted = append(d.sorted, &entry{Node: d.self, position: d.position})
		for _, e := range d.nodes {
			if !e.Down {
				d.sorted = append(d.sorted, e)
			}
		}
		slices.SortFunc(d.sorted, func(a, b *entry) int { return cmp.Compare(a.position, b.position) })
	}
	return d.sorted
}

// watchers returns the first live nodes after a name's position, in different zones where possible. The caller holds d.mu.
func (d *Detector) watchers(name, zone string) []*entry {
	position, sorted := positionOf(name), d.sortedNodes()
	first := sort.Search(len(sorted), func(i int) bool { return sorted[i].position >= position })
	var chosen []*entry
	zones := map[string]bool{zone: true}
	for _, anyZone := range []bool{false, true} {
		for i := 0; i < len(sorted) && len(chosen) < d.options.Watchers; i++ {
			e := sorted[(first+i)%len(sorted)]
			if e.Name != name && (anyZone || !zones[e.Zone]) && !slices.Contains(chosen, e) {
				chosen = append(chosen, e)
				zones[e.Zone] = true
			}
		}
	}
	return chosen
}

// isWatcher reports whether this node is a watcher of another one. The caller holds d.mu.
func (d *Detector) isWatcher(of *entry) bool {
	return slices.ContainsFunc(d.watchers(of.Name, of.Zone), func(e *entry) bool { return e.Name == d.self.Name })
}

// timeout returns how long a node may be silent before it is suspected; longer for a flapping node.
func (d *Detector) timeout(e *entry, now time.Time) time.Duration {
	flaps := e.flaps
	for past := now.Sub(e.lastFlap); past > flapHalfLife && flaps > minFlaps; past -= flapHalfLife {
		flaps /= 2
	}
	return time.Duration(float64(missedHeartbeats*d.options.Interval) * min(1+flaps, maxDamping))
}

// heartbeat sends one heartbeat and applies the updates in the reply. Errors are ignored, since the next round sends another one.
func (d *Detector) heartbeat(ctx context.Context, address string, full bool) {
	d.mu.Lock()
	message := Heartbeat{From: d.self, Full: full}
	if full {
		message.Updates = d.others(true)
	} else {
		message.Updates = d.nextUpdates()
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := d.options.Transport.SendHeartbeat(ctx, address, message)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.remembered, address)
	for _, update := range reply.Updates {
		d.apply(update)
	}
}

// nextUpdates returns the updates with the most transmissions left, at most maxUpdates. The caller holds d.mu.
func (d *Detector) nextUpdates() (updates []Node) {
	var pending []*entry
	for _, e := range d.nodes {
		if e.transmitsLeft > 0 {
			pending = append(pending, e)
		}
	}
	sort.Slice(pending, func(i, j int) bool { return pending[i].transmitsLeft > pending[j].transmitsLeft })
	for _, e := range pending[:min(len(pending), maxUpdates)] {
		e.transmitsLeft--
		updates = append(updates, e.Node)
	}
	return updates
}

// apply merges an update about a node. A higher incarnation takes precedence; within one incarnation, down does. The caller holds d.mu.
func (d *Detector) apply(update Node) {
	if update.Name == d.self.Name {
		d.applyToSelf(update)
		return
	}
	e := d.nodes[update.Name]
	if e == nil {
		e = &entry{Node: update, position: positionOf(update.Name), lastHeard: time.Now()}
		d.nodes[update.Name], d.sorted = e, nil
		d.disseminate(e)
		return
	}
	if update.Incarnation < e.Incarnation || update.Incarnation == e.Incarnation && (e.Down || !update.Down) {
		return
	}
	if e.Down && !update.Down {
		e.flaps = min(e.flaps+1, maxDamping)
		e.lastFlap = time.Now()
	}
	if update.Down != e.Down {
		d.options.Log.Info().Str("node", update.Name).Bool("down", update.Down).Msg("node liveness changed")
	}
	e.Node, d.sorted = update, nil
	if !update.Down {
		e.lastHeard = time.Now()
	}
	d.disseminate(e)
}

// applyToSelf refutes, with a higher incarnation, an update that marks this node down or has the incarnation of one of its earlier runs.
// The caller holds d.mu.
func (d *Detector) applyToSelf(update Node) {
	if update.Down && update.Incarnation >= d.self.Incarnation || !update.Down && update.Incarnation > d.self.Incarnation {
		d.sorted, d.self.Incarnation = nil, update.Incarnation+1
	}
}

// disseminate schedules an update to be sent often enough to reach all nodes: transmitsPerBit times the logarithm of the fleet's size. The
// caller holds d.mu.
func (d *Detector) disseminate(e *entry) {
	e.transmitsLeft = transmitsPerBit * bits.Len(uint(len(d.nodes)+1))
}

// HandleHeartbeat answers a heartbeat.
func (d *Detector) HandleHeartbeat(_ context.Context, message Heartbeat) (HeartbeatReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.nodes[message.From.Name]
	delete(d.remembered, message.From.Address)
	d.apply(message.From)
	for _, update := range message.Updates {
		d.apply(update)
	}
	e := d.nodes[message.From.Name]
	if e == nil {
		return HeartbeatReply{}, nil // this node's own heartbeat: its seeds include its own address
	}
	if e.Down || e.Incarnation > message.From.Incarnation {
		return HeartbeatReply{Updates: []Node{e.Node}}, nil // the sender must refute this before it counts as live
	}
	e.lastHeard = time.Now()
	if known && !message.Full {
		return HeartbeatReply{Updates: d.nextUpdates()}, nil
	}
	return HeartbeatReply{Updates: append(d.others(true), d.self)}, nil
}

// SampleAddresses returns the addresses of up to count random nodes other than this one, whether they are up or down.
func (d *Detector) SampleAddresses(count int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, node := range d.others(true) {
		addresses = append(addresses, node.Address)
	}
	d.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// others returns all known nodes but this one, ordered by name. The caller holds d.mu.
func (d *Detector) others(withDown bool) (nodes []Node) {
	for _, e := range d.nodes {
		if withDown || !e.Down {
			nodes = append(nodes, e.Node)
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	return nodes
}

// HandleSuspicion tells another watcher for how long this node has not heard from the suspected one.
func (d *Detector) HandleSuspicion(_ context.Context, s Suspicion) (SuspicionReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.nodes[s.Name]
	if e == nil || !d.isWatcher(e) {
		return SuspicionReply{}, nil
	}
	return SuspicionReply{SilentMs: time.Since(e.lastHeard).Milliseconds(), Watcher: true}, nil
}

// suspect marks a node down if most of its reachable watchers, this node included, have not heard from it.
func (d *Detector) suspect(ctx context.Context, node Node) {
	e, watchers, timeout := d.suspectedNode(node)
	agreeing, answered := 1, 1 // this node counts as one watcher
	for _, watcher := range watchers {
		if watcher.Name == d.self.Name {
			continue
		}
		reply, err := d.askWatcher(ctx, watcher, node)
		if err != nil {
			continue
		}
		answered++
		if reply.Watcher && time.Duration(reply.SilentMs)*time.Millisecond > timeout/2 {
			agreeing++
		}
	}
	if answered < 2 && len(watchers) > 1 || agreeing*2 <= answered {
		return // no other watcher answered or most disagree: this node may be the partitioned one
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.Incarnation != node.Incarnation || e.Down || time.Since(e.lastHeard) < timeout {
		return // changed or heard from in the meantime
	}
	d.alarms++
	node.Down = true
	d.apply(node)
}

// suspectedNode returns a node's entry, copies of its watchers (their entries may change while they are asked), and its timeout.
func (d *Detector) suspectedNode(node Node) (e *entry, watchers []Node, timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e = d.nodes[node.Name]
	for _, watcher := range d.watchers(node.Name, node.Zone) {
		watchers = append(watchers, watcher.Node)
	}
	d.messagesSent += len(watchers) - 1
	return e, watchers, d.timeout(e, time.Now())
}

func (d *Detector) askWatcher(ctx context.Context, watcher, node Node) (SuspicionReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.options.Transport.SendSuspicion(ctx, watcher.Address, Suspicion{Name: node.Name, Incarnation: node.Incarnation})
}
