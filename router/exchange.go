package router

import (
	"io"
	"net/http"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/prefixindex"
	"asterridge/queue"
)

// State of a request (docs/design.md §5.1).
type State string

// The states, in the order in which a request comes through them.
const (
	Received  State = "received"   // its header was read
	Eligible  State = "eligible"   // it waits in the queue
	Submitted State = "submitted"  // it is being written to a replica
	RetryWait State = "retry_wait" // it is to be attempted again
	Done      State = "done"       // its answer was passed on
	Failed    State = "failed"     // it ended with an error
	Stale     State = "stale"      // its deadline passed while it waited
)

// next lists the states that may follow each state.
var next = map[State][]State{
	Received:  {Eligible, Failed, Stale},
	Eligible:  {Submitted, Failed, Stale},
	Submitted: {Done, Failed, RetryWait},
	RetryWait: {Eligible, Failed, Stale},
}

// Event is one step of a request, for the audit.
type Event struct {
	Request string    `json:"request"`
	Tenant  string    `json:"tenant,omitempty"`
	Prior   State     `json:"prior,omitempty"`
	New     State     `json:"new"`
	Attempt int       `json:"shot"`
	At      time.Time `json:"at"`
	Reason  string    `json:"reason,omitempty"`
	Replica string    `json:"replica,omitempty"`
}

// audit is a bounded ring of events; the oldest are overwritten.
type audit struct {
	mu     sync.Mutex
	events []Event
	at     int
}

// newAudit makes an audit of so many events.
func newAudit(size int) *audit { return &audit{events: make([]Event, 0, size)} }

// add notes an event.
func (a *audit) add(e Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.events) < cap(a.events) {
		a.events = append(a.events, e)
		return
	}
	a.events[a.at] = e
	a.at = (a.at + 1) % len(a.events)
}

// find lists the events that match, the oldest first.
func (a *audit) find(fits func(Event) bool) []Event {
	a.mu.Lock()
	defer a.mu.Unlock()
	var events []Event
	for i := range a.events {
		if e := a.events[(a.at+i)%len(a.events)]; fits(e) {
			events = append(events, e)
		}
	}
	return events
}

// Exchange is one request on its way through the filters.
type Exchange struct {
	ID        string
	Request   *http.Request
	Body      []byte
	Prompt    Prompt
	Key       string // the client's idempotency key; empty: none
	Access    string // hash of the access key
	View      *View
	Tenant    *tenant
	Path      *path
	Deadline  time.Time
	Received  time.Time
	Sent      time.Time     // when the last attempt was written
	remaining time.Duration // the time that the replica was told it has

	Idempotent  bool
	Attempt     int
	State       State
	Answer      *Answer
	Pool        *pool  // the one that the path's weights gave it
	LastEventID uint64 // of a stream that is resumed: the last event that the client has

	connection *clientConn
	// blocks are the prompt's blocks by cache domain, made once each.
	blocks map[string][]prefixindex.Block
	item   queue.Item
	// What the present attempt has: the replica and its weights, where the request runs on it, where it fetches the prefix from and leaves it
	// at, and its write on the replica's connection.
	replica   *replica
	weights   string
	placement config.Placement
	source    string
	sink      string
	write     *requestWrite
	// resumedPlacement is that of a stream that is resumed: all its chunks come from there.
	resumedPlacement config.Placement
	// advice is the replica that a core has named for the present attempt.
	advice advice
	// prefill is the credit until the first chunk; then it is empty.
	prefill credit
	// unsentAttempts counts the replicas that the request was given and not written to.
	unsentAttempts int
	// claimed: the idempotency key may be held by this request.
	claimed bool
	// mayHaveExecuted: some attempt may have been executed.
	mayHaveExecuted bool
}

// Replica names the replica that the request is sent to.
func (x *Exchange) Replica() string { return x.replica.Name }

// end finishes the answer: the replica's connection is released. Only the first call counts.
func (a *Answer) end(err error) {
	finish := a.finish
	a.finish = func(error) {}
	finish(err)
}

// Answer is a replica's answer whose first chunk has arrived.
type Answer struct {
	Status     int
	Header     http.Header
	firstChunk []byte
	Body       io.ReadCloser
	AtEnd      func(tail []byte) bool // whether the stream's own end marker has come; nil if there is none
	Complete   bool                   // firstChunk is the whole answer
	buffer     *[chunkSize]byte       // firstChunk's, used again for the chunks after it
	finish     func(err error)
}

// step moves a request to its next state, and notes the step in audit, counters and log.
func (r *Router) step(x *Exchange, to State, reason string) {
	lawful := x.State == "" && to == Received
	for _, s := range next[x.State] {
		lawful = lawful || s == to
	}
	if !lawful {
		panic("request " + x.ID + ": no step from " + string(x.State) + " to " + string(to))
	}
	e := Event{Request: x.ID, Prior: x.State, New: to, Attempt: x.Attempt, At: r.options.Clock(), Reason: reason}
	if x.Tenant != nil {
		e.Tenant = x.Tenant.Name
	}
	if x.replica != nil && to != Received {
		e.Replica = x.replica.Name
	}
	x.State = to
	r.audit.add(e)
	r.counts.step(to)
	r.log.Debug().Str("request", x.ID).Str("tenant", e.Tenant).Str("from", string(e.Prior)).
		Str("to", string(to)).Int(AttemptColumn, x.Attempt).Str("reason", reason).Str("replica", e.Replica).Msg("request state changed")
}

// end closes a request that was not answered.
func (r *Router) end(x *Exchange, err error) {
	to := Failed
	if apierror.Is(err, apierror.Stale) || apierror.Is(err, apierror.Throttled) {
		to = Stale
	}
	if x.State == Submitted {
		to = Failed
	}
	r.counts.reject(apierror.Of(err).Code)
	r.step(x, to, err.Error())
}
