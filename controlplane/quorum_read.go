package controlplane

import (
	"context"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rpc"
	"asterridge/watch"
)

// quorumRead reads a register without a write to any disk, so also while too many disks refuse writes for a change. It waits until a majority
// of the members has shown, by watch requests that were sent after the call, what it has accepted. The newest revision among them is the one
// to give if just that majority has it: what was committed before the call is on a majority of disks, one of which is among those that
// answered (docs/control.md §6). The errors are apierror.NoMember, OtherMembers while the members change, and NoMajority.
func (c *Core) quorumRead(ctx context.Context, key string) (register.Record, error) {
	const pollInterval = 30 * time.Millisecond
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer cancel()
	for {
		record, err := c.readFromQuorum(key, began)
		if err == nil || !apierror.Is(err, apierror.NoMajority) || rpc.Sleep(ctx, pollInterval) != nil {
			return record, err
		}
	}
}

// readFromQuorum looks once at what members have shown since a time.
func (c *Core) readFromQuorum(key string, since time.Time) (newest register.Record, err error) {
	now, list := c.membership(), c.acceptor.Read(config.MembersKey)
	switch {
	case now.self == nil || c.damaged.Load():
		return newest, apierror.New(apierror.NoMember, "%s has no vote", c.host.Name)
	case !list.IsCommitted() || now.version != list.Revision.Version || list.Fields[membership.PreviousField] != nil:
		return newest, apierror.New(apierror.OtherMembers, "the list of members is changing")
	}
	newest = c.acceptor.Read(key)
	same, heard := 1, 1
	for _, peer := range c.heardPeers(now, since) {
		if seen, _ := peer.Revisions(config.MembersKey); seen != list.Revision {
			return newest, apierror.New(apierror.OtherMembers, "a member has the list of members %v, not %v", seen, list.Revision)
		}
		heard++
		switch state := peer.Read(key); {
		case newest.Revision.Less(state.Revision):
			newest.Revision, newest.Committed, newest.Fields, same = state.Revision, state.Committed, state.Fields, 1
		case newest.Revision == state.Revision:
			same++
		}
	}
	if majority := membership.Majority(len(now.members)); same < majority {
		return newest, apierror.New(apierror.NoMajority, "%d of %d members answer, %d of them with %v of %s", heard, len(now.members), same, newest.Revision, key)
	}
	return newest, nil
}

// heardPeers are the other members that have answered a watch request which was sent after a time.
func (c *Core) heardPeers(now activeMembership, since time.Time) (all []*watch.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range now.members {
		if peer := c.peers[m.Name]; peer != nil && m.Incarnation != c.incarnation && peer.FreshAsOf(m.Incarnation).After(since) {
			all = append(all, peer)
		}
	}
	return all
}
