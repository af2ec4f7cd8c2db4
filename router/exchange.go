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

// next lists the steps that a request may take.
var next = map[State][]State{
	Received:  {Eligible, Failed, Stale},
	Eligible:  {Submitted, Failed, Stale},
	Submitted: {Done, Failed, RetryWait},
	RetryWait: {Eligible, Failed, Stale},
}

// Event is one step of a request.
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

// audit is a bounded ring of events.
type audit struct {
	mu     sync.Mutex
	events []Event
	at     int
}

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

// find lists the events that fit, oldest first.
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

// Exchange is one request on its way through the chain.
type Exchange struct {
	ID        string
	Request   *http.Request
	Body      []byte
	Prompt    Prompt
	Key       string // the caller's idempotency key, if any
	Access    string // hash of the access key
	View      *View
	Tenant    *tenant
	Path      *path
	Deadline  time.Time
	Received  time.Time
	Sent      time.Time     // the last attempt
	remaining time.Duration // that the replica was told

	Idempotent  bool
	Attempt     int
	State       State
	Answer      *Answer
	Pool        *pool  // that the path's split gave it
	LastEventID uint64 // of a stream that is taken up: the last event that the caller has

	connection       *clientConn
	blocks           map[string][]prefixindex.Block
	item             queue.Item
	replica          *replica
	write            *requestWrite // of the last attempt, on its connection
	weights          string
	placement        config.Placement
	resumedPlacement config.Placement // of a stream that is taken up again: its pieces are all from there
	source           string
	sink             string
	prefill          credit // until the first piece
	unsentAttempts   int    // draws whose request was not written
	claimed          bool
	mayHaveExecuted  bool // some attempt may have run
}

// Replica names the replica that the request is sent to.
func (x *Exchange) Replica() string { return x.replica.Name }

// end finishes an answer, once.
func (a *Answer) end(err error) {
	finish := a.finish
	a.finish = func(error) {}
	finish(err)
}

// Answer is a replica's answer whose first piece is here.
type Answer struct {
	Status     int
	Header     http.Header
	firstChunk []byte
	Body       io.ReadCloser
	AtEnd      func(tail []byte) bool // whether the stream's own end marker has come; nil if there is none
	Complete   bool                   // First is the whole answer
	buffer     *[chunkSize]byte       // First's, used again for the pieces after it
	finish     func(err error)
}

// step moves a request to its next state and notes it.
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
