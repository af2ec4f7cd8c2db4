// Package router is the data plane as a library: a chain of filters that takes a client's request to a replica under the shared throttles.
// cmd/proxy is a thin program over it; a program of one's own may embed it (docs/design.md §5).
//
// A request is an Exchange. Its filters are in filters.go, claims.go and send.go, in the order of the chain: is this router current, whose
// request is it, which path, the embedding program's own filters, attempts, balance, queue, claim, send. placement.go, cost.go and
// balancer.go choose the replica; replica_conn.go checks everything again in the moment of the first write; relay.go passes the answer on.
// The state that all of it goes by is a View, which compile.go makes of the registers that the agent publishes (updates.go).
//
// What was surely not written to a replica was not executed; everything else may have been. This line decides what may be attempted again,
// and what the client is told.
package router

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"hash/fnv"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/rs/zerolog"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/prefixindex"
	"asterridge/queue"
	"asterridge/register"
	"asterridge/rpc"
	"asterridge/throttle"
	"asterridge/watch"
)

// Keys that agents publish besides the registers.
const (
	ProxiesKey   = "proxies"
	ThrottleKey  = "hold"
	ReportsKey   = "reports"
	CachedPrefix = "kept/"
	// CoresKey has the addresses of the cores that answer, by name.
	CoresKey = "cores"
	// DisturbedKey says when a core was last seen to fall silent or to return: until then the cores may not have been able to go on
	// with what they do, so that what has a term counts it from there (§6.2).
	DisturbedKey = "disturbed"
	CacheUp      = "~up" // a field among the cached blocks of a source: it answers
)

// StoreName is the name in the prefix index of a store that is configured as a pool.
func StoreName(pool string) string { return storeName + pool }

// Router is the state of one proxy's data plane.
type Router struct {
	options         Options
	log             zerolog.Logger
	rpc             *rpc.Client
	upstream        *http.Transport
	agent           *watch.Client
	names           indices
	view            atomic.Pointer[View]
	current         atomic.Pointer[time.Time] // vouched for until then
	throttles       *throttle.Table
	signals         *throttle.Signals
	index           *prefixindex.Index
	queue           *queue.Queue[credit]
	audit           *audit
	counts          counts
	budget          budget
	bodyMemory      memoryBudget
	borrow          borrowedShare
	balancer        balancer
	streaks         streaks
	windows         sync.Map // *concurrencyWindow by pool name
	disturbed       atomic.Pointer[time.Time]
	modelVersions   ModelVersions
	sources         sync.Map // stores that answer, by name in the index
	chain           handle
	onward          handle // the chain after attemptsFilter
	random          *lockedRandom
	runID           string // this life of the process
	noticesSent     atomic.Uint64
	throttleReports chan throttle.Notice
	stopping        atomic.Bool
	draining        atomic.Bool
	loggedCurrent   atomic.Bool // as the log has it
	open            running
	stopped         chan struct{}
}

// Sizes of the router's own parts.
const (
	// idleReplicaConnections bounds the idle connections that are kept to each replica.
	idleReplicaConnections = 64
	// throttleReportQueue is how many throttles may wait to be reported to the agent.
	throttleReportQueue = 256
	runIDLength         = 8
)

// New makes a router; Run has it follow its agent.
func New(options Options) *Router {
	options = options.withDefaults()
	nameHash := fnv.New64a()
	_, _ = nameHash.Write([]byte(options.Name)) // a hash never fails
	r := &Router{
		options:         options,
		log:             options.Log,
		rpc:             rpc.NewClient(options.Fleet, options.Net),
		names:           indices{map[string]int{}},
		signals:         throttle.NewSignals(),
		index:           prefixindex.NewIndex(options.PrefixIndexSize),
		audit:           newAudit(options.Audit),
		counts:          newCounts(),
		budget:          budget{tokens: retryAllowance, ratio: ratioOf(options.RetryRatio)},
		bodyMemory:      memoryBudget{limit: options.BodyMemory, byTenant: map[int]int64{}},
		runID:           rand.Text()[:runIDLength],
		streaks:         streaks{byScope: map[string]int{}},
		random:          &lockedRandom{r: mathrand.New(mathrand.NewPCG(options.Seed, nameHash.Sum64()))},
		throttleReports: make(chan throttle.Notice, throttleReportQueue),
		balancer:        newBalancer(),
		stopped:         make(chan struct{}),
	}
	r.upstream = &http.Transport{
		DialContext:         r.dialGuarded,
		MaxIdleConnsPerHost: idleReplicaConnections,
		IdleConnTimeout:     options.KeepAlive,
		DisableCompression:  true,
	}
	r.throttles = throttle.NewTable(r.throttleExtended)
	r.queue = queue.New(queue.Options[credit]{
		Pick: r.pick, Return: r.returnUnused, NotBefore: r.throttles.Last, ReleaseDelay: r.releaseDelay,
	})
	r.agent = watch.NewClient(watch.ClientOptions{
		RPC: r.rpc, Address: options.Agent, Path: "/agent/pull", Wait: options.AgentWatchWait,
		Request: r.watchRequest, OnUpdate: r.applyUpdates, OnResponse: r.fresh,
	})
	r.linkFilters()
	return r
}

// linkFilters makes the chain that each request goes through, the last filter first. What comes after the attempts is a chain of its own.
func (r *Router) linkFilters() {
	filters := []Filter{currencyFilter{r}, identityFilter{r}, pathFilter{r}}
	filters = append(filters, r.options.Filters...)
	filters = append(filters, attemptsFilter{r}, balanceFilter{r}, queueFilter{r}, claimFilter{r}, sendFilter{r})
	r.chain = func(context.Context, *Exchange) error {
		return apierror.New(apierror.Internal, "no filter answered")
	}
	for i := len(filters) - 1; i >= 0; i-- {
		filter, onward := filters[i], r.chain
		if _, attempts := filter.(attemptsFilter); attempts {
			r.onward = onward
		}
		r.chain = func(ctx context.Context, x *Exchange) error { return filter.Handle(ctx, x, onward) }
	}
}

// Run watches the agent and reports throttles until the context ends.
func (r *Router) Run(ctx context.Context) {
	go r.reportThrottles(ctx)
	go r.reportLoads(ctx)
	r.agent.Run(ctx)
}

// Status is what a router reports to its agent, and so to the cores.
type Status struct {
	Proxy   string           `json:"proxy"`
	Run     string           `json:"run"` // one process's life
	Zone    string           `json:"zone"`
	Admin   string           `json:"admin"`
	Current bool             `json:"current"`
	Stop    bool             `json:"stopping,omitempty"`
	Counts  map[string]int64 `json:"counts"`
}

// RunName names this run of the proxy; claims are held under it.
func (s Status) RunName() string { return s.Proxy + "." + s.Run }

// watchRequest introduces this router to its agent.
func (r *Router) watchRequest() watch.Request {
	r.logCurrency()
	status := Status{Proxy: r.options.Name, Run: r.runID, Zone: r.options.Zone, Admin: r.options.Admin, Current: r.IsCurrent(),
		Stop: r.stopping.Load(), Counts: r.counts.all()}
	raw, _ := json.Marshal(status) // a plain struct always encodes
	request := watch.Request{Name: r.options.Name, Role: "proxy", Status: raw, Applied: map[string]register.Revision{}}
	if v := r.view.Load(); v != nil {
		request.Applied[config.Key] = v.Version
	}
	return request
}

// logCurrency logs when the router becomes current, or has ceased to be, and reports whether that has changed.
func (r *Router) logCurrency() (changed bool) {
	current := r.IsCurrent()
	if changed = r.loggedCurrent.Swap(current) != current; changed {
		r.log.Info().Bool("current", current).Msg("currency changed")
	}
	return changed
}

// IsCurrent reports whether this router can prove that it knows every accepted change.
func (r *Router) IsCurrent() bool {
	until := r.current.Load()
	return until != nil && r.view.Load() != nil && time.Now().Before(*until)
}

// IsReady is the answer to readiness checks: current, and neither stopping nor draining.
func (r *Router) IsReady() bool { return r.IsCurrent() && !r.stopping.Load() && !r.draining.Load() }

// IsConfigured reports whether this router has a configuration.
func (r *Router) IsConfigured() bool {
	v := r.view.Load()
	return v != nil && v.Version.Version > 0
}

// Limits are the bounds that the configuration in force sets for clients; a bound that it leaves open is 0.
func (r *Router) Limits() config.Limits {
	if v := r.view.Load(); v != nil {
		return v.limits
	}
	return config.Limits{}
}

// Drain makes the router unready; it goes on serving until Stop.
func (r *Router) Drain() { r.draining.Store(true) }

// Handler serves clients, through a go-kit endpoint.
func (r *Router) Handler() http.Handler {
	serve := func(ctx context.Context, request any) (any, error) {
		x := request.(*Exchange)
		r.step(x, Received, "")
		if err := r.chain(ctx, x); err != nil {
			r.end(x, err)
			return nil, err
		}
		return x, nil
	}
	kit := kithttp.NewServer(serve, r.decode, r.relay, kithttp.ServerErrorEncoder(r.encodeRejection))
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.open.add(1)
		defer r.open.add(-1)
		d := &clientConn{control: http.NewResponseController(w)}
		d.header, d.failure = r.options.Protocol.ReadHeader(q)
		if d.id = d.header.ID; d.id == "" {
			d.id = rand.Text()
		}
		defer func() {
			for _, leave := range d.onDone {
				leave()
			}
		}()
		w.Header().Set(r.options.Protocol.IDHeader(), d.id) // every answer bears it, refusals too
		if isFramedTwice(q) {
			w.Header().Set("Connection", "close")
		}
		kit.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), clientConnKey{}, d)))
	})
}

// Stop rejects what waits, and returns when the running streams have ended or the context has.
func (r *Router) Stop(ctx context.Context) {
	if r.stopping.Swap(true) {
		return
	}
	close(r.stopped)
	select {
	case <-r.open.idle():
	case <-ctx.Done():
	}
}

// encodeRejection writes an error, with what is known of whether the request was executed.
func (r *Router) encodeRejection(ctx context.Context, err error, w http.ResponseWriter) {
	f := apierror.Of(err)
	if f.Again > 0 {
		w.Header().Set("Retry-After", r.options.Protocol.RetryAfter(f.Again))
	}
	w.Header().Set("X-Ran", string(f.Code.Executed))
	w.Header().Set("X-Result-Code", fmt.Sprint(f.Code.Number))
	rpc.EncodeError(ctx, err, w)
}
