package controlplane

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/daemon"
	"asterridge/lease"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/replicaclient"
	"asterridge/router"
)

// Backend is how the control plane speaks with a platform that lists the replicas, and with replicas that take orders (§6.2).
type Backend interface {
	// List gives all replicas there are.
	List(ctx context.Context) ([]config.Replica, error)
	// Versions asks a replica which versions of its models it has, and whether it is carrying out an order.
	Versions(ctx context.Context, r config.Replica) (models map[string]uint64, isBusy bool, err error)
	// Load orders a replica to take a version when what runs on it has ended.
	Load(ctx context.Context, r config.Replica, o Order) error
	// Occupancy asks a replica for its load.
	Occupancy(ctx context.Context, r config.Replica) (router.Occupancy, error)
	// CachedBlocks gives what a replica or store has got or lost of prompts since a place in its news, waiting for some; the zero place: all there is.
	CachedBlocks(ctx context.Context, address string, from CacheOffset, wait time.Duration) (CacheUpdate, error)
}

// CacheOffset is a place in the news of one life of a replica or store.
type CacheOffset struct{ Epoch, Next uint64 }

// CacheUpdate is what was got or lost: by key, how much is kept now. IsImage: there is nothing else.
type CacheUpdate struct {
	Offset   CacheOffset
	Snapshot bool
	Blocks   map[string]int
}

// Order is an order to a replica. Of two orders under different fences the one with the lower fence is void.
type Order struct {
	config.LoadOrder
	Holder string
	Fence  uint64
}

const (
	occupancyInterval  = time.Second
	loadInterval       = 200 * time.Millisecond
	loadLease          = 2 * time.Second
	announceDelay      = 250 * time.Millisecond // between the word that a replica will load and the order: the proxies let it run dry
	poolShare          = 5                      // so much of a pool loads at a time: a fifth
	reserveAhead       = 3                      // beyond that, a third as many run dry or are being looked after
	reorderInterval    = 2 * time.Second
	unreachableBackoff = 5 * time.Second // a replica that does not answer is left for later
)

// runBackend has this core look after the list of replicas and their models, as far as it is chosen for that.
func (c *Core) runBackend(ctx context.Context) {
	l := &modelLoader{core: c, reservedSince: map[string]time.Time{}, orderedAt: map[string]time.Time{}, retryAfter: map[string]time.Time{}, ownReservations: map[string]bool{},
		candidate: c.newCandidate("loading", loadLease)}
	list := &replicaLister{core: c}
	go daemon.Every(ctx, listInterval, func() { list.step(ctx) })
	go c.runCacheReaders(ctx)
	go daemon.Every(ctx, occupancyInterval, func() { c.publishOccupancy(ctx) })
	go daemon.Every(ctx, loadInterval, func() { l.step(ctx) })
}

// applyLoads writes reservations of the loader.
func (c *Core) applyLoads(ctx context.Context, change register.Fields) (Accepted, error) {
	revision, err := c.owner.Change(ctx, config.LoadsKey, func(register.Fields, uint64) (register.Fields, error) { return change, nil })
	return Accepted{revision.Version}, err
}

// publishOccupancy asks replicas for their load, and tells all agents, where their slots are too few for each proxy to have one to itself:
// what a proxy sees by itself is then not enough to go by (§5.3). Each replica is asked by the core that would own its news.
func (c *Core) publishOccupancy(ctx context.Context) {
	if !c.hasQuorum() {
		return
	}
	c.mu.Lock()
	proxies := len(c.proxies)
	c.mu.Unlock()
	replicas, err := config.Load[config.Replica](c.acceptor.Read(config.ReplicasKey).Fields)
	if err != nil {
		return
	}
	var mu sync.Mutex
	var asked sync.WaitGroup
	fields, live := register.Fields{}, c.live()
	for name, r := range replicas {
		if r.Limit >= proxies || r.State == "leaving" || register.Pick(router.KeptPrefix+name, live) != c.host.Name {
			continue
		}
		asked.Go(func() {
			short, stop := context.WithTimeout(ctx, occupancyInterval)
			defer stop()
			if o, err := c.options.Backend.Occupancy(short, r); err == nil {
				mu.Lock()
				defer mu.Unlock()
				fields[name] = o.Taken()
			}
		})
	}
	asked.Wait()
	if len(fields) > 0 {
		c.agentUpdates.PublishDeferred(router.OccupancyKey, fields, false)
	}
}

// modelLoader is the duty of having replicas load the versions that operators have named. What it does stands in the register of loads before it
// is done: proxies keep away from a replica that will load, and the next holder goes on from there.
type modelLoader struct {
	core            *Core
	candidate       *lease.Candidate
	reservedSince   map[string]time.Time // since when a reservation of ours stands
	orderedAt       map[string]time.Time // when a replica was last told
	retryAfter      map[string]time.Time // until when a replica is left alone
	ownReservations map[string]bool      // reservations of this process
	lastCampaign    time.Time
}

// pendingLoad is a replica with what it has to load.
type pendingLoad struct {
	replica     config.Replica
	order       config.LoadOrder // as it is reserved, or will be
	newest      uint64           // version named of the order's model
	has         uint64           // version that the replica is known to have
	open        bool             // its reservation stands already
	fresh       bool             // nobody has ever told it to load: no lease is kept for it
	maxReserved int              // that may be reserved in its pool
}

// compareLoading puts open reservations first, so that all are counted before another is made, and then the oldest versions, which may be used for
// the shortest time.
func compareLoading(a, b pendingLoad) int {
	if a.open != b.open {
		if a.open {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.has, b.has)
}

func (l *modelLoader) step(ctx context.Context) {
	c := l.core
	l.candidate.Observe()
	due, removed := l.pending()
	fence, own := l.candidate.Held()
	if len(due) == 0 && len(removed) == 0 || c.membership().self == nil {
		return
	}
	if time.Since(l.lastCampaign) > loadLease/5 && (own || register.Pick(leasePrefix+"loading", c.live()) == c.host.Name) {
		wasOurs := own
		l.lastCampaign = time.Now()
		l.candidate.Campaign(ctx)
		if fence, own = l.candidate.Held(); !wasOurs {
			clear(l.ownReservations) // reservations of an earlier lease of ours may have been another holder's since
		}
	}
	if !own {
		return
	}
	change, now, free := register.Fields{}, time.Now(), l.candidate.PreviousLeaseEnd().Add(c.options.Lease)
	for _, name := range removed {
		change[name] = nil
	}
	open := map[string]int{} // by pool
	for _, d := range due {
		name, pool := d.replica.Name, d.replica.Pool
		switch {
		case d.open:
			open[pool]++
		case open[pool] < d.maxReserved && now.After(l.retryAfter[name]) && (d.fresh || now.After(free)):
			open[pool]++
			change.Apply(config.Field(name, d.order))
			l.ownReservations[name] = true
		}
	}
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, d := range due {
		if !d.open {
			continue
		}
		asked.Go(func() {
			loaded, retryAfter := l.advance(ctx, d, fence)
			mu.Lock()
			defer mu.Unlock()
			if loaded > 0 {
				d.order.Version, d.order.Done = loaded, true
				change.Apply(config.Field(d.replica.Name, d.order))
			} else if retryAfter > 0 {
				change[d.replica.Name] = nil
				l.retryAfter[d.replica.Name] = time.Now().Add(retryAfter)
			}
		})
	}
	asked.Wait()
	if now, owned := l.candidate.Held(); len(change) == 0 || !owned || now < fence {
		return // another holder may have written marks since the survey: frozen meanwhile, this one writes nothing
	}
	short, stop := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer stop()
	_, err := c.submitLoads(short, change)
	c.logOutcome("loads", config.LoadsKey, c.acceptor.Revision(config.LoadsKey), err)
}

// pending gives what is to be loaded, in an order that all holders agree on, and the reservations of replicas that are gone.
func (l *modelLoader) pending() (due []pendingLoad, removed []string) {
	c := l.core
	plan, err := config.FromFields(withoutTexts(c.acceptor.Read(config.Key).Fields))
	models, failed := config.Load[config.Model](c.acceptor.Read(config.ModelsKey).Fields)
	replicas, broken := config.Load[config.Replica](c.acceptor.Read(config.ReplicasKey).Fields)
	loads, torn := config.Load[config.LoadOrder](c.acceptor.Read(config.LoadsKey).Fields)
	if err != nil || failed != nil || broken != nil || torn != nil {
		return nil, nil
	}
	for name := range loads {
		if r, ok := replicas[name]; !ok || r.State == "leaving" && !loads[name].Done {
			removed = append(removed, name)
			delete(loads, name)
		}
	}
	sizes := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(replicas)) {
		r := replicas[name]
		if r.State == "leaving" {
			continue
		}
		sizes[r.Pool]++
		load, reserved := loads[name]
		open := reserved && !load.Done
		if open {
			due = append(due, pendingLoad{replica: r, order: load, newest: max(load.Version, models[load.Model].Version), open: true})
			continue // its other models in turn
		}
		for _, model := range plan.Pools[r.Pool].Models {
			wanted, has := models[model].Version, max(1, r.Models[model])
			if reserved && load.Model == model {
				has = max(has, load.Version)
			}
			if has < wanted {
				due = append(due, pendingLoad{replica: r, order: config.LoadOrder{Model: model, Version: wanted}, newest: wanted, has: has, fresh: !reserved})
				break
			}
		}
	}
	for i := range due {
		size := sizes[due[i].replica.Pool]
		due[i].maxReserved = max(1, size/poolShare) + 2*size/poolShare/reserveAhead
	}
	slices.SortStableFunc(due, compareLoading)
	return due, removed
}

// advance asks a replica how far it is, and orders it to load once its reservation has stood long enough for the proxies to know it. It gives the
// version that the replica has once that is the reserved one or a later one; it serves with it then, also where a newer one was named meanwhile,
// and is told again in its turn. attend also says for how long the replica is better left alone: one that is silent, or one that the holder
// before us may have told but that shows no order, which may be told by another holder only a lease later; until then it serves as before.
func (l *modelLoader) advance(ctx context.Context, d pendingLoad, fence uint64) (loaded uint64, retryAfter time.Duration) {
	c, name := l.core, d.replica.Name
	short, stop := context.WithTimeout(ctx, replicaclient.ReportTimeout)
	defer stop()
	c.mu.Lock()
	reservedAt, reserved := l.reservedSince[name]
	if !reserved {
		reservedAt = time.Now()
		l.reservedSince[name] = reservedAt
	}
	orderedAt := l.orderedAt[name]
	c.mu.Unlock()
	forget := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(l.reservedSince, name)
		delete(l.orderedAt, name)
	}
	if time.Since(reservedAt) < announceDelay || !orderedAt.IsZero() && time.Since(orderedAt) < reorderInterval/4 {
		return 0, 0 // the proxies may not know of it yet, or its reports would not show the order
	}
	models, busy, err := c.options.Backend.Versions(short, d.replica)
	if err != nil && time.Since(reservedAt) > reorderInterval {
		forget()
		return 0, unreachableBackoff
	}
	if err != nil || busy {
		return 0, 0
	}
	if has := models[d.order.Model]; has >= d.order.Version {
		forget()
		return has, 0
	}
	if left := time.Until(l.candidate.PreviousLeaseEnd().Add(c.options.Lease)); left > 0 && !l.ownReservations[name] {
		forget()
		return 0, left
	}
	if time.Since(orderedAt) < reorderInterval {
		return 0, 0
	}
	now, own := l.candidate.Held()
	if !own || now < fence {
		return 0, 0
	}
	order := Order{config.LoadOrder{Model: d.order.Model, Version: d.newest}, l.candidate.Holder(), now}
	err = c.options.Backend.Load(short, d.replica, order)
	c.mu.Lock()
	l.orderedAt[name] = time.Now()
	c.mu.Unlock()
	c.host.Log.Info().Str("event", "load").Str("replica", name).Str("model", order.Model).Uint64("version", order.Version).
		Uint64("fence", now).AnErr("failure", err).Msg("")
	return 0, 0
}
