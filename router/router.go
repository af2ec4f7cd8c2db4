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
	"math/bits"
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
	"asterridge/rendezvous"
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

// lockedRandom is a random source for several goroutines.
type lockedRandom struct {
	mu sync.Mutex
	r  *mathrand.Rand
}

// backoff draws a backoff.
func (l *lockedRandom) backoff(rule config.ThrottleRule, attempt int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return throttle.Backoff(rule, attempt, l.r)
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

// throttleExtended wakes the queue when a throttle here was extended.
func (r *Router) throttleExtended(e throttle.Entry) {
	r.log.Info().Str("scope", e.Scope).Str("id", e.ID).Int64("remaining_ms", e.RemainingMs).Str("reason", e.Reason).Msg("throttle extended")
	r.queue.WakeAll()
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

// releaseDelay spreads the first releases after a throttle over the proxies: the first by rendezvous rank goes at once, the second a step
// later, then two, four and so on. If the first is rejected again, the others hear of it before they send (docs/design.md §4.4).
func (r *Router) releaseDelay(scope string) time.Duration {
	v := r.view.Load()
	if v == nil {
		return 0
	}
	own, before := rendezvous.Weight(scope, r.options.Name), 0
	for _, name := range v.proxies {
		if rendezvous.Weight(scope, name) > own {
			before++
		}
	}
	return time.Duration(bits.Len(uint(before))) * turnStep
}

// turnStep is the time between two steps of release.
const turnStep = 100 * time.Millisecond

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

// throttle extends a scope's throttle here at once, and has it reported to all (docs/design.md §4.2).
func (r *Router) throttle(x *Exchange, delay time.Duration, reason, raw string) {
	rule := r.view.Load().throttleRule
	limit := time.Duration(rule.CapMs) * time.Millisecond
	n := throttle.Notice{
		Scope: x.item.Scope, ID: fmt.Sprintf("%s.%s.%d", r.options.Name, r.runID, r.noticesSent.Add(1)), Raw: raw,
		RemainingMs: min(delay, limit).Milliseconds(), Reason: reason, Attempt: x.Attempt, Observed: rule.Observe,
	}
	r.counts.add("throttles", 1)
	if !r.throttles.Merge(n, limit) {
		return // an equal or longer hold stands here, and was told already
	}
	r.log.Info().Str("scope", n.Scope).Str("request", x.ID).Int64("delay_ms", n.RemainingMs).Str("reason", reason).Msg("throttle reported")
	select {
	case r.throttleReports <- n:
	default: // a full line means a storm; the local hold stands and others report too
	}
}

// reportThrottles reports throttles to the agent. What cannot be reported is tried again while it lasts.
func (r *Router) reportThrottles(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-r.throttleReports:
			until := time.Now().Add(time.Duration(n.RemainingMs) * time.Millisecond)
			for time.Now().Before(until) && ctx.Err() == nil {
				n.RemainingMs = time.Until(until).Milliseconds()
				_, err := rpc.Call[struct{}](ctx, r.rpc, r.options.Agent, "/agent/hold", n)
				if err == nil {
					break
				}
				_ = rpc.Sleep(ctx, 100*time.Millisecond) // the loop looks at the context
			}
		}
	}
}

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

// running counts the requests that are being served. A request may still come while the end is waited for.
type running struct {
	mu    sync.Mutex
	count int
	ended chan struct{} // closed at zero, if somebody waits
}

// add counts a request that comes (1) or goes (-1).
func (o *running) add(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count += n; o.count == 0 && o.ended != nil {
		close(o.ended)
		o.ended = nil
	}
}

// idle gives a channel that is closed when no request is being served.
func (o *running) idle() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	ended := make(chan struct{})
	if o.count == 0 {
		close(ended)
	} else {
		o.ended = ended
	}
	return ended
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
