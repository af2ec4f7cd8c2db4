package fake

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"asterridge/config"
	"asterridge/prefixindex"
	"asterridge/rpc"
)

// chat holds the fields of the published chat form that the replica reads.
type chat struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Pieces   int    `json:"max_tokens"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// text returns the prompt as the cache sees it.
func (c chat) text() string {
	parts := make([]string, 0, 2*len(c.Messages))
	for _, m := range c.Messages {
		parts = append(parts, m.Role, m.Content)
	}
	return prefixindex.Text(parts...)
}

// refusal is the answer to a request that was not executed.
type refusal struct {
	status     int
	kind       string
	retryAfter string // the header, if it is sent
}

// conduct is the treatment of one request, fixed when it is admitted.
type conduct struct {
	own, all Behaviour
	warm     bool
}

// slowness is the delay of the first piece beyond the time taken to read the prompt.
func (c conduct) slowness() float64 { return float64(c.own.SlowMs + c.all.SlowMs) }

// cutAfter is the number of pieces after which the stream is broken off; 0 means never.
func (c conduct) cutAfter() int { return max(c.own.BreakAfter, c.all.BreakAfter) }

// reject answers a request that was not executed.
func (r *Replica) reject(w http.ResponseWriter, run Run, why refusal) {
	run.Why = why.kind
	r.options.Ledger(run)
	if why.retryAfter != "" {
		w.Header().Set("Retry-After", why.retryAfter)
	}
	w.Header().Set("X-Request-Id", run.ID)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(why.status)
	fmt.Fprintf(w, `{"error":{"type":%q,"message":"not run"}}`, why.kind)
}

// serve answers one request and writes its run to the ledger.
func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	raw, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	run := Run{Replica: r.options.Name, Tag: q.Header.Get("X-Caller-Tag"), Key: q.Header.Get("Idempotency-Key"),
		Tenant: q.Header.Get("X-Tenant"), Domain: q.Header.Get("X-Cache-Domain"), At: time.Now(),
		ID: q.Header.Get("X-Request-Id"), Placement: placementOf(q)}
	model := r.options.Kind == "model"
	var body chat
	if model && json.Unmarshal(raw, &body) != nil {
		r.reject(w, run, refusal{status: http.StatusBadRequest, kind: "malformed"})
		return
	}
	treated, why := r.admit(&run, q.Header.Get("X-Expect-Weights"))
	if why != nil {
		r.reject(w, run, *why)
		return
	}
	defer r.release(run.Placement)
	if model {
		r.readPrompt(q, &run, body.text())
	}
	run.HasRun, run.Salt = true, rand.Text()[:8]
	w.Header().Set("X-Request-Id", run.ID)
	if r.options.Kind == "web" || treated.own.Failing || treated.all.Failing {
		r.answerWhole(w, q, run)
		return
	}
	run.Pieces = max(1, body.Pieces)
	r.options.Ledger(run) // a replica that dies in the midst has run it
	defer func() { r.options.Ledger(run) }()
	if r.stream(w, q, run, treated) {
		run.Complete = true
		r.countAnswer(run.Placement)
	}
}

// admit accepts a request, or returns the refusal that tells why it is not executed here.
func (r *Replica) admit(run *Run, expected string) (conduct, *refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Weights = r.weights
	treated := conduct{own: r.conducts[run.Tenant], all: r.conducts[""], warm: r.warm()}
	lacking := r.missing(run.Placement)
	switch {
	case r.options.Kind == "model" && (r.loading || expected != r.weights):
		return treated, &refusal{status: http.StatusPreconditionFailed, kind: "weights_mismatch"}
	case lacking != "":
		return treated, &refusal{status: http.StatusPreconditionFailed, kind: lacking}
	case treated.own.Refusing || treated.all.Refusing:
		return treated, treated.throttle()
	case r.running >= r.options.Limit:
		return treated, &refusal{status: http.StatusServiceUnavailable, kind: "overloaded"}
	}
	r.running++
	r.addRunning(run.Placement, 1)
	return treated, nil
}

// throttle returns the refusal of one tenant, or of all, by a rate limit.
func (c conduct) throttle() *refusal {
	why := &refusal{status: http.StatusTooManyRequests, kind: "tenant_throttled", retryAfter: c.own.RetryAfter}
	if c.all.Refusing || c.own.Unnamed {
		why.kind = "throttled"
	}
	if why.retryAfter == "" && c.own.RetryIn > 0 {
		why.retryAfter = time.Now().Add(time.Duration(c.own.RetryIn) * time.Second).UTC().Format(http.TimeFormat)
	}
	return why
}

// release releases what admit has taken.
func (r *Replica) release(on config.Placement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.addRunning(on, -1)
}

// readPrompt fetches the blocks that another replica has of the prompt, then reads the prompt with the cache.
func (r *Replica) readPrompt(q *http.Request, run *Run, text string) {
	run.Size = len(text)
	chain := prefixindex.Blocks(run.Domain, text)
	if source := q.Header.Get("X-Prefix-From"); source != "" {
		run.Fetched = r.fetchBlocks(q, source, chain)
	}
	r.lookupAndAdd(run, chain)
}

// stream writes the answer piece by piece and reports whether it was written in full.
func (r *Replica) stream(w http.ResponseWriter, q *http.Request, run Run, treated conduct) bool {
	unread := float64(max(0, run.Size-run.Hit))
	wait := unread/r.options.Rate + treated.slowness()
	if !treated.warm {
		wait *= 3
	}
	if !pause(q, time.Duration(wait*float64(time.Millisecond))) {
		return false
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i, piece := range Stream(run.ID, run.Salt, run.Pieces) {
		if cut := treated.cutAfter(); cut > 0 && i == cut {
			panic(http.ErrAbortHandler)
		}
		if i > 0 && !pause(q, time.Duration(r.options.ChunkMs)*time.Millisecond) {
			return false
		}
		if _, err := w.Write(piece); err != nil || flush.Flush() != nil {
			return false
		}
	}
	return true
}

// answerWhole answers in one piece: a page, or an error of the replica itself.
func (r *Replica) answerWhole(w http.ResponseWriter, q *http.Request, run Run) {
	answer := fmt.Sprintf(`{"page":%q,"mark":"%s-%s"}`, q.URL.Path, run.ID, run.Salt)
	status := http.StatusOK
	if r.options.Kind != "web" {
		status, answer = http.StatusInternalServerError, fmt.Sprintf(`{"error":{"type":"model_failed","message":"%s-%s"}}`, run.ID, run.Salt)
	}
	run.Sum, run.Complete = Sum([]byte(answer)), true
	r.options.Ledger(run)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer) // a reader that is gone asks again
}

// Stream returns all that one run writes, with its end marker. The checker computes it again from the ledger.
func Stream(id, salt string, pieces int) [][]byte {
	whole := make([][]byte, 0, pieces+1)
	for i := range pieces {
		text := sha256.Sum256([]byte(id + salt + strconv.Itoa(i)))
		whole = append(whole, fmt.Appendf(nil, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", id, hex.EncodeToString(text[:6])))
	}
	return append(whole, []byte("data: [DONE]\n\n"))
}

// pause waits for a duration unless the request ends first.
func pause(q *http.Request, d time.Duration) bool { return d <= 0 || rpc.Sleep(q.Context(), d) == nil }

// Sum returns the hash by which ledgers identify an answer's content.
func Sum(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:12])
}
