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
	// maxCandidates is how many replicas a core is asked to choose from: with loads that are known, a few choices are nearly as good as all.
	maxCandidates = 8
	// replicasPerCore is how many replicas one core owns the loads of: so many that requests have a choice, and so few that a core bears the
	// messages for them (docs/CAPACITY.md).
	replicasPerCore = 150
	// timeoutRatio is the part of a latency target that a request waits for a core's choice at the most, queryTimeout the time without a target,
	// maxQueryTimeout the longest time.
	timeoutRatio    = 0.05
	queryTimeout    = 25 * time.Millisecond
	maxQueryTimeout = 100 * time.Millisecond
	// coreBackoff is how long a core that has not answered in time is not asked.
	coreBackoff = time.Second
	// adviceTime is how long a core's choice counts: a request that waits for longer is placed by what is known then.
	adviceTime = 250 * time.Millisecond
	// loadReportDelay is how long the end of a prefill or of an answer may wait to be told along with others.
	loadReportDelay = 50 * time.Millisecond
)

// advice is a core's choice of a replica for a request. The zero value is none.
type advice struct {
	replica string
	until   time.Time
}

// balancer knows which core owns the loads of which replica (package inflight), and how far each core was told.
type balancer struct {
	changed chan struct{} // asks for a report

	mu sync.Mutex // guards what follows
	// cores are the addresses of the cores that answer, by name.
	cores map[string]string
	// shards are the parts into which the replicas are divided, one for each core that owns some.
	shards int
	links  map[string]*coreLink // by name
}

// coreLink is how far a core was told.
type coreLink struct {
	number      uint64
	stale       bool // the core knows less than this router
	sentAt      time.Time
	pausedUntil time.Time
}

// newBalancer makes a balancer that knows no core.
func newBalancer() balancer {
	return balancer{changed: make(chan struct{}, 1), shards: 1, links: map[string]*coreLink{}}
}

// setCores takes the cores that answer.
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

// setReplicas takes how many replicas there are.
func (b *balancer) setReplicas(count int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shards = max(1, (count+replicasPerCore-1)/replicasPerCore)
}

// shard gives the part that a replica belongs to; b.mu is held.
func (b *balancer) shard(replica string) int {
	if b.shards == 1 {
		return 0
	}
	return int(rendezvous.Weight("shard", replica) % uint64(b.shards))
}

// owners names the core that owns the loads of each shard: the first by rank that has not just failed to answer. It is empty if there is
// none. b.mu is held.
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

// link gives the link to a core; b.mu is held.
func (b *balancer) link(core string) *coreLink {
	l := b.links[core]
	if l == nil {
		l = &coreLink{}
		b.links[core] = l
	}
	return l
}

// loadsByCore gives what this router has in flight, by the core that owns it and by replica; b.mu is held.
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
		loads[core][name] = inflight.Load{Running: running, PrefillMs: milliseconds(float64(max(0, rep.pending.Load())) / rep.rate())}
	}
	return loads
}

// milliseconds rounds an estimate up.
func milliseconds(ms float64) int64 { return int64(math.Ceil(ms)) }

// Handle asks the core that owns the loads of the request's best replica to choose among that one and the next best ones of the same core.
func (f balanceFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	x.advice = advice{}
	if x.Pool.Kind == config.ModelPool {
		x.advice = f.r.requestPlacement(ctx, x)
	}
	return onward(ctx, x)
}

// requestPlacement asks a core where to place a request. No answer in time is no advice.
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
	return advice{replica: response.Replica, until: time.Now().Add(adviceTime)}
}

// queryTimeoutOf is how long a request with a latency target in milliseconds, 0 for none, waits for a core's choice.
func queryTimeoutOf(targetMs int) time.Duration {
	if targetMs == 0 {
		return queryTimeout
	}
	return min(time.Duration(timeoutRatio*float64(targetMs)*float64(time.Millisecond)), maxQueryTimeout)
}

// placementRequest makes the request for the best candidates; without candidates if there is no core to ask.
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
				Replica: c.replica.Name, CostMs: milliseconds(c.cost), WorkMs: milliseconds(c.work), Slots: c.replica.Limit,
			})
		}
	}
	request.Loads = b.loadsByCore(v, owners)[core]
	request.Shared = sharedBlocks(sorted)
	return core, b.cores[core], request
}

// sharedBlocks gives the blocks of a prompt that others may share, in each cache domain of the candidates. They are named with every request:
// cores that were restarted know of none, and then hold back which replicas have them.
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

// sendLoads sends a message to a core, and leaves the core alone for a while if it does not answer in time. A client that leaves meanwhile
// says nothing of the core.
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

// loadChanged has the loads reported to the core that owns a replica's.
func (b *balancer) loadChanged(replica string) {
	b.mu.Lock()
	if core := b.owners(time.Now())[b.shard(replica)]; core != "" {
		b.link(core).stale = true
	}
	b.mu.Unlock()
	select {
	case b.changed <- struct{}{}:
	default: // a report is due already
	}
}

// reportLoads tells the cores what this router has in flight: soon after something has ended, and at each refresh interval.
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

// reportChangedLoads tells each core that is not up to date.
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
			_, _ = r.sendLoads(ctx, core, addresses[core], request, inflight.RefreshInterval) // the next message makes it good
		})
	}
	pending.Wait()
}
