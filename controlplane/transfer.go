package controlplane

import (
	"context"
	"strings"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
)

// transferProgress records which keys are known to be on a majority of the list of that version. Later writes are made under that list,
// so a transferred key stays transferred.
type transferProgress struct {
	version uint64
	keys    map[string]bool
}

// transferKeys has every register accepted by a majority of the new list and then records in the list that the transfer has ended; only
// then may the list change again (docs/design.md §2.8). It returns immediately; keys that fail are retried at a later tick.
func (c *Core) transferKeys(ctx context.Context) {
	record := c.acceptor.Read(config.MembersKey)
	due := record.Fields[membership.PreviousField] != nil && record.IsCommitted()
	dueFor := c.transferAge.observe(due, time.Now())
	if !due || coreForTask(config.MembersKey, c.able(), dueFor) != c.host.Name || !c.transferMu.TryLock() {
		return
	}
	go func() {
		defer c.transferMu.Unlock()
		if c.transferred.version != record.Revision.Version {
			c.transferred = transferProgress{version: record.Revision.Version, keys: map[string]bool{}}
		}
		if c.transferPending(ctx) {
			c.endTransfer(ctx, record.Revision.Version)
		}
	}()
}

// endTransfer removes the previous members from the list of that version, which marks the transfer as complete.
func (c *Core) endTransfer(ctx context.Context, version uint64) {
	revision, err := c.owner.Change(ctx, config.MembersKey, func(fields register.Fields, currentVersion uint64) (register.Fields, error) {
		if fields[membership.PreviousField] == nil || currentVersion != version {
			return nil, apierror.New(apierror.Conflict, "the membership changed during the transfer")
		}
		return register.Fields{membership.PreviousField: nil}, nil
	})
	c.logOutcome("end of the transfer of keys", config.MembersKey, revision, err)
	if err == nil {
		c.wake() // to start the next membership change; a failure is retried at the next regular tick
	}
}

// transferPending transfers the keys that are still pending, and reports whether all succeeded; c.transferMu must be held.
func (c *Core) transferPending(ctx context.Context) bool {
	var pending []string
	for key := range c.knownKeys() {
		if key != config.MembersKey && !c.transferred.keys[key] {
			pending = append(pending, key)
		}
	}
	done := make(chan string, len(pending))
	failed := forEachKey(pending, func(key string) error {
		ctx, cancel := context.WithTimeout(ctx, protocol.OperationTimeout)
		defer cancel()
		_, err := rpc.Call[CommitResponse](ctx, c.rpc, c.host.Address, "/op/settle", CommitRequest{Key: key, Rewrite: true})
		if err != nil {
			c.host.Log.Warn().Str("key", key).Err(err).Msg("key not transferred")
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

// knownKeys returns the keys of the registers of this core and of the peers that it watches.
func (c *Core) knownKeys() map[string]bool {
	keys := map[string]bool{}
	for _, key := range c.acceptor.Keys() {
		keys[key] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, peer := range c.peers {
		for _, key := range peer.Keys() {
			if isRegister(key) {
				keys[key] = true
			}
		}
	}
	return keys
}

// isRegister reports whether a watched key is a register. Throttles and cache updates are watched too, but have no revision and are not
// stored.
func isRegister(key string) bool {
	return key != router.ThrottleKey && !strings.HasPrefix(key, router.CachedPrefix)
}
