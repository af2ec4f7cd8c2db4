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

// ConfigChange is a whole or partial configuration from an operator.
type ConfigChange struct {
	Text            json.RawMessage `json:"text"`
	Partial         bool            `json:"partial"`
	ExpectedVersion *uint64         `json:"expect,omitempty"` // the version that the operator saw
	NameCondition   string          `json:"named,omitempty"`  // "new": what is named must not exist yet; "known": it must
}

// Accepted is the answer to a change that a majority has.
type Accepted struct {
	Version uint64 `json:"version"`
}

func (c *Core) applyConfig(ctx context.Context, o ConfigChange) (Accepted, error) {
	revision, err := c.owner.Change(ctx, config.Key, func(now register.Fields, version uint64) (register.Fields, error) {
		if number := config.Number(now); number > 0 {
			return nil, apierror.New(apierror.Conflict, "this fleet is declared by numbered configurations, present is %d", number)
		}
		base, err := config.FromFields(now)
		if err != nil {
			return nil, err
		}
		made, err := config.Parse(o.Text, base, o.Partial)
		if err != nil {
			return nil, err
		}
		if err := made.KeepBases(base); err != nil {
			return nil, err
		}
		made.Inherit(base, version+1)
		fields := made.Fields()
		change := config.Delta(now, fields)
		switch created := len(fields) > len(now); {
		case o.NameCondition == "new" && !created && len(now) > 0:
			return nil, apierror.New(apierror.Exists, "a thing of this name is there already")
		case len(change) == 0:
			return nil, nil // it stands: the order came again, or another one asked for the same
		case o.ExpectedVersion != nil && *o.ExpectedVersion != version:
			return nil, apierror.New(apierror.Conflict, "expected version %d, present is %d", *o.ExpectedVersion, version)
		case o.NameCondition == "known" && created:
			return nil, apierror.New(apierror.NotFound, "nothing has this name")
		}
		return change, nil
	})
	c.logOutcome(config.Key, config.Key, revision, err)
	return Accepted{revision.Version}, err
}

func (c *Core) logOutcome(event, key string, revision register.Revision, err error) {
	if err != nil {
		c.host.Log.Warn().Str("event", event+"_rejected").Str("key", key).Err(err).Msg("")
		return
	}
	c.host.Log.Info().Str("event", event+"_accepted").Str("key", key).Uint64("epoch", revision.Epoch).Uint64("version", revision.Version).Msg("")
}

// AccessKeyChange adds or revokes an access key; only its hash travels.
type AccessKeyChange struct {
	Tenant  string `json:"tenant"`
	Hash    string `json:"hash"`
	Revoked bool   `json:"revoked"`
}

func (c *Core) applyAccessKey(ctx context.Context, o AccessKeyChange) (Accepted, error) {
	if o.Tenant == "" || len(o.Hash) != 32 {
		return Accepted{}, apierror.New(apierror.Missing, "a key order needs a tenant and a key's hash of 32 hex digits")
	}
	tenantIncarnation, err := c.tenantIncarnation(ctx, o.Tenant)
	if err != nil && !o.Revoked {
		return Accepted{}, err
	}
	key := config.KeysPrefix + o.Tenant
	revision, err := c.owner.Change(ctx, key, func(now register.Fields, _ uint64) (register.Fields, error) {
		var before config.Access
		ok := now[o.Hash] != nil && json.Unmarshal(now[o.Hash], &before) == nil
		switch {
		case o.Revoked && !ok:
			return nil, apierror.New(apierror.NotFound, "tenant %s has no such key", o.Tenant)
		case o.Revoked:
			before.Revoked = true
			return config.Field(o.Hash, before), nil
		case before.Revoked:
			return nil, apierror.New(apierror.Conflict, "the key was revoked: it does not come back")
		}
		return config.Field(o.Hash, config.Access{Born: tenantIncarnation}), nil
	})
	c.logOutcome("key", key, revision, err)
	return Accepted{revision.Version}, err
}

// tenantIncarnation gives the life of a tenant, as of all that was accepted before.
func (c *Core) tenantIncarnation(ctx context.Context, tenant string) (uint64, error) {
	plan, err := c.newestPlan(ctx)
	if err != nil {
		return 0, err
	}
	t, ok := plan.Tenants[tenant]
	if !ok {
		return 0, apierror.New(apierror.NotFound, "no tenant %q", tenant)
	}
	return t.Born, nil
}

// ReplicasChange is the platform's news; the text is read field by field.
type ReplicasChange struct {
	Text json.RawMessage `json:"text"`
}

func (c *Core) applyReplicas(ctx context.Context, o ReplicasChange) (Accepted, error) {
	replicas, err := config.ParseReplicas(o.Text)
	if err != nil {
		return Accepted{}, err
	}
	revision, err := c.owner.Change(ctx, config.ReplicasKey, func(now register.Fields, _ uint64) (register.Fields, error) {
		change := register.Fields{}
		for _, r := range replicas {
			if r.State == "gone" {
				change[r.Name] = nil
				continue
			}
			if r.State == "leaving" && r.Address == "" {
				var before config.Replica
				if now[r.Name] == nil || json.Unmarshal(now[r.Name], &before) != nil {
					return nil, apierror.New(apierror.NotFound, "no replica %q", r.Name)
				}
				r = before
				r.State = "leaving"
			}
			change[r.Name] = config.Field(r.Name, r)[r.Name]
		}
		return change, nil
	})
	c.logOutcome("replicas", config.ReplicasKey, revision, err)
	return Accepted{revision.Version}, err
}

// handleThrottle merges a throttle that another core keeps, and so tells the agents of it.
func (c *Core) handleThrottle(_ context.Context, n throttle.Notice) (struct{}, error) {
	_, err := c.mergeThrottle(n)
	return struct{}{}, err
}

func (c *Core) mergeThrottle(n throttle.Notice) (created bool, err error) {
	if n.Scope == "" || n.ID == "" {
		return false, apierror.New(apierror.Missing, "a hold needs a scope and a mark")
	}
	return c.throttles.Merge(n, throttle.Longest), nil
}

// applyThrottle merges a proxy's throttle, tells all agents by doing so, and keeps it on a majority (§4.2).
func (c *Core) applyThrottle(ctx context.Context, n throttle.Notice) (struct{}, error) {
	if created, err := c.mergeThrottle(n); err != nil || !created || n.Observed {
		return struct{}{}, err
	}
	c.host.Log.Info().Str("event", "hold").Str("scope", n.Scope).Str("mark", n.ID).Int64("remaining_ms", n.RemainingMs).Str("reason", n.Reason).Msg("")
	go func() {
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), 2*protocol.QuorumTimeout)
		defer stop()
		revision, err := c.owner.Change(ctx, protocol.ThrottlePrefix+n.Scope, func(register.Fields, uint64) (register.Fields, error) {
			return config.Field("hold", n), nil
		})
		if err != nil {
			c.logOutcome("hold", protocol.ThrottlePrefix+n.Scope, revision, err)
		}
	}()
	return struct{}{}, nil
}

// CommitRequest asks the owner to settle a key.
type CommitRequest struct {
	Key     string `json:"key"`
	Rewrite bool   `json:"carry,omitempty"` // have the membership accept the key anew even if it is settled
	// Accepted is what the asker has accepted. Above what is settled, it came to no majority; the asker takes what did only under a later epoch.
	Accepted register.Revision `json:"has"`
}

// CommitResponse has the settled revision.
type CommitResponse struct {
	Revision register.Revision `json:"stamp"`
}

func (c *Core) commitKey(ctx context.Context, o CommitRequest) (CommitResponse, error) {
	revision, err := c.owner.Commit(ctx, o.Key, o.Rewrite)
	if err == nil && revision.Less(o.Accepted) {
		revision, err = c.owner.Commit(ctx, o.Key, true)
	}
	return CommitResponse{revision}, err
}
