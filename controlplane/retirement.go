package controlplane

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/idempotency"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
)

// Actions of a RetirementChange.
const (
	retireAction = "retire"
	undoAction   = "undo"
)

// RetirementChange begins the retirement of a base model, or takes one back (docs/design.md §6.6).
type RetirementChange struct {
	idempotency.Key
	Action string `json:"do"` // "retire" or "undo"
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

func (c *Core) applyRetirement(ctx context.Context, order RetirementChange) (Accepted, error) {
	plan, err := c.newestPlan(ctx)
	if err != nil {
		return Accepted{}, err
	}
	key := order.Key
	order.Key = idempotency.Key{}
	return c.changeOnce(ctx, config.RetirementKey, "retirement", key, order, func(present register.Fields, version uint64) (register.Fields, error) {
		all, _, err := config.ParseRetirements(present)
		if err != nil {
			return nil, err
		}
		switch order.Action {
		case retireAction:
			return order.begin(plan, all, version, c.wallClock())
		case undoAction:
			return order.undo(all, c.wallClock())
		}
		return nil, apierror.New(apierror.OutOfRange, "%q is neither retire nor undo", order.Action)
	})
}

// begin gives the change that begins a retirement; no change if it was asked for before, perhaps without an answer.
func (order RetirementChange) begin(plan *config.Config, all config.Retirements, version uint64, now time.Time) (register.Fields, error) {
	if before, ok := all[order.Old]; ok && before.New == order.New && !before.IsPast() && before.Phase != config.Undoing {
		return nil, nil
	}
	if err := order.check(plan, all); err != nil {
		return nil, err
	}
	retirement := config.Retirement{Number: version + 1, Old: order.Old, New: order.New, Phase: config.Moving, Since: now}
	return config.Field(retirement.Old, retirement), nil
}

// undo gives the change that takes a retirement back.
func (order RetirementChange) undo(all config.Retirements, now time.Time) (register.Fields, error) {
	retirement, err := findUndoable(all, order.Old)
	if err != nil {
		return nil, err
	}
	retirement = retirement.With(config.Undoing, "", config.Move{Since: now})
	return config.Field(retirement.Old, retirement), nil
}

// check makes sure that a retirement can be carried out before anything is moved. The errors are apierror.Missing, Crossed, NotFound and
// NoBuild.
func (order RetirementChange) check(plan *config.Config, all config.Retirements) error {
	if order.Old == "" || order.New == "" || order.Old == order.New {
		return apierror.New(apierror.Missing, "a retirement needs an old model and another one in its place")
	}
	if other, crossed := all.Crossing(order.Old, order.New); crossed {
		return apierror.New(apierror.Crossed, "retirement %d of %s for %s is %s", other.Number, other.Old, other.New, other.Phase)
	}
	for _, model := range []string{order.Old, order.New} {
		if other, retired := all[model]; retired {
			return apierror.New(apierror.Crossed, "%s was retired for %s", model, other.New)
		}
	}
	var withoutBuild []string
	moved := adaptersOn(plan, all, order.Old)
	for _, adapter := range moved {
		if adapter.Builds[order.New] == "" {
			withoutBuild = append(withoutBuild, adapter.Name)
		}
	}
	switch {
	case len(moved) == 0:
		return apierror.New(apierror.NotFound, "no adapter is on %s", order.Old)
	case len(withoutBuild) > 0:
		return apierror.New(apierror.NoBuild, "no build for %s: %s", order.New, strings.Join(withoutBuild, ", "))
	}
	return nil
}

// adaptersOn lists the adapters that are on a base, or were before its retirement.
func adaptersOn(plan *config.Config, all config.Retirements, base string) (adapters []config.Adapter) {
	for _, name := range slices.Sorted(maps.Keys(plan.Adapters)) {
		if adapter := plan.Adapters[name]; all.IsOn(adapter, base) {
			adapters = append(adapters, adapter)
		}
	}
	return adapters
}

// findUndoable finds the retirement to take back: the one of that model, or the only one that runs. The errors are apierror.PastUndo,
// NotFound and Missing.
func findUndoable(all config.Retirements, old string) (config.Retirement, error) {
	var found []config.Retirement
	for name, retirement := range all {
		if name == old || old == "" && retirement.IsRunning() {
			found = append(found, retirement)
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

// RetirementStep is a step of the retirement controller: the whole next state of one retirement, or its end. It is void under another
// version of the register than its holder saw, and under a lower lease than has written there.
type RetirementStep struct {
	// Old is the model; empty: the role is taken up, and nothing else.
	Old string `json:"old,omitempty"`
	// Next is the retirement's next state; nil: it ends without a trace.
	Next            *config.Retirement `json:"to,omitempty"`
	ExpectedVersion uint64             `json:"expect"`
	Holder          config.RoleHolder  `json:"duty"`
}

func (c *Core) applyRetirementStep(ctx context.Context, step RetirementStep) (Accepted, error) {
	revision, err := c.owner.Change(ctx, config.RetirementKey, func(present register.Fields, version uint64) (register.Fields, error) {
		all, holder, err := config.ParseRetirements(present)
		if err == nil {
			err = holder.Check(step.Holder)
		}
		if err != nil {
			return nil, err
		}
		if step.ExpectedVersion != version {
			return nil, apierror.New(apierror.Conflict, "expected version %d, present is %d", step.ExpectedVersion, version)
		}
		change := config.Field(config.RoleHolderField, step.Holder)
		if _, ok := all[step.Old]; ok {
			change[step.Old] = nil
			if step.Next != nil {
				change[step.Old] = config.Field(step.Old, step.Next)[step.Old]
			}
		}
		return change, nil
	})
	c.logOutcome("retirement step", config.RetirementKey, revision, err)
	return Accepted{Version: revision.Version}, err
}

// wallClock is shown to operators and decides nothing.
func (c *Core) wallClock() time.Time {
	if c.host.Clock != nil {
		return c.host.Clock()
	}
	return time.Now()
}

// newestPlan gives the configuration, no older than at the time of the call.
func (c *Core) newestPlan(ctx context.Context) (*config.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer cancel()
	newest, err := rpc.Call[CommitResponse](ctx, c.rpc, c.host.Address, "/op/settle", CommitRequest{Key: config.Key})
	if err != nil {
		return nil, err
	}
	record, err := c.awaitRevision(ctx, config.Key, newest.Revision)
	if err != nil {
		return nil, err
	}
	return config.FromFields(record.Fields)
}

// retirementRows shows the retirements, the adapters that they move, where each adapter's route leads, and each replica with what it
// waits for.
func (c *Core) retirementRows(ctx context.Context) (rows []router.Row) {
	state := c.collectAdapterState(ctx)
	if state == nil {
		return nil
	}
	for _, old := range slices.Sorted(maps.Keys(state.retirements)) {
		rows = append(rows, state.rowsOf(state.retirements[old], c.wallClock())...)
	}
	for _, name := range slices.Sorted(maps.Keys(state.plan.Adapters)) {
		base, build := state.retirements.Route(state.plan.Adapters[name])
		rows = append(rows, retirementRow("route", name, router.Row{"base": base, "build": build}))
	}
	for pool, names := range state.pools {
		for _, name := range names {
			_, waitsFor := state.nextOrder(name)
			report := state.reports[name]
			rows = append(rows, retirementRow("replica", name, router.Row{"waits_for": waitsFor, "pool": pool,
				"bases":    strings.Join(slices.Sorted(maps.Keys(report.Bases)), " "),
				"adapters": strings.Join(slices.Sorted(maps.Keys(report.Adapters)), " ")}))
		}
	}
	return rows
}

// rowsOf shows one retirement and the adapters that it moves.
func (s *adapterState) rowsOf(retirement config.Retirement, now time.Time) []router.Row {
	_, _, waitsFor := s.nextStep(retirement, false, now)
	rows := []router.Row{retirementRow("retirement", retirement.Old, router.Row{"phase": string(retirement.Phase), "since": timeText(retirement.Since),
		"waits_for": waitsFor, "base": retirement.New, "number": retirement.Number, "holder": s.holder.Holder})}
	for _, adapter := range adaptersOn(s.plan, s.retirements, retirement.Old) {
		next, waitsFor := s.nextMove(retirement, adapter)
		phase, since := retirement.Moves[adapter.Name].Phase, retirement.Moves[adapter.Name].Since
		if phase == "" {
			phase, since = "loading", retirement.Since
		}
		if !retirement.IsRunning() || retirement.Phase == config.Undoing {
			waitsFor = ""
		}
		rows = append(rows, retirementRow("adapter", adapter.Name, router.Row{"phase": string(phase), "since": timeText(since),
			"waits_for": waitsFor, "build": next.Build}))
	}
	return rows
}

// retirementRow makes a row with all the columns that every row has.
func retirementRow(kind, name string, columns router.Row) router.Row {
	row := router.Row{"kind": kind, "name": name, "phase": "", "since": "", "waits_for": ""}
	maps.Copy(row, columns)
	return row
}

func timeText(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339Nano)
}
