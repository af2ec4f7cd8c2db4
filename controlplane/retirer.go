package controlplane

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/daemon"
	"asterridge/lease"
	"asterridge/register"
	"asterridge/replicaclient"
	"asterridge/router"
	"asterridge/rpc"
)

// retirementController is the duty of having replicas load bases and adapters, and of carrying retirements through (§6.6).
type retirementController struct {
	core       *Core
	candidate  *lease.Candidate
	minVersion uint64               // the register's version as this holder has written it: less is not acted upon
	loggedWait string               // of what holds up a retirement: logged once
	since      map[uint64]time.Time // when a version that awaits the currency's end was first seen here settled
}

func (c *Core) runRetirements(ctx context.Context) {
	r := &retirementController{core: c, candidate: c.newCandidate("retirement", rolloutLease), since: map[uint64]time.Time{}}
	var seen register.Revision
	hasAdapters := false
	go daemon.Every(ctx, rolloutLease/5, func() {
		if revision := c.acceptor.Revision(config.Key); revision != seen {
			plan, err := config.FromFields(c.acceptor.Read(config.Key).Fields)
			seen, hasAdapters = revision, err == nil && len(plan.Adapters) > 0
		}
		if hasAdapters && c.membership().self != nil { // a fleet without adapters has no such lease
			r.candidate.Campaign(ctx)
		}
	})
	daemon.Every(ctx, retirementInterval, func() {
		if _, own := r.candidate.Held(); own {
			r.step(ctx)
		}
	})
}

// step gives replicas the orders that they need, and moves each retirement on by one.
func (r *retirementController) step(ctx context.Context) {
	s := r.core.collectAdapterState(ctx)
	if s == nil || s.version < r.minVersion {
		return
	}
	r.load(ctx, s)
	for _, old := range slices.Sorted(maps.Keys(s.retirements)) {
		t := s.retirements[old]
		if !t.IsRunning() {
			continue
		}
		if s.holder.Holder != r.candidate.Holder() {
			r.advance(ctx, s, RetirementStep{}) // from here on the holder before us writes nothing
			return
		}
		isClear := r.isDrained(s.version)
		switch t.Phase {
		case config.Dropping:
			r.drop(ctx, s, t.Old)
		case config.Undoing:
			if isClear && !s.isNeeded(t.New) {
				r.drop(ctx, s, t.New)
			}
		}
		if next, changed, waits := s.nextStep(t, isClear, r.core.wall()); changed {
			r.advance(ctx, s, RetirementStep{Old: old, To: next})
			return // the next step looks at what stands then
		} else if waits != r.loggedWait {
			r.loggedWait = waits
			r.core.host.Log.Info().Str("event", "retirement_waits").Str("old", old).Str("waits_for", waits).Msg("")
		}
	}
}

// isDrained says whether the present version has stood for so long, settled, that no proxy acts on an older one.
func (r *retirementController) isDrained(version uint64) bool {
	since, ok := r.since[version]
	if !ok {
		since = time.Now()
		r.since = map[uint64]time.Time{version: since}
	}
	return time.Since(since) > drainTime
}

// advance writes a step, under our lease and upon the version that it was worked out from.
func (r *retirementController) advance(ctx context.Context, s *adapterState, o RetirementStep) {
	number, own := r.candidate.Held()
	if !own {
		return
	}
	o.ExpectedVersion, o.Holder = s.version, config.Duty{Holder: r.candidate.Holder(), Lease: number}
	a, err := rpc.Call[Accepted](ctx, r.core.rpc, r.core.host.Address, "/op/advance", o)
	if err == nil {
		r.minVersion = a.Version
	}
	made := r.core.host.Log.Info().Str("event", "retirement").Str("old", o.Old).Uint64("version", a.Version).Uint64("lease", number).AnErr("failure", err)
	if o.To != nil {
		made = made.Str("phase", string(o.To.Phase)).Interface("moves", o.To.Moves)
	}
	made.Msg("")
}

// load gives each replica its next order; at most a third of a pool loads at a time.
func (r *retirementController) load(ctx context.Context, s *adapterState) {
	var orders sync.WaitGroup
	for _, names := range s.pools {
		room := max(1, len(names)/3)
		for _, name := range names {
			if isLoading(s.reports[name]) {
				room--
			}
		}
		for _, name := range names {
			order, _ := s.nextOrder(name)
			switch order.Do {
			case "":
				continue
			case router.LoadBase, router.LoadAdapter:
				if room--; room < 0 {
					continue
				}
			}
			orders.Go(func() { r.order(ctx, s.replicas[name], order) })
		}
	}
	orders.Wait()
}

// drop has replicas drop a base; one on which work runs refuses, and is asked again.
func (r *retirementController) drop(ctx context.Context, s *adapterState, base string) {
	var orders sync.WaitGroup
	for pool := range s.pools {
		for _, name := range s.droppable(pool, base) {
			order := router.AdapterOrder{Placement: config.Placement{Base: base}, Do: router.DropBase}
			orders.Go(func() { r.order(ctx, s.replicas[name], order) })
		}
	}
	orders.Wait()
}

// order sends an order under our lease, if it is still ours.
func (r *retirementController) order(ctx context.Context, replica config.Replica, o router.AdapterOrder) {
	number, own := r.candidate.Held()
	if !own {
		return
	}
	o.Lease = number
	err := replicaclient.PostOrder(ctx, r.core.replicaClient, replica.Address+router.AdapterPath, o)
	r.core.host.Log.Info().Str("event", "adapter_order").Str("replica", replica.Name).Str("do", o.Do).Str("base", o.Base).Str("adapter", o.Adapter).
		Str("build", o.Build).Uint64("lease", number).AnErr("failure", err).Msg("")
}
