package controlplane

import (
	"context"
	"encoding/json"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/throttle"
)

// throttleField is the field of a throttle's register that holds the throttle, and the field of the configuration that holds the
// throttle rule.
const throttleField = "hold"

func throttleRegister(n throttle.Notice) string { return protocol.ThrottlePrefix + n.Scope }

// handleThrottle merges a throttle stored by another core, which also publishes it to agents.
func (c *Core) handleThrottle(_ context.Context, n throttle.Notice) (struct{}, error) {
	_, err := c.mergeThrottle(n)
	return struct{}{}, err
}

// mergeThrottle adds a throttle to the table, and reports whether it extends what the table had.
func (c *Core) mergeThrottle(n throttle.Notice) (extended bool, err error) {
	if n.Scope == "" || n.ID == "" {
		return false, apierror.New(apierror.Missing, "a hold needs a scope and a mark")
	}
	return c.throttles.Merge(n, throttle.Longest), nil
}

// applyThrottle merges a throttle reported by a proxy, which publishes it to all agents, and stores it on a majority (docs/design.md
// §4.2). The caller does not wait for the disks: if this core loses a throttle, the next rejected request reports it again.
func (c *Core) applyThrottle(ctx context.Context, n throttle.Notice) (struct{}, error) {
	if extended, err := c.mergeThrottle(n); err != nil || !extended || n.Observed {
		return struct{}{}, err
	}
	c.host.Log.Info().Str("scope", n.Scope).Str("id", n.ID).Int64("remaining_ms", n.RemainingMs).Str("reason", n.Reason).Msg("throttle extended")
	go c.storeThrottle(context.WithoutCancel(ctx), n)
	return struct{}{}, nil
}

func (c *Core) storeThrottle(ctx context.Context, n throttle.Notice) {
	ctx, cancel := context.WithTimeout(ctx, protocol.OperationTimeout)
	defer cancel()
	key := throttleRegister(n)
	revision, err := c.owner.Change(ctx, key, func(register.Fields, uint64) (register.Fields, error) {
		return config.Field(throttleField, n), nil
	})
	if err != nil {
		c.logOutcome("throttle", key, revision, err)
	}
}

// restoreThrottle restarts the remaining time of a stored throttle at the start of this process, so that it ends later than the
// original, never earlier.
func (c *Core) restoreThrottle(scope string) {
	var n throttle.Notice
	raw := c.acceptor.Read(protocol.ThrottlePrefix + scope).Fields[throttleField]
	if raw == nil {
		return
	}
	if err := json.Unmarshal(raw, &n); err != nil {
		c.host.Log.Warn().Str("scope", scope).Err(err).Msg("stored throttle cannot be read")
		return
	}
	c.throttles.Merge(n, throttle.Longest)
}
