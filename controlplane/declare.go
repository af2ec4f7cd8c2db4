package controlplane

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rpc"
)

// applyNumberedConfig takes a numbered configuration (§2.9). The same one again is answered as it was the first time.
func (c *Core) applyNumberedConfig(ctx context.Context, d config.Declaration) (Accepted, error) {
	revision, err := c.owner.Change(ctx, config.Key, func(now register.Fields, version uint64) (register.Fields, error) {
		change, err := config.Declare(now, version, d)
		if err == nil && len(change) > 0 && now["hold"] == nil && c.options.Throttle != nil {
			change.Apply(config.Field("hold", c.options.Throttle))
		}
		return change, err
	})
	c.logOutcome("declaration", config.Key, revision, err)
	return Accepted{revision.Version}, err
}

// SubmitConfig takes a numbered configuration to the configuration's owner; nil error means that a majority has it.
func (c *Core) SubmitConfig(ctx context.Context, d config.Declaration) error {
	_, err := c.submitNumberedConfig(ctx, d)
	return err
}

// ReadConfig gives the newest accepted configuration: no older one than any that was accepted before the call.
func (c *Core) ReadConfig(ctx context.Context) (number uint64, texts []config.Text, err error) {
	newest, err := c.submitCommit(ctx, CommitRequest{Key: config.Key})
	if err != nil {
		return 0, nil, err
	}
	record, err := c.awaitRevision(ctx, config.Key, newest.Revision)
	if err != nil {
		return 0, nil, err
	}
	return config.Number(record.Fields), config.Texts(record.Fields), nil
}

// awaitRevision waits a short while until this core's disk has a key's settled content, of that version or a later one.
func (c *Core) awaitRevision(ctx context.Context, key string, revision register.Revision) (register.Record, error) {
	short, stop := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer stop()
	for {
		record := c.acceptor.Read(key)
		later := revision.Less(record.Revision) && record.IsCommitted() // one that is not may be lost yet
		if record.Revision == revision || later {
			return record, nil
		}
		if err := rpc.Sleep(short, tickInterval/10); err != nil {
			return record, apierror.Wrap(err, apierror.Behind, key)
		}
	}
}

// ModelVersionChange names a version of a model, which its replicas are to load.
type ModelVersionChange struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

func (c *Core) applyModelVersion(ctx context.Context, o ModelVersionChange) (Accepted, error) {
	if o.Model == "" || o.Version == 0 {
		return Accepted{}, apierror.New(apierror.Missing, "a model's version needs the model and a number from 1")
	}
	revision, err := c.owner.Change(ctx, config.ModelsKey, func(now register.Fields, _ uint64) (register.Fields, error) {
		var before config.Model
		if json.Unmarshal(now[o.Model], &before) == nil && before.Version >= o.Version {
			return nil, nil // named already
		}
		return config.Field(o.Model, config.Model{Version: o.Version}), nil
	})
	c.logOutcome("model", config.ModelsKey, revision, err)
	return Accepted{revision.Version}, err
}

// PublishModelVersion takes a model's version to the owner; nil error means that a majority has it.
func (c *Core) PublishModelVersion(ctx context.Context, o ModelVersionChange) error {
	_, err := c.submitModelVersion(ctx, o)
	return err
}

// reconcileMembership admits joiners and retires members that are lost, one change at a time (§2.8). Only the member that would own the list tries;
// every guard of the order itself stands.
func (c *Core) reconcileMembership(ctx context.Context) {
	record := c.acceptor.Read(config.MembersKey)
	if record.Fields[protocol.PreviousMembersField] != nil || !record.IsCommitted() || register.Pick(config.MembersKey, c.live()) != c.host.Name {
		return
	}
	members, _, _ := protocol.ReadMembers(record.Fields)
	order, wanted := c.nextMembershipChange(members)
	if !wanted || !c.reconcileMu.TryLock() {
		return
	}
	go func() {
		defer c.reconcileMu.Unlock()
		short, stop := context.WithTimeout(ctx, 2*protocol.QuorumTimeout)
		defer stop()
		if _, err := c.applyMembershipChange(short, order); err == nil { // a failure is logged there; the next step looks again
			c.wake()
		}
	}()
}

// nextMembershipChange gives the change of members that is due.
func (c *Core) nextMembershipChange(members []config.Member) (MembershipChange, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.joiners {
		if time.Since(s.heardAt) > joinerTimeout/3 {
			continue
		}
		member, isClash := false, ""
		for _, m := range members {
			member = member || m.Incarnation == s.Incarnation
			if m.Name == s.Name || m.Address == s.Address {
				isClash = m.Name
			}
		}
		switch {
		case member:
		case isClash != "":
			return MembershipChange{Do: removeMember, Name: isClash, Lost: s.Incarnation}, true
		case s.CaughtUp:
			return MembershipChange{Do: admitMember, Name: s.Name}, true
		}
	}
	if c.liveness.quorumSince >= stableQuorumTime {
		for _, m := range members {
			if c.isLost(m, members) {
				return MembershipChange{Do: removeMember, Name: m.Name}, true
			}
		}
	}
	return MembershipChange{}, false
}

// isLost says whether a member has been silent for so long that it is to be retired: one that another came for, or one without whom the
// others bear the tolerated losses, or more losses than with it once all that are lost like it are retired. c.mu is held.
func (c *Core) isLost(m config.Member, members []config.Member) bool {
	quiet := c.liveness.unresponsiveFor(m)
	if quiet < replacementTimeout {
		return false
	}
	if c.liveness.isReplaced(m, members) {
		return true
	}
	if quiet < removalTimeout {
		return false
	}
	rest := slices.DeleteFunc(slices.Clone(members), func(other config.Member) bool { return other.Name == m.Name })
	if len(rest) < minMembers {
		return false
	}
	silent := c.liveness.countUnresponsive(members, protocol.LivenessTimeout)
	retired := min(c.liveness.countUnresponsive(members, removalTimeout), len(members)-minMembers)
	return membership.SpareLosses(len(rest), silent-1) >= c.options.Tolerance.Losses(rest) ||
		membership.SpareLosses(len(members)-retired, silent-retired) > membership.SpareLosses(len(members), silent)
}
