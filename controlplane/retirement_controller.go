package controlplane

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/lease"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/replicaclient"
	"asterridge/router"
	"asterridge/rpc"
)

const (
	retirementInterval = 400 * time.Millisecond
	// adapterLoadShare is the part of a pool that loads at the same time: a third. As many drop a base at the same time.
	adapterLoadShare = 3
	// drainTime is T + U + W + A: a route that was switched so long ago leads no request to the old base any more (docs/design.md §3.2).
	drainTime = protocol.FreshLimit + protocol.UndecidedLimit + router.SendTime
)

// retirementController is the singleton role that has replicas load bases and adapters, and carries retirements through. It is a
// reconciliation loop: each step works from what the registers desire and the replicas report, never from what an earlier step did
// (docs/design.md §6.6).
type retirementController struct {
	core      *Core
	candidate *lease.Candidate
	// minVersion is the register's version that this holder has written: a state that lacks it is not acted upon.
	minVersion uint64
	// loggedWait is what holds up a retirement, as the log has it.
	loggedWait string
	// committedSince is when the register's present version was first seen here committed.
	committedSince map[uint64]time.Time
}

// runRetirements campaigns for the role where adapters are configured, and performs it while it is held, until the context ends.
func (c *Core) runRetirements(ctx context.Context) {
	r := &retirementController{core: c, candidate: c.newCandidate(retirementRole, roleLease), committedSince: map[uint64]time.Time{}}
	go r.runCampaigns(ctx)
	rpc.Every(ctx, retirementInterval, func() {
		if _, held := r.candidate.Held(); held {
			r.step(ctx)
		}
	})
}

// runCampaigns keeps the candidate going while the configuration has adapters: a fleet without any has no such lease.
func (r *retirementController) runCampaigns(ctx context.Context) {
	var seen register.Revision
	hasAdapters := false
	rpc.Every(ctx, roleLease/campaignsPerLease, func() {
		acceptor := r.core.acceptor
		if revision := acceptor.Revision(config.Key); revision != seen {
			plan, err := config.FromFields(acceptor.Read(config.Key).Fields)
			seen, hasAdapters = revision, err == nil && len(plan.Adapters) > 0
		}
		if hasAdapters && r.core.membership().self != nil {
			r.candidate.Campaign(ctx)
		}
	})
}

// step gives replicas the orders that they need, and moves one retirement on.
func (r *retirementController) step(ctx context.Context) {
	state := r.core.collectAdapterState(ctx)
	if state == nil || state.version < r.minVersion {
		return
	}
	r.load(ctx, state)
	for _, old := range slices.Sorted(maps.Keys(state.retirements)) {
		retirement := state.retirements[old]
		if !retirement.IsRunning() {
			continue
		}
		if state.holder.Holder != r.candidate.Holder() {
			r.write(ctx, state, RetirementStep{}) // from here on the holder before us writes nothing
			return
		}
		if r.advance(ctx, state, retirement) {
			return // the next step looks at what stands then
		}
	}
}

// advance has bases dropped and takes the next step of a retirement, if there is one.
func (r *retirementController) advance(ctx context.Context, state *adapterState, retirement config.Retirement) (changed bool) {
	drained := r.isDrained(state.version)
	switch retirement.Phase {
	case config.Dropping:
		r.drop(ctx, state, retirement.Old)
	case config.Undoing:
		if drained && !state.isNeeded(retirement.New) {
			r.drop(ctx, state, retirement.New)
		}
	}
	next, changed, waitsFor := state.nextStep(retirement, drained, r.core.wallClock())
	if changed {
		r.write(ctx, state, RetirementStep{Old: retirement.Old, Next: next})
		return true
	}
	if waitsFor != r.loggedWait {
		r.loggedWait = waitsFor
		r.core.host.Log.Info().Str("old", retirement.Old).Str("waits_for", waitsFor).Msg("retirement waits")
	}
	return false
}

// isDrained reports whether the present version has been committed for so long that no proxy acts on an older one.
func (r *retirementController) isDrained(version uint64) bool {
	since, known := r.committedSince[version]
	if !known {
		since = time.Now()
		r.committedSince = map[uint64]time.Time{version: since}
	}
	return time.Since(since) > drainTime
}

// write writes a step, under our lease and upon the version that it was worked out from.
func (r *retirementController) write(ctx context.Context, state *adapterState, step RetirementStep) {
	number, held := r.candidate.Held()
	if !held {
		return
	}
	step.ExpectedVersion, step.Holder = state.version, config.RoleHolder{Holder: r.candidate.Holder(), Lease: number}
	accepted, err := rpc.Call[Accepted](ctx, r.core.rpc, r.core.host.Address, "/op/advance", step)
	if err == nil {
		r.minVersion = accepted.Version
	}
	entry := r.core.host.Log.Info().Str("old", step.Old).Uint64("version", accepted.Version).Uint64("lease", number).AnErr("failure", err)
	if step.Next != nil {
		entry = entry.Str("phase", string(step.Next.Phase)).Interface("moves", step.Next.Moves)
	}
	entry.Msg("retirement moved on")
}

// load gives each replica its next order; at most a third of a pool loads at a time.
func (r *retirementController) load(ctx context.Context, state *adapterState) {
	var orders sync.WaitGroup
	for _, names := range state.pools {
		slots := max(1, len(names)/adapterLoadShare)
		for _, name := range names {
			if isLoading(state.reports[name]) {
				slots--
			}
		}
		for _, name := range names {
			order, _ := state.nextOrder(name)
			switch order.Do {
			case "":
				continue
			case router.LoadBase, router.LoadAdapter:
				if slots--; slots < 0 {
					continue
				}
			}
			orders.Go(func() { r.order(ctx, state.replicas[name], order) })
		}
	}
	orders.Wait()
}

// drop has replicas drop a base; one on which work runs refuses, and is asked again.
func (r *retirementController) drop(ctx context.Context, state *adapterState, base string) {
	var orders sync.WaitGroup
	for pool := range state.pools {
		for _, name := range state.droppable(pool, base) {
			order := router.AdapterOrder{Placement: config.Placement{Base: base}, Do: router.DropBase}
			orders.Go(func() { r.order(ctx, state.replicas[name], order) })
		}
	}
	orders.Wait()
}

// order sends an order under our lease, if it is still held.
func (r *retirementController) order(ctx context.Context, replica config.Replica, order router.AdapterOrder) {
	number, held := r.candidate.Held()
	if !held {
		return
	}
	order.Lease = number
	err := replicaclient.PostOrder(ctx, r.core.replicaClient, replica.Address+router.AdapterPath, order)
	r.core.host.Log.Info().Str("replica", replica.Name).Str("action", order.Do).Str("base", order.Base).Str("adapter", order.Adapter).
		Str("build", order.Build).Uint64("lease", number).AnErr("failure", err).Msg("replica told to change adapters")
}
