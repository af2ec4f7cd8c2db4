// Package gossip is how the daemons know each other: each sends heartbeats to a few watchers that its place on a ring names, and a daemon
// counts as down only when its watchers agree (docs/design.md §3.4).
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

	"asterridge/register"
)

// Node is one process of the fleet. Life rises when it has to contradict news of its end.
type Node struct {
	Name        string `json:"name"`
	Role        string `json:"role"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"life"`
	Down        bool   `json:"down,omitempty"`
}

// Heartbeat is a heartbeat with news; Answer gives news back. To one that it did not know, a daemon answers with all it knows.
type Heartbeat struct {
	From    Node   `json:"from"`
	Updates []Node `json:"news,omitempty"`
	Full    bool   `json:"full,omitempty"` // all that the sender knows; it wants the same back
}

// HeartbeatReply to a beat.
type HeartbeatReply struct {
	Updates []Node `json:"news,omitempty"`
}

// Suspicion asks another watcher how long a daemon has been silent towards it.
type Suspicion struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`
}

// SuspicionReply answers a doubt; IsWatcher is false from one that has no word of the daemon.
type SuspicionReply struct {
	SilentMs int64 `json:"silent_ms"`
	Watcher  bool  `json:"watcher"`
}

// Transport is the way to other daemons.
type Transport interface {
	SendHeartbeat(ctx context.Context, address string, b Heartbeat) (HeartbeatReply, error)
	SendSuspicion(ctx context.Context, address string, d Suspicion) (SuspicionReply, error)
}

// Options of a ring's member.
type Options struct {
	Self      Node
	Seeds     []string
	Transport Transport
	Interval  time.Duration // between beats
	Watchers  int
	Seed      uint64 // of the draw of a daemon to compare all with
	Log       zerolog.Logger
}

// Detector is one daemon's view of all.
type Detector struct {
	options      Options
	mu           sync.Mutex
	self         Node
	position     uint64
	nodes        map[string]*entry
	sorted       []*entry // as around gives it; nil after a change
	random       *rand.Rand
	round        int
	messagesSent int // messages sent, for measuring
	alarms       int // daemons that this one took for down
}

type entry struct {
	Node
	position      uint64    // on the ring
	lastHeard     time.Time // a beat came to us, or word that it is up
	transmitsLeft int       // how often its news is still passed on
	flaps         float64   // how often it came back of late
	lastFlap      time.Time
}

const (
	missedHeartbeats = 4 // beats that may be missed
	maxUpdates       = 12
	flapHalfLife     = 30 * time.Second
	maxDamping       = 8
	fullSyncRounds   = 10 // rounds between two comparisons of all
	callTimeout      = 800 * time.Millisecond
)

// New makes a member that knows only itself.
func New(options Options) *Detector {
	return &Detector{options: options, self: options.Self, position: positionOf(options.Self.Name), nodes: map[string]*entry{}, random: rand.New(rand.NewPCG(options.Seed, 9))}
}

// Run beats until the context ends.
func (r *Detector) Run(ctx context.Context) {
	ticker := time.NewTicker(r.options.Interval)
	defer ticker.Stop()
	for {
		r.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// tick sends one round of heartbeats and looks after those that this daemon watches.
func (r *Detector) tick(ctx context.Context) {
	r.mu.Lock()
	targets := addresses(r.watchers(r.self.Name, r.self.Zone))
	if len(targets) < r.options.Watchers {
		targets = append(targets, r.options.Seeds...)
	}
	var suspects []Node
	now := time.Now()
	for _, e := range r.nodes {
		if !e.Down && now.Sub(e.lastHeard) > r.timeout(e, now) && r.isWatcher(e) {
			suspects = append(suspects, e.Node)
		}
	}
	r.round++
	fullSyncTarget := ""
	if r.round%fullSyncRounds == 0 {
		if live := r.others(false); len(live) > 0 {
			fullSyncTarget = live[r.random.IntN(len(live))].Address
			r.messagesSent++
		}
	}
	r.messagesSent += len(targets)
	r.mu.Unlock()
	var pending sync.WaitGroup
	for _, address := range targets {
		pending.Go(func() { r.heartbeat(ctx, address, false) })
	}
	if fullSyncTarget != "" {
		pending.Go(func() { r.heartbeat(ctx, fullSyncTarget, true) })
	}
	for _, d := range suspects {
		pending.Go(func() { r.suspect(ctx, d) })
	}
	pending.Wait()
}

func addresses(all []*entry) (list []string) {
	for _, e := range all {
		list = append(list, e.Address)
	}
	return list
}

func positionOf(name string) uint64 { return register.Weight("ring", name) }

// sortedNodes lists this daemon and the live ones by their place on the ring; r.mu is held.
func (r *Detector) sortedNodes() []*entry {
	if r.sorted == nil {
		r.sorted = append(r.sorted, &entry{Node: r.self, position: r.position})
		for _, e := range r.nodes {
			if !e.Down {
				r.sorted = append(r.sorted, e)
			}
		}
		slices.SortFunc(r.sorted, func(a, b *entry) int { return cmp.Compare(a.position, b.position) })
	}
	return r.sorted
}

// watchers are the first live daemons after a name's place on the ring, spread over zones as far as there are zones; r.mu is held.
func (r *Detector) watchers(name, zone string) []*entry {
	position, order := positionOf(name), r.sortedNodes()
	first := sort.Search(len(order), func(i int) bool { return order[i].position >= position })
	var chosen []*entry
	zones := map[string]bool{zone: true}
	for _, anyZone := range []bool{false, true} { // first of zones that are not taken, then of any
		for i := 0; i < len(order) && len(chosen) < r.options.Watchers; i++ {
			e := order[(first+i)%len(order)]
			if e.Name != name && (anyZone || !zones[e.Zone]) && !slices.Contains(chosen, e) {
				chosen = append(chosen, e)
				zones[e.Zone] = true
			}
		}
	}
	return chosen
}

func (r *Detector) isWatcher(of *entry) bool {
	return slices.ContainsFunc(r.watchers(of.Name, of.Zone), func(e *entry) bool { return e.Name == r.self.Name })
}

// timeout is how long a daemon may be silent; longer for one that comes and goes.
func (r *Detector) timeout(e *entry, now time.Time) time.Duration {
	flaps := e.flaps
	for past := now.Sub(e.lastFlap); past > flapHalfLife && flaps > 0.1; past -= flapHalfLife {
		flaps /= 2
	}
	return time.Duration(float64(missedHeartbeats*r.options.Interval) * min(1+flaps, maxDamping))
}

func (r *Detector) heartbeat(ctx context.Context, address string, full bool) {
	r.mu.Lock()
	b := Heartbeat{From: r.self, Full: full}
	if full {
		b.Updates = r.others(true)
	} else {
		b.Updates = r.nextUpdates()
	}
	r.mu.Unlock()
	short, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	answer, err := r.options.Transport.SendHeartbeat(short, address, b)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range answer.Updates {
		r.apply(d)
	}
}

// nextUpdates picks what was passed on least often; r.mu is held.
func (r *Detector) nextUpdates() []Node {
	var pending []*entry
	for _, e := range r.nodes {
		if e.transmitsLeft > 0 {
			pending = append(pending, e)
		}
	}
	sort.Slice(pending, func(i, j int) bool { return pending[i].transmitsLeft > pending[j].transmitsLeft })
	var updates []Node
	for _, e := range pending[:min(len(pending), maxUpdates)] {
		e.transmitsLeft--
		updates = append(updates, e.Node)
	}
	return updates
}

// apply takes word of a daemon; r.mu is held.
func (r *Detector) apply(d Node) {
	if d.Name == r.self.Name {
		if d.Down && d.Incarnation >= r.self.Incarnation || !d.Down && d.Incarnation > r.self.Incarnation {
			r.sorted, r.self.Incarnation = nil, d.Incarnation+1 // we are not down, and not what we were before a restart
		}
		return
	}
	e := r.nodes[d.Name]
	if e == nil {
		e = &entry{Node: d, position: positionOf(d.Name), lastHeard: time.Now()}
		r.nodes[d.Name], r.sorted = e, nil
		r.disseminate(e)
		return
	}
	if d.Incarnation < e.Incarnation || d.Incarnation == e.Incarnation && (e.Down || !d.Down) {
		return
	}
	if e.Down && !d.Down {
		e.flaps = min(e.flaps+1, maxDamping)
		e.lastFlap = time.Now()
	}
	if d.Down != e.Down {
		r.options.Log.Info().Str("node", d.Name).Bool("down", d.Down).Msg("node liveness changed")
	}
	e.Node, r.sorted = d, nil
	if !d.Down {
		e.lastHeard = time.Now()
	}
	r.disseminate(e)
}

// disseminate has an entry's news passed on often enough to reach all: a few times the logarithm of the fleet.
func (r *Detector) disseminate(e *entry) { e.transmitsLeft = 3 * bits.Len(uint(len(r.nodes)+1)) }

// HandleHeartbeat answers a heartbeat.
func (r *Detector) HandleHeartbeat(_ context.Context, b Heartbeat) (HeartbeatReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.nodes[b.From.Name]
	r.apply(b.From)
	for _, d := range b.Updates {
		r.apply(d)
	}
	e := r.nodes[b.From.Name]
	if e == nil {
		return HeartbeatReply{}, nil // our own beat, by way of a seed that is ourselves
	}
	if e.Down || e.Incarnation > b.From.Incarnation {
		return HeartbeatReply{Updates: []Node{e.Node}}, nil // it has to contradict this before it counts
	}
	e.lastHeard = time.Now()
	if ok && !b.Full {
		return HeartbeatReply{Updates: r.nextUpdates()}, nil
	}
	return HeartbeatReply{Updates: append(r.others(true), r.self)}, nil
}

// others lists the daemons known besides this one, in order of name; r.mu is held.
func (r *Detector) others(withDown bool) []Node {
	var all []Node
	for _, e := range r.nodes {
		if withDown || !e.Down {
			all = append(all, e.Node)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// HandleSuspicion answers another watcher's doubt.
func (r *Detector) HandleSuspicion(_ context.Context, d Suspicion) (SuspicionReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.nodes[d.Name]
	if e == nil || !r.isWatcher(e) {
		return SuspicionReply{}, nil
	}
	return SuspicionReply{SilentMs: time.Since(e.lastHeard).Milliseconds(), Watcher: true}, nil
}

// suspect takes a daemon for down if most of its watchers that can be asked have not heard it either.
func (r *Detector) suspect(ctx context.Context, d Node) {
	r.mu.Lock()
	e := r.nodes[d.Name]
	var others []Node // copies: the entries move on while the others are asked
	for _, w := range r.watchers(d.Name, d.Zone) {
		others = append(others, w.Node)
	}
	patience := r.timeout(e, time.Now())
	r.messagesSent += len(others) - 1
	r.mu.Unlock()
	agreeing, asked := 1, 1
	for _, w := range others {
		if w.Name == r.self.Name {
			continue
		}
		short, stop := context.WithTimeout(ctx, callTimeout)
		s, err := r.options.Transport.SendSuspicion(short, w.Address, Suspicion{d.Name, d.Incarnation})
		stop()
		if err != nil {
			continue
		}
		asked++
		if s.Watcher && time.Duration(s.SilentMs)*time.Millisecond > patience/2 {
			agreeing++
		}
	}
	if asked < 2 && len(others) > 1 || agreeing*2 <= asked {
		return // alone, or not agreed: perhaps it is us who are cut off
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Incarnation != d.Incarnation || e.Down || time.Since(e.lastHeard) < patience {
		return
	}
	r.alarms++
	d.Down = true
	r.apply(d)
}

// Nodes lists the daemons known, this one first.
func (r *Detector) Nodes() []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Node{r.self}, r.others(true)...)
}

// Stats for measuring: messages sent, and alarms raised by this daemon.
func (r *Detector) Stats() (sent, alarms int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.messagesSent, r.alarms
}
