package controlplane

import (
	"context"
	"strings"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
)

// transferProgress notes which keys are known to be on a majority of the list of that version. What is written later is written under that list, so
// a key stays carried.
type transferProgress struct {
	version uint64
	keys    map[string]bool
}

// transferKeys has every key settled on a majority of the new list, and then says so in the list; only then may it change again (§2.8).
func (c *Core) transferKeys(ctx context.Context) {
	record := c.acceptor.Read(config.MembersKey)
	if record.Fields[protocol.PreviousMembersField] == nil || !record.IsCommitted() || register.Pick(config.MembersKey, c.live()) != c.host.Name || !c.transferMu.TryLock() {
		return
	}
	go func() {
		defer c.transferMu.Unlock()
		if c.transferred.version != record.Revision.Version {
			c.transferred = transferProgress{record.Revision.Version, map[string]bool{}}
		}
		if !c.transferPending(ctx) {
			return // the next beat goes on with those that are left
		}
		revision, err := c.owner.Change(ctx, config.MembersKey, func(now register.Fields, version uint64) (register.Fields, error) {
			if now[protocol.PreviousMembersField] == nil || version != record.Revision.Version {
				return nil, apierror.New(apierror.Conflict, "the list has changed meanwhile")
			}
			return register.Fields{protocol.PreviousMembersField: nil}, nil
		})
		c.logOutcome("carried", config.MembersKey, revision, err)
		if err == nil {
			c.wake() // for the next change of members; after a failure the next step is soon enough
		}
	}()
}

// transferPending carries the keys that are left, and says whether none is left then; c.carrying is held.
func (c *Core) transferPending(ctx context.Context) bool {
	var left []string
	for key := range c.knownKeys() {
		if key != config.MembersKey && !c.transferred.keys[key] {
			left = append(left, key)
		}
	}
	done := make(chan string, len(left))
	failed := forEachKey(left, func(key string) error {
		short, stop := context.WithTimeout(ctx, 2*protocol.QuorumTimeout)
		defer stop()
		_, err := rpc.Call[CommitResponse](short, c.rpc, c.host.Address, "/op/settle", CommitRequest{Key: key, Rewrite: true})
		if err != nil {
			c.host.Log.Warn().Str("event", "carry_failed").Str("key", key).Err(err).Msg("")
			return err
		}
		done <- key
		return nil
	})
	close(done)
	for key := range done {
		c.transferred.keys[key] = true
	}
	return failed == 0
}

// knownKeys are the keys of this core and of those that it follows.
func (c *Core) knownKeys() map[string]bool {
	keys := map[string]bool{}
	for _, key := range c.acceptor.Keys() {
		keys[key] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.peers {
		for _, key := range f.Keys() {
			if key != router.HoldKey && !strings.HasPrefix(key, router.KeptPrefix) {
				keys[key] = true
			}
		}
	}
	return keys
}
