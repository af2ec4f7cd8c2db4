package controlplane

import (
	"context"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/register"
	"asterridge/rpc"
)

// Both kinds of acceptor implement register.Peer.
var (
	_ register.Peer = localAcceptor{}
	_ register.Peer = remoteAcceptor{}
)

// RegisterRequest is a request from a register's owner to a member's acceptor.
type RegisterRequest struct {
	// From is the sender's incarnation, MembersVersion the version of the membership that it acts on.
	From           string `json:"from"`
	MembersVersion uint64 `json:"members"`
	Key            string `json:"key,omitempty"`
	Epoch          uint64 `json:"epoch,omitempty"`
	// Known is the revision whose content the sender already has; in a commit, the committed revision.
	Known  register.Revision `json:"has"`
	Change *register.Change  `json:"change,omitempty"`
}

// acceptorClient builds this core's requests to an acceptor.
type acceptorClient struct {
	core           *Core
	membersVersion uint64
}

func (a acceptorClient) request(key string, epoch uint64, known register.Revision) RegisterRequest {
	return RegisterRequest{From: a.core.incarnation, MembersVersion: a.membersVersion, Key: key, Epoch: epoch, Known: known}
}

func (a acceptorClient) acceptRequest(change register.Change) RegisterRequest {
	return RegisterRequest{From: a.core.incarnation, MembersVersion: a.membersVersion, Change: &change}
}

// localAcceptor is this core's own acceptor. Its requests pass the same checks as those from other cores.
type localAcceptor struct{ acceptorClient }

// Prepare implements register.Peer.
func (a localAcceptor) Prepare(_ context.Context, key string, epoch uint64, known register.Revision) (register.Record, error) {
	return a.core.handlePrepare(context.Background(), a.request(key, epoch, known))
}

// Confirm implements register.Peer.
func (a localAcceptor) Confirm(_ context.Context, key string, epoch uint64) error {
	_, err := a.core.handleConfirm(context.Background(), a.request(key, epoch, register.Revision{}))
	return err
}

// Accept implements register.Peer.
func (a localAcceptor) Accept(_ context.Context, change register.Change) error {
	_, err := a.core.handleAccept(context.Background(), a.acceptRequest(change))
	return err
}

// Commit implements register.Peer.
func (a localAcceptor) Commit(_ context.Context, key string, revision register.Revision) {
	a.core.acceptor.Commit(key, revision)
}

// remoteAcceptor is another member's acceptor.
type remoteAcceptor struct {
	acceptorClient
	address string
}

// Prepare implements register.Peer.
func (a remoteAcceptor) Prepare(ctx context.Context, key string, epoch uint64, known register.Revision) (register.Record, error) {
	return rpc.Call[register.Record](ctx, a.core.rpc, a.address, "/register/promise", a.request(key, epoch, known))
}

// Confirm implements register.Peer.
func (a remoteAcceptor) Confirm(ctx context.Context, key string, epoch uint64) error {
	_, err := rpc.Call[struct{}](ctx, a.core.rpc, a.address, "/register/confirm", a.request(key, epoch, register.Revision{}))
	return err
}

// Accept implements register.Peer. A change that exceeds the limit on pending bytes for the member is not sent: the member catches up
// later by watching the other members.
func (a remoteAcceptor) Accept(ctx context.Context, change register.Change) error {
	size := change.Fields.Size()
	if !a.core.pendingAccepts.reserve(a.address, size) {
		return apierror.New(apierror.Unreachable, "pending changes for %s exceed the limit", a.address)
	}
	defer a.core.pendingAccepts.release(a.address, size)
	_, err := rpc.Call[struct{}](ctx, a.core.rpc, a.address, "/register/accept", a.acceptRequest(change))
	return err
}

// Commit implements register.Peer. The error is dropped: if the message is lost, the member asks for the commit later.
func (a remoteAcceptor) Commit(ctx context.Context, key string, revision register.Revision) {
	request := a.request(key, 0, revision)
	_, _ = rpc.Call[struct{}](ctx, a.core.rpc, a.address, "/register/settle", request) // see above
}

// checkRequest rejects register requests unless both ends are members under the same list. While a newer list is accepted here but not
// committed, only the members' own register may change, so that nothing is written under the old list once the new one may have taken
// effect. The errors are apierror.NoMember and apierror.OtherMembers.
func (c *Core) checkRequest(request RegisterRequest, key string) error {
	current := c.membership()
	if current.self == nil {
		return apierror.New(apierror.NoMember, "%s is not a member", c.host.Name)
	}
	if !current.hasIncarnation(request.From) {
		c.host.Log.Warn().Str("from", request.From).Msg("register message from a core that is not a member")
		return apierror.New(apierror.NoMember, "the asker is no member")
	}
	if request.MembersVersion > current.version {
		current = c.awaitMembership(request.MembersVersion) // the sender may have learned slightly earlier that a list is committed
	}
	if request.MembersVersion > current.version {
		c.refreshMembership(current)
	}
	if request.MembersVersion != current.version {
		return apierror.New(apierror.OtherMembers, "sender has membership version %d, this core %d", request.MembersVersion, current.version)
	}
	if key != config.MembersKey && c.acceptor.Revision(config.MembersKey).Version > current.version {
		return apierror.New(apierror.OtherMembers, "a newer membership is accepted but not committed")
	}
	return nil
}

// refreshMembership asks the members for a newer list, in the background and one call at a time. Watching them is not enough, since
// their watches do not show a committed list while an uncommitted change is stored over it.
func (c *Core) refreshMembership(current activeMembership) {
	if !c.refreshMu.TryLock() {
		return
	}
	go func() {
		defer c.refreshMu.Unlock()
		c.announce(context.Background(), current)
	}()
}

func (c *Core) handlePrepare(_ context.Context, request RegisterRequest) (register.Record, error) {
	if err := c.checkRequest(request, request.Key); err != nil {
		return register.Record{}, err
	}
	return c.acceptor.Prepare(request.Key, request.Epoch, request.Known)
}

func (c *Core) handleConfirm(_ context.Context, request RegisterRequest) (struct{}, error) {
	if err := c.checkRequest(request, request.Key); err != nil {
		return struct{}{}, err
	}
	return struct{}{}, c.acceptor.Confirm(request.Key, request.Epoch)
}

func (c *Core) handleAccept(_ context.Context, request RegisterRequest) (struct{}, error) {
	if request.Change == nil || request.Change.Key == "" {
		return struct{}{}, apierror.New(apierror.Malformed, "no change")
	}
	if err := c.checkRequest(request, request.Change.Key); err != nil {
		return struct{}{}, err
	}
	return struct{}{}, c.acceptor.Accept(*request.Change)
}

func (c *Core) handleCommit(_ context.Context, request RegisterRequest) (struct{}, error) {
	if err := c.checkRequest(request, config.MembersKey); err != nil {
		return struct{}{}, err
	}
	c.acceptor.Commit(request.Key, request.Known)
	return struct{}{}, nil
}
