package queue

import (
	"slices"
	"time"
)

const (
	// quantum is what a flow's deficit grows by in each round, times its weight.
	quantum = 4
	// maxDrain bounds the answer to when a full queue will have drained.
	maxDrain = time.Minute
	minDrain = time.Second
	// gapSmoothing is the inverse weight of a new gap between two grants.
	gapSmoothing = 8
)

// flow is the queue of one tenant for one pool.
type flow struct {
	tenant, pool int
	items        []*Item // by position
	weight       int
	// deficit is what the flow may still spend in this round (deficit round robin).
	deficit int
	// throttledUntil is the moment of the last throttle, releasedSince the number of grants since.
	throttledUntil time.Time
	releasedSince  int
	// lastGrant is when a request was last granted, wereWaiting whether others waited then, gap the smoothed time between two grants while
	// others waited.
	lastGrant   time.Time
	wereWaiting bool
	gap         time.Duration
}

// insert puts an item at its position.
func (f *flow) insert(item *Item) {
	i, _ := slices.BinarySearchFunc(f.items, item.position, func(other *Item, position uint64) int {
		if other.position > position {
			return 1
		}
		return -1
	})
	f.items = slices.Insert(f.items, i, item)
}

func (f *flow) remove(item *Item) {
	if i := slices.Index(f.items, item); i >= 0 {
		f.items = slices.Delete(f.items, i, i+1)
	}
}

// next finds the first item that can still be in time, or, with overdue, the first of all; -1 if there is none.
func (f *flow) next(now time.Time, overdue bool) int {
	if overdue && len(f.items) > 0 {
		return 0
	}
	return slices.IndexFunc(f.items, func(item *Item) bool { return item.Due.IsZero() || now.Before(item.Due) })
}

// take removes an item that is granted, and notes the pace.
func (f *flow) take(i int) {
	f.deficit -= f.items[i].Cost
	f.items = slices.Delete(f.items, i, i+1)
	now := time.Now()
	if f.wereWaiting {
		f.gap += (now.Sub(f.lastGrant) - f.gap) / gapSmoothing
	}
	f.lastGrant, f.wereWaiting = now, len(f.items) > 0
	f.releasedSince++
}

// drainTime is when, at the pace of late, so many requests that wait now will have gone, after a throttle that lasts until then.
func (f *flow) drainTime(waiting int, until time.Time) time.Duration {
	gap := f.gap
	if idle := time.Since(f.lastGrant); !f.lastGrant.IsZero() && idle > gap && !time.Now().Before(until) {
		gap = idle // it has slowed
	}
	return min(max(time.Duration(waiting)*gap, minDrain), maxDrain) + max(0, time.Until(until))
}

// giveUp ends the wait of the items whose deadline a throttle outlasts: their answer is known, and says when to come back.
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

// flowRing is the flows of one pool, served in turn.
type flowRing struct {
	flows  []*flow
	cursor int
	// arrived: the cursor has just come to its flow, whose deficit is to grow.
	arrived bool
}

func (r *flowRing) advance() {
	r.cursor = (r.cursor + 1) % len(r.flows)
	r.arrived = true
}

// current is the flow whose turn it is.
func (r *flowRing) current() *flow {
	f := r.flows[r.cursor]
	if r.arrived {
		f.deficit += quantum * f.weight
		r.arrived = false
	}
	return f
}
