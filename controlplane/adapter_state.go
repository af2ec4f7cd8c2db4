package controlplane

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/replicaclient"
	"asterridge/router"
)

// adapterState is what the registers desire of adapters and what the replicas report. The retirement controller acts on it, and operators
// are shown it. Its methods decide and do no I/O.
type adapterState struct {
	// version is that of the retirements' register.
	version     uint64
	plan        *config.Config
	retirements config.Retirements
	// holder is the one that has taken up the retirements, and its lease.
	holder config.RoleHolder
	// desired are the placements that every replica of a pool is to have, by pool.
	desired map[string][]config.Placement
	// pools names the replicas that are not draining, by pool.
	pools    map[string][]string
	replicas map[string]config.Replica
	// reports are those of the replicas that answer.
	reports map[string]router.Report
}

// collectAdapterState asks all replicas of pools with a model. It gives nil where no adapter is configured, or where what is known here is
// not committed.
func (c *Core) collectAdapterState(ctx context.Context) *adapterState {
	configured, moving := c.acceptor.Read(config.Key), c.acceptor.Read(config.RetirementKey)
	plan, err := config.FromFields(configured.Fields)
	if err != nil || len(plan.Adapters) == 0 || !configured.IsCommitted() || !moving.IsCommitted() {
		return nil
	}
	state := &adapterState{version: moving.Revision.Version, plan: plan, pools: map[string][]string{}, reports: map[string]router.Report{}}
	if state.retirements, state.holder, err = config.ParseRetirements(moving.Fields); err != nil {
		return nil
	}
	state.desired = plan.Desired(state.retirements)
	if state.replicas, err = config.Load[config.Replica](c.acceptor.Read(config.ReplicasKey).Fields); err != nil {
		return nil
	}
	var mu sync.Mutex
	var pending sync.WaitGroup
	for _, name := range slices.Sorted(maps.Keys(state.replicas)) {
		replica := state.replicas[name]
		if replica.State == config.ReplicaDraining || plan.Pools[replica.Pool].Kind != config.ModelPool {
			continue
		}
		state.pools[replica.Pool] = append(state.pools[replica.Pool], name)
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, replicaclient.Timeout)
			defer cancel()
			report, err := replicaclient.GetReport(ctx, c.replicaClient, router.ChatProtocol{}, replica, router.Report{})
			if err == nil {
				mu.Lock()
				state.reports[name] = report.Report
				mu.Unlock()
			}
		})
	}
	pending.Wait()
	return state
}

// nextOrder gives the next order that a replica needs; without one, what it waits for, or nothing if it has all.
func (s *adapterState) nextOrder(name string) (order router.AdapterOrder, waitsFor string) {
	report, answered := s.reports[name]
	if !answered {
		return order, "it does not answer"
	}
	for _, placement := range s.desired[s.replicas[name].Pool] {
		base, hasBase := report.Bases[placement.Base]
		adapter := report.Adapters[placement.Key()]
		switch {
		case !hasBase:
			return router.AdapterOrder{Placement: config.Placement{Base: placement.Base}, Do: router.LoadBase}, "its turn to load " + placement.Base
		case base.Loading:
			return order, placement.Base + " loads"
		case adapter.Build != placement.Build:
			return router.AdapterOrder{Placement: placement, Do: router.LoadAdapter}, "its turn to load " + placement.Key()
		case adapter.State == router.AdapterLoading:
			return order, placement.Key() + " loads"
		case adapter.State == router.AdapterLoaded:
			return router.AdapterOrder{Placement: placement, Do: router.TryAdapter}, "a trial answer of " + placement.Key()
		case adapter.State == router.AdapterBad:
			waitsFor = fmt.Sprintf("another build of %s than %s, whose trial answer was wrong", placement.Key(), placement.Build)
		}
	}
	return order, waitsFor
}

// isLoading reports whether a replica loads something now.
func isLoading(report router.Report) bool {
	for _, base := range report.Bases {
		if base.Loading {
			return true
		}
	}
	for _, adapter := range report.Adapters {
		if adapter.State == router.AdapterLoading {
			return true
		}
	}
	return false
}

// poolsOf lists the pools that serve an adapter.
func (s *adapterState) poolsOf(adapter string) (pools []string) {
	for _, path := range s.plan.Paths {
		for _, target := range path.Pools() {
			if path.Adapter == adapter && !slices.Contains(pools, target.Pool) {
				pools = append(pools, target.Pool)
			}
		}
	}
	slices.Sort(pools)
	return pools
}

// nextMove gives the next phase of an adapter's move, or what it waits for.
func (s *adapterState) nextMove(retirement config.Retirement, adapter config.Adapter) (next config.Move, waitsFor string) {
	next = retirement.Moves[adapter.Name]
	if next.Phase == config.Live {
		return next, ""
	}
	if next.Phase == "" {
		next.Build = adapter.Builds[retirement.New]
	}
	placement := config.Placement{Adapter: adapter.Name, Base: retirement.New, Build: next.Build}
	if placement.Build == "" {
		return next, "a build for " + retirement.New
	}
	for _, pool := range s.poolsOf(adapter.Name) {
		if waitsFor := s.poolWaitsFor(pool, placement, next.Phase); waitsFor != "" {
			return next, waitsFor
		}
	}
	if next.Phase == "" {
		next.Phase = config.Switched
	} else {
		next.Phase = config.Live
	}
	return next, ""
}

// poolWaitsFor says what a pool waits for before a placement may enter its next phase: right trial answers of more than half of the
// replicas before it is switched, and answers to clients of more than half before it is live.
func (s *adapterState) poolWaitsFor(pool string, placement config.Placement, phase config.Phase) string {
	tried, live, all := 0, 0, len(s.pools[pool])
	for _, name := range s.pools[pool] {
		adapter := s.reports[name].Adapters[placement.Key()]
		switch {
		case adapter.Build == placement.Build && adapter.State == router.AdapterBad && phase == "":
			return fmt.Sprintf("another build than %s: its trial answer was wrong on %s", placement.Build, name)
		case adapter.Build == placement.Build && adapter.State == router.AdapterTried:
			tried++
			if adapter.Live > 0 {
				live++
			}
		}
	}
	kind, count := "trial", tried
	if phase == config.Switched {
		kind, count = "live", live
	}
	if 2*count <= all {
		return fmt.Sprintf("%s answers in pool %s: from %d of %d replicas, more than half are needed", kind, pool, count, all)
	}
	return ""
}

// nextStep says how a retirement goes on; without a change, what it waits for. A nil next ends it. drained: no proxy can send by an older
// route.
func (s *adapterState) nextStep(retirement config.Retirement, drained bool, now time.Time) (next *config.Retirement, changed bool, waitsFor string) {
	enter := func(phase config.Phase, adapter string, move config.Move) (*config.Retirement, bool, string) {
		move.Since = now
		entered := retirement.With(phase, adapter, move)
		return &entered, true, ""
	}
	switch retirement.Phase {
	case config.Moving, config.Clearing:
		for _, adapter := range adaptersOn(s.plan, s.retirements, retirement.Old) {
			move, why := s.nextMove(retirement, adapter)
			if why == "" && move.Phase != retirement.Moves[adapter.Name].Phase {
				return enter(config.Moving, adapter.Name, move)
			}
			if why != "" && waitsFor == "" {
				waitsFor = adapter.Name + " waits for " + why
			}
		}
		switch {
		case waitsFor != "" && retirement.Phase == config.Clearing: // an adapter was configured since
			return enter(config.Moving, "", config.Move{})
		case waitsFor != "":
			return &retirement, false, waitsFor
		case retirement.Phase == config.Moving:
			return enter(config.Clearing, "", config.Move{})
		case drained:
			return enter(config.Dropping, "", config.Move{})
		}
		return &retirement, false, drainWait(retirement.Old)
	case config.Dropping:
		if waitsFor = s.replicaWith(retirement.Old); waitsFor == "" {
			return enter(config.Retired, "", config.Move{})
		}
	case config.Undoing:
		if !drained {
			return &retirement, false, drainWait(retirement.New)
		}
		if waitsFor = s.replicaWith(retirement.New); waitsFor == "" || s.isNeeded(retirement.New) {
			return nil, true, ""
		}
	}
	return &retirement, false, waitsFor
}

func drainWait(base string) string {
	return fmt.Sprintf("%v to pass, after which no proxy can send to %s", drainTime, base)
}

// replicaWith names a replica that has a base, or may have it; empty if there is none.
func (s *adapterState) replicaWith(base string) string {
	for _, pool := range slices.Sorted(maps.Keys(s.pools)) {
		for _, name := range s.pools[pool] {
			report, answered := s.reports[name]
			if _, hasBase := report.Bases[base]; hasBase || !answered {
				return fmt.Sprintf("%s to drop %s", name, base)
			}
		}
	}
	return ""
}

// isNeeded reports whether some pool's placements need a base.
func (s *adapterState) isNeeded(base string) bool {
	for _, placements := range s.desired {
		if slices.ContainsFunc(placements, func(p config.Placement) bool { return p.Base == base }) {
			return true
		}
	}
	return false
}

// droppable lists the replicas of a pool that may be told to drop a base now: at most a third, and only those that have all they need
// beside it. Those on which work runs would refuse, and come last.
func (s *adapterState) droppable(pool, base string) (names []string) {
	for _, name := range s.pools[pool] {
		if _, hasBase := s.reports[name].Bases[base]; !hasBase {
			continue
		}
		if _, waitsFor := s.nextOrder(name); waitsFor == "" {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return s.reports[a].Bases[base].Running - s.reports[b].Bases[base].Running })
	return names[:min(len(names), max(1, len(s.pools[pool])/adapterLoadShare))]
}
