package controlplane

import (
	"context"
	"net"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/rpc"
)

const (
	leavePollInterval = 50 * time.Millisecond
	// MaxLeaveTimeout is the most of its grace that a core spends on leaving the members.
	MaxLeaveTimeout = 3 * time.Second
)

// ServeUntilStopped runs the core until stopped ends. It then leaves the list of members, if the rest does as well without it, and goes on
// serving until every key is transferred.
func (c *Core) ServeUntilStopped(stopped context.Context, listener net.Listener) error {
	serving, end := context.WithCancel(context.WithoutCancel(stopped))
	defer end()
	go func() {
		defer end()
		<-stopped.Done()
		ctx, cancel := context.WithTimeout(serving, c.options.LeaveTimeout)
		defer cancel()
		if err := c.Leave(ctx); err != nil {
			c.host.Log.Info().Err(err).Msg("stays a member while it is stopped")
		}
	}()
	return c.Serve(serving, listener)
}

// Leave releases the singleton roles, takes this core off the list of members and waits until every key is on a majority of those that are
// left. It fails with
// apierror.OutOfRange if the rest bears losses less well without this core than with a member that is unresponsive for a while, and with
// apierror.Undecided if the context ends first; the core may be a member still.
func (c *Core) Leave(ctx context.Context) error {
	c.releaseRoles(ctx)
	if !c.options.AutoMembership {
		return apierror.New(apierror.OutOfRange, "operators change the members here")
	}
	c.leaving.Store(true) // it does not ask to be admitted again
	for {
		left, err := c.tryLeave(ctx)
		if left || err != nil && !mayRetryLeave(err) {
			return err
		}
		if rpc.Sleep(ctx, leavePollInterval) != nil {
			return apierror.New(apierror.Undecided, "no time is left to leave the members")
		}
	}
}

func mayRetryLeave(err error) bool {
	return apierror.Is(err, apierror.Conflict) || apierror.Is(err, apierror.Undecided) ||
		apierror.Is(err, apierror.Unreachable) || apierror.Is(err, apierror.NotFound)
}

// tryLeave takes the next step of leaving, and reports whether that is done.
func (c *Core) tryLeave(ctx context.Context) (left bool, err error) {
	record := c.acceptor.Read(config.MembersKey)
	list := membership.Decode(record.Fields)
	switch {
	case !record.IsCommitted() || list.Previous != nil:
		return false, nil // a change, our own perhaps, is under way
	case !membership.HasIncarnation(list.Members, c.incarnation):
		return true, nil
	case !c.membershipView().MayLeave(list.Members, c.host.Name):
		return false, apierror.New(apierror.OutOfRange, "%d members would be left", len(list.Members)-1)
	}
	_, err = c.operations.membership.submit(ctx, membership.Change{Action: membership.Leave, Name: c.host.Name, MemberID: c.memberID.Load()})
	return false, err
}
