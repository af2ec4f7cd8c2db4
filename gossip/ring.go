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

// Daemon is one process of the fleet. Life rises when it has to contradict news of its end.
type Daemon struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Life    uint64 `json:"life"`
	Down    bool   `json:"down,omitempty"`
}

// Beat is a heartbeat with news; Answer gives news back. To one that it did not know, a daemon answers with all it knows.
type Beat struct {
	From Daemon   `json:"from"`
	News []Daemon `json:"news,omitempty"`
	Full bool     `json:"full,omitempty"` // all that the sender knows; it wants the same back
}

// Answer to a beat.
type Answer struct {
	News []Daemon `json:"news,omitempty"`
}

// Doubt asks another watcher how long a daemon has been silent towards it.
type Doubt struct {
	Name string `json:"name"`
	Life uint64 `json:"life"`
}

// Silence answers a doubt; IsWatcher is false from one that has no word of the daemon.
type Silence struct {
	SilentMs int64 `json:"silent_ms"`
	Watcher  bool  `json:"watcher"`
}

// Calls is the way to other daemons.
type Calls interface {
	Beat(ctx context.Context, address string, b Beat) (Answer, error)
	Doubt(ctx context.Context, address string, d Doubt) (Silence, error)
}

// Options of a ring's member.
type Options struct {
	Self     Daemon
	Seeds    []string
	Calls    Calls
	Step     time.Duration // between beats
	Watchers int
	Seed     uint64 // of the draw of a daemon to compare all with
	Log      zerolog.Logger
}

// Ring is one daemon's view of all.
type Ring struct {
	options Options
	mu      sync.Mutex
	self    Daemon
	place   uint64
	known   map[string]*entry
	order   []*entry // as around gives it; nil after a change
	random  *rand.Rand
	round   int
	sent    int // messages sent, for measuring
	alarms  int // daemons that this one took for down
}

type entry struct {
	Daemon
	place   uint64    // on the ring
	heard   time.Time // a beat came to us, or word that it is up
	rumours int       // how often its news is still passed on
	flaps   float64   // how often it came back of late
	flapped time.Time
}

const (
	silentSteps = 4 // beats that may be missed
	mostNews    = 12
	flapMemory  = 30 * time.Second
	mostDamping = 8
	fullRounds  = 10 // rounds between two comparisons of all
	callTime    = 800 * time.Millisecond
)

// New makes a member that knows only itself.
func New(options Options) *Ring {
	return &Ring{options: options, self: options.Self, place: placeOf(options.Self.Name), known: map[string]*entry{}, random: rand.New(rand.NewPCG(options.Seed, 9))}
}

// Run beats until the context ends.
func (r *Ring) Run(ctx context.Context) {
	ticker := time.NewTicker(r.options.Step)
	defer ticker.Stop()
	for {
		r.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step sends one round of heartbeats and looks after those that this daemon watches.
func (r *Ring) step(ctx context.Context) {
	r.mu.Lock()
	targets := addresses(r.watchers(r.self.Name, r.self.Zone))
	if len(targets) < r.options.Watchers {
		targets = append(targets, r.options.Seeds...)
	}
	var doubts []Daemon
	now := time.Now()
	for _, e := range r.known {
		if !e.Down && now.Sub(e.heard) > r.patience(e, now) && r.isWatcher(e) {
			doubts = append(doubts, e.Daemon)
		}
	}
	r.round++
	full := ""
	if r.round%fullRounds == 0 {
		if live := r.others(false); len(live) > 0 {
			full = live[r.random.IntN(len(live))].Address
			r.sent++
		}
	}
	r.sent += len(targets)
	r.mu.Unlock()
	var all sync.WaitGroup
	for _, address := range targets {
		all.Go(func() { r.beat(ctx, address, false) })
	}
	if full != "" {
		all.Go(func() { r.beat(ctx, full, true) })
	}
	for _, d := range doubts {
		all.Go(func() { r.doubt(ctx, d) })
	}
	all.Wait()
}

func addresses(all []*entry) (found []string) {
	for _, e := range all {
		found = append(found, e.Address)
	}
	return found
}

func placeOf(name string) uint64 { return register.Weight("ring", name) }

// around lists this daemon and the live ones by their place on the ring; r.mu is held.
func (r *Ring) around() []*entry {
	if r.order == nil {
		r.order = append(r.order, &entry{Daemon: r.self, place: r.place})
		for _, e := range r.known {
			if !e.Down {
				r.order = append(r.order, e)
			}
		}
		slices.SortFunc(r.order, func(a, b *entry) int { return cmp.Compare(a.place, b.place) })
	}
	return r.order
}

// watchers are the first live daemons after a name's place on the ring, spread over zones as far as there are zones; r.mu is held.
func (r *Ring) watchers(name, zone string) []*entry {
	place, order := placeOf(name), r.around()
	first := sort.Search(len(order), func(i int) bool { return order[i].place >= place })
	var chosen []*entry
	zones := map[string]bool{zone: true}
	for _, free := range []bool{false, true} { // first of zones that are not taken, then of any
		for i := 0; i < len(order) && len(chosen) < r.options.Watchers; i++ {
			e := order[(first+i)%len(order)]
			if e.Name != name && (free || !zones[e.Zone]) && !slices.Contains(chosen, e) {
				chosen = append(chosen, e)
				zones[e.Zone] = true
			}
		}
	}
	return chosen
}

func (r *Ring) isWatcher(of *entry) bool {
	return slices.ContainsFunc(r.watchers(of.Name, of.Zone), func(e *entry) bool { return e.Name == r.self.Name })
}

// patience is how long a daemon may be silent; longer for one that comes and goes.
func (r *Ring) patience(e *entry, now time.Time) time.Duration {
	flaps := e.flaps
	for past := now.Sub(e.flapped); past > flapMemory && flaps > 0.1; past -= flapMemory {
		flaps /= 2
	}
	return time.Duration(float64(silentSteps*r.options.Step) * min(1+flaps, mostDamping))
}

func (r *Ring) beat(ctx context.Context, address string, full bool) {
	r.mu.Lock()
	b := Beat{From: r.self, Full: full}
	if full {
		b.News = r.others(true)
	} else {
		b.News = r.news()
	}
	r.mu.Unlock()
	short, stop := context.WithTimeout(ctx, callTime)
	defer stop()
	answer, err := r.options.Calls.Beat(short, address, b)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range answer.News {
		r.learn(d)
	}
}

// news picks what was passed on least often; r.mu is held.
func (r *Ring) news() []Daemon {
	var fresh []*entry
	for _, e := range r.known {
		if e.rumours > 0 {
			fresh = append(fresh, e)
		}
	}
	sort.Slice(fresh, func(i, j int) bool { return fresh[i].rumours > fresh[j].rumours })
	var news []Daemon
	for _, e := range fresh[:min(len(fresh), mostNews)] {
		e.rumours--
		news = append(news, e.Daemon)
	}
	return news
}

// learn takes word of a daemon; r.mu is held.
func (r *Ring) learn(d Daemon) {
	if d.Name == r.self.Name {
		if d.Down && d.Life >= r.self.Life || !d.Down && d.Life > r.self.Life {
			r.order, r.self.Life = nil, d.Life+1 // we are not down, and not what we were before a restart
		}
		return
	}
	e := r.known[d.Name]
	if e == nil {
		e = &entry{Daemon: d, place: placeOf(d.Name), heard: time.Now()}
		r.known[d.Name], r.order = e, nil
		r.spread(e)
		return
	}
	if d.Life < e.Life || d.Life == e.Life && (e.Down || !d.Down) {
		return
	}
	if e.Down && !d.Down {
		e.flaps = min(e.flaps+1, mostDamping)
		e.flapped = time.Now()
	}
	if d.Down != e.Down {
		r.options.Log.Info().Str("event", "liveness").Str("of", d.Name).Bool("is_down", d.Down).Msg("")
	}
	e.Daemon, r.order = d, nil
	if !d.Down {
		e.heard = time.Now()
	}
	r.spread(e)
}

// spread has an entry's news passed on often enough to reach all: a few times the logarithm of the fleet.
func (r *Ring) spread(e *entry) { e.rumours = 3 * bits.Len(uint(len(r.known)+1)) }

// Heard answers a heartbeat.
func (r *Ring) Heard(_ context.Context, b Beat) (Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.known[b.From.Name]
	r.learn(b.From)
	for _, d := range b.News {
		r.learn(d)
	}
	e := r.known[b.From.Name]
	if e == nil {
		return Answer{}, nil // our own beat, by way of a seed that is ourselves
	}
	if e.Down || e.Life > b.From.Life {
		return Answer{News: []Daemon{e.Daemon}}, nil // it has to contradict this before it counts
	}
	e.heard = time.Now()
	if ok && !b.Full {
		return Answer{News: r.news()}, nil
	}
	return Answer{News: append(r.others(true), r.self)}, nil
}

// others lists the daemons known besides this one, in order of name; r.mu is held.
func (r *Ring) others(withDown bool) []Daemon {
	var all []Daemon
	for _, e := range r.known {
		if withDown || !e.Down {
			all = append(all, e.Daemon)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Doubted answers another watcher's doubt.
func (r *Ring) Doubted(_ context.Context, d Doubt) (Silence, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[d.Name]
	if e == nil || !r.isWatcher(e) {
		return Silence{}, nil
	}
	return Silence{SilentMs: time.Since(e.heard).Milliseconds(), Watcher: true}, nil
}

// doubt takes a daemon for down if most of its watchers that can be asked have not heard it either.
func (r *Ring) doubt(ctx context.Context, d Daemon) {
	r.mu.Lock()
	e := r.known[d.Name]
	var others []Daemon // copies: the entries move on while the others are asked
	for _, w := range r.watchers(d.Name, d.Zone) {
		others = append(others, w.Daemon)
	}
	patience := r.patience(e, time.Now())
	r.sent += len(others) - 1
	r.mu.Unlock()
	agreeing, asked := 1, 1
	for _, w := range others {
		if w.Name == r.self.Name {
			continue
		}
		short, stop := context.WithTimeout(ctx, callTime)
		s, err := r.options.Calls.Doubt(short, w.Address, Doubt{d.Name, d.Life})
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
	if e.Life != d.Life || e.Down || time.Since(e.heard) < patience {
		return
	}
	r.alarms++
	d.Down = true
	r.learn(d)
}

// All lists the daemons known, this one first.
func (r *Ring) All() []Daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Daemon{r.self}, r.others(true)...)
}

// Figures for measuring: messages sent, and alarms raised by this daemon.
func (r *Ring) Figures() (sent, alarms int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent, r.alarms
}
