package controlplane

import (
	"context"
	"net/http"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/lease"
	"asterridge/replicaclient"
	"asterridge/router"
	"asterridge/rpc"
)

const (
	rolloutInterval = 400 * time.Millisecond
	// rolloutShare is the part of a pool that may load at the same time: a third.
	rolloutShare = 3
	// rolloutDeadline is how long replicas may be behind before all that are left are told to load at once.
	rolloutDeadline = 9 * time.Second
)

// loadWeightsOrder is the order to a replica to load weights. Of two orders the one with the lower number is void.
type loadWeightsOrder struct {
	Order   uint64 `json:"order"`
	Weights string `json:"weights"`
}

// weightsRollout is the singleton role that has replicas load the weights that their pools are configured with (docs/design.md §6.2).
type weightsRollout struct {
	core          *Core
	candidate     *lease.Candidate
	replicaClient *http.Client
	protocol      router.Protocol

	mu sync.Mutex
	// behind is, by pool, since when replicas are behind.
	behind map[string]behindState
}

// behindState is the weights that replicas of a pool were last seen behind, and since when without a break.
type behindState struct {
	weights string
	since   time.Time
}

// runWeightsRollout campaigns for the role and performs it while it is held.
func (c *Core) runWeightsRollout(ctx context.Context) {
	r := &weightsRollout{
		core:          c,
		candidate:     c.newCandidate(weightsRole, roleLease),
		replicaClient: replicaclient.New(c.host.Net),
		protocol:      router.ChatProtocol{},
		behind:        map[string]behindState{},
	}
	go rpc.Every(ctx, roleLease/campaignsPerLease, func() {
		if c.membership().self != nil {
			r.candidate.Campaign(ctx)
		}
	})
	rpc.Every(ctx, rolloutInterval, func() { r.step(ctx) })
}

// step looks at each pool, and tells some replicas to load.
func (r *weightsRollout) step(ctx context.Context) {
	if _, held := r.candidate.Held(); !held {
		return
	}
	record := r.core.acceptor.Read(config.Key)
	plan, err := config.FromFields(record.Fields)
	if err != nil || !record.IsCommitted() {
		return
	}
	replicas, err := config.Load[config.Replica](r.core.acceptor.Read(config.ReplicasKey).Fields)
	if err != nil {
		return
	}
	var pools sync.WaitGroup
	for name, pool := range plan.Pools {
		if pool.Kind == config.ModelPool && pool.Weights != "" {
			pools.Go(func() { r.stepPool(ctx, name, pool.Weights, replicas, record.Revision.Version) })
		}
	}
	pools.Wait()
}

// stepPool tells replicas of one pool to load. order is the configuration's version.
func (r *weightsRollout) stepPool(ctx context.Context, pool, weights string, replicas map[string]config.Replica, order uint64) {
	state := r.askPool(ctx, pool, weights, replicas)
	slots := max(1, state.answered/rolloutShare) - state.loading
	if r.behindFor(pool, weights, len(state.behind) > 0) > rolloutDeadline {
		slots = len(state.behind)
	}
	var orders sync.WaitGroup
	for _, replica := range state.behind[:max(0, min(slots, len(state.behind)))] {
		number, held := r.candidate.Held()
		if !held {
			break
		}
		orders.Go(func() {
			err := replicaclient.PostOrder(ctx, r.replicaClient, replica.Address+r.protocol.LoadPath(), loadWeightsOrder{Order: order, Weights: weights})
			r.core.host.Log.Info().Str("replica", replica.Name).Str("weights", weights).Uint64("order", order).Uint64("lease", number).
				AnErr("failure", err).Msg("replica told to load weights")
		})
	}
	orders.Wait()
}

// poolWeights is what the replicas of a pool that answer report of their weights.
type poolWeights struct {
	answered, loading int
	behind            []config.Replica
}

// askPool asks all replicas of a pool at once, so that those that do not answer delay this step alone, for replicaclient.Timeout.
func (r *weightsRollout) askPool(ctx context.Context, pool, weights string, replicas map[string]config.Replica) (state poolWeights) {
	var mu sync.Mutex
	var pending sync.WaitGroup
	for _, replica := range replicas {
		if replica.Pool != pool || replica.State == config.ReplicaDraining {
			continue
		}
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, replicaclient.Timeout)
			defer cancel()
			report, err := replicaclient.GetReport(ctx, r.replicaClient, r.protocol, replica, router.Report{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			state.answered++
			switch report.Weights {
			case weights:
			case router.Loading:
				state.loading++
			default:
				state.behind = append(state.behind, replica)
			}
		})
	}
	pending.Wait()
	return state
}

// behindFor notes whether replicas of a pool are behind these weights, and gives for how long some have been without a break.
func (r *weightsRollout) behindFor(pool, weights string, behind bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.behind[pool]; !behind || state.weights != weights {
		r.behind[pool] = behindState{weights: weights, since: time.Now()}
	}
	return time.Since(r.behind[pool].since)
}
