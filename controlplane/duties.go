package controlplane

import (
	"context"
	"net/http"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/daemon"
	"asterridge/lease"
	"asterridge/replicaclient"
	"asterridge/router"
	"asterridge/rpc"
)

const (
	leasePrefix     = "term/"
	rolloutLease    = 3 * time.Second
	rolloutInterval = 400 * time.Millisecond
	rolloutDeadline = 9 * time.Second // after this all replicas that are left are told at once
)

// LeaseRequest writes a duty's grant in the place of the one that its asker met.
type LeaseRequest struct {
	Role     string      `json:"duty"`
	Grant    lease.Grant `json:"made"`
	Expected lease.Grant `json:"met"`
}

func (c *Core) grantLease(ctx context.Context, o LeaseRequest) (Accepted, error) {
	revision, err := c.owner.Change(ctx, leasePrefix+o.Role, o.Grant.Replace(o.Expected))
	return Accepted{revision.Version}, err
}

// leaseStore lets the terms of this core's duties be written in registers.
type leaseStore struct{ core *Core }

func (b leaseStore) Read(duty string) lease.Grant {
	record := b.core.acceptor.Read(leasePrefix + duty)
	return lease.ReadGrant(record.Fields, record.Revision.Version)
}

func (b leaseStore) Acquire(ctx context.Context, duty string, made, met lease.Grant) (uint64, error) {
	a, err := rpc.Call[Accepted](ctx, b.core.rpc, b.core.host.Address, "/op/term", LeaseRequest{duty, made, met})
	return a.Version, err
}

// weightsRollout is the duty of having the pools' replicas load the accepted weights (§6.2).
type weightsRollout struct {
	core          *Core
	candidate     *lease.Candidate
	replicaClient *http.Client
	dialect       router.Dialect
	mu            sync.Mutex
	behindSince   map[string]behindState // by pool
}

func (c *Core) newCandidate(duty string, length time.Duration) *lease.Candidate {
	return lease.New(lease.Options{Role: duty, Holder: c.host.Name + "." + c.incarnation + "." + c.peerUpdates.RunID(), Length: length,
		Margin: length / 8, Store: leaseStore{c}, Log: c.host.Log})
}

// runRoles steps this core's candidates, and does the duties that it holds.
func (c *Core) runRoles(ctx context.Context) {
	r := &weightsRollout{core: c, dialect: router.ChatDialect{}, behindSince: map[string]behindState{},
		replicaClient: replicaclient.NewReplicaClient(c.host.Net),
		candidate:     c.newCandidate("rollout", rolloutLease),
	}
	go daemon.Every(ctx, c.options.ClaimRetention/20, func() { c.pruneClaims(ctx) })
	if c.options.Backend != nil {
		return // its replicas take their orders from the loader
	}
	go c.runRetirements(ctx)
	go daemon.Every(ctx, rolloutLease/5, func() {
		if c.membership().self != nil {
			r.candidate.Campaign(ctx)
		}
	})
	daemon.Every(ctx, rolloutInterval, func() { r.step(ctx) })
}

// behindState is the weights that replicas of a pool were last seen behind, and since when without a break.
type behindState struct {
	weights string
	since   time.Time
}

// step looks at each pool, and tells some replicas to load.
func (r *weightsRollout) step(ctx context.Context) {
	if _, own := r.candidate.Held(); !own {
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
		if pool.Kind == "model" && pool.Weights != "" {
			pools.Go(func() { r.rollPool(ctx, name, pool.Weights, replicas, record.Revision.Version) })
		}
	}
	pools.Wait()
}

// rollPool tells replicas of one pool to load. All are asked at once: those that do not answer hold up nobody but this step, for a second.
func (r *weightsRollout) rollPool(ctx context.Context, pool, weights string, replicas map[string]config.Replica, order uint64) {
	var mu sync.Mutex
	var behind []config.Replica
	var asked sync.WaitGroup
	all, busy := 0, 0
	for _, replica := range replicas {
		if replica.Pool != pool || replica.State == "leaving" {
			continue
		}
		asked.Go(func() {
			short, stop := context.WithTimeout(ctx, replicaclient.ReportTimeout)
			defer stop()
			report, err := replicaclient.GetReport(short, r.replicaClient, r.dialect, replica, router.Report{})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all++
			switch report.Weights {
			case weights:
			case router.Loading:
				busy++
			default:
				behind = append(behind, replica)
			}
		})
	}
	asked.Wait()
	overdueFor := r.behindFor(pool, weights, len(behind) > 0)
	slots := max(1, all/3) - busy
	if overdueFor > rolloutDeadline {
		slots = len(behind)
	}
	for _, replica := range behind[:max(0, min(slots, len(behind)))] {
		number, own := r.candidate.Held()
		if !own {
			return
		}
		asked.Go(func() {
			err := replicaclient.PostOrder(ctx, r.replicaClient, replica.Address+r.dialect.LoadPath(), map[string]any{"weights": weights, "order": order})
			r.core.host.Log.Info().Str("event", "load_weights").Str("replica", replica.Name).Str("weights", weights).
				Uint64("order", order).Uint64("lease", number).AnErr("failure", err).Msg("")
		})
	}
	asked.Wait()
}

// behindFor notes whether replicas of a pool are behind these weights, and gives since when they are.
func (r *weightsRollout) behindFor(pool, weights string, behind bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := r.behindSince[pool]; !behind || now.weights != weights {
		r.behindSince[pool] = behindState{weights, time.Now()}
	}
	return time.Since(r.behindSince[pool].since)
}
