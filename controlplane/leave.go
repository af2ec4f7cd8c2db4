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
	// MaxLeaveTimeout is the maximum part of its shutdown grace period that a core spends on leaving the members.
	MaxLeaveTimeout = 3 * time.Second
)

// ServeUntilStopped runs the core until stopped is canceled. It then leaves the members, if the remaining ones tolerate failures as
// well without it, and keeps serving until every register is transferred.
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

// Leave releases the singleton roles, removes this core from the members and waits until every register is on a majority of the
// remaining ones. It fails with apierror.OutOfRange if the remaining members would tolerate failures less well than with this core as a
// temporarily unresponsive member, and with apierror.Undecided if the context ends first; the core may then still be a member.
func (c *Core) Leave(ctx context.Context) error {
	c.releaseRoles(ctx)
	if !c.options.AutoMembership {
		return apierror.New(apierror.OutOfRange, "automatic membership is disabled: only an operator may change the members")
	}
	c.leaving.Store(true)
	for {
		left, err := c.tryLeave(ctx)
		if left || err != nil && !mayRetryLeave(err) {
			return err
		}
		if rpc.Sleep(ctx, leavePollInterval) != nil {
			return apierror.New(apierror.Undecided, "timed out while leaving the members")
		}
	}
}

func mayRetryLeave(err error) bool {
	return apierror.Is(err, apierror.Conflict) || apierror.Is(err, apierror.Undecided) ||
		apierror.Is(err, apierror.Unreachable) || apierror.Is(err, apierror.NotFound)
}

// tryLeave takes the next step of leaving, and reports whether leaving is complete.
func (c *Core) tryLeave(ctx context.Context) (left bool, err error) {
	record := c.acceptor.Read(config.MembersKey)
	list := membership.Decode(record.Fields)
	switch {
	case !record.IsCommitted() || list.Previous != nil:
		return false, nil // a change is in progress, possibly this core's own
	case !membership.HasIncarnation(list.Members, c.incarnation):
		return true, nil
	case !c.membershipView().MayLeave(list.Members, c.host.Name):
		return false, apierror.New(apierror.OutOfRange, "only %d members would remain", len(list.Members)-1)
	}
	_, err = c.operations.membership.submit(ctx, membership.Change{Action: membership.Leave, Name: c.host.Name, MemberID: c.memberID.Load()})
	return false, err
}
