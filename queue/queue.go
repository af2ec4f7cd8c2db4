// Package queue holds waiting requests: a bounded queue for each tenant and pool, served by deficit round robin, paid for with
// credits, and never spinning (docs/design.md §5.3, §4.4).
package queue

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"asterridge/apierror"
)

// Item is a waiting request. Place is set on first entry and kept when it comes again.
type Item struct {
	Tenant, Pool int
	Weight       int
	Limit        int // how many of the tenant may wait
	Cost         int
	Scope        string
	Deadline     time.Time // a hold that outlasts it ends the wait at once; zero: none
	Due          time.Time // after it, those that are not due yet go first; zero: never
	Body         any       // what Pick needs to know

	position     uint64
	entered      time.Time
	granted      chan struct{}
	throttledFor time.Duration // the wait was ended: its hold outlasts the deadline by being so long yet
}

// Options of a queue whose credits are of type G.
type Options[G any] struct {
	// Pick takes a credit for the item, if there is one. It is called under the queue's lock.
	Pick func(item *Item) (G, bool)
	// Return gives back a credit whose item left in the moment of the grant.
	Return func(credit G)
	// NotBefore gives the scope's latest not-before moment, passed or not; zero if there was none.
	NotBefore func(scope string) time.Time
	// ReleaseDelay is how long after that moment this process may begin to release; others go before it.
	ReleaseDelay func(scope string) time.Duration
}

// Queue holds all waiting requests of one proxy.
type Queue[G any] struct {
	options      Options[G]
	mu           sync.Mutex
	nextPosition uint64
	pools        map[int]*tenantRing
	flows        map[[2]int]*flow
	grants       map[*Item]G
	wake         *time.Timer
	wakeAt       time.Time
}

type tenantRing struct {
	flows  []*flow
	cursor int
	new    bool // the cursor has just come to its flow
}

type flow struct {
	tenant, pool   int
	items          []*Item // by place
	weight         int
	deficit        int
	throttledUntil time.Time
	released       int           // grants since the hold ended
	granted        time.Time     // the last time
	gap            time.Duration // between two grants while others waited, smoothed
	wasWaiting     bool          // somebody waited at the last grant
}

// drain tells when, at the pace of late, so many that wait now will have gone, after any hold.
func (f *flow) drain(waiting int, until time.Time) time.Duration {
	gap := f.gap
	if idle := time.Since(f.granted); !f.granted.IsZero() && idle > gap && !time.Now().Before(until) {
		gap = idle // it has slowed
	}
	return min(max(time.Duration(waiting)*gap, time.Second), maxDrain) + max(0, time.Until(until))
}

// grant notes a grant's time.
func (f *flow) grant() {
	now := time.Now()
	if f.wasWaiting {
		f.gap += (now.Sub(f.granted) - f.gap) / 8
	}
	f.granted, f.wasWaiting = now, len(f.items) > 0
	f.released++
}

const (
	quantum   = 4
	paceStep  = 100 * time.Millisecond
	paceSteps = 8
	maxDrain  = time.Minute
	maxPace   = 5 * time.Second // a hold longer past than this is forgotten
)

// New makes an empty queue.
func New[G any](options Options[G]) *Queue[G] {
	return &Queue[G]{options: options, pools: map[int]*tenantRing{}, flows: map[[2]int]*flow{}, grants: map[*Item]G{}}
}

// Take waits for the item's turn and gives its credit. An item that comes again keeps its place and is never rejected for a full queue.
func (b *Queue[G]) Take(ctx context.Context, item *Item) (G, error) {
	var none G
	b.mu.Lock()
	f := b.flow(item)
	again := item.position != 0
	if !again {
		if waiting := len(f.items); waiting >= item.Limit {
			full := apierror.New(apierror.QueueFull, "%d requests wait", waiting)
			full.Again = f.drain(waiting, b.options.NotBefore(item.Scope))
			b.mu.Unlock()
			return none, full
		}
		b.nextPosition++
		item.position, item.entered = b.nextPosition, time.Now()
	}
	item.granted = make(chan struct{})
	i := sort.Search(len(f.items), func(i int) bool { return f.items[i].position > item.position })
	f.items = append(f.items, nil)
	copy(f.items[i+1:], f.items[i:])
	f.items[i] = item
	b.pump(item.Pool)
	b.mu.Unlock()
	select {
	case <-item.granted:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if credit, granted := b.grants[item]; granted {
		delete(b.grants, item)
		if ctx.Err() == nil {
			return credit, nil
		}
		b.options.Return(credit)
		b.pump(item.Pool)
		return none, apierror.Wrap(ctx.Err(), apierror.Stale, "left in the moment of its turn")
	}
	if item.throttledFor > 0 {
		f := apierror.New(apierror.Throttled, "%s is held for longer than the request may wait", item.Scope)
		f.Again, item.throttledFor = item.throttledFor, 0
		return none, f
	}
	b.remove(item)
	return none, apierror.Wrap(ctx.Err(), apierror.Stale, "waited in the backlog")
}

func (b *Queue[G]) flow(item *Item) *flow {
	at := [2]int{item.Tenant, item.Pool}
	f := b.flows[at]
	if f == nil {
		f = &flow{tenant: item.Tenant, pool: item.Pool}
		b.flows[at] = f
		r := b.pools[item.Pool]
		if r == nil {
			r = &tenantRing{new: true}
			b.pools[item.Pool] = r
		}
		r.flows = append(r.flows, f)
	}
	f.weight = item.Weight
	return f
}

func (b *Queue[G]) remove(item *Item) {
	f := b.flow(item)
	for i, other := range f.items {
		if other == item {
			f.items = append(f.items[:i], f.items[i+1:]...)
			return
		}
	}
}

// Wake is called when credits of a pool may have come free, or a hold has changed.
func (b *Queue[G]) Wake(pool int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pump(pool)
}

// WakeAll is Wake for every pool.
func (b *Queue[G]) WakeAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pumpAll()
}

func (b *Queue[G]) pumpAll() {
	for pool := range b.pools {
		b.pump(pool)
	}
}

// pump grants what can be granted now, in turn, and sets the timer for what a hold keeps back. Those that can still be in time go first.
func (b *Queue[G]) pump(pool int) {
	if r := b.pools[pool]; r != nil && b.grant(r, false) {
		b.grant(r, true)
	}
}

// grant goes round the flows until nothing is left to grant, or no credit; then it says no.
func (b *Queue[G]) grant(r *tenantRing, overdue bool) bool {
	now := time.Now()
	for idle := 0; idle < len(r.flows); {
		f := r.flows[r.cursor]
		if r.new {
			f.deficit += quantum * f.weight
			r.new = false
		}
		at := -1
		if len(f.items) > 0 && b.isReleased(f) {
			at = f.next(now, overdue)
		}
		if at < 0 {
			f.deficit = 0
			r.advance()
			idle++
			continue
		}
		item := f.items[at]
		if f.deficit < item.Cost {
			r.advance()
			idle = 0 // it has work: its deficit grows each time round
			continue
		}
		credit, paid := b.options.Pick(item)
		if !paid {
			return false // the turn stays here until a credit comes free
		}
		f.deficit -= item.Cost
		f.items = slices.Delete(f.items, at, at+1)
		f.grant()
		idle = 0
		b.grants[item] = credit
		close(item.granted)
	}
	return true
}

// next finds the first item that can still be in time, or the first of all.
func (f *flow) next(now time.Time, overdue bool) int {
	if overdue && len(f.items) > 0 {
		return 0
	}
	return slices.IndexFunc(f.items, func(item *Item) bool { return item.Due.IsZero() || now.Before(item.Due) })
}

func (r *tenantRing) advance() {
	r.cursor = (r.cursor + 1) % len(r.flows)
	r.new = true
}

// isReleased looks at the flow's hold and at its pacer (§4.4).
func (b *Queue[G]) isReleased(f *flow) bool {
	now, scope := time.Now(), f.items[0].Scope
	until := b.options.NotBefore(scope)
	if until.IsZero() || now.Sub(until) > maxPace {
		return true
	}
	if !until.Equal(f.throttledUntil) {
		f.throttledUntil, f.released = until, 0
	}
	if now.Before(until) {
		f.giveUp(until)
		b.setTimer(until)
		return false
	}
	begin := until.Add(b.options.ReleaseDelay(scope))
	if now.Before(begin) {
		b.setTimer(begin)
		return false
	}
	step := int(now.Sub(begin) / paceStep)
	if step >= paceSteps || f.released < 1<<step {
		return true
	}
	b.setTimer(begin.Add(time.Duration(step+1) * paceStep))
	return false
}

// giveUp ends the wait of those that the hold outlasts: their answer is known, and they can be told when to come back.
func (f *flow) giveUp(until time.Time) {
	f.items = slices.DeleteFunc(f.items, func(item *Item) bool {
		over := !item.Deadline.IsZero() && !item.Deadline.After(until)
		if over {
			item.throttledFor = time.Until(until)
			close(item.granted)
		}
		return over
	})
}

// setTimer wakes the queue at the earliest moment asked for.
func (b *Queue[G]) setTimer(at time.Time) {
	now := time.Now()
	if b.wakeAt.After(now) && !at.Before(b.wakeAt) {
		return
	}
	b.wakeAt = at
	if b.wake != nil {
		b.wake.Stop()
	}
	b.wake = time.AfterFunc(at.Sub(now), b.WakeAll)
}

// Depth is how many wait, by tenant and pool, and since when the oldest waits.
type Depth struct {
	Tenant, Pool, Count int
	Oldest              time.Duration
}

// Depths lists the queues that are not empty.
func (b *Queue[G]) Depths() []Depth {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []Depth
	for _, f := range b.flows {
		if len(f.items) > 0 {
			all = append(all, Depth{f.tenant, f.pool, len(f.items), time.Since(f.items[0].entered)})
		}
	}
	return all
}
