package router

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"asterridge/fail"
	"asterridge/prompt"
)

// Prompt is what the router reads of a caller's body.
type Prompt struct {
	Model    string
	Text     string
	IsStream bool
}

// Verdict is what a replica's answer means.
type Verdict struct {
	IsServed bool
	IsNotRun bool // the dialect defines this refusal as not run
	IsTenant bool // it names the tenant as its ground
	IsPushed bool // it is a throttle: refused for load or rate
	IsMoved  bool // other weights, or leaving: draw again
	IsFull   bool // no slot was free
	Reason   string
}

// Dialect is the one place that knows how replicas speak.
type Dialect interface {
	Read(body []byte, address string) (Prompt, error)
	Dress(h http.Header, x *Exchange, domain, weights, source string)
	Judge(r *http.Response) Verdict
	AnswerID(r *http.Response) string
	IsEnd(tail []byte) bool
	ReportPath() string
	LoadPath() string
}

// ChatDialect speaks the widely published chat completions: JSON in, JSON or an event stream out.
type ChatDialect struct{}

// Headers that the dialect adds.
const (
	idHeader      = "X-Request-Id"
	tenantHeader  = "X-Tenant"
	domainHeader  = "X-Cache-Domain"
	weightsHeader = "X-Expect-Weights"
	sourceHeader  = "X-Prefix-From"
)

type chatBody struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// Read finds the model, the prompt's text, and whether a stream is wanted. Other addresses carry no prompt.
func (ChatDialect) Read(body []byte, address string) (Prompt, error) {
	if !strings.HasSuffix(address, "/chat/completions") {
		return Prompt{}, nil
	}
	var b chatBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Prompt{}, fail.Wrap(err, fail.Malformed, "read chat body")
	}
	if b.Model == "" || len(b.Messages) == 0 {
		return Prompt{}, fail.New(fail.Missing, "a chat needs model and messages")
	}
	parts := make([]string, 0, 2*len(b.Messages))
	for _, m := range b.Messages {
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content) // a list of parts: its raw form is as good a key
		}
		parts = append(parts, m.Role, text)
	}
	return Prompt{Model: b.Model, Text: prompt.Text(parts...), IsStream: b.Stream}, nil
}

// Dress puts the router's words to the replica on a request.
func (ChatDialect) Dress(h http.Header, x *Exchange, domain, weights, source string) {
	for _, ours := range []string{domainHeader, weightsHeader, sourceHeader} {
		h.Del(ours) // a caller does not say them for us
	}
	h.Set(idHeader, x.ID)
	h.Set(tenantHeader, x.Tenant.Name)
	key := x.Key
	if key == "" {
		key = x.ID
	}
	h.Set("Idempotency-Key", x.Tenant.Name+":"+key)
	if weights != "" {
		h.Set(domainHeader, domain)
		h.Set(weightsHeader, weights)
		if source != "" {
			h.Set(sourceHeader, source)
		}
	}
}

// Judge reads the status; a refusal's body has {"error":{"type":…}}.
func (ChatDialect) Judge(r *http.Response) Verdict {
	if r.StatusCode != 429 && r.StatusCode != 503 && r.StatusCode != 412 {
		return Verdict{IsServed: true}
	}
	raw, _ := io.ReadAll(io.LimitReader(r.Body, 1<<16))
	var body struct {
		Error struct {
			Type   string `json:"type"`
			Reason string `json:"message"`
		} `json:"error"`
	}
	_ = json.Unmarshal(raw, &body)
	v := Verdict{Reason: body.Error.Type}
	switch {
	case r.StatusCode == 429:
		v.IsNotRun, v.IsPushed, v.IsTenant = true, true, body.Error.Type == "tenant_throttled"
	case r.StatusCode == 412 && body.Error.Type == "weights_mismatch":
		v.IsNotRun, v.IsMoved = true, true
	case r.StatusCode == 503 && (body.Error.Type == "overloaded" || body.Error.Type == "leaving" || body.Error.Type == "warming"):
		v.IsNotRun, v.IsMoved, v.IsFull = true, true, body.Error.Type == "overloaded"
	default:
		return Verdict{IsServed: true} // not a refusal known as not run: it is the replica's own answer
	}
	return v
}

// AnswerID is the request id that the answer bears.
func (ChatDialect) AnswerID(r *http.Response) string { return r.Header.Get(idHeader) }

// IsEnd looks for the event stream's end mark.
func (ChatDialect) IsEnd(tail []byte) bool {
	return bytes.HasSuffix(bytes.TrimRight(tail, "\r\n"), []byte("data: [DONE]"))
}

// ReportPath is where a replica tells its load.
func (ChatDialect) ReportPath() string { return "/report" }

// LoadPath is where a replica takes the order to load weights; a lower order number than it has met is refused.
func (ChatDialect) LoadPath() string { return "/weights" }

// Loading stands in a report in the place of the weights while new ones load.
const Loading = "loading"
