package daemon

import (
	"context"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
	"asterridge/rpc"
)

// RegisterMessage is what a core asks of another's acceptor; From is the asker's incarnation, Members the version of its list.
type RegisterMessage struct {
	From    string            `json:"from"`
	Members uint64            `json:"members"`
	Key     string            `json:"key,omitempty"`
	Epoch   uint64            `json:"epoch,omitempty"`
	Has     register.Revision `json:"has"`
	Change  *register.Change  `json:"change,omitempty"`
}

// localAcceptor is this core's acceptor, under the same fence as everybody's.
type localAcceptor struct {
	core    *Core
	version uint64
}

func (o localAcceptor) Prepare(_ context.Context, key string, epoch uint64, has register.Revision) (register.Record, error) {
	return o.core.promise(context.Background(), RegisterMessage{From: o.core.incarnation, Members: o.version, Key: key, Epoch: epoch, Has: has})
}

func (o localAcceptor) Confirm(_ context.Context, key string, epoch uint64) error {
	_, err := o.core.confirm(context.Background(), RegisterMessage{From: o.core.incarnation, Members: o.version, Key: key, Epoch: epoch})
	return err
}

func (o localAcceptor) Accept(_ context.Context, change register.Change) error {
	_, err := o.core.accept(context.Background(), RegisterMessage{From: o.core.incarnation, Members: o.version, Change: &change})
	return err
}

func (o localAcceptor) Commit(_ context.Context, key string, revision register.Revision) {
	o.core.acceptor.Commit(key, revision)
}

// remoteAcceptor is another core's acceptor.
type remoteAcceptor struct {
	core    *Core
	address string
	version uint64
}

func (p remoteAcceptor) Prepare(ctx context.Context, key string, epoch uint64, has register.Revision) (register.Record, error) {
	return rpc.Call[register.Record](ctx, p.core.rpc, p.address, "/register/promise",
		RegisterMessage{From: p.core.incarnation, Members: p.version, Key: key, Epoch: epoch, Has: has})
}

func (p remoteAcceptor) Confirm(ctx context.Context, key string, epoch uint64) error {
	_, err := rpc.Call[struct{}](ctx, p.core.rpc, p.address, "/register/confirm",
		RegisterMessage{From: p.core.incarnation, Members: p.version, Key: key, Epoch: epoch})
	return err
}

func (p remoteAcceptor) Accept(ctx context.Context, change register.Change) error {
	_, err := rpc.Call[struct{}](ctx, p.core.rpc, p.address, "/register/accept",
		RegisterMessage{From: p.core.incarnation, Members: p.version, Change: &change})
	return err
}

func (p remoteAcceptor) Commit(ctx context.Context, key string, revision register.Revision) {
	_, _ = rpc.Call[struct{}](ctx, p.core.rpc, p.address, "/register/settle",
		RegisterMessage{From: p.core.incarnation, Members: p.version, Key: key, Has: revision})
}

// checkPeer refuses register messages unless both ends are members under the same list. While a newer list is accepted here and not yet
// settled, only the members' own register moves: so nothing is written under the old list once the new one may stand (§2.8).
func (c *Core) checkPeer(m RegisterMessage, key string) error {
	now := c.membership()
	if now.self == nil {
		return apierror.New(apierror.NoMember, "%s is no member", c.host.Name)
	}
	if !now.hasIncarnation(m.From) {
		c.host.Log.Warn().Str("event", "unknown_peer").Str("from", m.From).Msg("")
		return apierror.New(apierror.NoMember, "the asker is no member")
	}
	if m.Members > now.version {
		now = c.awaitMembership(m.Members) // the asker has heard a moment sooner that a list is settled
	}
	if m.Members > now.version && c.refreshMu.TryLock() {
		go func() { // what follows from here says nothing of it while a change is under way that is not settled
			defer c.refreshMu.Unlock()
			c.announce(context.Background(), now)
		}()
	}
	if m.Members != now.version {
		return apierror.New(apierror.OtherMembers, "the asker's list of members is %d, ours %d", m.Members, now.version)
	}
	if key != config.MembersKey && c.acceptor.Revision(config.MembersKey).Version > now.version {
		return apierror.New(apierror.OtherMembers, "a newer list of members is being settled")
	}
	return nil
}

func (c *Core) promise(_ context.Context, m RegisterMessage) (register.Record, error) {
	if err := c.checkPeer(m, m.Key); err != nil {
		return register.Record{}, err
	}
	return c.acceptor.Prepare(m.Key, m.Epoch, m.Has)
}

func (c *Core) confirm(_ context.Context, m RegisterMessage) (struct{}, error) {
	if err := c.checkPeer(m, m.Key); err != nil {
		return struct{}{}, err
	}
	return struct{}{}, c.acceptor.Confirm(m.Key, m.Epoch)
}

func (c *Core) accept(_ context.Context, m RegisterMessage) (struct{}, error) {
	if m.Change == nil || m.Change.Key == "" {
		return struct{}{}, apierror.New(apierror.Malformed, "no change")
	}
	if err := c.checkPeer(m, m.Change.Key); err != nil {
		return struct{}{}, err
	}
	return struct{}{}, c.acceptor.Accept(*m.Change)
}

func (c *Core) settle(_ context.Context, m RegisterMessage) (struct{}, error) {
	if err := c.checkPeer(m, config.MembersKey); err != nil {
		return struct{}{}, err
	}
	c.acceptor.Commit(m.Key, m.Has)
	return struct{}{}, nil
}
