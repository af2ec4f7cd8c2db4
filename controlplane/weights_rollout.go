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
	// rolloutDivisor limits how many replicas of a pool load at the same time: a third.
	rolloutDivisor = 3
	// rolloutDeadline is how long replicas may have outdated weights before all the remaining ones are ordered to load at once.
	rolloutDeadline = 9 * time.Second
)

// loadWeightsOrder orders a replica to load weights. A replica ignores an order with a lower number than one it has received.
type loadWeightsOrder struct {
	Order   uint64 `json:"order"`
	Weights string `json:"weights"`
}

// weightsRollout is the singleton role that has replicas load the weights configured for their pools (docs/design.md §6.2).
type weightsRollout struct {
	core          *Core
	candidate     *lease.Candidate
	replicaClient *http.Client
	protocol      router.Protocol

	mu sync.Mutex
	// outdated is, by pool, since when replicas have had outdated weights.
	outdated map[string]outdatedState
}

// outdatedState is the configured weights that replicas of a pool lack, and since when some replica has lacked them without
// interruption.
type outdatedState struct {
	weights string
	since   time.Time
}

// runWeightsRollout campaigns for the role and performs it while holding it.
func (c *Core) runWeightsRollout(ctx context.Context) {
	r := &weightsRollout{
		core:          c,
		candidate:     c.newCandidate(weightsRole, roleLease),
		replicaClient: replicaclient.New(c.host.Net),
		protocol:      router.ChatProtocol{},
		outdated:      map[string]outdatedState{},
	}
	go rpc.Every(ctx, roleLease/campaignsPerLease, func() {
		if c.membership().self != nil {
			r.candidate.Campaign(ctx)
		}
	})
	rpc.Every(ctx, rolloutInterval, func() { r.step(ctx) })
}

// step checks each pool and orders some of its replicas to load.
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

// stepPool orders replicas of one pool to load. order is the configuration's version.
func (r *weightsRollout) stepPool(ctx context.Context, pool, weights string, replicas map[string]config.Replica, order uint64) {
	state := r.queryPool(ctx, pool, weights, replicas)
	slots := max(1, state.answered/rolloutDivisor) - state.loading
	if r.outdatedFor(pool, weights, len(state.outdated) > 0) > rolloutDeadline {
		slots = len(state.outdated)
	}
	var orders sync.WaitGroup
	for _, replica := range state.outdated[:max(0, min(slots, len(state.outdated)))] {
		leaseNumber, held := r.candidate.Held()
		if !held {
			break
		}
		orders.Go(func() {
			err := replicaclient.PostOrder(ctx, r.replicaClient, replica.Address+r.protocol.LoadPath(), loadWeightsOrder{Order: order, Weights: weights})
			r.core.host.Log.Info().Str("replica", replica.Name).Str("weights", weights).Uint64("order", order).Uint64("lease", leaseNumber).
				AnErr("failure", err).Msg("replica told to load weights")
		})
	}
	orders.Wait()
}

// poolWeights is what the replicas of a pool that answer report about their weights.
type poolWeights struct {
	answered, loading int
	outdated          []config.Replica
}

// queryPool queries all replicas of a pool concurrently, so that those that do not answer delay only this step, by replicaclient.Timeout.
func (r *weightsRollout) queryPool(ctx context.Context, pool, weights string, replicas map[string]config.Replica) (state poolWeights) {
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
				state.outdated = append(state.outdated, replica)
			}
		})
	}
	pending.Wait()
	return state
}

// outdatedFor records whether replicas of a pool lack these weights, and returns for how long some have lacked them without
// interruption.
func (r *weightsRollout) outdatedFor(pool, weights string, outdated bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.outdated[pool]; !outdated || state.weights != weights {
		r.outdated[pool] = outdatedState{weights: weights, since: time.Now()}
	}
	return time.Since(r.outdated[pool].since)
}
