// Package router is the data plane as a library: a chain of filters that carries a client's request to a replica, subject to throttles
// that all proxies share. cmd/proxy is a thin program on top of it; other programs may embed it (docs/design.md §5).
//
// A request is an Exchange. The filters are in filters.go, claims.go and send.go. In the order of the chain they check that this
// router is current, authenticate the request, find its path, run the embedding program's own filters, make attempts, balance load,
// queue, claim the idempotency key and send. placement.go, cost.go and balancer.go choose the replica; replica_conn.go repeats all
// checks at the first write; relay.go passes the answer on to the client. All of them work from a View, which compile.go builds from
// the registers that the agent publishes (updates.go).
//
// A request of which provably nothing was written to a replica was not executed; any other may have been executed. This distinction
// decides what may be attempted again and what the client is told.
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

// Keys that agents publish in addition to the registers.
const (
	ProxiesKey   = "proxies"
	ThrottleKey  = "hold"
	ReportsKey   = "reports"
	CachedPrefix = "kept/"
	// CoresKey has the addresses of the responsive cores, by name.
	CoresKey = "cores"
	// DisturbedKey has the time at which a core was last seen to stop answering or to return. Before that time the cores may have been
	// unable to make progress, so every period that is measured against them starts there (§6.2).
	DisturbedKey = "disturbed"
	CacheUp      = "~up" // field among a source's cached blocks: the source is reachable
)

// StoreName returns the name in the prefix index of a store that is configured as a pool.
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
	current         atomic.Pointer[time.Time] // end of the period for which the agent vouches for the view
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
	sources         sync.Map // reachable stores, by name in the prefix index
	chain           handler
	afterAttempts   handler // the filters after attemptsFilter
	random          *lockedRandom
	runID           string // identifies this run of the process
	noticesSent     atomic.Uint64
	throttleReports chan throttle.Notice
	stopping        atomic.Bool
	draining        atomic.Bool
	loggedCurrent   atomic.Bool // the state that was logged last
	inFlight        running
	stopped         chan struct{}
}

// Sizes of the router's own resources.
const (
	// idleReplicaConnections is the maximum number of idle connections kept to each replica.
	idleReplicaConnections = 64
	// throttleReportQueue is the maximum number of throttles waiting to be reported to the agent.
	throttleReportQueue = 256
	runIDLength         = 8
)

// New returns a router that does not follow its agent until Run is called.
func New(options Options) *Router {
	options = options.withDefaults()
	nameHash := fnv.New64a()
	_, _ = nameHash.Write([]byte(options.Name)) // hash.Hash.Write never returns an error
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
		DialContext:         r.dialReplica,
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
	r.buildFilterChain()
	return r
}

// buildFilterChain composes the chain that each request goes through, from the last filter to the first. The part after attemptsFilter
// is also kept on its own, because it runs once per attempt.
func (r *Router) buildFilterChain() {
	filters := []Filter{admissionFilter{r}, identityFilter{r}, pathFilter{r}}
	filters = append(filters, r.options.Filters...)
	filters = append(filters, attemptsFilter{r}, balanceFilter{r}, queueFilter{r}, claimFilter{r}, sendFilter{r})
	r.chain = func(context.Context, *Exchange) error {
		return apierror.New(apierror.Internal, "filter chain ended without a response")
	}
	for i := len(filters) - 1; i >= 0; i-- {
		filter, onward := filters[i], r.chain
		if _, attempts := filter.(attemptsFilter); attempts {
			r.afterAttempts = onward
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

// Status is a router's report to its agent, which passes it on to the cores.
type Status struct {
	Proxy   string           `json:"proxy"`
	Run     string           `json:"run"` // identifies the run of the process
	Zone    string           `json:"zone"`
	Admin   string           `json:"admin"`
	Current bool             `json:"current"`
	Stop    bool             `json:"stopping,omitempty"`
	Counts  map[string]int64 `json:"counts"`
}

// RunName identifies this run of the proxy; claims are held under this name.
func (s Status) RunName() string { return s.Proxy + "." + s.Run }

// watchRequest returns the watch request for the agent, with this router's status and the configuration revision that it applies.
func (r *Router) watchRequest() watch.Request {
	r.logCurrency()
	status := Status{Proxy: r.options.Name, Run: r.runID, Zone: r.options.Zone, Admin: r.options.Admin, Current: r.IsCurrent(),
		Stop: r.stopping.Load(), Counts: r.counts.all()}
	raw, _ := json.Marshal(status) // a struct of plain fields always encodes
	request := watch.Request{Name: r.options.Name, Role: "proxy", Status: raw, Applied: map[string]register.Revision{}}
	if v := r.view.Load(); v != nil {
		request.Applied[config.Key] = v.Version
	}
	return request
}

// logCurrency logs when the router becomes current or ceases to be, and reports whether that changed since the last call.
func (r *Router) logCurrency() (changed bool) {
	current := r.IsCurrent()
	if changed = r.loggedCurrent.Swap(current) != current; changed {
		r.log.Info().Bool("current", current).Msg("currency changed")
	}
	return changed
}

// IsCurrent reports whether this router provably knows every accepted change.
func (r *Router) IsCurrent() bool {
	until := r.current.Load()
	return until != nil && r.view.Load() != nil && time.Now().Before(*until)
}

// IsReady answers readiness checks: the router is current, and neither stopping nor draining.
func (r *Router) IsReady() bool { return r.IsCurrent() && !r.stopping.Load() && !r.draining.Load() }

// IsConfigured reports whether this router has received a configuration.
func (r *Router) IsConfigured() bool {
	v := r.view.Load()
	return v != nil && v.Version.Version > 0
}

// Limits returns the limits that the configuration in force sets for clients; a limit that it does not set is 0.
func (r *Router) Limits() config.Limits {
	if v := r.view.Load(); v != nil {
		return v.limits
	}
	return config.Limits{}
}

// Drain makes the router report that it is not ready; it keeps serving until Stop.
func (r *Router) Drain() { r.draining.Store(true) }

// Handler returns the HTTP handler that serves clients, through a go-kit endpoint.
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
		r.inFlight.add(1)
		defer r.inFlight.add(-1)
		conn := &clientConn{control: http.NewResponseController(w)}
		conn.header, conn.failure = r.options.Protocol.ReadHeader(q)
		if conn.id = conn.header.ID; conn.id == "" {
			conn.id = rand.Text()
		}
		defer func() {
			for _, cleanup := range conn.onDone {
				cleanup()
			}
		}()
		w.Header().Set(r.options.Protocol.IDHeader(), conn.id) // on every answer, rejections included
		if isFramedTwice(q) {
			w.Header().Set("Connection", "close")
		}
		kit.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), clientConnKey{}, conn)))
	})
}

// Stop rejects queued requests and returns when the running streams have ended or the context is done.
func (r *Router) Stop(ctx context.Context) {
	if r.stopping.Swap(true) {
		return
	}
	close(r.stopped)
	select {
	case <-r.inFlight.idle():
	case <-ctx.Done():
	}
}

// encodeRejection writes an error response that says whether the request was executed, as far as that is known.
func (r *Router) encodeRejection(ctx context.Context, err error, w http.ResponseWriter) {
	f := apierror.Of(err)
	if f.Again > 0 {
		w.Header().Set("Retry-After", r.options.Protocol.RetryAfter(f.Again))
	}
	w.Header().Set("X-Ran", string(f.Code.Executed))
	w.Header().Set("X-Result-Code", fmt.Sprint(f.Code.Number))
	rpc.EncodeError(ctx, err, w)
}
