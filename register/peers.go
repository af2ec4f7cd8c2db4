package register

import (
	"context"
	"sync"

	"asterridge/apierror"
)

// Peer is the acceptor of a member, either this core or another one. The errors are those of Acceptor, and apierror.Unreachable, NoMember
// and OtherMembers.
type Peer interface {
	Prepare(ctx context.Context, key string, epoch uint64, known Revision) (Record, error)
	Confirm(ctx context.Context, key string, epoch uint64) error
	Accept(ctx context.Context, change Change) error
	// Commit announces that a revision is on a majority. The announcement may be lost.
	Commit(ctx context.Context, key string, revision Revision)
}

// Peers are the acceptors of members, including this core's own.
type Peers []Peer

// Voters are the acceptors that decide about a register, as of one version of the membership.
type Voters struct {
	Peers Peers
	// Lost is how many members there are besides the peers: those whose disks are proven lost, so that they will never vote again.
	Lost int
}

// Quorum returns how many of the peers must agree: a majority of all members, or of all but one if at least one is proven lost.
//
// For an even number n of members the latter is n/2, one less than a majority. It still meets every majority of all n, and every other n/2
// of the members that are not lost, since these are at most n-1; in both cases the acceptor that they share is one of the peers.
func (v Voters) Quorum() int {
	members := len(v.Peers) + v.Lost
	if v.Lost > 0 {
		members--
	}
	return members/2 + 1
}

// check returns apierror.NoMajority if all peers together are fewer than a quorum.
func (v Voters) check(key string) error {
	if len(v.Peers) < v.Quorum() {
		return apierror.New(apierror.NoMajority, "%d members are left of the %d needed for %s", len(v.Peers), v.Quorum(), key)
	}
	return nil
}

// answer is the result of a call to one peer.
type answer[T any] struct {
	value T
	err   error
}

// gather calls all peers concurrently. The channel delivers their answers as they arrive, and is closed after the last one.
func gather[T any](peers Peers, call func(Peer) (T, error)) <-chan answer[T] {
	answers := make(chan answer[T], len(peers))
	var pending sync.WaitGroup
	for _, peer := range peers {
		pending.Go(func() {
			value, err := call(peer)
			answers <- answer[T]{value: value, err: err}
		})
	}
	go func() {
		pending.Wait()
		close(answers)
	}()
	return answers
}

// collect calls all peers concurrently until a quorum agrees; agreed and failed are called with their answers. It gives up when the context
// ends, or when too many peers have failed with an error that failed calls final: a peer may never answer, above all this core's own
// acceptor while its disk stalls.
func collect[T any](ctx context.Context, voters Voters, call func(Peer) (T, error), agreed func(T), failed func(error) (final bool)) (agreeing int, ok bool) {
	answers := gather(voters.Peers, call)
	lost := 0
	for agreeing < voters.Quorum() && lost <= len(voters.Peers)-voters.Quorum() {
		select {
		case a, more := <-answers:
			switch {
			case !more:
				return agreeing, false
			case a.err == nil:
				agreed(a.value)
				agreeing++
			case failed(a.err):
				lost++
			}
		case <-ctx.Done():
			return agreeing, false
		}
	}
	return agreeing, agreeing >= voters.Quorum()
}
