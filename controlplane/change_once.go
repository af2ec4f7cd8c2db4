package controlplane

import (
	"context"
	"maps"

	"asterridge/idempotency"
	"asterridge/register"
)

// changeOnce applies an operator's order to a register. One that has a key and was applied before is answered as it was then, without a change;
// sent is what the caller sent under its key. The op sees the register without what is remembered of orders. The errors besides those
// of the op and of register.Owner are apierror.KeyReused and apierror.Forgotten.
func (c *Core) changeOnce(ctx context.Context, registerKey, what string, key idempotency.Key, sent any, op register.Op) (Accepted, error) {
	order, err := idempotency.Identify(key, sent)
	if err != nil {
		return Accepted{}, err
	}
	var applied uint64 // set by the owner before it answers, and read only if it did
	revision, err := c.owner.Change(ctx, registerKey, func(present register.Fields, version uint64) (register.Fields, error) {
		memory, content, err := idempotency.Split(present)
		if err == nil {
			applied, err = memory.AppliedVersion(order)
		}
		if err != nil || applied > 0 {
			return nil, err
		}
		change, err := op(content, version)
		if err != nil || !order.HasKey() {
			return change, err
		}
		return withMemory(change, memory.Remember(order, version+1)), nil
	})
	c.logOutcome(what, registerKey, revision, err)
	if err == nil && applied > 0 {
		return Accepted{Version: applied}, nil
	}
	return Accepted{Version: revision.Version}, err
}

// withMemory gives a change together with what is to be remembered of it.
func withMemory(change, remembered register.Fields) register.Fields {
	merged := make(register.Fields, len(change)+len(remembered))
	maps.Copy(merged, change)
	maps.Copy(merged, remembered)
	return merged
}
