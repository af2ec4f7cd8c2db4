// Package fake plays the systems outside the fleet: replicas, a web back end, the platform and callers, each with a ledger that
// the checker compares (docs/design.md §8).
package fake

import (
	"crypto/rand"
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/router"
)

// ReplicaOptions configure a fake replica.
type ReplicaOptions struct {
	Name    string
	Kind    string // "model", "web" or "store"
	Weights string
	Limit   int
	Rate    float64 // bytes of uncached prompt read per millisecond
	ChunkMs int
	LoadMs  int          // milliseconds that loading weights takes
	WarmMs  int          // milliseconds for which the replica is slow after a start or load
	Blocks  int          // capacity of the KV cache in blocks
	Link    float64      // bytes of a cached prefix fetched per millisecond
	Store   string       // address of a store that receives new blocks; "" for none
	Client  *http.Client // for fetching from peers and storing
	Ledger  func(Run)
}

// Run is a line of a replica's ledger: one request that arrived, and whether it was executed.
type Run struct {
	Replica  string    `json:"replica"`
	Tag      string    `json:"tag"`
	Key      string    `json:"key"`
	Tenant   string    `json:"tenant"`
	Weights  string    `json:"weights"`
	Domain   string    `json:"domain"`
	At       time.Time `json:"at"`
	HasRun   bool      `json:"ran"`
	Why      string    `json:"why,omitempty"`      // reason of a refusal
	Sum      string    `json:"sum,omitempty"`      // hash of the whole answer
	Complete bool      `json:"whole"`              // the whole answer was written
	Hit      int       `json:"hit"`                // bytes of the prompt read from the cache
	Size     int       `json:"size"`               // bytes of the prompt
	Fetched  int       `json:"fetched,omitempty"`  // bytes fetched from a peer or store
	Outdated int       `json:"outdated,omitempty"` // cached blocks used that were made under other weights
	ID       string    `json:"id,omitempty"`       // request ID given by the router
	config.Placement
	Dropped string `json:"dropped,omitempty"` // base model that was dropped; the line is then no request
	Salt    string `json:"salt,omitempty"`    // random, so that two runs of one request write different pieces
	Pieces  int    `json:"pieces,omitempty"`  // number of pieces of a stream
	// Met gives, by tenant, when the oldest cached block that this run used was made.
	Met map[string]time.Time `json:"met,omitempty"`
}

// Behaviour is the way in which a replica treats one tenant, or all of them under the key "".
type Behaviour struct {
	Tenant     string  `json:"tenant"`
	Refusing   bool    `json:"refuse"`
	SlowMs     int     `json:"slow_ms"`
	Link       float64 `json:"link,omitempty"`        // changes the bytes fetched per millisecond, for all tenants
	Emptied    bool    `json:"emptied,omitempty"`     // empties the cache at once
	RetryAfter string  `json:"retry_after,omitempty"` // header of refusals; "" for none
	BreakAfter int     `json:"cut_after,omitempty"`   // number of pieces after which streams are broken off; 0 for never
	Unnamed    bool    `json:"unnamed,omitempty"`     // refusals do not name the tenant as their reason
	RetryIn    int     `json:"retry_in,omitempty"`    // seconds; the header of refusals is then an HTTP date by this replica's clock
	News       string  `json:"news,omitempty"`        // cache updates to all readers from now on: "true", "lost" or "wrong"
	BadBuild   string  `json:"bad_build,omitempty"`   // adapter whose trial answer is wrong, for all tenants
	Failing    bool    `json:"failing,omitempty"`     // answers with an error of its own after execution
}

// Replica is a fake model replica or web back end.
type Replica struct {
	options  ReplicaOptions
	run      string
	mu       sync.Mutex
	weights  string
	warmAt   time.Time
	loading  bool
	running  int
	number   uint64
	order    uint64 // the highest load order met
	cache    map[string]*kvBlock
	line     []*kvBlock // of the cache, oldest first
	changes  []change
	dropped  uint64 // changes up to this number are forgotten
	conducts map[string]Behaviour
	fetch    map[string]float64 // by source's name
	news     string
	bases    map[string]router.Base
	adapters map[string]router.Adapter // by NAME@BASE
	lease    uint64                    // the highest met in an order for a base or adapter
}

// NewReplica returns a replica as it is right after its start.
func NewReplica(options ReplicaOptions) *Replica {
	return &Replica{options: options, run: rand.Text()[:8], weights: options.Weights, number: 1,
		warmAt: time.Now().Add(time.Duration(options.WarmMs) * time.Millisecond),
		cache:  map[string]*kvBlock{}, conducts: map[string]Behaviour{}, fetch: map[string]float64{}, bases: map[string]router.Base{}, adapters: map[string]router.Adapter{}}
}

// Handler serves requests, load reports and the control endpoints.
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

// Behave sets how the replica treats a tenant.
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
	if b.Emptied {
		r.run, r.cache, r.line, r.changes = rand.Text()[:8], map[string]*kvBlock{}, nil, nil
	}
}

// control serves the endpoints with which a test changes the replica's behaviour.
func (r *Replica) control(w http.ResponseWriter, q *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(q.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Behave(b)
}

// load switches to new weights. Requests are refused while they load.
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
	if r.loading || r.weights == order.Weights {
		return
	}
	r.loading = true
	time.AfterFunc(time.Duration(r.options.LoadMs)*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.loading, r.weights = false, order.Weights
		r.warmAt = time.Now().Add(time.Duration(r.options.WarmMs) * time.Millisecond)
		r.run, r.cache, r.line, r.changes = rand.Text()[:8], map[string]*kvBlock{}, nil, nil
	})
}

// report returns the load, the weights, and the blocks that the cache has gained or lost since a sequence number.
func (r *Replica) report(w http.ResponseWriter, q *http.Request) {
	from, _ := strconv.ParseUint(q.FormValue("from"), 10, 64)
	r.mu.Lock()
	r.number++
	body := struct {
		router.Report
		IsSnapshot bool     `json:"image"`
		Kept       []string `json:"kept,omitempty"`
		Dropped    []string `json:"dropped,omitempty"`
	}{Report: router.Report{Run: r.run, Number: r.number, Weights: r.weights, Running: r.running, Warm: r.warm(), Rate: r.options.Rate, Fetch: maps.Clone(r.fetch), AdapterReport: r.adapterReport()}}
	if r.loading {
		body.Weights = router.Loading
	}
	body.IsSnapshot = q.FormValue("run") != r.run || from < r.dropped
	if body.IsSnapshot {
		for hash := range r.cache {
			body.Kept = append(body.Kept, hash)
		}
	} else {
		for _, c := range r.changes {
			if c.number <= from {
				continue
			}
			if c.gone {
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
	_ = json.NewEncoder(w).Encode(body) // a reader that is gone asks again
}

func (r *Replica) warm() bool { return time.Now().After(r.warmAt) }
