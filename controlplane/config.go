package controlplane

import (
	"context"
	"encoding/json"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/idempotency"
	"asterridge/register"
)

// Conditions on what a ConfigChange names.
const (
	mustBeNew   = "new"
	mustBeKnown = "known"
)

// ConfigChange is a whole or partial configuration from an operator.
type ConfigChange struct {
	idempotency.Key
	Text    json.RawMessage `json:"text"`
	Partial bool            `json:"partial"`
	// ExpectedVersion is the version that the operator saw; nil: any.
	ExpectedVersion *uint64 `json:"expect,omitempty"`
	// NameCondition is "new" if what is named must not exist yet, "known" if it must; empty: either.
	NameCondition string `json:"named,omitempty"`
}

// applyConfig merges or replaces the configuration. What stands already is no change, so the same order may come again.
func (c *Core) applyConfig(ctx context.Context, order ConfigChange) (Accepted, error) {
	key := order.Key
	order.Key = idempotency.Key{}
	return c.changeOnce(ctx, config.Key, "configuration", key, order, func(present register.Fields, version uint64) (register.Fields, error) {
		fields, err := order.merge(present, version)
		if err != nil {
			return nil, err
		}
		change := config.Delta(present, fields)
		switch created := len(fields) > len(present); {
		case order.NameCondition == mustBeNew && !created && len(present) > 0:
			return nil, apierror.New(apierror.Exists, "a thing of this name is there already")
		case len(change) == 0:
			return nil, nil // it stands: the order came again, or another one asked for the same
		case order.ExpectedVersion != nil && *order.ExpectedVersion != version:
			return nil, apierror.New(apierror.Conflict, "expected version %d, present is %d", *order.ExpectedVersion, version)
		case order.NameCondition == mustBeKnown && created:
			return nil, apierror.New(apierror.NotFound, "nothing has this name")
		}
		return change, nil
	})
}

// merge gives the fields of the configuration that the order makes of the present one.
func (order ConfigChange) merge(present register.Fields, version uint64) (register.Fields, error) {
	number, err := config.Number(present)
	if err != nil {
		return nil, err
	}
	if number > 0 {
		return nil, apierror.New(apierror.Conflict, "this fleet is declared by numbered configurations, present is %d", number)
	}
	base, err := config.FromFields(present)
	if err != nil {
		return nil, err
	}
	next, err := config.Parse(order.Text, base, order.Partial)
	if err != nil {
		return nil, err
	}
	if err := next.KeepBases(base); err != nil {
		return nil, err
	}
	next.Inherit(base, version+1)
	return next.Fields(), nil
}

// applyNumberedConfig takes a numbered configuration (docs/design.md §2.9). The same one again is answered as it was the first time.
func (c *Core) applyNumberedConfig(ctx context.Context, d config.NumberedConfig) (Accepted, error) {
	revision, err := c.owner.Change(ctx, config.Key, func(present register.Fields, version uint64) (register.Fields, error) {
		change, err := config.ApplyNumbered(present, version, d)
		if err == nil && len(change) > 0 && present[throttleField] == nil && c.options.Throttle != nil {
			change.Apply(config.Field(throttleField, c.options.Throttle))
		}
		return change, err
	})
	c.logOutcome("numbered configuration", config.Key, revision, err)
	return Accepted{Version: revision.Version}, err
}

// SubmitConfig takes a numbered configuration to the configuration's owner; nil means that a majority has it. The error is
// apierror.Conflict if another configuration was accepted in its place, apierror.Undecided if it may or may not have been accepted.
func (c *Core) SubmitConfig(ctx context.Context, d config.NumberedConfig) error {
	_, err := c.operations.numberedConfig.submit(ctx, d)
	return err
}

// ReadConfig gives the newest accepted configuration: no older one than any that was accepted before the call. It fails if no majority
// confirms that it is the newest.
func (c *Core) ReadConfig(ctx context.Context) (number uint64, texts []config.Text, err error) {
	record, err := c.newestConfig(ctx)
	if err != nil { // a register that nobody owns yet is acquired, which writes to a majority of disks
		record, err = c.quorumRead(ctx, config.Key)
	}
	if err != nil {
		return 0, nil, err
	}
	number, err = config.Number(record.Fields)
	return number, config.Texts(record.Fields), err
}

// newestConfig gives the configuration's register, no older than at the time of the call.
func (c *Core) newestConfig(ctx context.Context) (register.Record, error) {
	newest, err := c.operations.commit.submit(ctx, CommitRequest{Key: config.Key})
	if err != nil {
		return register.Record{}, err
	}
	return c.awaitRevision(ctx, config.Key, newest.Revision)
}
