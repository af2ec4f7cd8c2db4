package queue

import (
	"slices"
	"time"
)

const (
	// quantum times its weight is added to a flow's deficit in each round.
	quantum = 4
	// minDrain and maxDrain limit the estimate of when a full queue will have drained.
	maxDrain = time.Minute
	minDrain = time.Second
	// grantIntervalSmoothing is the inverse of the weight of a new interval between two grants.
	grantIntervalSmoothing = 8
)

// flow is the queue of one tenant for one pool.
type flow struct {
	tenant, pool int
	items        []*Item // by position
	weight       int
	// deficit is what the flow may still spend in this round (deficit round robin).
	deficit int
	// throttledUntil is the not-before time of the last throttle, grantedSinceThrottle the number of grants since that throttle.
	throttledUntil       time.Time
	grantedSinceThrottle int
	// lastGrant is when a request was last granted, hadWaiting whether others were waiting then. grantInterval is the smoothed time between
	// two grants while others were waiting.
	lastGrant     time.Time
	hadWaiting    bool
	grantInterval time.Duration
}

// insert adds an item at its position.
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

// next returns the index of the first item that is not overdue, or, with overdue, of the first of all; -1 if there is none.
func (f *flow) next(now time.Time, overdue bool) int {
	if overdue && len(f.items) > 0 {
		return 0
	}
	return slices.IndexFunc(f.items, func(item *Item) bool { return item.Due.IsZero() || now.Before(item.Due) })
}

// take removes an item that is granted, and updates the interval between grants.
func (f *flow) take(i int) {
	f.deficit -= f.items[i].Cost
	f.items = slices.Delete(f.items, i, i+1)
	now := time.Now()
	if f.hadWaiting {
		f.grantInterval += (now.Sub(f.lastGrant) - f.grantInterval) / grantIntervalSmoothing
	}
	f.lastGrant, f.hadWaiting = now, len(f.items) > 0
	f.grantedSinceThrottle++
}

// drainTime estimates, from the recent interval between grants, how long it takes until all waiting requests are granted; a throttle that lasts
// until the given time is added.
func (f *flow) drainTime(waiting int, until time.Time) time.Duration {
	interval := f.grantInterval
	if idle := time.Since(f.lastGrant); !f.lastGrant.IsZero() && idle > interval && !time.Now().Before(until) {
		interval = idle // grants have become slower
	}
	return min(max(time.Duration(waiting)*interval, minDrain), maxDrain) + max(0, time.Until(until))
}

// endHopelessWaits ends the wait of the items whose deadline comes before the end of the throttle: they can be rejected now, with the time
// after which to retry.
func (f *flow) endHopelessWaits(until time.Time) {
	f.items = slices.DeleteFunc(f.items, func(item *Item) bool {
		hopeless := !item.Deadline.IsZero() && !item.Deadline.After(until)
		if hopeless {
			item.throttledFor = time.Until(until)
			close(item.granted)
		}
		return hopeless
	})
}

// flowRing has the flows of one pool, which are served in turn.
type flowRing struct {
	flows  []*flow
	cursor int
	// isNewTurn is set when the cursor has just moved to its flow; the flow's deficit is increased at its next use.
	isNewTurn bool
}

func (r *flowRing) advance() {
	r.cursor = (r.cursor + 1) % len(r.flows)
	r.isNewTurn = true
}

// current returns the flow whose turn it is, and increases its deficit if the turn is new.
func (r *flowRing) current() *flow {
	f := r.flows[r.cursor]
	if r.isNewTurn {
		f.deficit += quantum * f.weight
		r.isNewTurn = false
	}
	return f
}
