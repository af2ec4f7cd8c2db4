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

// adapterState is what is to be done about adapters, and how far it is: the duty acts by it, and operators are shown it.
type adapterState struct {
	version     uint64 // of the retirements' register
	plan        *config.Config
	retirements config.Retirements
	holder      config.Duty
	desired     map[string][]config.Placement // by pool
	pools       map[string][]string           // replicas that are not leaving, by pool
	replicas    map[string]config.Replica
	reports     map[string]router.Report // of those that answer
}

// collectAdapterState asks all replicas of pools with a model. It gives nil where no adapter is declared, or what is known here is not settled.
func (c *Core) collectAdapterState(ctx context.Context) *adapterState {
	declared, moving := c.acceptor.Read(config.Key), c.acceptor.Read(config.RetirementKey)
	plan, err := config.FromFields(declared.Fields)
	if err != nil || len(plan.Adapters) == 0 || !declared.IsCommitted() || !moving.IsCommitted() {
		return nil
	}
	s := &adapterState{version: moving.Revision.Version, plan: plan, pools: map[string][]string{}, reports: map[string]router.Report{}}
	if s.retirements, s.holder, err = config.ParseRetirements(moving.Fields); err != nil {
		return nil
	}
	s.desired = plan.Desired(s.retirements)
	if s.replicas, err = config.Load[config.Replica](c.acceptor.Read(config.ReplicasKey).Fields); err != nil {
		return nil
	}
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		replica := s.replicas[name]
		if replica.State == "leaving" || plan.Pools[replica.Pool].Kind != "model" {
			continue
		}
		s.pools[replica.Pool] = append(s.pools[replica.Pool], name)
		asked.Go(func() {
			short, stop := context.WithTimeout(ctx, replicaclient.ReportTimeout)
			defer stop()
			body, err := replicaclient.GetReport(short, c.replicaClient, router.ChatDialect{}, replica, router.Report{})
			if err == nil {
				mu.Lock()
				s.reports[name] = body.Report
				mu.Unlock()
			}
		})
	}
	asked.Wait()
	return s
}

// nextOrder gives the next order that a replica needs; without one, what it waits for, or nothing if it has all.
func (s *adapterState) nextOrder(name string) (order router.AdapterOrder, waitsFor string) {
	report, heard := s.reports[name]
	if !heard {
		return order, "it does not answer"
	}
	for _, u := range s.desired[s.replicas[name].Pool] {
		base, hasBase := report.Bases[u.Base]
		has := report.Adapters[u.Key()]
		switch {
		case !hasBase:
			return router.AdapterOrder{Placement: config.Placement{Base: u.Base}, Do: router.LoadBase}, "its turn to load " + u.Base
		case base.Loading:
			return order, u.Base + " loads"
		case has.Build != u.Build:
			return router.AdapterOrder{Placement: u, Do: router.LoadAdapter}, "its turn to load " + u.Key()
		case has.State == router.AdapterLoading:
			return order, u.Key() + " loads"
		case has.State == router.AdapterLoaded:
			return router.AdapterOrder{Placement: u, Do: router.TryAdapter}, "a trial answer of " + u.Key()
		case has.State == router.AdapterBad:
			waitsFor = fmt.Sprintf("another build of %s than %s, whose trial answer was wrong", u.Key(), u.Build)
		}
	}
	return order, waitsFor
}

// isLoading says whether a replica loads something now.
func isLoading(report router.Report) bool {
	for _, base := range report.Bases {
		if base.Loading {
			return true
		}
	}
	for _, has := range report.Adapters {
		if has.State == router.AdapterLoading {
			return true
		}
	}
	return false
}

// poolsOf lists the pools that serve an adapter.
func (s *adapterState) poolsOf(adapter string) (pools []string) {
	for _, p := range s.plan.Paths {
		for _, target := range p.Pools() {
			if p.Adapter == adapter && !slices.Contains(pools, target.Pool) {
				pools = append(pools, target.Pool)
			}
		}
	}
	slices.Sort(pools)
	return pools
}

// nextMove says what an adapter's next phase is, or what it waits for.
func (s *adapterState) nextMove(t config.Retirement, a config.Adapter) (next config.Move, waitsFor string) {
	next = t.Moves[a.Name]
	if next.Phase == config.Live {
		return next, ""
	}
	if next.Phase == "" {
		next.Build = a.Builds[t.New]
	}
	u := config.Placement{Adapter: a.Name, Base: t.New, Build: next.Build}
	if u.Build == "" {
		return next, "a build for " + t.New
	}
	for _, pool := range s.poolsOf(a.Name) {
		tried, live, all := 0, 0, len(s.pools[pool])
		for _, name := range s.pools[pool] {
			has := s.reports[name].Adapters[u.Key()]
			switch {
			case has.Build == u.Build && has.State == router.AdapterBad && next.Phase == "":
				return next, fmt.Sprintf("another build than %s: its trial answer was wrong on %s", u.Build, name)
			case has.Build == u.Build && has.State == router.AdapterTried:
				tried++
				if has.Live > 0 {
					live++
				}
			}
		}
		what, count := "trial", tried
		if next.Phase == config.Switched {
			what, count = "live", live
		}
		if 2*count <= all {
			return next, fmt.Sprintf("%s answers in pool %s: from %d of %d replicas, more than half are needed", what, pool, count, all)
		}
	}
	if next.Phase == "" {
		next.Phase = config.Switched
	} else {
		next.Phase = config.Live
	}
	return next, ""
}

// nextStep says how a retirement goes on; without a change, what it waits for. isClear: no proxy can send by an older route.
func (s *adapterState) nextStep(t config.Retirement, drained bool, now time.Time) (next *config.Retirement, changed bool, waitsFor string) {
	to := func(phase config.Phase, adapter string, m config.Move) (*config.Retirement, bool, string) {
		m.Since = now
		made := t.With(phase, adapter, m)
		return &made, true, ""
	}
	switch t.Phase {
	case config.Moving, config.Clearing:
		for _, a := range adaptersOn(s.plan, s.retirements, t.Old) {
			m, why := s.nextMove(t, a)
			if why == "" && m.Phase != t.Moves[a.Name].Phase {
				return to(config.Moving, a.Name, m)
			}
			if why != "" && waitsFor == "" {
				waitsFor = a.Name + " waits for " + why
			}
		}
		switch {
		case waitsFor != "" && t.Phase == config.Clearing: // an adapter was declared since
			return to(config.Moving, "", config.Move{})
		case waitsFor != "":
			return &t, false, waitsFor
		case t.Phase == config.Moving:
			return to(config.Clearing, "", config.Move{})
		case drained:
			return to(config.Dropping, "", config.Move{})
		}
		return &t, false, fmt.Sprintf("%v to pass, after which no proxy can send to %s", drainTime, t.Old)
	case config.Dropping:
		if waitsFor = s.replicaWith(t.Old); waitsFor == "" {
			return to(config.Retired, "", config.Move{})
		}
	case config.Undoing:
		if !drained {
			return &t, false, fmt.Sprintf("%v to pass, after which no proxy can send to %s", drainTime, t.New)
		}
		if waitsFor = s.replicaWith(t.New); waitsFor == "" || s.isNeeded(t.New) {
			return nil, true, ""
		}
	}
	return &t, false, waitsFor
}

// replicaWith names a replica that has a base, or may have it.
func (s *adapterState) replicaWith(base string) string {
	for _, pool := range slices.Sorted(maps.Keys(s.pools)) {
		for _, name := range s.pools[pool] {
			said, heard := s.reports[name]
			if _, ok := said.Bases[base]; ok || !heard {
				return fmt.Sprintf("%s to drop %s", name, base)
			}
		}
	}
	return ""
}

func (s *adapterState) isNeeded(base string) bool {
	for _, all := range s.desired {
		if slices.ContainsFunc(all, func(u config.Placement) bool { return u.Base == base }) {
			return true
		}
	}
	return false
}

// droppable lists the replicas of a pool that may be told to drop a base now: at most a third, and only those that have all they need beside it.
// Those on which work runs would refuse, and come last.
func (s *adapterState) droppable(pool, base string) (names []string) {
	for _, name := range s.pools[pool] {
		if _, ok := s.reports[name].Bases[base]; !ok {
			continue
		}
		if _, waits := s.nextOrder(name); waits == "" {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return s.reports[a].Bases[base].Running - s.reports[b].Bases[base].Running })
	return names[:min(len(names), max(1, len(s.pools[pool])/3))]
}
