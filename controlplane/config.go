package controlplane

import (
	"context"
	"encoding/json"
	"strings"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/idempotency"
	"asterridge/register"
)

// Values of ConfigChange.NameCondition.
const (
	mustBeNew   = "new"
	mustBeKnown = "known"
)

// ConfigChange is a complete or partial configuration sent by an operator.
type ConfigChange struct {
	idempotency.Key
	Text    json.RawMessage `json:"text"`
	Partial bool            `json:"partial"`
	// ExpectedVersion is the version that the operator's change is based on; nil: any.
	ExpectedVersion *uint64 `json:"expect,omitempty"`
	// NameCondition is "new" if the named item must not exist yet, "known" if it must exist; empty: either.
	NameCondition string `json:"named,omitempty"`
}

// applyConfig merges or replaces the configuration. A request that changes nothing succeeds, so it may be retried.
func (c *Core) applyConfig(ctx context.Context, request ConfigChange) (Accepted, error) {
	key := request.Key
	request.Key = idempotency.Key{}
	return c.changeOnce(ctx, config.Key, "configuration", key, request, func(current register.Fields, version uint64) (register.Fields, error) {
		fields, err := request.merge(current, version)
		if err != nil {
			return nil, err
		}
		change := config.Delta(current, fields)
		switch created := createsItem(current, fields); {
		case request.NameCondition == mustBeNew && !created && len(current) > 0:
			return nil, apierror.New(apierror.Exists, "an item with this name already exists")
		case len(change) == 0:
			return nil, nil // already applied: this is a retry, or another request made the same change
		case request.ExpectedVersion != nil && *request.ExpectedVersion != version:
			return nil, apierror.New(apierror.Conflict, "expected version %d, current version is %d", *request.ExpectedVersion, version)
		case request.NameCondition == mustBeKnown && created:
			return nil, apierror.New(apierror.NotFound, "no item has this name")
		}
		return change, nil
	})
}

// createsItem reports whether a configuration has an item that the current one lacks. The names of items contain their kind and a slash.
func createsItem(current, fields register.Fields) bool {
	for name := range fields {
		if _, known := current[name]; !known && strings.Contains(name, "/") {
			return true
		}
	}
	return false
}

// merge returns the fields of the configuration that results from applying the request to the current one. They are the current ones if
// the request changes no item.
func (request ConfigChange) merge(current register.Fields, version uint64) (register.Fields, error) {
	number, err := config.Number(current)
	if err != nil {
		return nil, err
	}
	if number > 0 {
		return nil, apierror.New(apierror.Conflict, "this fleet uses numbered configurations; the current one is %d", number)
	}
	base, err := config.FromFields(current)
	if err != nil {
		return nil, err
	}
	next, err := config.Parse(request.Text, base, request.Partial)
	if err != nil {
		return nil, err
	}
	if err := next.KeepBases(base); err != nil {
		return nil, err
	}
	next.Inherit(base, version+1)
	if len(current) > 0 && next.DeclaresSame(base) {
		return current, nil
	}
	return next.Fields(), nil
}

// applyNumberedConfig applies a numbered configuration (docs/design.md §2.9). A repeated request gets the same response as the first
// one.
func (c *Core) applyNumberedConfig(ctx context.Context, d config.NumberedConfig) (Accepted, error) {
	revision, err := c.owner.Change(ctx, config.Key, func(current register.Fields, version uint64) (register.Fields, error) {
		change, err := config.ApplyNumbered(current, version, d)
		if err == nil && len(change) > 0 && current[throttleField] == nil && c.options.Throttle != nil {
			change.Apply(config.Field(throttleField, c.options.Throttle))
		}
		return change, err
	})
	c.logOutcome("numbered configuration", config.Key, revision, err)
	return Accepted{Version: revision.Version}, err
}

// SubmitConfig sends a numbered configuration to the owner of the configuration register; nil means that a majority has accepted it.
// The error is apierror.Conflict if another configuration was accepted instead, and apierror.Undecided if it is unknown whether this
// one was accepted.
func (c *Core) SubmitConfig(ctx context.Context, d config.NumberedConfig) error {
	_, err := c.operations.numberedConfig.submit(ctx, d)
	return err
}

// ReadConfig returns the newest accepted configuration, at least as new as any accepted before the call. It fails if no majority
// confirms that it is the newest.
func (c *Core) ReadConfig(ctx context.Context) (config.NumberedTexts, error) {
	record, err := c.newestConfig(ctx)
	if err != nil { // the read above may acquire ownership of the register, which needs writes to a majority of disks
		record, err = c.quorumRead(ctx, config.Key)
	}
	if err != nil {
		return config.NumberedTexts{}, err
	}
	return config.DecodeNumbered(record.Fields)
}

// newestConfig returns the configuration register, at least as new as at the time of the call.
func (c *Core) newestConfig(ctx context.Context) (register.Record, error) {
	newest, err := c.operations.commit.submit(ctx, CommitRequest{Key: config.Key})
	if err != nil {
		return register.Record{}, err
	}
	return c.awaitRevision(ctx, config.Key, newest.Revision)
}
