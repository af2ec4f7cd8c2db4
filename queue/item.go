package queue

import "time"

// Item is a waiting request. It keeps its position when it comes to the queue again.
type Item struct {
	Tenant, Pool int // dense indices
	// Weight is the tenant's share of the pool against other tenants.
	Weight int
	// Limit is how many requests of the tenant may wait for the pool.
	Limit int
	// Cost is what the request counts for in fairness.
	Cost int
	// Scope is that of the throttle that the request waits for.
	Scope string
	// Deadline is when waiting is over: a throttle that outlasts it ends the wait at once; zero: none.
	Deadline time.Time
	// Due is the time after which requests go first that are not due yet; zero: never.
	Due time.Time
	// Body is for Options.Pick.
	Body any

	position uint64 // zero until the first time
	entered  time.Time
	granted  chan struct{} // closed when the wait is over
	// throttledFor is set if the wait was ended since the throttle outlasts the deadline: by how long it still lasts.
	throttledFor time.Duration
}
