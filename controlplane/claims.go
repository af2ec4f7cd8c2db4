package controlplane

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"asterridge/claim"
	"asterridge/protocol"
	"asterridge/register"
)

// applyClaim applies a request about a client's idempotency key to its register.
func (c *Core) applyClaim(ctx context.Context, request claim.Request) (struct{}, error) {
	_, err := c.owner.Change(ctx, request.Register(), func(fields register.Fields, _ uint64) (register.Fields, error) {
		return claim.Apply(request, fields, c.isProxyRunning)
	})
	return struct{}{}, err
}

// isProxyRunning reports whether a run of a proxy was reported by its agent within protocol.ProxyTimeout.
func (c *Core) isProxyRunning(run string) bool {
	for _, state := range c.agentUpdates.ClientStates(protocol.ProxyTimeout) {
		if status, ok := agentStatus(state); ok && status.Proxy != nil && status.Proxy.RunName() == run {
			return true
		}
	}
	return false
}

// pruneClaims removes claims that this process has known for longer than the retention period, in the registers assigned to it. A new
// process starts counting from zero, so a claim may be retained for longer than options.ClaimRetention, but never for less.
func (c *Core) pruneClaims(ctx context.Context) {
	seen := map[string]time.Time{}
	for _, key := range c.acceptor.Keys() {
		if !strings.HasPrefix(key, claim.RegisterPrefix) || !c.isAssigned(key) {
			continue
		}
		expired := register.Fields{}
		for field, raw := range c.acceptor.Read(key).Fields {
			var record claim.Record
			if json.Unmarshal(raw, &record) != nil {
				record = claim.Record{State: claim.Unknown} // an unreadable claim expires by age like the others
			}
			id := field + "/" + record.Nonce
			since, ok := c.claimFirstSeen[id]
			if !ok {
				since = time.Now()
			}
			seen[id] = since
			if record.Expired(time.Since(since), c.options.ClaimRetention) {
				expired[field] = raw
			}
		}
		if len(expired) == 0 {
			continue
		}
		revision, err := c.owner.Change(ctx, key, func(fields register.Fields, _ uint64) (register.Fields, error) {
			return removeUnchanged(expired, fields), nil
		})
		c.logOutcome("pruning of claims", key, revision, err)
	}
	c.claimFirstSeen = seen
}

// removeUnchanged returns the change that removes those of the seen fields whose content has not changed since.
func removeUnchanged(seen, current register.Fields) register.Fields {
	removed := register.Fields{}
	for field, raw := range seen {
		if string(current[field]) == string(raw) {
			removed[field] = nil
		}
	}
	return removed
}
