//go:build review

package testbed

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots    = 128
	loadTime = 500 * time.Millisecond // from an order until the new weights are there
)

// part is one part of a prompt that a replica keeps.
type part struct {
	maker   string // the tenant whose request made it
	version int    // of the weights under which it was made
}

// run is one request that a replica has run.
type run struct {
	id, replica, tenant, model string
	version                    int
	began                      time.Time
	used                       map[string]part // the kept parts that it ran on
}

// replica is a stand-in for a model replica that serves several models. It behaves as the users' page describes a sound one.
type replica struct {
	fleet               *fleet
	name, address, zone string

	mu      sync.Mutex
	models  map[string]int             // the version of each model
	kept    map[string]map[string]part // by model and salt, then by the part's ID
	events  []any                      // all since the start
	fence   int
	orders  int
	loading bool
	active  int
	runs    []run
}

func newReplica(f *fleet, name, address, zone string, models []string) *replica {
	r := &replica{fleet: f, name: name, address: address, zone: zone, models: map[string]int{}, kept: map[string]map[string]part{}}
	for _, model := range models {
		r.models[model] = 1
	}
	return r
}

func (r *replica) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Replica-Id", r.name) })
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { answerJSON(w, r.report()) })
	mux.HandleFunc("POST /order", r.takeOrder)
	mux.HandleFunc("GET /kv-events", r.tellEvents)
	mux.HandleFunc("GET /kv-list", r.tellKept)
	mux.HandleFunc("/", r.serve)
	go func() { _ = http.Serve(listener, mux) }() // ends with the process
	return nil
}

// modelList is the models with their versions, as the list of replicas and the report have them; r.mu is held.
func (r *replica) modelList() []map[string]any {
	var all []map[string]any
	for model, version := range r.models {
		all = append(all, map[string]any{"label": model, "generation": version, "adapter_list": []any{}})
	}
	return all
}

func (r *replica) listed() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{"replica_id": r.name, "target": serviceName, "address": r.address, "zone_name": r.zone, "generation": "v1", "slot_count": slots,
		"replica_state": "serving", "cold_left_ms": 0, "phase": "combined", "model_list": r.modelList()}
}

func (r *replica) report() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{"phase": "combined", "model_list": r.modelList(), "saturated": r.loading, "call_seq": r.orders, "queued": 0, "active": r.active,
		"cache_used": 0, "cache_total": 239003, "handle_list": 0}
}

// takeOrder takes an order to load a version of a model. It is done once the running requests have ended.
func (r *replica) takeOrder(w http.ResponseWriter, q *http.Request) {
	var order struct {
		Operation  string `json:"operation"`
		Model      string `json:"model_name"`
		Generation int    `json:"generation"`
		Owner      string `json:"owner"`
		Fence      int    `json:"fence_token"`
	}
	err := json.NewDecoder(q.Body).Decode(&order)
	r.mu.Lock()
	defer r.mu.Unlock()
	version, known := r.models[order.Model]
	status := http.StatusAccepted
	switch {
	case err != nil || order.Operation != "generation" || !known || order.Owner == "" || order.Fence == 0:
		status = http.StatusBadRequest
	case order.Fence < r.fence:
		status = http.StatusPreconditionFailed
	case r.loading:
		status = http.StatusConflict
	case version == order.Generation:
		status = http.StatusOK
	default:
		r.loading = true
		r.orders++
		go r.load(order.Model, order.Generation)
	}
	r.fence = max(r.fence, order.Fence)
	r.fleet.record.write("order to %s: %+v -> %d", r.name, order, status)
	w.WriteHeader(status)
}

// load waits for the running requests, drops what was kept of the model, and takes the new version.
func (r *replica) load(model string, version int) {
	for waiting := true; waiting; time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		waiting = r.active > 0
		r.mu.Unlock()
	}
	time.Sleep(loadTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.models[model], r.loading = version, false
	for key := range r.kept {
		if strings.HasPrefix(key, model+"\n") {
			for id := range r.kept[key] {
				r.addEvent("-", strings.TrimPrefix(key, model+"\n"), id, 0, model)
			}
			delete(r.kept, key)
		}
	}
}

func (r *replica) addEvent(sign, salt, id string, tokens int, model string) {
	r.events = append(r.events, []any{len(r.events) + 1, sign, salt, id, tokens, model})
}

func (r *replica) tellEvents(w http.ResponseWriter, q *http.Request) {
	from, _ := strconv.Atoi(q.URL.Query().Get("started_at")) // none: from the start
	wait, _ := strconv.Atoi(q.Header.Get("Wait-Ms"))         // none: at once
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(20 * time.Millisecond) {
		r.mu.Lock()
		newer := append([]any{}, r.events[min(max(0, from-1), len(r.events)):]...)
		next := len(r.events) + 1
		r.mu.Unlock()
		if len(newer) > 0 || time.Now().After(end) {
			answerJSON(w, map[string]any{"boot_epoch": 1, "next_token": next, "lost_count": false, "event_list": newer})
			return
		}
	}
}

func (r *replica) tellKept(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []any{}
	for key, parts := range r.kept {
		model, salt, _ := strings.Cut(key, "\n")
		for id := range parts {
			all = append(all, []any{salt, id, 800, model})
		}
	}
	answerJSON(w, map[string]any{"boot_epoch": 1, "next_token": len(r.events) + 1, "held_count": all})
}

// refusal returns the status with which the replica turns a request away without running it; 0 if it runs it. r.mu is held.
func (r *replica) refusal(q *http.Request) int {
	version, known := r.models[q.Header.Get("Model")]
	expected := q.Header.Get("Expect-Version")
	switch {
	case q.Header.Get("Attempt-Id") == "":
		return http.StatusBadRequest
	case q.Header.Get("Expect-Replica") != "" && q.Header.Get("Expect-Replica") != r.name, !known, expected != "" && expected != strconv.Itoa(version):
		return http.StatusMisdirectedRequest
	case r.loading:
		return http.StatusServiceUnavailable
	}
	return 0
}

// serve runs a request, or turns it away.
func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	h.Set("Attempt-Id", q.Header.Get("Attempt-Id"))
	r.mu.Lock()
	h.Set("Replica-Load", fmt.Sprintf("%d,0,%d", r.active, slots))
	if status := r.refusal(q); status != 0 {
		r.mu.Unlock()
		r.fleet.record.write("turned away at %s: id=%s model=%s expect-version=%q -> %d", r.name, q.Header.Get("Attempt-Id"), q.Header.Get("Model"), q.Header.Get("Expect-Version"), status)
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	r.active++
	done := r.begin(q)
	r.mu.Unlock()
	r.fleet.record.write("run at %s: id=%s tenant=%q model=%s version=%d salt=%q used=%v", r.name, done.id, done.tenant, done.model, done.version, q.Header.Get("Cache-Salt"), done.used)
	h.Set("Replica-Seal", "seal."+done.id)
	h.Set("Weight-Versions", strconv.Itoa(done.version))
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := 1; n <= 3; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", n) // a caller that has left needs no answer
		w.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
	r.mu.Lock()
	r.active--
	r.mu.Unlock()
}

// begin records a run, and which kept parts of the prompt it uses; r.mu is held. A part is used if all parts before it are kept as well.
func (r *replica) begin(q *http.Request) run {
	model, salt := q.Header.Get("Model"), q.Header.Get("Cache-Salt")
	done := run{id: q.Header.Get("Attempt-Id"), replica: r.name, tenant: q.Header.Get("Tenant"), model: model, version: r.models[model], began: time.Now(), used: map[string]part{}}
	key := model + "\n" + salt
	if r.kept[key] == nil {
		r.kept[key] = map[string]part{}
	}
	unbroken := true
	for item := range strings.SplitSeq(q.Header.Get("Prompt-Prefix"), ",") {
		id, size, _ := strings.Cut(item, ":")
		made, kept := r.kept[key][id]
		if unbroken = unbroken && kept; unbroken {
			done.used[id] = made
			continue
		}
		tokens, _ := strconv.Atoi(size) // the clients here send whole numbers
		r.kept[key][id] = part{maker: done.tenant, version: done.version}
		r.addEvent("+", salt, id, tokens, model)
	}
	r.runs = append(r.runs, done)
	return done
}

// ran returns the runs of all replicas, by the request's ID.
func (f *fleet) ran() map[string][]run {
	all := map[string][]run{}
	for _, r := range f.replicas {
		r.mu.Lock()
		for _, done := range r.runs {
			all[done.id] = append(all[done.id], done)
		}
		r.mu.Unlock()
	}
	return all
}
