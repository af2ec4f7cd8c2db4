package queue

import "time"

// Item is a waiting request. It keeps its position if it enters the queue again.
type Item struct {
	Tenant, Pool int // dense indices
	// Weight is the tenant's share of the pool relative to other tenants.
	Weight int
	// Limit is the maximum number of the tenant's requests that wait for the pool.
	Limit int
	// Cost is the cost of the request in deficit round robin.
	Cost int
	// Scope is the scope of the throttles that apply to the request.
	Scope string
	// Deadline is when waiting must end. A throttle that lasts longer ends the wait at once. Zero: no deadline.
	Deadline time.Time
	// Due is the time after which the item is overdue: it is granted only if no item that is not overdue can be. Zero: never overdue.
	Due time.Time
	// Body is the caller's own data, for use in Options.Pick.
	Body any

	position uint64 // assigned when the item first enters the queue; zero before
	entered  time.Time
	granted  chan struct{} // closed when the wait has ended
	// throttledFor is set if the wait ended because a throttle outlasts the deadline: the remaining time of the throttle.
	throttledFor time.Duration
}
