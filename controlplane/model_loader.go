package controlplane

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/lease"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rendezvous"
	"asterridge/replicaclient"
)

const (
	loadInterval = 200 * time.Millisecond
	// loadLease is the duration of a lease of the loading role.
	loadLease = 2 * time.Second
	// announceDelay is the time between a reservation and the order to load. It lets the proxies learn of the reservation and the
	// replica finish its requests.
	announceDelay = 250 * time.Millisecond
	// loadDivisor limits how many replicas of a pool load at the same time: a fifth.
	loadDivisor = 5
	// reserveAheadDivisor: two thirds as many replicas again are reserved ahead, since a reserved replica first finishes its requests
	// and its report lags.
	reserveAheadDivisor = 3
	// reorderInterval is how long to wait before repeating an order to load that a replica does not report yet.
	reorderInterval = 2 * time.Second
	// orderReportDelay is the maximum time before a replica's reports show an order.
	orderReportDelay = reorderInterval / 4
	// unreachableBackoff is the backoff after a replica did not answer.
	unreachableBackoff = 5 * time.Second
)

// modelLoader is the singleton role that has replicas load the published versions of their models (docs/design.md §6.5). Every step is
// written to the register of loads before it is taken: proxies avoid reserved replicas, and the next holder of the role continues from
// there.
type modelLoader struct {
	core      *Core
	candidate *lease.Candidate
	// lastCampaign is when this core last tried to acquire or renew the lease.
	lastCampaign time.Time
	// ownReservations are the replicas reserved by this process under its current lease.
	ownReservations map[string]bool
	// retryAfter is the time before which a replica is not reserved again.
	retryAfter map[string]time.Time

	mu sync.Mutex // guards the fields below
	// reservedAt is when this holder first saw a reservation; orderedAt is when the replica was last ordered to load.
	reservedAt map[string]time.Time
	orderedAt  map[string]time.Time
	// reported has the versions that replicas reported to this process, by model. The platform's list lags behind them, and a replica's
	// record of what was loaded holds one model only.
	reported map[string]map[string]uint64
}

func newModelLoader(c *Core) *modelLoader {
	return &modelLoader{
		core:            c,
		candidate:       c.newCandidate(loadingRole, loadLease),
		ownReservations: map[string]bool{},
		retryAfter:      map[string]time.Time{},
		reservedAt:      map[string]time.Time{},
		orderedAt:       map[string]time.Time{},
		reported:        map[string]map[string]uint64{},
	}
}

// pendingLoad is a replica and what it has to load.
type pendingLoad struct {
	replica config.Replica
	// order is the reservation, existing or to be written.
	order config.LoadOrder
	// published is the published version of the order's model; loaded is the version that the replica is known to have.
	published, loaded uint64
	// reserved is true if the reservation already exists.
	reserved bool
	// neverOrdered is true if the replica was never ordered to load, so that no earlier holder's orders need to be waited out.
	neverOrdered bool
	// maxReserved is how many replicas of the pool may be reserved at the same time.
	maxReserved int
}

// comparePendingLoads sorts reserved replicas first, so that all of them are counted before another one is reserved, and then by oldest
// loaded version, which may be used for the shortest time.
func comparePendingLoads(a, b pendingLoad) int {
	if a.reserved != b.reserved {
		if a.reserved {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.loaded, b.loaded)
}

// step reserves replicas, orders reserved replicas to load, and records which ones have loaded.
func (l *modelLoader) step(ctx context.Context) {
	l.candidate.Observe()
	pending, removed := l.pending()
	if len(pending) == 0 && len(removed) == 0 || l.core.membership().self == nil {
		return
	}
	fence, held := l.campaign(ctx)
	if !held {
		return
	}
	change := l.reserve(pending)
	for _, name := range removed {
		change[name] = nil
	}
	l.advanceAll(ctx, pending, fence, change)
	if now, held := l.candidate.Held(); len(change) == 0 || !held || now < fence {
		return // the lease was lost, for instance while suspended: another holder may have written reservations
	}
	change.Apply(config.Field(config.RoleHolderField, config.RoleHolder{Holder: l.candidate.Holder(), Lease: fence}))
	ctx, cancel := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer cancel()
	_, err := l.core.operations.loads.submit(ctx, change)
	l.core.logOutcome("load reservations", config.LoadsKey, l.core.acceptor.Revision(config.LoadsKey), err)
}

// campaign renews the lease. A core that does not hold it tries to acquire it if the lease's register is assigned to this core, or if
// the holder has released it: the holder may be the core that the register is assigned to, and be shutting down.
func (l *modelLoader) campaign(ctx context.Context) (fence uint64, held bool) {
	fence, held = l.candidate.Held()
	due := time.Since(l.lastCampaign) > loadLease/campaignsPerLease
	assigned := rendezvous.Pick(leasePrefix+loadingRole, l.core.able()) == l.core.host.Name
	if !due || !held && !assigned && !l.candidate.Released() {
		return fence, held
	}
	heldBefore := held
	l.lastCampaign = time.Now()
	l.candidate.Campaign(ctx)
	if fence, held = l.candidate.Held(); !heldBefore {
		clear(l.ownReservations) // another holder may have changed the reservations made under an earlier lease
	}
	return fence, held
}

// reserve returns the reservations to write for replicas that may be reserved now.
func (l *modelLoader) reserve(pending []pendingLoad) register.Fields {
	change, now, previousEnd := register.Fields{}, time.Now(), l.previousOrdersEnd()
	reserved := map[string]int{} // by pool
	for _, load := range pending {
		name, pool := load.replica.Name, load.replica.Pool
		switch {
		case load.reserved:
			reserved[pool]++
		case reserved[pool] < load.maxReserved && now.After(l.retryAfter[name]) && (load.neverOrdered || now.After(previousEnd)):
			reserved[pool]++
			change.Apply(config.Field(name, load.order))
			l.ownReservations[name] = true
		}
	}
	return change
}

// previousOrdersEnd returns the time from which this holder may order replicas that the previous holder may have ordered.
func (l *modelLoader) previousOrdersEnd() time.Time {
	return l.candidate.PreviousLeaseEnd().Add(l.core.options.Lease)
}

// advanceAll advances all reserved replicas concurrently, and adds the ends of their reservations to the change.
func (l *modelLoader) advanceAll(ctx context.Context, pending []pendingLoad, fence uint64, change register.Fields) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, load := range pending {
		if !load.reserved {
			continue
		}
		running.Go(func() {
			loaded, retryAfter := l.advance(ctx, load, fence)
			mu.Lock()
			defer mu.Unlock()
			if loaded > 0 {
				load.order.Version, load.order.Done = loaded, true
				change.Apply(config.Field(load.replica.Name, load.order))
			} else if retryAfter > 0 {
				change[load.replica.Name] = nil
				l.retryAfter[load.replica.Name] = time.Now().Add(retryAfter)
			}
		})
	}
	running.Wait()
}

// advance queries a reserved replica, and orders it to load once its reservation has existed for announceDelay. A nonzero loaded is the
// version that the replica has, once that is the reserved version or a later one: the replica then serves with it, even if a newer
// version was published in the meantime, and is reserved again in its turn. A nonzero retryAfter ends the reservation and is the
// backoff before the next one, for a replica that does not answer, or that the previous holder may have ordered but that shows no
// order.
func (l *modelLoader) advance(ctx context.Context, load pendingLoad, fence uint64) (loaded uint64, retryAfter time.Duration) {
	name := load.replica.Name
	ctx, cancel := context.WithTimeout(ctx, replicaclient.Timeout)
	defer cancel()
	reservedAt, orderedAt := l.orderTimes(name)
	if time.Since(reservedAt) < announceDelay || !orderedAt.IsZero() && time.Since(orderedAt) < orderReportDelay {
		return 0, 0 // proxies may not know of the reservation yet, or the reports may not show the order yet
	}
	models, busy, err := l.core.options.Backend.Versions(ctx, load.replica)
	if err != nil && time.Since(reservedAt) > reorderInterval {
		l.forget(name)
		return 0, unreachableBackoff
	}
	if err != nil || busy {
		return 0, 0
	}
	l.recordReport(name, models)
	if version := models[load.order.Model]; version >= load.order.Version {
		l.forget(name)
		return version, 0
	}
	if remaining := time.Until(l.previousOrdersEnd()); remaining > 0 && !l.ownReservations[name] {
		l.forget(name)
		return 0, remaining
	}
	if time.Since(orderedAt) >= reorderInterval {
		l.order(ctx, load, fence)
	}
	return 0, 0
}

// recordReport stores the versions that a replica reported.
func (l *modelLoader) recordReport(name string, models map[string]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported[name] = models
}

// withReports returns the replicas with the versions that they reported to this process where those are newer than the listed ones. The
// reports of replicas that are no longer listed are forgotten.
func (l *modelLoader) withReports(replicas map[string]config.Replica) map[string]config.Replica {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.reported, func(name string, _ map[string]uint64) bool {
		_, listed := replicas[name]
		return !listed
	})
	for name, models := range l.reported {
		replica := replicas[name]
		newest := maps.Clone(models)
		for model, version := range replica.Models {
			newest[model] = max(newest[model], version)
		}
		replica.Models = newest
		replicas[name] = replica
	}
	return replicas
}

// order orders a replica to load, if the lease is still held under this fencing token or a later one.
func (l *modelLoader) order(ctx context.Context, load pendingLoad, fence uint64) {
	now, held := l.candidate.Held()
	if !held || now < fence {
		return
	}
	order := Order{
		LoadOrder: config.LoadOrder{Model: load.order.Model, Version: load.published},
		Holder:    l.candidate.Holder(),
		Fence:     now,
	}
	err := l.core.options.Backend.Load(ctx, load.replica, order)
	l.mu.Lock()
	l.orderedAt[load.replica.Name] = time.Now()
	l.mu.Unlock()
	l.core.host.Log.Info().Str("replica", load.replica.Name).Str("model", order.Model).Uint64("version", order.Version).
		Uint64("fence", now).AnErr("failure", err).Msg("replica ordered to load")
}

// orderTimes returns when this holder first saw a replica's reservation, and when it last ordered the replica to load.
func (l *modelLoader) orderTimes(name string) (reservedAt, orderedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	reservedAt, known := l.reservedAt[name]
	if !known {
		reservedAt = time.Now()
		l.reservedAt[name] = reservedAt
	}
	return reservedAt, l.orderedAt[name]
}

func (l *modelLoader) forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reservedAt, name)
	delete(l.orderedAt, name)
}

// pending returns what is to be loaded, in an order that all holders agree on, and the reservations of replicas that no longer exist or
// are draining.
func (l *modelLoader) pending() (loads []pendingLoad, removed []string) {
	acceptor := l.core.acceptor
	plan, err := config.FromFields(withoutTexts(acceptor.Read(config.Key).Fields))
	models, modelsErr := config.Load[config.Model](acceptor.Read(config.ModelsKey).Fields)
	replicas, replicasErr := config.Load[config.Replica](acceptor.Read(config.ReplicasKey).Fields)
	orders, _, ordersErr := config.ParseLoads(acceptor.Read(config.LoadsKey).Fields)
	if err != nil || modelsErr != nil || replicasErr != nil || ordersErr != nil {
		return nil, nil // a register cannot be decoded: do nothing rather than guess
	}
	for name, order := range orders {
		if replica, ok := replicas[name]; !ok || replica.State == config.ReplicaDraining && !order.Done {
			removed = append(removed, name)
			delete(orders, name)
		}
	}
	replicas = l.withReports(replicas)
	poolSizes := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(replicas)) {
		replica := replicas[name]
		if replica.State == config.ReplicaDraining {
			continue
		}
		poolSizes[replica.Pool]++
		var last *config.LoadOrder
		if order, ok := orders[name]; ok {
			last = &order
		}
		if load, ok := nextLoad(replica, last, plan.Pools[replica.Pool].Models, models); ok {
			loads = append(loads, load)
		}
	}
	for i := range loads {
		size := poolSizes[loads[i].replica.Pool]
		loads[i].maxReserved = max(1, size/loadDivisor) + 2*size/loadDivisor/reserveAheadDivisor
	}
	slices.SortStableFunc(loads, comparePendingLoads)
	return loads, removed
}

// nextLoad returns what a replica has to load next: what it is reserved for, else the first of its pool's models whose published
// version it is not known to have. last is its last order, nil if there was none.
func nextLoad(replica config.Replica, last *config.LoadOrder, poolModels []string, models map[string]config.Model) (pendingLoad, bool) {
	if last != nil && !last.Done {
		published := max(last.Version, models[last.Model].Version)
		return pendingLoad{replica: replica, order: *last, published: published, reserved: true}, true
	}
	for _, model := range poolModels {
		published, loaded := models[model].Version, max(1, replica.Models[model])
		if last != nil && last.Model == model {
			loaded = max(loaded, last.Version)
		}
		if loaded < published {
			order := config.LoadOrder{Model: model, Version: published}
			return pendingLoad{replica: replica, order: order, published: published, loaded: loaded, neverOrdered: last == nil}, true
		}
	}
	return pendingLoad{}, false
}

// applyLoads writes the loader's reservations. It rejects changes from former holders, including those that arrive after a later holder
// has written. A change without a holder comes from an earlier build and is accepted.
func (c *Core) applyLoads(ctx context.Context, change register.Fields) (Accepted, error) {
	writer, err := config.ParseRoleHolder(change)
	if err != nil {
		return Accepted{}, err
	}
	revision, err := c.owner.Change(ctx, config.LoadsKey, func(current register.Fields, _ uint64) (register.Fields, error) {
		holder, err := config.ParseRoleHolder(current)
		if err == nil && change[config.RoleHolderField] != nil {
			err = holder.Check(writer)
		}
		if err != nil {
			return nil, err
		}
		return change, nil
	})
	return Accepted{Version: revision.Version}, err
}
