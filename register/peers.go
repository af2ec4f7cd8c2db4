package register

import (
	"context"
	"sync"
)

// Peer is a member's acceptor, this core's own or another's. The errors are those of Acceptor, and apierror.Unreachable, NoMember and
// OtherMembers.
type Peer interface {
	Prepare(ctx context.Context, key string, epoch uint64, known Revision) (Record, error)
	Confirm(ctx context.Context, key string, epoch uint64) error
	Accept(ctx context.Context, change Change) error
	// Commit tells that a revision is on a majority; it may be lost.
	Commit(ctx context.Context, key string, revision Revision)
}

// Peers are the acceptors of all members, this core's own among them, as of one version of the list of members.
type Peers []Peer

func (p Peers) majority() int { return len(p)/2 + 1 }

// answer is what one peer answered.
type answer[T any] struct {
	value T
	err   error
}

// gather calls all peers at once. The channel gives their answers as they come, and closes after the last.
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
