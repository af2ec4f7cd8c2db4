package register

import (
	"context"
	"sync"
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

// Peers are the acceptors of all members, including this core's own, as of one version of the membership.
type Peers []Peer

func (p Peers) majority() int { return len(p)/2 + 1 }

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
