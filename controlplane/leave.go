package controlplane

import (
	"context"
	"net"
	"slices"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/rpc"
)

const (
	leavePollInterval = 50 * time.Millisecond
	MaxLeaveTimeout   = 3 * time.Second // of the grace that a core has to end in order
)

// ServeUntilStopped runs the core until stopped ends. It then leaves the list of members, if the rest does as well without it, and goes on
// serving until every key is carried over.
func (c *Core) ServeUntilStopped(stopped context.Context, listener net.Listener) error {
	serving, end := context.WithCancel(context.WithoutCancel(stopped))
	defer end()
	go func() {
		defer end()
		<-stopped.Done()
		short, stop := context.WithTimeout(serving, c.options.LeaveTimeout)
		defer stop()
		if err := c.Leave(short); err != nil {
			c.host.Log.Info().Str("event", "stays_member").Err(err).Msg("")
		}
	}()
	return c.Serve(serving, listener)
}

// Leave takes this core off the list of members and waits until every key is on a majority of those that are left. It fails if the rest
// bears losses less well without this core than with a member that is silent for a while; the core is then a member still.
func (c *Core) Leave(ctx context.Context) error {
	if !c.options.AutoMembership {
		return apierror.New(apierror.OutOfRange, "operators change the members here")
	}
	c.isLeaving.Store(true) // it does not ask to be admitted again
	for {
		hasLeft, err := c.tryLeave(ctx)
		if hasLeft || err != nil && !apierror.Is(err, apierror.Conflict) && !apierror.Is(err, apierror.Undecided) && !apierror.Is(err, apierror.Unreachable) && !apierror.Is(err, apierror.NotFound) {
			return err
		}
		if rpc.Sleep(ctx, leavePollInterval) != nil {
			return apierror.New(apierror.Undecided, "no time is left to leave the members")
		}
	}
}

// tryLeave does what is next for leaving, and says whether that is done.
func (c *Core) tryLeave(ctx context.Context) (hasLeft bool, err error) {
	record := c.acceptor.Read(config.MembersKey)
	members, prior, _ := protocol.ReadMembers(record.Fields)
	listed := slices.ContainsFunc(members, func(m config.Member) bool { return m.Incarnation == c.incarnation })
	switch {
	case !record.IsCommitted() || prior != nil:
		return false, nil // a change, our own perhaps, is under way
	case !listed:
		return true, nil
	case !c.mayLeave(members, c.host.Name):
		return false, apierror.New(apierror.OutOfRange, "%d members would be left", len(members)-1)
	}
	_, err = c.submitMembershipChange(ctx, MembershipChange{Do: leaveMember, Name: c.host.Name})
	return false, err
}

// mayLeave says whether a member that runs may leave: the rest then bears the tolerated losses, or at least more of them than the
// list would with this member silent.
func (c *Core) mayLeave(members []config.Member, name string) bool {
	rest := slices.DeleteFunc(slices.Clone(members), func(m config.Member) bool { return m.Name == name })
	c.mu.Lock()
	silent := c.liveness.countUnresponsive(rest, protocol.LivenessTimeout)
	c.mu.Unlock()
	spare := membership.SpareLosses(len(rest), silent)
	return len(rest) >= minMembers && spare >= 0 &&
		(spare >= c.options.Tolerance.Losses(rest) || spare > membership.SpareLosses(len(members), silent+1))
}
