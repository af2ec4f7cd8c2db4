package router

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"asterridge/apierror"
	"asterridge/prefixindex"
	"asterridge/rpc"
)

// ClientHeader is what a protocol reads from a client's request before its body.
type ClientHeader struct {
	ID          string        // the client's ID of this request; if empty, the router generates one
	Secret      string        // the access key
	Key         string        // idempotency key; empty if the client sent none
	Timeout     time.Duration // how long the client will wait; 0: as long as the path allows
	Idempotent  string        // "yes" or "no" if the client says whether the request may be executed more than once
	LastEventID uint64        // of a stream that the client resumes: the last event that it has
}

// Prompt is what the router reads of a request's prompt: its text or its segments.
type Prompt struct {
	Model    string
	Text     string
	Segments []Segment
	Stream   bool
}

// Segment is a part of a prompt that other prompts may share. Size is in the replicas' own units.
type Segment struct {
	ID   string
	Size int
}

// Size returns the size of the entire prompt, in bytes or in the segments' units.
func (p Prompt) Size() int {
	if p.Segments == nil {
		return len(p.Text)
	}
	sum := 0
	for _, segment := range p.Segments {
		sum += segment.Size
	}
	return sum
}

// ReplicaHeader is what a protocol tells a replica along with a request.
type ReplicaHeader struct {
	Domain      string // cache domain
	Weights     string // the weights that the replica must have; empty: any
	Source      string // where the replica may fetch cached blocks that it lacks
	Sink        string // where it stores the blocks that it computes
	Timeout     time.Duration
	LastEventID uint64 // the stream resumes after this event; 0: it starts at the beginning
}

// Outcome is the meaning of a replica's answer.
type Outcome struct {
	Served      bool
	NotExecuted bool // the protocol defines this rejection as not executed
	NamesTenant bool // the rejection is for this tenant's load
	Throttled   bool // rejected for load or rate
	PickAgain   bool // the replica cannot serve the request now: pick another one
	NoSlot      bool // no slot was free
	Reason      string
}

// Protocol defines how clients and replicas communicate; nothing else in the router depends on their message formats.
type Protocol interface {
	ReadHeader(q *http.Request) (ClientHeader, error)
	ReadPrompt(q *http.Request, body []byte) (Prompt, error)
	SetHeaders(h http.Header, x *Exchange, s ReplicaHeader)
	Classify(r *http.Response) Outcome
	// Occupancy returns what an answer says about the replica's load, if anything. ModelVersion returns the version of its model, or 0
	// if the answer does not say.
	Occupancy(r *http.Response) (Occupancy, bool)
	ModelVersion(r *http.Response) uint64
	AnswerID(r *http.Response) string
	// IDHeader is the name of the response header with the request's ID.
	IDHeader() string
	// RetryAfter formats the delay after which to try again.
	RetryAfter(d time.Duration) string
	// EndDetector returns a function that recognizes the end marker of a stream; nil where the framing marks the end.
	EndDetector() func(tail []byte) bool
	// SendsDeadline reports whether replicas are told the request's deadline and end their answers by it, streams included.
	SendsDeadline() bool
	// ReportPath is the URL path where replicas report their load. If it is empty, they send no reports, and the cores' data about
	// them counts.
	ReportPath() string
	LoadPath() string
}

// ChatProtocol is the widely used chat completions API: JSON requests, JSON or event stream responses.
type ChatProtocol struct{}

// Headers of the protocol.
const (
	idHeader      = "X-Request-Id"
	tenantHeader  = "X-Tenant"
	domainHeader  = "X-Cache-Domain"
	weightsHeader = "X-Expect-Weights"
	sourceHeader  = "X-Prefix-From"
)

// chatBody is the part of a chat request's body that the router reads.
type chatBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// ReadHeader reads the access key, the idempotency key and the time-out from the headers.
func (ChatProtocol) ReadHeader(q *http.Request) (o ClientHeader, err error) {
	text, bearer := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	if !bearer {
		return o, apierror.New(apierror.BadKey, "no bearer key")
	}
	o = ClientHeader{Secret: text, Key: q.Header.Get("Idempotency-Key"), Idempotent: q.Header.Get("X-Repeatable")}
	if text := q.Header.Get("X-Deadline-Ms"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 {
			return o, apierror.New(apierror.OutOfRange, "X-Deadline-Ms %q", text)
		}
		o.Timeout = time.Duration(ms) * time.Millisecond
	}
	return o, nil
}

// ReadPrompt reads the model, the prompt's text and the stream flag. Requests to other paths carry no prompt.
func (ChatProtocol) ReadPrompt(q *http.Request, body []byte) (Prompt, error) {
	if !strings.HasSuffix(q.URL.Path, "/chat/completions") {
		return Prompt{}, nil
	}
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Prompt{}, apierror.Wrap(err, apierror.Malformed, "read chat body")
	}
	if b.Model == "" || len(b.Messages) == 0 {
		return Prompt{}, apierror.New(apierror.Missing, "a chat needs model and messages")
	}
	parts := make([]string, 0, 2*len(b.Messages))
	for _, m := range b.Messages {
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content) // a list of content parts: its raw JSON serves as a prefix key too
		}
		parts = append(parts, m.Role, text)
	}
	return Prompt{Model: b.Model, Text: prefixindex.Text(parts...), Stream: b.Stream}, nil
}

// SetHeaders sets the router's headers on a request to a replica.
func (ChatProtocol) SetHeaders(h http.Header, x *Exchange, s ReplicaHeader) {
	for _, name := range []string{"Authorization", domainHeader, weightsHeader, sourceHeader} {
		h.Del(name) // a client must not set these
	}
	h.Set(idHeader, x.ID)
	h.Set(tenantHeader, x.Tenant.Name)
	key := x.Key
	if key == "" {
		key = x.ID
	}
	h.Set("Idempotency-Key", x.Tenant.Name+":"+key)
	if s.Weights != "" {
		h.Set(domainHeader, s.Domain)
		h.Set(weightsHeader, s.Weights)
		if s.Source != "" {
			h.Set(sourceHeader, s.Source)
		}
	}
}

// Occupancy implements Protocol; replicas tell their load in reports, not in answers.
func (ChatProtocol) Occupancy(*http.Response) (Occupancy, bool) { return Occupancy{}, false }

// ModelVersion implements Protocol; replicas tell their version in reports, not in answers.
func (ChatProtocol) ModelVersion(*http.Response) uint64 { return 0 }

// IDHeader returns the name of the header with the request's ID.
func (ChatProtocol) IDHeader() string { return idHeader }

// RetryAfter formats the delay in whole seconds, rounded up.
func (ChatProtocol) RetryAfter(d time.Duration) string { return rpc.RetryAfter(d) }

// unreadableReason is the reason of a rejection whose body cannot be parsed.
const unreadableReason = "unreadable"

// Classify reads the status and, of a rejection, the body {"error":{"type":…}}.
func (ChatProtocol) Classify(r *http.Response) Outcome {
	if r.StatusCode != 429 && r.StatusCode != 503 && r.StatusCode != 412 {
		return Outcome{Served: true}
	}
	raw, _ := io.ReadAll(io.LimitReader(r.Body, 1<<16)) // a body cut off by an error is judged by what was read
	var body struct {
		Error struct {
			Type   string `json:"type"`
			Reason string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(raw, &body) != nil {
		body.Error.Type = unreadableReason
	}
	v := Outcome{Reason: body.Error.Type}
	switch {
	case r.StatusCode == 429:
		v.NotExecuted, v.Throttled, v.NamesTenant = true, true, body.Error.Type == "tenant_throttled"
	case r.StatusCode == 412 && (body.Error.Type == "weights_mismatch" || isPlacementMissing(body.Error.Type)):
		v.NotExecuted, v.PickAgain = true, true
	case r.StatusCode == 503 && (body.Error.Type == "overloaded" || body.Error.Type == "leaving" || body.Error.Type == "warming"):
		v.NotExecuted, v.PickAgain, v.NoSlot = true, true, body.Error.Type == "overloaded"
	default:
		return Outcome{Served: true} // not a rejection defined as not executed: passed on as the replica's answer
	}
	return v
}

// AnswerID returns the request ID in the answer.
func (ChatProtocol) AnswerID(r *http.Response) string { return r.Header.Get(idHeader) }

// EndDetector recognizes the end marker of the event stream.
func (ChatProtocol) EndDetector() func(tail []byte) bool {
	return func(tail []byte) bool { return bytes.HasSuffix(bytes.TrimRight(tail, "\r\n"), []byte("data: [DONE]")) }
}

// SendsDeadline is false: the deadline is for the first chunk, and streams may last longer.
func (ChatProtocol) SendsDeadline() bool { return false }

// ReportPath is the URL path where a replica reports its load.
func (ChatProtocol) ReportPath() string { return "/report" }

// LoadPath is the URL path where a replica takes orders to load weights; it rejects an order number below the highest that it has
// seen.
func (ChatProtocol) LoadPath() string { return "/weights" }

// Loading takes the place of the weights in a report while new ones load.
const Loading = "loading"
