// Package queue holds waiting requests: a bounded queue for each tenant and pool, served by deficit round robin (docs/design.md §5.3).
//
// A request leaves the queue when it is its tenant's turn, its scope is not throttled, and Options.Pick returns a credit for it: a slot at a
// replica. The queue does not poll: it is served when a credit becomes free or a throttle changes (Wake), and when a throttle ends.
// After a throttle the number of requests that a flow may send doubles in steps, so that the replicas do not get everything that has piled up
// at once (docs/design.md §4.4).
package queue

import (
	"context"
	"sync"
	"time"

	"asterridge/apierror"
)

const (
	// rampStep is the length of one step of the ramp-up after a throttle. In total 1, 2, 4 … requests are granted by the end of each step;
	// after rampSteps there is no limit.
	rampStep  = 100 * time.Millisecond
	rampSteps = 8
	// rampRetention is how long after its end a throttle is still taken into account.
	rampRetention = 5 * time.Second
)

// Options of a queue whose credits have type G; all functions are required.
type Options[G any] struct {
	// Pick takes a free credit for the item and reports whether there was one. It is called with the queue's lock held.
	Pick func(item *Item) (G, bool)
	// Return frees a credit that was granted to an item whose context ended at the same time. It is called with the queue's lock held.
	Return func(credit G)
	// NotBefore returns the scope's latest not-before time, passed or not; zero if there was none.
	NotBefore func(scope string) time.Time
	// ReleaseDelay returns how long after that time this process begins to send; it staggers the start of the processes.
	ReleaseDelay func(scope string) time.Duration
}

// Queue holds all waiting requests of one proxy.
type Queue[G any] struct {
	options Options[G]

	mu           sync.Mutex // guards what follows
	lastPosition uint64
	rings        map[int]*flowRing // by pool
	flows        map[flowKey]*flow
	// grants has the credits of items whose Take has not returned yet.
	grants map[*Item]G
	// wakeTimer serves all pools again at wakeAt.
	wakeTimer *time.Timer
	wakeAt    time.Time
}

type flowKey struct{ tenant, pool int }

// New returns an empty queue.
func New[G any](options Options[G]) *Queue[G] {
	return &Queue[G]{options: options, rings: map[int]*flowRing{}, flows: map[flowKey]*flow{}, grants: map[*Item]G{}}
}

// Take waits for the item's turn and returns its credit. An item that enters again keeps its position and is not rejected when the queue is
// full. The errors are apierror.QueueFull and Throttled, which say when to retry, and Stale if the context ended first.
func (q *Queue[G]) Take(ctx context.Context, item *Item) (G, error) {
	var zero G
	if err := q.enter(item); err != nil {
		return zero, err
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
		return zero, apierror.Wrap(ctx.Err(), apierror.Stale, "request ended just as it was granted")
	}
	if item.throttledFor > 0 {
		err := apierror.New(apierror.Throttled, "%s is throttled for longer than the request may wait", item.Scope)
		err.Again, item.throttledFor = item.throttledFor, 0
		return zero, err
	}
	q.flow(item).remove(item)
	return zero, apierror.Wrap(ctx.Err(), apierror.Stale, "request ended while waiting in the queue")
}

// enter adds an item at its position, and serves its pool.
func (q *Queue[G]) enter(item *Item) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.flow(item)
	if item.position == 0 {
		if waiting := len(f.items); waiting >= item.Limit {
			full := apierror.New(apierror.QueueFull, "queue is full: %d requests are waiting", waiting)
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

// flow returns the item's flow; if there is none, it adds one at the end of the pool's ring.
func (q *Queue[G]) flow(item *Item) *flow {
	key := flowKey{tenant: item.Tenant, pool: item.Pool}
	f := q.flows[key]
	if f == nil {
		f = &flow{tenant: item.Tenant, pool: item.Pool}
		q.flows[key] = f
		ring := q.rings[item.Pool]
		if ring == nil {
			ring = &flowRing{isNewTurn: true}
			q.rings[item.Pool] = ring
		}
		ring.flows = append(ring.flows, f)
	}
	f.weight = item.Weight
	return f
}

// Wake must be called when credits of a pool may have become free.
func (q *Queue[G]) Wake(pool int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serve(pool)
}

// WakeAll serves every pool. It must be called when a throttle has changed.
func (q *Queue[G]) WakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for pool := range q.rings {
		q.serve(pool)
	}
}

// serve grants what can be granted now; items that are not overdue go first.
func (q *Queue[G]) serve(pool int) {
	if ring := q.rings[pool]; ring != nil && q.grantAll(ring, false) {
		q.grantAll(ring, true)
	}
}

// grantAll visits the flows in turn until nothing is left to grant; it returns false if there are no more credits.
func (q *Queue[G]) grantAll(ring *flowRing, overdue bool) bool {
	now := time.Now()
	for idle := 0; idle < len(ring.flows); {
		f := ring.current()
		next := -1
		if len(f.items) > 0 && q.mayGrant(f) {
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
			idle = 0 // not idle: its deficit grows in each round until it covers the cost
			continue
		}
		credit, ok := q.options.Pick(item)
		if !ok {
			return false // this flow keeps its turn until a credit becomes free
		}
		f.take(next)
		idle = 0
		q.grants[item] = credit
		close(item.granted)
	}
	return true
}

// mayGrant reports whether the flow's throttle and the ramp-up after it allow another grant; if not, it sets the timer.
func (q *Queue[G]) mayGrant(f *flow) bool {
	now, scope := time.Now(), f.items[0].Scope
	until := q.options.NotBefore(scope)
	if until.IsZero() || now.Sub(until) > rampRetention {
		return true
	}
	if !until.Equal(f.throttledUntil) {
		f.throttledUntil, f.grantedSinceThrottle = until, 0
	}
	if now.Before(until) {
		f.endHopelessWaits(until)
		q.wakeNoLaterThan(until)
		return false
	}
	rampStart := until.Add(q.options.ReleaseDelay(scope))
	if now.Before(rampStart) {
		q.wakeNoLaterThan(rampStart)
		return false
	}
	step := int(now.Sub(rampStart) / rampStep)
	if step >= rampSteps || f.grantedSinceThrottle < 1<<step {
		return true
	}
	q.wakeNoLaterThan(rampStart.Add(time.Duration(step+1) * rampStep))
	return false
}

// wakeNoLaterThan sets the timer to the given time, unless it is set to an earlier one.
func (q *Queue[G]) wakeNoLaterThan(at time.Time) {
	now := time.Now()
	if q.wakeAt.After(now) && !at.Before(q.wakeAt) {
		return
	}
	q.wakeAt = at
	if q.wakeTimer != nil {
		q.wakeTimer.Stop()
	}
	q.wakeTimer = time.AfterFunc(at.Sub(now), q.WakeAll)
}

// Depth is how many requests of a tenant are waiting for a pool, and how long the oldest has been waiting.
type Depth struct {
	Tenant, Pool, Count int
	Oldest              time.Duration
}

// Depths returns the depths of all queues that are not empty.
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
