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

// RetirementChange starts the retirement of a base model, or undoes one (docs/design.md §6.6).
type RetirementChange struct {
	idempotency.Key
	Action string `json:"do"` // "retire" or "undo"
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

func (c *Core) applyRetirement(ctx context.Context, request RetirementChange) (Accepted, error) {
	plan, err := c.newestPlan(ctx)
	if err != nil {
		return Accepted{}, err
	}
	key := request.Key
	request.Key = idempotency.Key{}
	return c.changeOnce(ctx, config.RetirementKey, "retirement", key, request, func(current register.Fields, version uint64) (register.Fields, error) {
		all, _, err := config.ParseRetirements(current)
		if err != nil {
			return nil, err
		}
		switch request.Action {
		case retireAction:
			return request.begin(plan, all, version, c.wallClock())
		case undoAction:
			return request.undo(all, c.wallClock())
		}
		return nil, apierror.New(apierror.OutOfRange, "%q is neither retire nor undo", request.Action)
	})
}

// begin returns the change that starts a retirement; no change if the same one is already in progress, since the request may be a
// retry.
func (request RetirementChange) begin(plan *config.Config, all config.Retirements, version uint64, now time.Time) (register.Fields, error) {
	if existing, ok := all[request.Old]; ok && existing.New == request.New && !existing.IsPast() && existing.Phase != config.Undoing {
		return nil, nil
	}
	if err := request.check(plan, all); err != nil {
		return nil, err
	}
	retirement := config.Retirement{Number: version + 1, Old: request.Old, New: request.New, Phase: config.Moving, Since: now}
	return config.Field(retirement.Old, retirement), nil
}

// undo returns the change that undoes a retirement.
func (request RetirementChange) undo(all config.Retirements, now time.Time) (register.Fields, error) {
	retirement, err := findUndoable(all, request.Old)
	if err != nil {
		return nil, err
	}
	retirement = retirement.With(config.Undoing, "", config.Move{Since: now})
	return config.Field(retirement.Old, retirement), nil
}

// check verifies that a retirement can be completed before anything is moved. The errors are apierror.Missing, Crossed, NotFound and
// NoBuild.
func (request RetirementChange) check(plan *config.Config, all config.Retirements) error {
	if request.Old == "" || request.New == "" || request.Old == request.New {
		return apierror.New(apierror.Missing, "a retirement needs an old base model and a different new one")
	}
	if other, crossed := all.Crossing(request.Old, request.New); crossed {
		return apierror.New(apierror.Crossed, "retirement %d of %s in favor of %s is %s", other.Number, other.Old, other.New, other.Phase)
	}
	for _, model := range []string{request.Old, request.New} {
		if other, retired := all[model]; retired {
			return apierror.New(apierror.Crossed, "%s was retired in favor of %s", model, other.New)
		}
	}
	var withoutBuild []string
	moved := adaptersOn(plan, all, request.Old)
	for _, adapter := range moved {
		if adapter.Builds[request.New] == "" {
			withoutBuild = append(withoutBuild, adapter.Name)
		}
	}
	switch {
	case len(moved) == 0:
		return apierror.New(apierror.NotFound, "no adapter uses %s", request.Old)
	case len(withoutBuild) > 0:
		return apierror.New(apierror.NoBuild, "adapters without a build for %s: %s", request.New, strings.Join(withoutBuild, ", "))
	}
	return nil
}

// adaptersOn lists the adapters that use a base, or used it before its retirement.
func adaptersOn(plan *config.Config, all config.Retirements, base string) (adapters []config.Adapter) {
	for _, name := range slices.Sorted(maps.Keys(plan.Adapters)) {
		if adapter := plan.Adapters[name]; all.IsOn(adapter, base) {
			adapters = append(adapters, adapter)
		}
	}
	return adapters
}

// findUndoable finds the retirement to undo: the one of the given model, or without a model the only one in progress. The errors are
// apierror.PastUndo, NotFound and Missing.
func findUndoable(all config.Retirements, old string) (config.Retirement, error) {
	var found []config.Retirement
	for name, retirement := range all {
		if name == old || old == "" && retirement.IsRunning() {
			found = append(found, retirement)
		}
	}
	switch {
	case len(found) == 0 && old == "" && len(all) > 0:
		return config.Retirement{}, apierror.New(apierror.PastUndo, "every retirement is complete")
	case len(found) == 0:
		return config.Retirement{}, apierror.New(apierror.NotFound, "no retirement is in progress")
	case len(found) > 1:
		return config.Retirement{}, apierror.New(apierror.Missing, "%d retirements are in progress: name the old model", len(found))
	case found[0].IsPast():
		return found[0], apierror.New(apierror.PastUndo, "%s has been %s since %s", found[0].Old, found[0].Phase, found[0].Since.UTC().Format(time.RFC3339))
	}
	return found[0], nil
}

// RetirementStep is a step of the retirement controller: the complete next state of one retirement, or its end. It is rejected if the
// register's version is not the one that the holder acted on, or if a higher lease has written to the register.
type RetirementStep struct {
	// Old is the model; empty: the holder only takes over the role.
	Old string `json:"old,omitempty"`
	// Next is the retirement's next state; nil: the retirement ends and its record is removed.
	Next            *config.Retirement `json:"to,omitempty"`
	ExpectedVersion uint64             `json:"expect"`
	Holder          config.RoleHolder  `json:"duty"`
}

func (c *Core) applyRetirementStep(ctx context.Context, step RetirementStep) (Accepted, error) {
	revision, err := c.owner.Change(ctx, config.RetirementKey, func(current register.Fields, version uint64) (register.Fields, error) {
		all, holder, err := config.ParseRetirements(current)
		if err == nil {
			err = holder.Check(step.Holder)
		}
		if err != nil {
			return nil, err
		}
		if step.ExpectedVersion != version {
			return nil, apierror.New(apierror.Conflict, "expected version %d, current version is %d", step.ExpectedVersion, version)
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

// wallClock returns the time shown to operators; no decision depends on it.
func (c *Core) wallClock() time.Time {
	if c.host.Clock != nil {
		return c.host.Clock()
	}
	return time.Now()
}

// newestPlan returns the configuration, at least as new as at the time of the call.
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

// retirementRows lists the retirements, the adapters that they move, each adapter's route, and each replica with what it waits for.
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
			_, blocker := state.nextOrder(name)
			report := state.reports[name]
			rows = append(rows, retirementRow("replica", name, router.Row{"waits_for": blocker, "pool": pool,
				"bases":    strings.Join(slices.Sorted(maps.Keys(report.Bases)), " "),
				"adapters": strings.Join(slices.Sorted(maps.Keys(report.Adapters)), " ")}))
		}
	}
	return rows
}

// rowsOf lists one retirement and the adapters that it moves.
func (s *adapterState) rowsOf(retirement config.Retirement, now time.Time) []router.Row {
	_, _, blocker := s.nextStep(retirement, false, now)
	rows := []router.Row{retirementRow("retirement", retirement.Old, router.Row{"phase": string(retirement.Phase), "since": formatTime(retirement.Since),
		"waits_for": blocker, "base": retirement.New, "number": retirement.Number, "holder": s.holder.Holder})}
	for _, adapter := range adaptersOn(s.plan, s.retirements, retirement.Old) {
		next, moveBlocker := s.nextMove(retirement, adapter)
		phase, since := retirement.Moves[adapter.Name].Phase, retirement.Moves[adapter.Name].Since
		if phase == "" {
			phase, since = "loading", retirement.Since
		}
		if !retirement.IsRunning() || retirement.Phase == config.Undoing {
			moveBlocker = ""
		}
		rows = append(rows, retirementRow("adapter", adapter.Name, router.Row{"phase": string(phase), "since": formatTime(since),
			"waits_for": moveBlocker, "build": next.Build}))
	}
	return rows
}

// retirementRow returns a row with the columns common to all rows and the given ones.
func retirementRow(kind, name string, columns router.Row) router.Row {
	row := router.Row{"kind": kind, "name": name, "phase": "", "since": "", "waits_for": ""}
	maps.Copy(row, columns)
	return row
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339Nano)
}
