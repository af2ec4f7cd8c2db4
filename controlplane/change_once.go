package controlplane

import (
	"context"
	"maps"

	"asterridge/idempotency"
	"asterridge/register"
)

// changeOnce applies an operator's request to a register; label names the change in the log. A request that has an idempotency key and
// was applied before gets the same response again, without a change; request is what the caller sent under its key. op sees the
// register without the history of applied requests. Besides the errors of op and of register.Owner, it returns apierror.KeyReused and
// apierror.Forgotten.
func (c *Core) changeOnce(ctx context.Context, registerKey, label string, key idempotency.Key, request any, op register.Op) (Accepted, error) {
	order, err := idempotency.Identify(key, request)
	if err != nil {
		return Accepted{}, err
	}
	var applied uint64 // set by the owner before Change returns, and read only after it succeeded
	revision, err := c.owner.Change(ctx, registerKey, func(current register.Fields, version uint64) (register.Fields, error) {
		history, content, err := idempotency.Split(current)
		if err == nil {
			applied, err = history.AppliedVersion(order)
		}
		if err != nil || applied > 0 {
			return nil, err
		}
		change, err := op(content, version)
		if err != nil || !order.HasKey() {
			return change, err
		}
		return withHistory(change, history.Remember(order, version+1)), nil
	})
	c.logOutcome(label, registerKey, revision, err)
	if err == nil && applied > 0 {
		return Accepted{Version: applied}, nil
	}
	return Accepted{Version: revision.Version}, err
}

// withHistory merges a change with the fields that record it in the register's history.
func withHistory(change, record register.Fields) register.Fields {
	merged := make(register.Fields, len(change)+len(record))
	maps.Copy(merged, change)
	maps.Copy(merged, record)
	return merged
}
