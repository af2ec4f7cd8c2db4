package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
)

// The states of a claim, in the words of router.Claim.
const (
	claimRunning  = "running"
	claimExecuted = "ran"
	claimReleased = "free"
)

// claimRecord is a claim on disk. One that was given back stays for a while, so that a late copy of its taking is known for what it is.
type claimRecord struct {
	Nonce    string   `json:"nonce"`
	State    string   `json:"state"`
	Proxy    string   `json:"proxy"`
	Released []string `json:"freed,omitempty"` // requests before this one that gave the key back
}

const (
	maxReleased       = 8           // requests remembered as having given a key back
	releasedRetention = time.Minute // for which a key that was given back is remembered; messages are never so late
)

// applyClaim takes, settles or gives back a caller's key (§5.5).
func (c *Core) applyClaim(ctx context.Context, o ClaimRequest) (struct{}, error) {
	_, err := c.owner.Change(ctx, o.Register(), func(now register.Fields, _ uint64) (register.Fields, error) {
		return o.change(now, c.isRunning)
	})
	return struct{}{}, err
}

// change gives the change that a claim makes. A request's claim only goes from running to one of the other states, and each message may come
// twice, late, and behind the next one.
func (o ClaimRequest) change(now register.Fields, running func(proxy string) bool) (register.Fields, error) {
	field := o.Field()
	var before claimRecord
	ok := now[field] != nil && json.Unmarshal(now[field], &before) == nil
	own := ok && before.Nonce == o.Nonce
	free := !ok || before.State == claimReleased
	freed := own && free || slices.Contains(before.Released, o.Nonce)
	record := claimRecord{Nonce: o.Nonce, State: o.State, Proxy: o.Proxy, Released: before.Released}
	switch {
	case freed && o.State == claimRunning:
		return nil, apierror.New(apierror.NoClaim, "this request has given the key back")
	case own && before.State != claimRunning, own && o.State == claimRunning:
		return nil, before.rejection(o, running)
	case free && ok: // another request gave it back
		record.Released = append(slices.Clone(before.Released), before.Nonce)
		record.Released = record.Released[max(0, len(record.Released)-maxReleased):]
		return config.Field(field, record), nil
	case free, own:
		return config.Field(field, record), nil
	}
	return nil, before.rejection(o, running)
}

// rejection answers a message that changes nothing.
func (r claimRecord) rejection(o ClaimRequest, running func(proxy string) bool) error {
	own := r.Nonce == o.Nonce
	switch {
	case o.State != claimRunning, own && r.State == claimRunning:
		return nil
	case r.State == claimExecuted:
		return apierror.New(apierror.KeyRan, "an earlier request with this key ran")
	case r.State == claimRunning && running(r.Proxy):
		return apierror.New(apierror.InProgress, "another request with this key is in progress")
	}
	return apierror.New(apierror.KeyUnknown, "an earlier request with this key has an unknown outcome")
}

// isRunning says whether a proxy was heard of lately.
func (c *Core) isRunning(proxy string) bool {
	for _, s := range c.agentUpdates.ClientStates(ProxyTimeout) {
		var status AgentStatus
		if json.Unmarshal(s.Status, &status) == nil && status.Proxy != nil && status.Proxy.Proxy+"."+status.Proxy.Run == proxy {
			return true
		}
	}
	return false
}

// pruneClaims drops claims that this process has known for longer than the age. It looks after the groups that are assigned to it; a new owner counts
// anew, so a claim is kept for longer then, never for less.
func (c *Core) pruneClaims(ctx context.Context) {
	known := map[string]time.Time{}
	for _, key := range c.acceptor.Keys() {
		if !strings.HasPrefix(key, ClaimsPrefix) || !c.isAssigned(key) {
			continue
		}
		old := register.Fields{}
		for field, raw := range c.acceptor.Read(key).Fields {
			var claim claimRecord
			_ = json.Unmarshal(raw, &claim) // a broken one is dropped by its age like the others
			request := field + "/" + claim.Nonce
			since, ok := c.claimsSeen[request]
			if !ok {
				since = time.Now()
			}
			known[request] = since
			if age := time.Since(since); age > c.options.ClaimRetention || claim.State == claimReleased && age > releasedRetention {
				old[field] = raw
			}
		}
		if len(old) > 0 {
			revision, err := c.owner.Change(ctx, key, func(now register.Fields, _ uint64) (register.Fields, error) { return removeUnchanged(old, now), nil })
			c.logOutcome("claims_pruned", key, revision, err)
		}
	}
	c.claimsSeen = known
}

// removeUnchanged gives the removal of the fields that still are as they were seen.
func removeUnchanged(seen, now register.Fields) register.Fields {
	removed := register.Fields{}
	for field, raw := range seen {
		if string(now[field]) == string(raw) {
			removed[field] = nil
		}
	}
	return removed
}
