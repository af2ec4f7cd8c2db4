package controlplane

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
)

// Retiring a base model (§6.6): operators' orders are here, the duty that carries them out is in retirer.go.

const (
	retirementInterval = 400 * time.Millisecond
	// drainTime is T + U + W + A: a route switched so long ago leads no request to the old base any more (§3.2).
	drainTime = protocol.FreshLimit + protocol.UndecidedLimit + router.SendTime
)

// RetirementChange begins a retirement, or takes one back.
type RetirementChange struct {
	Do  string `json:"do"` // "retire" or "undo"
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

func (c *Core) applyRetirement(ctx context.Context, o RetirementChange) (Accepted, error) {
	plan, err := c.newestPlan(ctx)
	if err != nil {
		return Accepted{}, err
	}
	revision, err := c.owner.Change(ctx, config.RetirementKey, func(now register.Fields, version uint64) (register.Fields, error) {
		all, _, err := config.ParseRetirements(now)
		if err != nil {
			return nil, err
		}
		var t config.Retirement
		switch o.Do {
		case "retire":
			if before, ok := all[o.Old]; ok && before.New == o.New && !before.IsPast() && before.Phase != config.Undoing {
				return nil, nil // it was asked for before, perhaps without an answer
			}
			if err := checkRetirement(plan, all, o); err != nil {
				return nil, err
			}
			t = config.Retirement{Number: version + 1, Old: o.Old, New: o.New, Phase: config.Moving, Since: c.wall()}
		case "undo":
			if t, err = findUndoable(all, o.Old); err != nil {
				return nil, err
			}
			t = t.With(config.Undoing, "", config.Move{Since: c.wall()})
		default:
			return nil, apierror.New(apierror.OutOfRange, "%q is neither retire nor undo", o.Do)
		}
		return config.Field(t.Old, t), nil
	})
	c.logOutcome("retirement", config.RetirementKey, revision, err)
	return Accepted{revision.Version}, err
}

// checkRetirement checks a retirement before anything is moved.
func checkRetirement(plan *config.Config, all config.Retirements, o RetirementChange) error {
	if o.Old == "" || o.New == "" || o.Old == o.New {
		return apierror.New(apierror.Missing, "a retirement needs an old model and another one in its place")
	}
	if t, crossed := all.Crossing(o.Old, o.New); crossed {
		return apierror.New(apierror.Crossed, "retirement %d of %s for %s is %s", t.Number, t.Old, t.New, t.Phase)
	}
	for _, model := range []string{o.Old, o.New} {
		if t, gone := all[model]; gone {
			return apierror.New(apierror.Crossed, "%s was retired for %s", model, t.New)
		}
	}
	var lacking []string
	moved := adaptersOn(plan, all, o.Old)
	for _, a := range moved {
		if a.Builds[o.New] == "" {
			lacking = append(lacking, a.Name)
		}
	}
	switch {
	case len(moved) == 0:
		return apierror.New(apierror.NotFound, "no adapter is on %s", o.Old)
	case len(lacking) > 0:
		return apierror.New(apierror.NoBuild, "no build for %s: %s", o.New, strings.Join(lacking, ", "))
	}
	return nil
}

// adaptersOn lists the adapters that are on a base, or were before its retirement.
func adaptersOn(plan *config.Config, all config.Retirements, base string) (on []config.Adapter) {
	for _, name := range slices.Sorted(maps.Keys(plan.Adapters)) {
		if a := plan.Adapters[name]; all.IsOn(a, base) {
			on = append(on, a)
		}
	}
	return on
}

// findUndoable finds the retirement to take back: the named one, or the only one that runs.
func findUndoable(all config.Retirements, old string) (config.Retirement, error) {
	var found []config.Retirement
	for name, t := range all {
		if name == old || old == "" && t.IsRunning() {
			found = append(found, t)
		}
	}
	switch {
	case len(found) == 0 && old == "" && len(all) > 0:
		return config.Retirement{}, apierror.New(apierror.PastUndo, "every retirement is carried out")
	case len(found) == 0:
		return config.Retirement{}, apierror.New(apierror.NotFound, "no retirement runs")
	case len(found) > 1:
		return config.Retirement{}, apierror.New(apierror.Missing, "%d retirements run: say of which model", len(found))
	case found[0].IsPast():
		return found[0], apierror.New(apierror.PastUndo, "%s is %s since %s", found[0].Old, found[0].Phase, found[0].Since.UTC().Format(time.RFC3339))
	}
	return found[0], nil
}

// RetirementStep is a step of the duty: the whole of one retirement, or its end. It is void under another version of the register than the
// holder saw, and under a lower lease than has written there.
type RetirementStep struct {
	Old             string             `json:"old,omitempty"` // empty: the duty is taken up, and nothing else
	To              *config.Retirement `json:"to,omitempty"`  // nil: it is over without a trace
	ExpectedVersion uint64             `json:"expect"`
	Holder          config.Duty        `json:"duty"`
}

func (c *Core) applyRetirementStep(ctx context.Context, o RetirementStep) (Accepted, error) {
	revision, err := c.owner.Change(ctx, config.RetirementKey, func(now register.Fields, version uint64) (register.Fields, error) {
		all, duty, err := config.ParseRetirements(now)
		switch {
		case err != nil:
			return nil, err
		case o.Holder.Lease < duty.Lease:
			return nil, apierror.New(apierror.Superseded, "lease %d of %s has taken this up, yours is %d", duty.Lease, duty.Holder, o.Holder.Lease)
		case o.ExpectedVersion != version:
			return nil, apierror.New(apierror.Conflict, "expected version %d, present is %d", o.ExpectedVersion, version)
		}
		change := config.Field(config.DutyField, o.Holder)
		if _, ok := all[o.Old]; ok {
			change[o.Old] = nil
			if o.To != nil {
				change[o.Old] = config.Field(o.Old, o.To)[o.Old]
			}
		}
		return change, nil
	})
	c.logOutcome("retirement_step", config.RetirementKey, revision, err)
	return Accepted{revision.Version}, err
}

// wall is the wall clock, for operators alone (§1.3).
func (c *Core) wall() time.Time {
	if c.host.Clock != nil {
		return c.host.Clock()
	}
	return time.Now()
}

// newestPlan gives the configuration as of all that was accepted before.
func (c *Core) newestPlan(ctx context.Context) (*config.Config, error) {
	short, stop := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer stop()
	newest, err := rpc.Call[CommitResponse](short, c.rpc, c.host.Address, "/op/settle", CommitRequest{Key: config.Key})
	if err != nil {
		return nil, err
	}
	record, err := c.awaitRevision(short, config.Key, newest.Revision)
	if err != nil {
		return nil, err
	}
	return config.FromFields(record.Fields)
}

// retirementRows shows the retirements, each adapter, and each replica with what it waits for.
func (c *Core) retirementRows(ctx context.Context) (rows []router.Row) {
	s := c.collectAdapterState(ctx)
	if s == nil {
		return nil
	}
	row := func(kind, name, phase, since, waits string, more router.Row) {
		made := router.Row{"kind": kind, "name": name, "phase": phase, "since": since, "waits_for": waits}
		maps.Copy(made, more)
		rows = append(rows, made)
	}
	text := func(at time.Time) string {
		if at.IsZero() {
			return ""
		}
		return at.UTC().Format(time.RFC3339Nano)
	}
	for _, old := range slices.Sorted(maps.Keys(s.retirements)) {
		t := s.retirements[old]
		_, _, waits := s.nextStep(t, false, c.wall())
		row("retirement", old, string(t.Phase), text(t.Since), waits, router.Row{"base": t.New, "number": t.Number, "holder": s.holder.Holder})
		for _, a := range adaptersOn(s.plan, s.retirements, old) {
			m, waits := s.nextMove(t, a)
			phase, since := t.Moves[a.Name].Phase, t.Moves[a.Name].Since
			if phase == "" {
				phase, since = "loading", t.Since
			}
			if !t.IsRunning() || t.Phase == config.Undoing {
				waits = ""
			}
			row("adapter", a.Name, string(phase), text(since), waits, router.Row{"build": m.Build})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.plan.Adapters)) {
		base, build := s.retirements.Route(s.plan.Adapters[name])
		row("route", name, "", "", "", router.Row{"base": base, "build": build})
	}
	for pool, names := range s.pools {
		for _, name := range names {
			_, waits := s.nextOrder(name)
			said := s.reports[name]
			row("replica", name, "", "", waits, router.Row{"pool": pool, "bases": strings.Join(slices.Sorted(maps.Keys(said.Bases)), " "),
				"adapters": strings.Join(slices.Sorted(maps.Keys(said.Adapters)), " ")})
		}
	}
	return rows
}
