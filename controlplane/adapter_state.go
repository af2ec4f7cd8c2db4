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

// adapterState is the desired state of adapters, read from the registers, and the state that the replicas report. The retirement
// controller acts on it, and operators can query it. Its methods make decisions without I/O.
type adapterState struct {
	// version is the version of the retirements' register.
	version     uint64
	plan        *config.Config
	retirements config.Retirements
	// holder is the holder that last took over the retirements, with its lease.
	holder config.RoleHolder
	// desired are the placements that every replica of a pool must have, by pool.
	desired map[string][]config.Placement
	// pools lists the replicas that are not draining, by pool.
	pools    map[string][]string
	replicas map[string]config.Replica
	// reports are the reports of the replicas that answered.
	reports map[string]router.Report
}

// collectAdapterState queries all replicas of model pools. It returns nil if no adapter is configured, or if the content of the
// registers on this core is not committed.
func (c *Core) collectAdapterState(ctx context.Context) *adapterState {
	configRecord, retireRecord := c.acceptor.Read(config.Key), c.acceptor.Read(config.RetirementKey)
	plan, err := config.FromFields(configRecord.Fields)
	if err != nil || len(plan.Adapters) == 0 || !configRecord.IsCommitted() || !retireRecord.IsCommitted() {
		return nil
	}
	state := &adapterState{version: retireRecord.Revision.Version, plan: plan, pools: map[string][]string{}, reports: map[string]router.Report{}}
	if state.retirements, state.holder, err = config.ParseRetirements(retireRecord.Fields); err != nil {
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

// nextOrder returns the next order that a replica needs. Without an order, blocker says what the replica waits for; it is empty if the
// replica has everything it needs.
func (s *adapterState) nextOrder(name string) (order router.AdapterOrder, blocker string) {
	report, answered := s.reports[name]
	if !answered {
		return order, "a report from the replica"
	}
	for _, placement := range s.desired[s.replicas[name].Pool] {
		base, hasBase := report.Bases[placement.Base]
		adapter := report.Adapters[placement.Key()]
		switch {
		case !hasBase:
			return router.AdapterOrder{Placement: config.Placement{Base: placement.Base}, Do: router.LoadBase}, "a free slot to load " + placement.Base
		case base.Loading:
			return order, placement.Base + " is loading"
		case adapter.Build != placement.Build:
			return router.AdapterOrder{Placement: placement, Do: router.LoadAdapter}, "a free slot to load " + placement.Key()
		case adapter.State == router.AdapterLoading:
			return order, placement.Key() + " is loading"
		case adapter.State == router.AdapterLoaded:
			return router.AdapterOrder{Placement: placement, Do: router.TryAdapter}, "a trial answer from " + placement.Key()
		case adapter.State == router.AdapterBad:
			blocker = fmt.Sprintf("a new build of %s: the trial answer of %s was wrong", placement.Key(), placement.Build)
		}
	}
	return order, blocker
}

// isLoading reports whether a replica is loading a base or an adapter.
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

// poolsOf lists the pools that serve an adapter, in order of name.
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

// nextMove returns the next phase of an adapter's move, or what blocks it.
func (s *adapterState) nextMove(retirement config.Retirement, adapter config.Adapter) (next config.Move, blocker string) {
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
		if poolBlocker := s.poolBlocker(pool, placement, next.Phase); poolBlocker != "" {
			return next, poolBlocker
		}
	}
	if next.Phase == "" {
		next.Phase = config.Switched
	} else {
		next.Phase = config.Live
	}
	return next, ""
}

// poolBlocker returns what prevents a placement from entering its next phase in a pool; empty if nothing does. More than half of the
// replicas must have given a correct trial answer before it is switched, and have served clients before it is live.
func (s *adapterState) poolBlocker(pool string, placement config.Placement, phase config.Phase) string {
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
		return fmt.Sprintf("%s answers in pool %s: %d of %d replicas have given one, more than half are needed", kind, pool, count, all)
	}
	return ""
}

// nextStep returns the next state of a retirement, or without a change what blocks it. A nil next ends the retirement. drained means
// that no proxy can still send requests by an older route.
func (s *adapterState) nextStep(retirement config.Retirement, drained bool, now time.Time) (next *config.Retirement, changed bool, blocker string) {
	enter := func(phase config.Phase, adapter string, move config.Move) (*config.Retirement, bool, string) {
		move.Since = now
		entered := retirement.With(phase, adapter, move)
		return &entered, true, ""
	}
	switch retirement.Phase {
	case config.Moving, config.Clearing:
		for _, adapter := range adaptersOn(s.plan, s.retirements, retirement.Old) {
			move, moveBlocker := s.nextMove(retirement, adapter)
			if moveBlocker == "" && move.Phase != retirement.Moves[adapter.Name].Phase {
				return enter(config.Moving, adapter.Name, move)
			}
			if moveBlocker != "" && blocker == "" {
				blocker = adapter.Name + " waits for " + moveBlocker
			}
		}
		switch {
		case blocker != "" && retirement.Phase == config.Clearing: // an adapter was configured in the meantime
			return enter(config.Moving, "", config.Move{})
		case blocker != "":
			return &retirement, false, blocker
		case retirement.Phase == config.Moving:
			return enter(config.Clearing, "", config.Move{})
		case drained:
			return enter(config.Dropping, "", config.Move{})
		}
		return &retirement, false, drainBlocker(retirement.Old)
	case config.Dropping:
		if blocker = s.replicaWith(retirement.Old); blocker == "" {
			return enter(config.Retired, "", config.Move{})
		}
	case config.Undoing:
		if !drained {
			return &retirement, false, drainBlocker(retirement.New)
		}
		if blocker = s.replicaWith(retirement.New); blocker == "" || s.isNeeded(retirement.New) {
			return nil, true, ""
		}
	}
	return &retirement, false, blocker
}

func drainBlocker(base string) string {
	return fmt.Sprintf("%v to pass until no proxy can send to %s", drainTime, base)
}

// replicaWith returns a blocker that names a replica that has a base, or may have it; empty if there is none.
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

// isNeeded reports whether any pool's placements need a base.
func (s *adapterState) isNeeded(base string) bool {
	for _, placements := range s.desired {
		if slices.ContainsFunc(placements, func(p config.Placement) bool { return p.Base == base }) {
			return true
		}
	}
	return false
}

// droppable lists the replicas of a pool that may be ordered to drop a base now: at most a third, and only those that have everything
// else they need. Replicas with running requests on the base come last, since they would refuse.
func (s *adapterState) droppable(pool, base string) (names []string) {
	for _, name := range s.pools[pool] {
		if _, hasBase := s.reports[name].Bases[base]; !hasBase {
			continue
		}
		if _, blocker := s.nextOrder(name); blocker == "" {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return s.reports[a].Bases[base].Running - s.reports[b].Bases[base].Running })
	return names[:min(len(names), max(1, len(s.pools[pool])/adapterLoadDivisor))]
}
