// Package queue holds waiting requests: a bounded queue for each tenant and pool, served by deficit round robin (docs/design.md §5.3).
//
// A request leaves the queue when its tenant's turn has come, its scope is not throttled, and Options.Pick gives it a credit: a slot at a
// replica. Nothing polls: the queue looks again when a credit comes free or a throttle changes (Wake), and at the moment when a throttle ends.
// After a throttle a flow is released in steps that double, so that the replicas are not met by all that has piled up (docs/design.md §4.4).
package queue

import (
	"context"
	"sync"
	"time"

	"asterridge/apierror"
)

const (
	// paceStep is the time between two steps of release after a throttle; 1, 2, 4 … requests may go by then, and after paceSteps all.
	paceStep  = 100 * time.Millisecond
	paceSteps = 8
	// paceMemory is how long after its end a throttle still matters.
	paceMemory = 5 * time.Second
)

// Options of a queue whose credits are of type G; all functions are needed.
type Options[G any] struct {
	// Pick takes a credit for the item, if there is one. It is called under the queue's lock.
	Pick func(item *Item) (G, bool)
	// Return gives back a credit whose item left in the moment of the grant. It is called under the queue's lock.
	Return func(credit G)
	// NotBefore gives the scope's latest not-before moment, passed or not; zero if there was none.
	NotBefore func(scope string) time.Time
	// ReleaseDelay is how long after that moment this process may begin to release; others go before it.
	ReleaseDelay func(scope string) time.Duration
}

// Queue holds all waiting requests of one proxy.
type Queue[G any] struct {
	options Options[G]

	mu           sync.Mutex // guards what follows
	lastPosition uint64
	rings        map[int]*flowRing // by pool
	flows        map[flowKey]*flow
	// grants are the credits of items that have not woken up yet.
	grants map[*Item]G
	// wake is the timer that looks at all pools again, wakeAt when.
	wake   *time.Timer
	wakeAt time.Time
}

type flowKey struct{ tenant, pool int }

// New makes an empty queue.
func New[G any](options Options[G]) *Queue[G] {
	return &Queue[G]{options: options, rings: map[int]*flowRing{}, flows: map[flowKey]*flow{}, grants: map[*Item]G{}}
}

// Take waits for the item's turn and gives its credit. An item that comes again keeps its position and is never rejected for a full queue. The
// errors are apierror.QueueFull and Throttled, which say when to come back, and Stale if the context ended first.
func (q *Queue[G]) Take(ctx context.Context, item *Item) (G, error) {
	var none G
	if err := q.enter(item); err != nil {
		return none, err
	}
	select {
	case <-item.granted:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if credit, granted := q.grants[item]; granted {
		delete(q.grants, item)
		if ctx.Err() == nil {
			return credit, nil
		}
		q.options.Return(credit)
		q.serve(item.Pool)
		return none, apierror.Wrap(ctx.Err(), apierror.Stale, "left in the moment of its turn")
	}
	if item.throttledFor > 0 {
		err := apierror.New(apierror.Throttled, "%s is held for longer than the request may wait", item.Scope)
		err.Again, item.throttledFor = item.throttledFor, 0
		return none, err
	}
	q.flow(item).remove(item)
	return none, apierror.Wrap(ctx.Err(), apierror.Stale, "waited in the backlog")
}

// enter puts an item at its position, and looks at its pool.
func (q *Queue[G]) enter(item *Item) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flow(item)
	if item.position == 0 {
		if waiting := len(f.items); waiting >= item.Limit {
			full := apierror.New(apierror.QueueFull, "%d requests wait", waiting)
			full.Again = f.drainTime(waiting, q.options.NotBefore(item.Scope))
			return full
		}
		q.lastPosition++
		item.position, item.entered = q.lastPosition, time.Now()
	}
	item.granted = make(chan struct{})
	f.insert(item)
	q.serve(item.Pool)
	return nil
}

// flow gives the item's flow, a new one at the end of its pool's ring if there is none.
func (q *Queue[G]) flow(item *Item) *flow {
	key := flowKey{tenant: item.Tenant, pool: item.Pool}
	f := q.flows[key]
	if f == nil {
		f = &flow{tenant: item.Tenant, pool: item.Pool}
		q.flows[key] = f
		ring := q.rings[item.Pool]
		if ring == nil {
			ring = &flowRing{arrived: true}
			q.rings[item.Pool] = ring
		}
		ring.flows = append(ring.flows, f)
	}
	f.weight = item.Weight
	return f
}

// Wake is to be called when credits of a pool may have come free.
func (q *Queue[G]) Wake(pool int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serve(pool)
}

// WakeAll is Wake for every pool; also when a throttle has changed.
func (q *Queue[G]) WakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for pool := range q.rings {
		q.serve(pool)
	}
}

// serve grants what can be granted now; those that can still be in time go first.
func (q *Queue[G]) serve(pool int) {
	if ring := q.rings[pool]; ring != nil && q.grantAll(ring, false) {
		q.grantAll(ring, true)
	}
}

// grantAll goes round the flows until nothing is left to grant; it reports false if there is no credit any more.
func (q *Queue[G]) grantAll(ring *flowRing, overdue bool) bool {
	now := time.Now()
	for idle := 0; idle < len(ring.flows); {
		f := ring.current()
		next := -1
		if len(f.items) > 0 && q.isReleased(f) {
			next = f.next(now, overdue)
		}
		if next < 0 {
			f.deficit = 0
			ring.advance()
			idle++
			continue
		}
		item := f.items[next]
		if f.deficit < item.Cost {
			ring.advance()
			idle = 0 // it has work: its deficit grows each time round
			continue
		}
		credit, ok := q.options.Pick(item)
		if !ok {
			return false // the turn stays here until a credit comes free
		}
		f.take(next)
		idle = 0
		q.grants[item] = credit
		close(item.granted)
	}
	return true
}

// isReleased looks at the flow's throttle and at the pace of its release.
func (q *Queue[G]) isReleased(f *flow) bool {
	now, scope := time.Now(), f.items[0].Scope
	until := q.options.NotBefore(scope)
	if until.IsZero() || now.Sub(until) > paceMemory {
		return true
	}
	if !until.Equal(f.throttledUntil) {
		f.throttledUntil, f.releasedSince = until, 0
	}
	if now.Before(until) {
		f.giveUp(until)
		q.wakeNoLaterThan(until)
		return false
	}
	begin := until.Add(q.options.ReleaseDelay(scope))
	if now.Before(begin) {
		q.wakeNoLaterThan(begin)
		return false
	}
	step := int(now.Sub(begin) / paceStep)
	if step >= paceSteps || f.releasedSince < 1<<step {
		return true
	}
	q.wakeNoLaterThan(begin.Add(time.Duration(step+1) * paceStep))
	return false
}

// wakeNoLaterThan sets the timer to a moment, unless it is set to a sooner one.
func (q *Queue[G]) wakeNoLaterThan(at time.Time) {
	now := time.Now()
	if q.wakeAt.After(now) && !at.Before(q.wakeAt) {
		return
	}
	q.wakeAt = at
	if q.wake != nil {
		q.wake.Stop()
	}
	q.wake = time.AfterFunc(at.Sub(now), q.WakeAll)
}

// Depth is how many requests of a tenant wait for a pool, and for how long the oldest has.
type Depth struct {
	Tenant, Pool, Count int
	Oldest              time.Duration
}

// Depths lists the queues that are not empty.
func (q *Queue[G]) Depths() (depths []Depth) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range q.flows {
		if len(f.items) > 0 {
			depths = append(depths, Depth{Tenant: f.tenant, Pool: f.pool, Count: len(f.items), Oldest: time.Since(f.items[0].entered)})
		}
	}
	return depths
}
