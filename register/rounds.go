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
	promises := 0
	answers := gather(voters.Peers, func(p Peer) (Record, error) { return p.Prepare(ctx, key, epoch, own.Revision) })
	for promises < voters.Quorum() {
		a, more := <-answers
		if !more {
			break
		}
		if a.err != nil {
			if k.observe(a.err) {
				rejection = a.err
			}
			continue
		}
		promises++
		if newest.Revision.Less(a.value.Revision) {
			newest = a.value
		}
		if committed.Less(a.value.Committed) {
			committed = a.value.Committed
		}
	}
	if promises < voters.Quorum() {
		if rejection != nil {
			return rejection
		}
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
	answers := gather(voters.Peers, func(p Peer) (struct{}, error) { return struct{}{}, p.Confirm(ctx, key, epoch) })
	confirmed, rejected := 0, 0
	var rejection error
	for confirmed < voters.Quorum() {
		if rejected > len(voters.Peers)-voters.Quorum() {
			k.epoch = 0
			return rejection
		}
		a := <-answers // every peer answers, at the latest with an error when the context ends
		if a.err == nil {
			confirmed++
			continue
		}
		if k.observe(a.err) || rejection == nil {
			rejection = a.err
		}
		rejected++
	}
	return nil
}

// write has a majority accept one version, and then tells all peers that it is committed. With an empty change it writes the present content
// under the present epoch, with the version unchanged.
func (o *Owner) write(ctx context.Context, voters Voters, key string, k *ownedKey, change, content Fields) error {
	next := Revision{Epoch: k.epoch, Version: k.revision.Version + 1}
	if len(change) == 0 {
		next.Version = k.revision.Version
	}
	delta := Change{Key: key, Base: k.revision, Next: next, Fields: change, Committed: k.committed}
	answers := gather(voters.Peers, func(p Peer) (struct{}, error) { return struct{}{}, acceptDelta(ctx, p, delta, content) })
	accepted := 0
	var rejection error
	for accepted < voters.Quorum() {
		a, more := <-answers
		if !more {
			break
		}
		if a.err == nil {
			accepted++
			continue
		}
		if k.observe(a.err) || rejection == nil {
			rejection = a.err
		}
	}
	if accepted < voters.Quorum() {
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
