package controlplane

import (
	"context"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
	"asterridge/rpc"
)

// RegisterRequest is what a core asks of another's acceptor; From is the asker's incarnation, Members the version of its list.
type RegisterRequest struct {
	From           string            `json:"from"`
	MembersVersion uint64            `json:"members"`
	Key            string            `json:"key,omitempty"`
	Epoch          uint64            `json:"epoch,omitempty"`
	Known          register.Revision `json:"has"`
	Change         *register.Change  `json:"change,omitempty"`
}

// localAcceptor is this core's acceptor, under the same fence as everybody's.
type localAcceptor struct {
	core           *Core
	membersVersion uint64
}

func (o localAcceptor) Prepare(_ context.Context, key string, epoch uint64, has register.Revision) (register.Record, error) {
	return o.core.handlePrepare(context.Background(), RegisterRequest{From: o.core.incarnation, MembersVersion: o.membersVersion, Key: key, Epoch: epoch, Known: has})
}

func (o localAcceptor) Confirm(_ context.Context, key string, epoch uint64) error {
	_, err := o.core.handleConfirm(context.Background(), RegisterRequest{From: o.core.incarnation, MembersVersion: o.membersVersion, Key: key, Epoch: epoch})
	return err
}

func (o localAcceptor) Accept(_ context.Context, change register.Change) error {
	_, err := o.core.handleAccept(context.Background(), RegisterRequest{From: o.core.incarnation, MembersVersion: o.membersVersion, Change: &change})
	return err
}

func (o localAcceptor) Commit(_ context.Context, key string, revision register.Revision) {
	o.core.acceptor.Commit(key, revision)
}

// remoteAcceptor is another core's acceptor.
type remoteAcceptor struct {
	core           *Core
	address        string
	membersVersion uint64
}

func (p remoteAcceptor) Prepare(ctx context.Context, key string, epoch uint64, has register.Revision) (register.Record, error) {
	return rpc.Call[register.Record](ctx, p.core.rpc, p.address, "/register/promise",
		RegisterRequest{From: p.core.incarnation, MembersVersion: p.membersVersion, Key: key, Epoch: epoch, Known: has})
}

func (p remoteAcceptor) Confirm(ctx context.Context, key string, epoch uint64) error {
	_, err := rpc.Call[struct{}](ctx, p.core.rpc, p.address, "/register/confirm",
		RegisterRequest{From: p.core.incarnation, MembersVersion: p.membersVersion, Key: key, Epoch: epoch})
	return err
}

func (p remoteAcceptor) Accept(ctx context.Context, change register.Change) error {
	_, err := rpc.Call[struct{}](ctx, p.core.rpc, p.address, "/register/accept",
		RegisterRequest{From: p.core.incarnation, MembersVersion: p.membersVersion, Change: &change})
	return err
}

func (p remoteAcceptor) Commit(ctx context.Context, key string, revision register.Revision) {
	_, _ = rpc.Call[struct{}](ctx, p.core.rpc, p.address, "/register/settle",
		RegisterRequest{From: p.core.incarnation, MembersVersion: p.membersVersion, Key: key, Known: revision})
}

// checkRequester refuses register messages unless both ends are members under the same list. While a newer list is accepted here and not yet
// settled, only the members' own register moves: so nothing is written under the old list once the new one may stand (§2.8).
func (c *Core) checkRequester(m RegisterRequest, key string) error {
	now := c.membership()
	if now.self == nil {
		return apierror.New(apierror.NoMember, "%s is no member", c.host.Name)
	}
	if !now.hasIncarnation(m.From) {
		c.host.Log.Warn().Str("event", "unknown_peer").Str("from", m.From).Msg("")
		return apierror.New(apierror.NoMember, "the asker is no member")
	}
	if m.MembersVersion > now.version {
		now = c.awaitMembership(m.MembersVersion) // the asker has heard a moment sooner that a list is settled
	}
	if m.MembersVersion > now.version && c.refreshMu.TryLock() {
		go func() { // what follows from here says nothing of it while a change is under way that is not settled
			defer c.refreshMu.Unlock()
			c.announce(context.Background(), now)
		}()
	}
	if m.MembersVersion != now.version {
		return apierror.New(apierror.OtherMembers, "the asker's list of members is %d, ours %d", m.MembersVersion, now.version)
	}
	if key != config.MembersKey && c.acceptor.Revision(config.MembersKey).Version > now.version {
		return apierror.New(apierror.OtherMembers, "a newer list of members is being settled")
	}
	return nil
}

func (c *Core) handlePrepare(_ context.Context, m RegisterRequest) (register.Record, error) {
	if err := c.checkRequester(m, m.Key); err != nil {
		return register.Record{}, err
	}
	return c.acceptor.Prepare(m.Key, m.Epoch, m.Known)
}

func (c *Core) handleConfirm(_ context.Context, m RegisterRequest) (struct{}, error) {
	if err := c.checkRequester(m, m.Key); err != nil {
		return struct{}{}, err
	}
	return struct{}{}, c.acceptor.Confirm(m.Key, m.Epoch)
}

func (c *Core) handleAccept(_ context.Context, m RegisterRequest) (struct{}, error) {
	if m.Change == nil || m.Change.Key == "" {
		return struct{}{}, apierror.New(apierror.Malformed, "no change")
	}
	if err := c.checkRequester(m, m.Change.Key); err != nil {
		return struct{}{}, err
	}
	return struct{}{}, c.acceptor.Accept(*m.Change)
}

func (c *Core) handleCommit(_ context.Context, m RegisterRequest) (struct{}, error) {
	if err := c.checkRequester(m, config.MembersKey); err != nil {
		return struct{}{}, err
	}
	c.acceptor.Commit(m.Key, m.Known)
	return struct{}{}, nil
}
