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
	// loadLease is the length of a lease of the loading role.
	loadLease = 2 * time.Second
	// announceDelay is the time between a reservation and the order to load: the proxies learn of it, and the replica runs dry.
	announceDelay = 250 * time.Millisecond
	// loadShare is the part of a pool that loads at a time: a fifth.
	loadShare = 5
	// reserveAhead: two thirds as many replicas again are reserved, since a reserved replica first runs dry and its report lags.
	reserveAhead = 3
	// reorderInterval is how long a replica that was ordered to load and does not show it is left before it is ordered again.
	reorderInterval = 2 * time.Second
	// orderReportDelay is how long a replica's reports may not show an order yet.
	orderReportDelay = reorderInterval / 4
	// unreachableBackoff is how long a replica that does not answer is left alone.
	unreachableBackoff = 5 * time.Second
)

// modelLoader is the singleton role that has replicas load the published versions of their models (docs/design.md §6.5). What it does stands
// in the register of loads before it is done: proxies keep away from a replica that is reserved, and the next holder goes on from there.
type modelLoader struct {
	core      *Core
	candidate *lease.Candidate
	// lastCampaign is when the lease was last asked for.
	lastCampaign time.Time
	// ownReservations are the replicas that this process has reserved under its present lease.
	ownReservations map[string]bool
	// retryAfter is until when a replica is left alone.
	retryAfter map[string]time.Time

	mu sync.Mutex // guards what follows
	// reservedAt is when a reservation was first seen by this holder, orderedAt when the replica was last ordered to load.
	reservedAt map[string]time.Time
	orderedAt  map[string]time.Time
}

func newModelLoader(c *Core) *modelLoader {
	return &modelLoader{
		core:            c,
		candidate:       c.newCandidate(loadingRole, loadLease),
		ownReservations: map[string]bool{},
		retryAfter:      map[string]time.Time{},
		reservedAt:      map[string]time.Time{},
		orderedAt:       map[string]time.Time{},
	}
}

// pendingLoad is a replica with what it has to load.
type pendingLoad struct {
	replica config.Replica
	// order is as it is reserved, or will be.
	order config.LoadOrder
	// newest is the published version of the order's model, has the version that the replica is known to have.
	newest, has uint64
	// reserved: the reservation stands already.
	reserved bool
	// first: nobody has ever ordered the replica to load, so that no lease need be waited out for it.
	first bool
	// maxReserved is how many replicas of its pool may be reserved at a time.
	maxReserved int
}

// comparePendingLoads puts reserved replicas first, so that all are counted before another one is reserved, and then the oldest versions,
// which may be used for the shortest time.
func comparePendingLoads(a, b pendingLoad) int {
	if a.reserved != b.reserved {
		if a.reserved {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.has, b.has)
}

// step reserves replicas, orders reserved ones to load, and writes down which have loaded.
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
		return // another holder may have written reservations meanwhile: frozen since, this one writes nothing
	}
	change.Apply(config.Field(config.RoleHolderField, config.RoleHolder{Holder: l.candidate.Holder(), Lease: fence}))
	ctx, cancel := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer cancel()
	_, err := l.core.operations.loads.submit(ctx, change)
	l.core.logOutcome("load reservations", config.LoadsKey, l.core.acceptor.Revision(config.LoadsKey), err)
}

// campaign renews the lease, or asks for it if the register of leases is assigned to this core, or if its holder has released it: it may be the
// one that the register is assigned to, and about to end.
func (l *modelLoader) campaign(ctx context.Context) (fence uint64, held bool) {
	fence, held = l.candidate.Held()
	due := time.Since(l.lastCampaign) > loadLease/campaignsPerLease
	assigned := rendezvous.Pick(leasePrefix+loadingRole, l.core.live()) == l.core.host.Name
	if !due || !held && !assigned && !l.candidate.Released() {
		return fence, held
	}
	before := held
	l.lastCampaign = time.Now()
	l.candidate.Campaign(ctx)
	if fence, held = l.candidate.Held(); !before {
		clear(l.ownReservations) // those of an earlier lease of ours may have been another holder's since
	}
	return fence, held
}

// reserve gives the reservations to write for replicas that may be reserved now.
func (l *modelLoader) reserve(pending []pendingLoad) register.Fields {
	change, now, leaseFree := register.Fields{}, time.Now(), l.previousOrdersEnd()
	reserved := map[string]int{} // by pool
	for _, load := range pending {
		name, pool := load.replica.Name, load.replica.Pool
		switch {
		case load.reserved:
			reserved[pool]++
		case reserved[pool] < load.maxReserved && now.After(l.retryAfter[name]) && (load.first || now.After(leaseFree)):
			reserved[pool]++
			change.Apply(config.Field(name, load.order))
			l.ownReservations[name] = true
		}
	}
	return change
}

// previousOrdersEnd is from when on a replica that the holder before us may have ordered may be ordered by us.
func (l *modelLoader) previousOrdersEnd() time.Time {
	return l.candidate.PreviousLeaseEnd().Add(l.core.options.Lease)
}

// advanceAll looks after all reserved replicas at once, and adds to the change what ends a reservation.
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

// advance asks a reserved replica how far it is, and orders it to load once its reservation has stood for announceDelay. loaded is the
// version that the replica has once that is the reserved one or a later one, else zero. It serves with it then, also if a newer version was
// published meanwhile, and is reserved again in its turn. retryAfter, if not zero, ends the reservation and says for how long the replica is
// better left alone: one that does not answer, or one that the holder before us may have ordered but that shows no order.
func (l *modelLoader) advance(ctx context.Context, load pendingLoad, fence uint64) (loaded uint64, retryAfter time.Duration) {
	name := load.replica.Name
	ctx, cancel := context.WithTimeout(ctx, replicaclient.Timeout)
	defer cancel()
	reservedAt, orderedAt := l.times(name)
	if time.Since(reservedAt) < announceDelay || !orderedAt.IsZero() && time.Since(orderedAt) < orderReportDelay {
		return 0, 0 // proxies may not know of the reservation yet, or the replica's reports would not show the order
	}
	models, busy, err := l.core.options.Backend.Versions(ctx, load.replica)
	if err != nil && time.Since(reservedAt) > reorderInterval {
		l.forget(name)
		return 0, unreachableBackoff
	}
	if err != nil || busy {
		return 0, 0
	}
	if has := models[load.order.Model]; has >= load.order.Version {
		l.forget(name)
		return has, 0
	}
	if left := time.Until(l.previousOrdersEnd()); left > 0 && !l.ownReservations[name] {
		l.forget(name)
		return 0, left
	}
	if time.Since(orderedAt) >= reorderInterval {
		l.order(ctx, load, fence)
	}
	return 0, 0
}

// order orders a replica to load, if the lease is still held under this fencing token or a later one.
func (l *modelLoader) order(ctx context.Context, load pendingLoad, fence uint64) {
	now, held := l.candidate.Held()
	if !held || now < fence {
		return
	}
	order := Order{
		LoadOrder: config.LoadOrder{Model: load.order.Model, Version: load.newest},
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

// times gives when this holder first saw a replica's reservation, and when it last ordered the replica to load.
func (l *modelLoader) times(name string) (reservedAt, orderedAt time.Time) {
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

// pending gives what is to be loaded, in an order that all holders agree on, and the reservations of replicas that are no more or draining.
func (l *modelLoader) pending() (loads []pendingLoad, removed []string) {
	acceptor := l.core.acceptor
	plan, err := config.FromFields(withoutTexts(acceptor.Read(config.Key).Fields))
	models, modelsErr := config.Load[config.Model](acceptor.Read(config.ModelsKey).Fields)
	replicas, replicasErr := config.Load[config.Replica](acceptor.Read(config.ReplicasKey).Fields)
	orders, _, ordersErr := config.ParseLoads(acceptor.Read(config.LoadsKey).Fields)
	if err != nil || modelsErr != nil || replicasErr != nil || ordersErr != nil {
		return nil, nil // a register that cannot be read: nothing is done on a guess
	}
	for name, order := range orders {
		if replica, ok := replicas[name]; !ok || replica.State == config.ReplicaDraining && !order.Done {
			removed = append(removed, name)
			delete(orders, name)
		}
	}
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
		loads[i].maxReserved = max(1, size/loadShare) + 2*size/loadShare/reserveAhead
	}
	slices.SortStableFunc(loads, comparePendingLoads)
	return loads, removed
}

// nextLoad gives what a replica has to load next: what it is reserved for, else the first of its pool's models whose published version it
// is not known to have. last is its last order, nil if it never had one.
func nextLoad(replica config.Replica, last *config.LoadOrder, poolModels []string, models map[string]config.Model) (pendingLoad, bool) {
	if last != nil && !last.Done {
		newest := max(last.Version, models[last.Model].Version)
		return pendingLoad{replica: replica, order: *last, newest: newest, reserved: true}, true
	}
	for _, model := range poolModels {
		published, has := models[model].Version, max(1, replica.Models[model])
		if last != nil && last.Model == model {
			has = max(has, last.Version)
		}
		if has < published {
			order := config.LoadOrder{Model: model, Version: published}
			return pendingLoad{replica: replica, order: order, newest: published, has: has, first: last == nil}, true
		}
	}
	return pendingLoad{}, false
}

// applyLoads writes the loader's reservations. What a former holder sent, and what arrives after a later one has written, is rejected. A
// change without a holder is from an earlier build.
func (c *Core) applyLoads(ctx context.Context, change register.Fields) (Accepted, error) {
	writer, err := config.ParseRoleHolder(change)
	if err != nil {
		return Accepted{}, err
	}
	revision, err := c.owner.Change(ctx, config.LoadsKey, func(present register.Fields, _ uint64) (register.Fields, error) {
		holder, err := config.ParseRoleHolder(present)
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
