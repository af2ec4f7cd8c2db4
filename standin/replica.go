// Package standin plays the systems outside the fleet: replicas, a web back end, the platform and callers, each with a ledger that
// the checker compares (docs/design.md §8).
package standin

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"asterridge/blueprint"
	"asterridge/prompt"
	"asterridge/router"
)

// ReplicaOptions of a stand-in replica.
type ReplicaOptions struct {
	Name    string
	Kind    string // "model", "web" or "store"
	Weights string
	Limit   int
	Rate    float64 // bytes of prompt read anew per ms
	PieceMs int
	LoadMs  int          // how long loading weights takes
	WarmMs  int          // how long it is slow after a start or load
	Blocks  int          // how many blocks the KV cache keeps
	Link    float64      // bytes of a prefix fetched per ms
	Store   string       // address of a store that new blocks are put into
	Client  *http.Client // for fetching and storing
	Ledger  func(Run)
}

// Run is a line of a replica's ledger: a request that came, and whether it ran.
type Run struct {
	Replica  string    `json:"replica"`
	Tag      string    `json:"tag"`
	Key      string    `json:"key"`
	Tenant   string    `json:"tenant"`
	Weights  string    `json:"weights"`
	Domain   string    `json:"domain"`
	At       time.Time `json:"at"`
	HasRun   bool      `json:"ran"`
	Why      string    `json:"why,omitempty"`      // of a refusal
	Sum      string    `json:"sum,omitempty"`      // of the whole answer
	IsWhole  bool      `json:"whole"`              // the whole answer was written
	Hit      int       `json:"hit"`                // bytes of the prompt read from the cache
	Size     int       `json:"size"`               // of the prompt
	Fetched  int       `json:"fetched,omitempty"`  // bytes got from a peer or store
	Outdated int       `json:"outdated,omitempty"` // blocks of the cache made under other weights
	ID       string    `json:"id,omitempty"`       // the router's id of the request
	blueprint.Placement
	Dropped string `json:"dropped,omitempty"` // a base that was dropped: no request
	Salt    string `json:"salt,omitempty"`    // of this run alone: two runs of one request write different pieces
	Pieces  int    `json:"pieces,omitempty"`  // of a stream
	// Met has, by tenant, when the oldest block of the cache that was read had been made.
	Met map[string]time.Time `json:"met,omitempty"`
}

// Behaviour is how a replica treats one tenant ("" for all).
type Behaviour struct {
	Tenant     string  `json:"tenant"`
	IsRefusing bool    `json:"refuse"`
	SlowMs     int     `json:"slow_ms"`
	Link       float64 `json:"link,omitempty"`        // new bytes per ms of fetching, for all
	IsEmptied  bool    `json:"emptied,omitempty"`     // lose all blocks kept, now
	RetryAfter string  `json:"retry_after,omitempty"` // sent with refusals, if set
	CutAfter   int     `json:"cut_after,omitempty"`   // break streams off after so many pieces
	IsUnnamed  bool    `json:"unnamed,omitempty"`     // refusals do not name the tenant as their ground
	RetryIn    int     `json:"retry_in,omitempty"`    // seconds: sent with refusals as an HTTP date by this replica's clock
	News       string  `json:"news,omitempty"`        // of what the cache keeps, for all from now on: "true", "lost" or "wrong"
	BadBuild   string  `json:"bad_build,omitempty"`   // of an adapter: its trial answer is wrong, for all
	IsFailing  bool    `json:"failing,omitempty"`     // answers with an error of its own, after it ran
}

// Replica is a stand-in model replica or web back end.
type Replica struct {
	options   ReplicaOptions
	run       string
	mu        sync.Mutex
	weights   string
	warmAt    time.Time
	isLoading bool
	running   int
	number    uint64
	order     uint64 // the highest load order met
	cache     map[string]*kvBlock
	line      []*kvBlock // of the cache, oldest first
	changes   []change
	dropped   uint64 // changes up to this number are forgotten
	conducts  map[string]Behaviour
	fetch     map[string]float64 // by source's name
	news      string
	bases     map[string]router.Base
	adapters  map[string]router.Adapter // by NAME@BASE
	term      uint64                    // the highest met in an order for a base or adapter
}

type change struct {
	number uint64
	hash   string
	isGone bool
}

const maxChanges = 20000

// NewReplica makes a replica that has just started.
func NewReplica(options ReplicaOptions) *Replica {
	return &Replica{options: options, run: rand.Text()[:8], weights: options.Weights, number: 1,
		warmAt: time.Now().Add(time.Duration(options.WarmMs) * time.Millisecond),
		cache:  map[string]*kvBlock{}, conducts: map[string]Behaviour{}, fetch: map[string]float64{}, bases: map[string]router.Base{}, adapters: map[string]router.Adapter{}}
}

// Handler serves requests, reports and the controls.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", r.report)
	mux.HandleFunc("POST /control", r.control)
	mux.HandleFunc("POST /weights", r.load)
	mux.HandleFunc("POST "+router.AdapterPath, r.takeOrder)
	mux.HandleFunc("POST /kv/get", r.giveBlocks)
	mux.HandleFunc("POST /kv/put", r.takeBlocks)
	mux.HandleFunc("/", r.serve)
	return mux
}

// Behave sets how a tenant is treated.
func (r *Replica) Behave(b Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conducts[b.Tenant] = b
	if b.Link > 0 {
		r.options.Link = b.Link
	}
	if b.News != "" {
		r.news = b.News
	}
	if b.IsEmptied {
		r.run, r.cache, r.line, r.changes = rand.Text()[:8], map[string]*kvBlock{}, nil, nil
	}
}

func (r *Replica) control(w http.ResponseWriter, q *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(q.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Behave(b)
}

// load takes new weights; requests are refused while they load.
func (r *Replica) load(w http.ResponseWriter, q *http.Request) {
	var order struct {
		Weights string `json:"weights"`
		Order   uint64 `json:"order"`
	}
	if err := json.NewDecoder(q.Body).Decode(&order); err != nil || order.Weights == "" {
		http.Error(w, "needs weights", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if order.Order < r.order {
		http.Error(w, "an older order", http.StatusConflict)
		return
	}
	r.order = order.Order
	if r.isLoading || r.weights == order.Weights {
		return
	}
	r.isLoading = true
	time.AfterFunc(time.Duration(r.options.LoadMs)*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.isLoading, r.weights = false, order.Weights
		r.warmAt = time.Now().Add(time.Duration(r.options.WarmMs) * time.Millisecond)
		r.run, r.cache, r.line, r.changes = rand.Text()[:8], map[string]*kvBlock{}, nil, nil
	})
}

// report tells load, weights and what the cache has got or lost since the number asked from.
func (r *Replica) report(w http.ResponseWriter, q *http.Request) {
	from, _ := strconv.ParseUint(q.FormValue("from"), 10, 64)
	r.mu.Lock()
	r.number++
	body := struct {
		router.Report
		IsImage bool     `json:"image"`
		Kept    []string `json:"kept,omitempty"`
		Dropped []string `json:"dropped,omitempty"`
	}{Report: router.Report{Run: r.run, Number: r.number, Weights: r.weights, Running: r.running, IsWarm: r.isWarm(), Rate: r.options.Rate, Fetch: maps.Clone(r.fetch), AdapterReport: r.adapterReport()}}
	if r.isLoading {
		body.Weights = router.Loading
	}
	body.IsImage = q.FormValue("run") != r.run || from < r.dropped
	if body.IsImage {
		for hash := range r.cache {
			body.Kept = append(body.Kept, hash)
		}
	} else {
		for _, c := range r.changes {
			if c.number <= from {
				continue
			}
			if c.isGone {
				body.Dropped = append(body.Dropped, c.hash)
			} else {
				body.Kept = append(body.Kept, c.hash)
			}
		}
	}
	switch r.news {
	case "lost":
		body.Kept, body.Dropped = nil, nil
	case "wrong": // it says to keep what it has not, and to have dropped what it keeps
		body.Kept, body.Dropped = body.Dropped, body.Kept
	}
	r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(body)
}

func (r *Replica) isWarm() bool { return time.Now().After(r.warmAt) }

type chat struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Pieces   int    `json:"max_tokens"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// bounce refuses a request before any of it ran.
func (r *Replica) bounce(w http.ResponseWriter, run Run, status int, kind string) {
	run.Why = kind
	r.options.Ledger(run)
	w.Header().Set("X-Request-Id", run.ID)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"error":{"type":%q,"message":"not run"}}`, kind)
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	raw, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	run := Run{Replica: r.options.Name, Tag: q.Header.Get("X-Caller-Tag"), Key: q.Header.Get("Idempotency-Key"),
		Tenant: q.Header.Get("X-Tenant"), Domain: q.Header.Get("X-Cache-Domain"), At: time.Now(),
		ID: q.Header.Get("X-Request-Id"), Placement: placementOf(q)}
	var body chat
	if r.options.Kind == "model" {
		if err := json.Unmarshal(raw, &body); err != nil {
			r.bounce(w, run, http.StatusBadRequest, "malformed")
			return
		}
	}
	r.mu.Lock()
	run.Weights = r.weights
	all, own, lacking := r.conducts[""], r.conducts[run.Tenant], r.lacks(run.Placement)
	switch {
	case r.options.Kind == "model" && (r.isLoading || q.Header.Get("X-Expect-Weights") != r.weights):
		r.mu.Unlock()
		r.bounce(w, run, http.StatusPreconditionFailed, "weights_mismatch")
		return
	case lacking != "":
		r.mu.Unlock()
		r.bounce(w, run, http.StatusPreconditionFailed, lacking)
		return
	case own.IsRefusing || all.IsRefusing:
		r.mu.Unlock()
		kind := "tenant_throttled"
		if all.IsRefusing || own.IsUnnamed {
			kind = "throttled"
		}
		if own.RetryIn > 0 {
			w.Header().Set("Retry-After", time.Now().Add(time.Duration(own.RetryIn)*time.Second).UTC().Format(http.TimeFormat))
		}
		if own.RetryAfter != "" {
			w.Header().Set("Retry-After", own.RetryAfter)
		}
		r.bounce(w, run, http.StatusTooManyRequests, kind)
		return
	case r.running >= r.options.Limit:
		r.mu.Unlock()
		r.bounce(w, run, http.StatusServiceUnavailable, "overloaded")
		return
	}
	r.running++
	r.runs(run.Placement, 1)
	isWarm := r.isWarm()
	r.mu.Unlock()
	text := ""
	if r.options.Kind == "model" {
		parts := make([]string, 0, 2*len(body.Messages))
		for _, m := range body.Messages {
			parts = append(parts, m.Role, m.Content)
		}
		text = prompt.Text(parts...)
		run.Size = len(text)
		chain := prompt.Blocks(run.Domain, text)
		if source := q.Header.Get("X-Prefix-From"); source != "" {
			run.Fetched = r.fetchBlocks(q, source, chain)
		}
		r.remember(&run, chain)
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.runs(run.Placement, -1)
		r.mu.Unlock()
	}()
	run.HasRun, run.Salt = true, rand.Text()[:8]
	w.Header().Set("X-Request-Id", run.ID)
	if r.options.Kind == "web" || own.IsFailing || all.IsFailing {
		r.answerWhole(w, q, run)
		return
	}
	run.Pieces = max(1, body.Pieces)
	whole := Stream(run.ID, run.Salt, run.Pieces)
	r.options.Ledger(run) // a replica that dies in the midst has run it
	defer func() { r.options.Ledger(run) }()
	unread := float64(max(0, len(text)-run.Hit))
	wait := unread/r.options.Rate + float64(own.SlowMs+all.SlowMs)
	if !isWarm {
		wait *= 3
	}
	if !rest(q, time.Duration(wait*float64(time.Millisecond))) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i, piece := range whole {
		if cut := max(own.CutAfter, all.CutAfter); cut > 0 && i == cut {
			panic(http.ErrAbortHandler)
		}
		if i > 0 && !rest(q, time.Duration(r.options.PieceMs)*time.Millisecond) {
			return
		}
		if _, err := w.Write(piece); err != nil || flush.Flush() != nil {
			return
		}
	}
	run.IsWhole = true
	r.answered(run.Placement)
}

// answerWhole answers with one piece: a page, or an error of the replica's own.
func (r *Replica) answerWhole(w http.ResponseWriter, q *http.Request, run Run) {
	answer := fmt.Sprintf(`{"page":%q,"mark":"%s-%s"}`, q.URL.Path, run.ID, run.Salt)
	status := http.StatusOK
	if r.options.Kind != "web" {
		status, answer = http.StatusInternalServerError, fmt.Sprintf(`{"error":{"type":"model_failed","message":"%s-%s"}}`, run.ID, run.Salt)
	}
	run.Sum, run.IsWhole = Sum([]byte(answer)), true
	r.options.Ledger(run)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer)
}

// Stream is what one run of a request writes, its end mark included; the checker makes it again from the ledger.
func Stream(id, salt string, pieces int) [][]byte {
	whole := make([][]byte, 0, pieces+1)
	for i := range pieces {
		word := sha256.Sum256([]byte(id + salt + strconv.Itoa(i)))
		whole = append(whole, fmt.Appendf(nil, "data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", id, hex.EncodeToString(word[:6])))
	}
	return append(whole, []byte("data: [DONE]\n\n"))
}

// rest waits, unless the request ends before.
func rest(q *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	schedule := time.NewTimer(d)
	defer schedule.Stop()
	select {
	case <-schedule.C:
		return true
	case <-q.Context().Done():
		return false
	}
}

// remember reads what the cache has of the prompt, and keeps all of it.
func (r *Replica) remember(run *Run, chain []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Met = map[string]time.Time{}
	isHit := true
	var made []kvBlock
	for i, hash := range chain {
		b := r.cache[hash]
		isHit = isHit && b != nil
		if isHit {
			run.Hit = prompt.Covered(i + 1)
			if oldest, isMet := run.Met[b.Tenant]; !isMet || b.At.Before(oldest) {
				run.Met[b.Tenant] = b.At
			}
			if b.Weights != r.weights || b.Placement != run.Placement {
				run.Outdated++
			}
		}
		if b == nil {
			fresh := kvBlock{hash, run.Tenant, r.weights, run.At, run.Placement}
			r.keep(fresh)
			made = append(made, fresh)
		}
	}
	if r.options.Store != "" && len(made) > 0 {
		go func() { _ = r.post(context.Background(), r.options.Store+"/kv/put", made, nil) }()
	}
}

// keep adds a block to the cache and drops the oldest over the bound; r.mu is held.
func (r *Replica) keep(kv kvBlock) {
	r.number++
	r.cache[kv.Hash] = &kv
	r.line = append(r.line, &kv)
	r.changes = append(r.changes, change{r.number, kv.Hash, false})
	for len(r.line) > r.options.Blocks {
		old := r.line[0]
		r.line = r.line[1:]
		delete(r.cache, old.Hash)
		r.number++
		r.changes = append(r.changes, change{r.number, old.Hash, true})
	}
	if over := len(r.changes) - maxChanges; over > 0 {
		r.dropped = r.changes[over-1].number
		r.changes = append([]change(nil), r.changes[over:]...)
	}
}

// Sum is how ledgers name an answer's content.
func Sum(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:12])
}
