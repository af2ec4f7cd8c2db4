package register

import (
	"context"

	"asterridge/apierror"
)

// acquire prepares a new epoch and adopts the highest revision that the acceptors of a majority have accepted. If that revision is not known
// to be committed, it is written again first, so that every new version is based on a committed one.
func (o *Owner) acquire(ctx context.Context, voters Voters, key string, k *ownedKey) error {
	epoch := nextEpoch(max(k.highestSeen, o.options.Acceptor.Promised(key)), o.options.MemberID())
	k.highestSeen = epoch
	own := o.options.Acceptor.Read(key)
	newest, committed := own, own.Committed
	var rejection error
	call := func(p Peer) (Record, error) { return p.Prepare(ctx, key, epoch, own.Revision) }
	promises, ok := collect(ctx, voters, call, func(promised Record) {
		if newest.Revision.Less(promised.Revision) {
			newest = promised
		}
		if committed.Less(promised.Committed) {
			committed = promised.Committed
		}
	}, func(err error) (final bool) {
		if k.observe(err) {
			rejection = err // the register is prepared again, above the highest epoch that any peer reports
			return false
		}
		return true
	})
	if !ok && rejection != nil {
		return rejection
	}
	if !ok {
		return apierror.New(apierror.NoMajority, "%d of %d promises needed for %s", promises, voters.Quorum(), key)
	}
	k.epoch, k.revision, k.fields, k.committed = epoch, newest.Revision, newest.Fields.Clone(), committed
	if IsCommitted(newest.Revision, committed) {
		return nil
	}
	return o.write(ctx, voters, key, k, nil, k.fields)
}

// observe records the higher epoch that an apierror.Superseded reports. It returns false for any other error.
func (k *ownedKey) observe(err error) bool {
	if !apierror.Is(err, apierror.Superseded) {
		return false
	}
	k.highestSeen = max(k.highestSeen, uint64(apierror.Of(err).At))
	return true
}

// confirm asks the peers whether this owner's epoch is still the highest that they have promised. Unless a majority says so, the register
// has to be acquired again. Nothing is written to disk.
func (o *Owner) confirm(ctx context.Context, voters Voters, key string, k *ownedKey) error {
	epoch := k.epoch
	var rejection error
	call := func(p Peer) (struct{}, error) { return struct{}{}, p.Confirm(ctx, key, epoch) }
	confirmations, ok := collect(ctx, voters, call, func(struct{}) {}, k.firstRejection(&rejection))
	if ok {
		return nil
	}
	k.epoch = 0
	if rejection == nil {
		return apierror.New(apierror.NoMajority, "%d of %d confirmations needed for %s", confirmations, voters.Quorum(), key)
	}
	return rejection
}

// firstRejection returns a function for collect that keeps the first error in rejection, or else one that reports a higher epoch.
func (k *ownedKey) firstRejection(rejection *error) func(error) (final bool) {
	return func(err error) bool {
		if k.observe(err) || *rejection == nil {
			*rejection = err
		}
		return true
	}
}

// write has a majority accept one version, and then tells all peers that it is committed. With an empty change it writes the present content
// under the present epoch, with the version unchanged.
func (o *Owner) write(ctx context.Context, voters Voters, key string, k *ownedKey, change, content Fields) error {
	next := Revision{Epoch: k.epoch, Version: k.revision.Version + 1}
	if len(change) == 0 {
		next.Version = k.revision.Version
	}
	delta := Change{Key: key, Base: k.revision, Next: next, Fields: change, Committed: k.committed}
	var rejection error
	call := func(p Peer) (struct{}, error) { return struct{}{}, acceptDelta(ctx, p, delta, content) }
	accepted, ok := collect(ctx, voters, call, func(struct{}) {}, k.firstRejection(&rejection))
	if !ok {
		k.epoch = 0
		return apierror.New(apierror.Undecided, "%d of %d disks needed have %s version %d: %v", accepted, voters.Quorum(), key, next.Version, rejection)
	}
	k.revision, k.fields, k.committed = next, content, next
	o.options.Acceptor.Commit(key, next)
	o.broadcastCommit(voters.Peers, key, next)
	return nil
}

// acceptDelta has a peer accept a delta, or the full content if the peer lacks the base revision.
func acceptDelta(ctx context.Context, p Peer, delta Change, content Fields) error {
	err := p.Accept(ctx, delta)
	if apierror.Is(err, apierror.Behind) {
		full := delta
		full.Full, full.Fields = true, content
		err = p.Accept(ctx, full)
	}
	return err
}

// broadcastCommit tells all peers, without waiting for them, that a revision is on a majority.
func (o *Owner) broadcastCommit(peers Peers, key string, revision Revision) {
	for _, p := range peers {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), o.options.Timeout)
			defer cancel()
			p.Commit(ctx, key, revision)
		}()
	}
}

// nextEpoch returns the lowest epoch of a member whose part above the member ID is higher than that of the given epoch.
func nextEpoch(above uint64, member uint32) uint64 {
	return (above>>MemberBits+1)<<MemberBits | uint64(member)
}
