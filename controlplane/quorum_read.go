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

// quorumRead reads a register without writing to any disk, so it works even while too many disks reject writes for a change to succeed.
// It waits until a majority of the members has reported, in response to watch requests sent after the call, what it has accepted. The
// newest revision among the responses is returned once a majority has exactly that revision: what was committed before the call is on a
// majority of disks, at least one of which is among those that responded (docs/control.md §6). The errors are apierror.NoMember,
// OtherMembers while the membership is changing, and NoMajority.
func (c *Core) quorumRead(ctx context.Context, key string) (register.Record, error) {
	const pollInterval = 30 * time.Millisecond
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer cancel()
	for {
		record, err := c.readFromQuorum(key, start)
		if err == nil || !apierror.Is(err, apierror.NoMajority) || rpc.Sleep(ctx, pollInterval) != nil {
			return record, err
		}
	}
}

// readFromQuorum makes one attempt, using what members have reported since a time.
func (c *Core) readFromQuorum(key string, since time.Time) (newest register.Record, err error) {
	current, list := c.membership(), c.acceptor.Read(config.MembersKey)
	switch {
	case current.self == nil || c.damaged.Load():
		return newest, apierror.New(apierror.NoMember, "%s has no vote", c.host.Name)
	case !list.IsCommitted() || current.version != list.Revision.Version || list.Fields[membership.PreviousField] != nil:
		return newest, apierror.New(apierror.OtherMembers, "the list of members is changing")
	}
	newest = c.acceptor.Read(key)
	matching, responded := 1, 1
	for _, peer := range c.respondedPeers(current, since) {
		if seen, _ := peer.Revisions(config.MembersKey); seen != list.Revision {
			return newest, apierror.New(apierror.OtherMembers, "a member has membership revision %v, expected %v", seen, list.Revision)
		}
		responded++
		switch state := peer.Read(key); {
		case newest.Revision.Less(state.Revision):
			newest.Revision, newest.Committed, newest.Fields, matching = state.Revision, state.Committed, state.Fields, 1
		case newest.Revision == state.Revision:
			matching++
		}
	}
	if majority := membership.Majority(len(current.members)); matching < majority {
		return newest, apierror.New(apierror.NoMajority, "%d of %d members responded, %d of them with revision %v of %s", responded, len(current.members), matching, newest.Revision, key)
	}
	return newest, nil
}

// respondedPeers returns the watches of the other members that have answered a watch request sent after a time.
func (c *Core) respondedPeers(current activeMembership, since time.Time) (all []*watch.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range current.members {
		if peer := c.peers[m.Name]; peer != nil && m.Incarnation != c.incarnation && peer.FreshAsOf(m.Incarnation).After(since) {
			all = append(all, peer)
		}
	}
	return all
}
