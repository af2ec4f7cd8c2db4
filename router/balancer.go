package router

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/inflight"
	"asterridge/register"
	"asterridge/rendezvous"
	"asterridge/rpc"
)

const (
	// maxCandidates is how many replicas a core chooses from: when loads are known, a few choices are nearly as good as all.
	maxCandidates = 8
	// replicasPerCore is how many replicas one core owns the loads of: enough to give requests a choice, and few enough for one core to
	// handle the messages about them (docs/CAPACITY.md).
	replicasPerCore = 150
	// timeoutRatio is the part of a latency target that a request waits at most for a core's choice. queryTimeout applies without a target,
	// and maxQueryTimeout bounds both.
	timeoutRatio    = 0.05
	queryTimeout    = 25 * time.Millisecond
	maxQueryTimeout = 100 * time.Millisecond
	// coreBackoff is how long a core that did not answer in time is not queried.
	coreBackoff = time.Second
	// adviceTTL is how long a core's choice is valid: a request that waits longer is placed by the router's own estimate.
	adviceTTL = 250 * time.Millisecond
	// loadReportDelay is how long a load change may wait in order to be reported together with others.
	loadReportDelay = 50 * time.Millisecond
)

// advice is a core's choice of a replica for a request. The zero value means that there is none.
type advice struct {
	replica string
	until   time.Time
}

// balancer tracks which core owns the loads of which replicas (package inflight), and what each core has been sent.
type balancer struct {
	changed chan struct{} // signals that loads have to be reported

	mu sync.Mutex // guards the fields below
	// cores has the addresses of the live cores, by name.
	cores map[string]string
	// shards is the number of parts into which the replicas are divided; each part has one owning core.
	shards int
	links  map[string]*coreLink // by core name
}

// coreLink is the state of load reporting to one core.
type coreLink struct {
	number      uint64
	stale       bool // the core does not have this router's latest loads
	sentAt      time.Time
	pausedUntil time.Time
}

// newBalancer returns a balancer without cores.
func newBalancer() balancer {
	return balancer{changed: make(chan struct{}, 1), shards: 1, links: map[string]*coreLink{}}
}

// setCores replaces the set of live cores.
func (b *balancer) setCores(fields register.Fields) {
	cores := map[string]string{}
	for name, raw := range fields {
		var address string
		if json.Unmarshal(raw, &address) == nil {
			cores[name] = address
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cores = cores
}

// setReplicas sets the number of shards for a number of replicas.
func (b *balancer) setReplicas(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shards = max(1, (count+replicasPerCore-1)/replicasPerCore)
}

// shard returns the shard that a replica belongs to; b.mu is held.
func (b *balancer) shard(replica string) int {
	if b.shards == 1 {
		return 0
	}
	return int(rendezvous.Weight("shard", replica) % uint64(b.shards))
}

// owners returns the core that owns the loads of each shard: the highest-ranking one that is not paused after a failure, or an empty name if
// there is none. b.mu is held.
func (b *balancer) owners(now time.Time) []string {
	var answering []string
	for name := range b.cores {
		if link := b.links[name]; link == nil || !now.Before(link.pausedUntil) {
			answering = append(answering, name)
		}
	}
	owners := make([]string, b.shards)
	for shard := range owners {
		owners[shard] = rendezvous.Pick("shard "+strconv.Itoa(shard), answering)
	}
	return owners
}

// link returns the link to a core, and creates it if needed; b.mu is held.
func (b *balancer) link(core string) *coreLink {
	l := b.links[core]
	if l == nil {
		l = &coreLink{}
		b.links[core] = l
	}
	return l
}

// loadsByCore returns this router's requests in flight, by owning core and replica; b.mu is held.
func (b *balancer) loadsByCore(v *View, owners []string) map[string]map[string]inflight.Load {
	loads := map[string]map[string]inflight.Load{}
	for name, rep := range v.replicas {
		running := int(rep.running.Load())
		if running <= 0 {
			continue
		}
		core := owners[b.shard(name)]
		if loads[core] == nil {
			loads[core] = map[string]inflight.Load{}
		}
		loads[core][name] = inflight.Load{Running: running, PrefillMs: ceilMs(float64(max(0, rep.pending.Load())) / rep.rate())}
	}
	return loads
}

// ceilMs rounds an estimate in milliseconds up.
func ceilMs(ms float64) int64 { return int64(math.Ceil(ms)) }

// Handle asks the core that owns the load of the request's best replica to choose among that replica and the next best ones that the same
// core owns.
func (f balanceFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	x.advice = advice{}
	if x.Pool.Kind == config.ModelPool {
		x.advice = f.r.requestPlacement(ctx, x)
	}
	return onward(ctx, x)
}

// requestPlacement asks a core where to place a request. It returns no advice if the core does not answer in time.
func (r *Router) requestPlacement(ctx context.Context, x *Exchange) advice {
	v, now := r.view.Load(), time.Now()
	p := v.pools[x.Pool.Name]
	if p == nil {
		return advice{}
	}
	candidates := r.candidates(x, v, p, p.replicas, now)
	slices.SortFunc(candidates, compareCandidates)
	core, address, request := r.balancer.placementRequest(v, candidates, now)
	if len(request.Candidates) < 2 {
		return advice{} // nothing to choose
	}
	r.counts.add("placements", 1)
	response, err := r.sendLoads(ctx, core, address, request, queryTimeoutOf(x.Path.LatencyTargetMs))
	if err != nil {
		r.counts.add("placements_unanswered", 1)
		return advice{}
	}
	return advice{replica: response.Replica, until: time.Now().Add(adviceTTL)}
}

// queryTimeoutOf returns how long a request with a latency target in milliseconds (0: none) waits for a core's choice.
func queryTimeoutOf(targetMs int) time.Duration {
	if targetMs == 0 {
		return queryTimeout
	}
	return min(time.Duration(timeoutRatio*float64(targetMs)*float64(time.Millisecond)), maxQueryTimeout)
}

// placementRequest builds the request for the best candidates. It has no candidates if there is no core to ask.
func (b *balancer) placementRequest(v *View, sorted []candidate, now time.Time) (core, address string, request inflight.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(sorted) == 0 {
		return "", "", request
	}
	owners := b.owners(now)
	if core = owners[b.shard(sorted[0].replica.Name)]; core == "" {
		return "", "", request
	}
	for _, c := range sorted {
		if len(request.Candidates) < maxCandidates && owners[b.shard(c.replica.Name)] == core {
			request.Candidates = append(request.Candidates, inflight.Candidate{
				Replica: c.replica.Name, CostMs: ceilMs(c.costMs), WorkMs: ceilMs(c.prefillMs), Slots: c.replica.Limit,
			})
		}
	}
	request.Loads = b.loadsByCore(v, owners)[core]
	request.Shared = sharedBlocks(sorted)
	return core, b.cores[core], request
}

// sharedBlocks returns the blocks of a prompt that others may share, in each cache domain of the candidates. Every request names them:
// a restarted core knows of no shared blocks, and withholds where a block is cached until a request names it as shared.
func sharedBlocks(candidates []candidate) (blocks []string) {
	seen := map[*cacheState]bool{}
	for _, c := range candidates {
		if !seen[c.cache] {
			blocks = append(blocks, c.cache.sharedBlocks...)
		}
		seen[c.cache] = true
	}
	return blocks
}

// sendLoads sends a message to a core, and pauses queries to the core if it does not answer in time. Cancellation by the client does not
// count as a failure of the core.
func (r *Router) sendLoads(ctx context.Context, core, address string, request inflight.Request, timeout time.Duration) (inflight.Response, error) {
	b := &r.balancer
	request.Proxy, request.Run = r.options.Name, r.runID
	b.mu.Lock()
	link := b.link(core)
	link.number++
	request.Number = link.number
	link.stale, link.sentAt = false, time.Now()
	b.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := rpc.Call[inflight.Response](bounded, r.rpc, address, "/core/place", request)
	if err == nil {
		return response, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	link.stale = true
	if ctx.Err() == nil {
		link.pausedUntil = time.Now().Add(coreBackoff)
	}
	return response, err
}

// loadChanged marks the loads at the core that owns the replica's as stale, and schedules a report.
func (b *balancer) loadChanged(replica string) {
	b.mu.Lock()
	if core := b.owners(time.Now())[b.shard(replica)]; core != "" {
		b.link(core).stale = true
	}
	b.mu.Unlock()
	select {
	case b.changed <- struct{}{}:
	default: // a report is already scheduled
	}
}

// reportLoads reports this router's requests in flight to the cores: shortly after a load has changed, and at each refresh interval.
func (r *Router) reportLoads(ctx context.Context) {
	refresh := time.NewTimer(inflight.RefreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.balancer.changed:
			if rpc.Sleep(ctx, loadReportDelay) != nil {
				return
			}
		case <-refresh.C:
		}
		refresh.Reset(inflight.RefreshInterval)
		r.reportChangedLoads(ctx)
	}
}

// reportChangedLoads sends the current loads to each core that has stale ones or is due for a refresh.
func (r *Router) reportChangedLoads(ctx context.Context) {
	v := r.view.Load()
	if v == nil {
		return
	}
	b, now := &r.balancer, time.Now()
	due := map[string]inflight.Request{}
	b.mu.Lock()
	owners := b.owners(now)
	loads := b.loadsByCore(v, owners)
	for _, core := range owners {
		link := b.link(core)
		refresh := len(loads[core]) > 0 && now.Sub(link.sentAt) >= inflight.RefreshInterval
		if core != "" && (link.stale || refresh) {
			due[core] = inflight.Request{Loads: loads[core]}
		}
	}
	addresses := b.cores
	b.mu.Unlock()
	var pending sync.WaitGroup
	for core, request := range due {
		pending.Go(func() {
			_, _ = r.sendLoads(ctx, core, addresses[core], request, inflight.RefreshInterval) // a failed link is stale: the next report has all loads
		})
	}
	pending.Wait()
}
