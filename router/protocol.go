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

// ClientHeader is what a protocol reads of a client's request before its body.
type ClientHeader struct {
	ID          string        // the caller's own id of this attempt; empty: the router gives one
	Secret      string        // the access key
	Key         string        // under which the request runs once, if the caller gives one
	Timeout     time.Duration // how long the caller will wait; 0: as long as the path lets it
	Idempotent  string        // "yes" or "no" where the caller says whether the request may run more than once
	LastEventID uint64        // of a stream that the caller takes up again: the last event that it has
}

// Prompt is what the router reads of a request's prompt: its text, or the segments that it is made of.
type Prompt struct {
	Model    string
	Text     string
	Segments []Segment
	Stream   bool
}

// Segment is a part of a prompt that other prompts may share; Size is in the replicas' own units.
type Segment struct {
	ID   string
	Size int
}

// Size is that of the whole prompt, in bytes or in the segments' units.
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

// ReplicaHeader is what a protocol tells a replica with a request.
type ReplicaHeader struct {
	Domain      string // of kept prompts
	Weights     string // the version that the replica is to have; empty: any
	Source      string // where the replica may fetch what it lacks of the prompt
	Sink        string // where it is to leave what it has read
	Timeout     time.Duration
	LastEventID uint64 // the stream goes on behind this event; 0: from its beginning
}

// Outcome is what a replica's answer means.
type Outcome struct {
	Served      bool
	NotExecuted bool // the protocol says that a refusal of this form was not executed
	NamesTenant bool // it names the tenant as its ground
	Throttled   bool // it is a throttle: refused for load or rate
	PickAgain   bool // other weights, or leaving: pick again
	NoSlot      bool // no slot was free
	Reason      string
}

// Protocol is the one place that knows how clients and replicas speak.
type Protocol interface {
	ReadHeader(q *http.Request) (ClientHeader, error)
	ReadPrompt(q *http.Request, body []byte) (Prompt, error)
	SetHeaders(h http.Header, x *Exchange, s ReplicaHeader)
	Classify(r *http.Response) Outcome
	// Occupancy is what an answer tells of the replica's load; Version, of its model's version; 0: nothing.
	Occupancy(r *http.Response) (Occupancy, bool)
	ModelVersion(r *http.Response) uint64
	AnswerID(r *http.Response) string
	// IDHeader is the header by which our own answers bear the request's id.
	IDHeader() string
	// RetryAfter writes when to come back.
	RetryAfter(d time.Duration) string
	// EndDetector looks for a stream's own end marker; nil where its framing tells the end.
	EndDetector() func(tail []byte) bool
	// SendsDeadline says whether replicas are told the request's deadline and end their answers by it, streams too.
	SendsDeadline() bool
	// ReportPath is where replicas tell their load; empty: they do not, and the core's word for them counts.
	ReportPath() string
	LoadPath() string
}

// ChatProtocol speaks the widely published chat completions: JSON in, JSON or an event stream out.
type ChatProtocol struct{}

// Headers that the protocol adds.
const (
	idHeader      = "X-Request-Id"
	tenantHeader  = "X-Tenant"
	domainHeader  = "X-Cache-Domain"
	weightsHeader = "X-Expect-Weights"
	sourceHeader  = "X-Prefix-From"
)

// chatBody is what is read of a chat request's body.
type chatBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// ReadHeader reads the headers.
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

// ReadPrompt finds the model, the prompt's text, and whether a stream is wanted. Other addresses carry no prompt.
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
			text = string(m.Content) // a list of parts: its raw form is as good a key
		}
		parts = append(parts, m.Role, text)
	}
	return Prompt{Model: b.Model, Text: prefixindex.Text(parts...), Stream: b.Stream}, nil
}

// SetHeaders sets the router's headers on a request to a replica.
func (ChatProtocol) SetHeaders(h http.Header, x *Exchange, s ReplicaHeader) {
	for _, ours := range []string{"Authorization", domainHeader, weightsHeader, sourceHeader} {
		h.Del(ours) // a caller does not say them for us
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

// Occupancy is told in reports, not in answers.
func (ChatProtocol) Occupancy(*http.Response) (Occupancy, bool) { return Occupancy{}, false }

// ModelVersion is told in reports, not in answers.
func (ChatProtocol) ModelVersion(*http.Response) uint64 { return 0 }

// IDHeader bears the request's ID.
func (ChatProtocol) IDHeader() string { return idHeader }

// RetryAfter writes whole seconds, rounded up.
func (ChatProtocol) RetryAfter(d time.Duration) string { return rpc.RetryAfter(d) }

// unreadableReason is the reason of a rejection whose body cannot be read.
const unreadableReason = "unreadable"

// Classify reads the status; the body of a rejection has {"error":{"type":…}}.
func (ChatProtocol) Classify(r *http.Response) Outcome {
	if r.StatusCode != 429 && r.StatusCode != 503 && r.StatusCode != 412 {
		return Outcome{Served: true}
	}
	raw, _ := io.ReadAll(io.LimitReader(r.Body, 1<<16)) // what came of it is all that there is
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
		return Outcome{Served: true} // not a refusal known as not run: it is the replica's own answer
	}
	return v
}

// AnswerID is the request ID that the answer bears.
func (ChatProtocol) AnswerID(r *http.Response) string { return r.Header.Get(idHeader) }

// EndDetector looks for the event stream's end marker.
func (ChatProtocol) EndDetector() func(tail []byte) bool {
	return func(tail []byte) bool { return bytes.HasSuffix(bytes.TrimRight(tail, "\r\n"), []byte("data: [DONE]")) }
}

// SendsDeadline is false: a deadline is for the first chunk, and streams are as long as they are.
func (ChatProtocol) SendsDeadline() bool { return false }

// ReportPath is where a replica reports its load.
func (ChatProtocol) ReportPath() string { return "/report" }

// LoadPath is where a replica takes the order to load weights; it refuses a lower order number than it has met.
func (ChatProtocol) LoadPath() string { return "/weights" }

// Loading stands in a report in the place of the weights while new ones load.
const Loading = "loading"
