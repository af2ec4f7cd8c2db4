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

// State is the state of a request (docs/design.md §5.1).
type State string

// The states, in the order in which a request passes through them.
const (
	Received  State = "received"   // its header was read
	Eligible  State = "eligible"   // it waits in the queue
	Submitted State = "submitted"  // it is being written to a replica
	RetryWait State = "retry_wait" // it is to be attempted again
	Done      State = "done"       // its answer was passed on completely
	Failed    State = "failed"     // it ended with an error
	Stale     State = "stale"      // its deadline passed while it waited
)

// nextStates lists the states that may follow each state.
var nextStates = map[State][]State{
	Received:  {Eligible, Failed, Stale},
	Eligible:  {Submitted, Failed, Stale},
	Submitted: {Done, Failed, RetryWait},
	RetryWait: {Eligible, Failed, Stale},
}

// Event is a state transition of a request, as the audit ring records it.
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

// audit is a bounded ring of events; new events overwrite the oldest ones.
type audit struct {
	mu     sync.Mutex
	events []Event
	at     int
}

// newAudit returns an audit that holds the given number of events.
func newAudit(size int) *audit { return &audit{events: make([]Event, 0, size)} }

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

// find returns the matching events, oldest first.
func (a *audit) find(matches func(Event) bool) []Event {
	a.mu.Lock()
	defer a.mu.Unlock()
	var events []Event
	for i := range a.events {
		if e := a.events[(a.at+i)%len(a.events)]; matches(e) {
			events = append(events, e)
		}
	}
	return events
}

// Exchange is one request and its state on the way through the filters.
type Exchange struct {
	ID        string
	Request   *http.Request
	Body      []byte
	Prompt    Prompt
	Key       string // the client's idempotency key; empty if it sent none
	Access    string // hash of the access key
	View      *View
	Tenant    *tenant
	Path      *path
	Deadline  time.Time
	Received  time.Time
	Sent      time.Time     // when the last attempt was written
	remaining time.Duration // the remaining time that the replica was told

	Idempotent  bool
	Attempt     int
	State       State
	Answer      *Answer
	Pool        *pool  // chosen by the weights of the path's pools
	LastEventID uint64 // of a resumed stream: the last event that the client has

	connection *clientConn
	// blocks caches the prompt's blocks by cache domain.
	blocks map[string][]prefixindex.Block
	item   queue.Item
	// State of the current attempt: the replica and its weights, the placement of the request there, the sources from which the
	// replica may fetch the prefix, the sink where it leaves it, and the write on the replica's connection.
	replica   *replica
	weights   string
	placement config.Placement
	source    string
	sink      string
	write     *requestWrite
	// resumedPlacement is the placement of a resumed stream, all of whose chunks have to come from the same placement.
	resumedPlacement config.Placement
	// advice is the replica that a core recommended for the current attempt.
	advice advice
	// prefill is the credit until the first chunk arrives, then the zero value.
	prefill credit
	// unsentAttempts counts the attempts of which no byte was written.
	unsentAttempts int
	// claimed: this request may hold a claim on its idempotency key.
	claimed bool
	// mayHaveExecuted: at least one attempt may have been executed.
	mayHaveExecuted bool
}

// Replica returns the name of the replica that the request is sent to.
func (x *Exchange) Replica() string { return x.replica.Name }

// end finishes the answer and releases the replica's connection. Only the first call has an effect.
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
	AtEnd      func(tail []byte) bool // reports the stream's end marker; nil if the protocol has none
	Complete   bool                   // firstChunk is the entire answer
	buffer     *[chunkSize]byte       // holds firstChunk, then the chunks after it
	finish     func(err error)
}

// step moves a request to its next state, and records the transition in the audit, the counters and the log.
func (r *Router) step(x *Exchange, to State, reason string) {
	valid := x.State == "" && to == Received
	for _, s := range nextStates[x.State] {
		valid = valid || s == to
	}
	if !valid {
		panic("request " + x.ID + ": invalid state transition from " + string(x.State) + " to " + string(to))
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

// end moves a request that ended with an error to its final state.
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
