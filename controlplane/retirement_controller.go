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
	// adapterLoadDivisor limits how many replicas of a pool load at the same time: a third. It also limits how many drop a base at the
	// same time.
	adapterLoadDivisor = 3
	// drainTime is T + U + W + A: once a route was switched that long ago, no request can follow it to the old base any more
	// (docs/design.md §3.2).
	drainTime = protocol.FreshLimit + protocol.UndecidedLimit + router.SendTime
)

// retirementController is the singleton role that has replicas load bases and adapters, and carries out retirements. It is a
// reconciliation loop: each step compares the desired state in the registers with what the replicas report, and never relies on the
// result of an earlier step (docs/design.md §6.6).
type retirementController struct {
	core      *Core
	candidate *lease.Candidate
	// minVersion is the register version last written by this holder: an older state is not acted on.
	minVersion uint64
	// loggedBlocker is the blocker of a retirement that was last logged.
	loggedBlocker string
	// committedSince is when this core first saw the current version of the register committed.
	committedSince map[uint64]time.Time
}

// runRetirements campaigns for the role if adapters are configured, and performs it while holding it, until the context ends.
func (c *Core) runRetirements(ctx context.Context) {
	r := &retirementController{core: c, candidate: c.newCandidate(retirementRole, roleLease), committedSince: map[uint64]time.Time{}}
	go r.runCampaigns(ctx)
	rpc.Every(ctx, retirementInterval, func() {
		if _, held := r.candidate.Held(); held {
			r.step(ctx)
		}
	})
}

// runCampaigns campaigns while the configuration has adapters: a fleet without adapters has no such lease.
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

// step sends replicas the orders that they need, and advances one retirement.
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
			r.write(ctx, state, RetirementStep{}) // once this is written, the previous holder's writes are rejected
			return
		}
		if r.advance(ctx, state, retirement) {
			return // the next step starts from the new state
		}
	}
}

// advance orders bases to be dropped, and takes the next step of a retirement if there is one.
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
	next, changed, blocker := state.nextStep(retirement, drained, r.core.wallClock())
	if changed {
		r.write(ctx, state, RetirementStep{Old: retirement.Old, Next: next})
		return true
	}
	if blocker != r.loggedBlocker {
		r.loggedBlocker = blocker
		r.core.host.Log.Info().Str("old", retirement.Old).Str("waits_for", blocker).Msg("retirement waits")
	}
	return false
}

// isDrained reports whether the current version has been committed for so long that no proxy acts on an older one.
func (r *retirementController) isDrained(version uint64) bool {
	since, known := r.committedSince[version]
	if !known {
		since = time.Now()
		r.committedSince = map[uint64]time.Time{version: since}
	}
	return time.Since(since) > drainTime
}

// write writes a step under the current lease, provided that the register still has the version that the step is based on.
func (r *retirementController) write(ctx context.Context, state *adapterState, step RetirementStep) {
	leaseNumber, held := r.candidate.Held()
	if !held {
		return
	}
	step.ExpectedVersion, step.Holder = state.version, config.RoleHolder{Holder: r.candidate.Holder(), Lease: leaseNumber}
	accepted, err := rpc.Call[Accepted](ctx, r.core.rpc, r.core.host.Address, "/op/advance", step)
	if err == nil {
		r.minVersion = accepted.Version
	}
	entry := r.core.host.Log.Info().Str("old", step.Old).Uint64("version", accepted.Version).Uint64("lease", leaseNumber).AnErr("failure", err)
	if step.Next != nil {
		entry = entry.Str("phase", string(step.Next.Phase)).Interface("moves", step.Next.Moves)
	}
	entry.Msg("retirement moved on")
}

// load sends each replica its next order; at most a third of a pool loads at the same time.
func (r *retirementController) load(ctx context.Context, state *adapterState) {
	var orders sync.WaitGroup
	for _, names := range state.pools {
		slots := max(1, len(names)/adapterLoadDivisor)
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

// drop orders replicas to drop a base. A replica with running requests on the base refuses, and is asked again.
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

// order sends an order under the current lease, if it is still held.
func (r *retirementController) order(ctx context.Context, replica config.Replica, order router.AdapterOrder) {
	leaseNumber, held := r.candidate.Held()
	if !held {
		return
	}
	order.Lease = leaseNumber
	err := replicaclient.PostOrder(ctx, r.core.replicaClient, replica.Address+router.AdapterPath, order)
	r.core.host.Log.Info().Str("replica", replica.Name).Str("action", order.Do).Str("base", order.Base).Str("adapter", order.Adapter).
		Str("build", order.Build).Uint64("lease", leaseNumber).AnErr("failure", err).Msg("replica told to change adapters")
}
