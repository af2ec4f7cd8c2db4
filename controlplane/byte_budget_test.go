package controlplane

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/register"
)

// Bytes are let through up to the limit for each member by itself, a single message whatever its size, and all comes back.
func TestBytesThatWaitForAMemberAreBounded(t *testing.T) {
	is := is.New(t)
	b := newByteBudget(100)
	is.True(b.reserve("a", 60))
	is.True(b.reserve("a", 40)) // at the edge
	is.True(!b.reserve("a", 1))
	is.True(b.reserve("b", 500)) // larger than the limit, and alone
	is.True(!b.reserve("b", 1))
	b.release("a", 40)
	is.True(b.reserve("a", 40))
	b.release("a", 60)
	b.release("a", 40)
	b.release("b", 500)
	is.Equal(len(b.pending), 0)
	is.Equal(newByteBudget(0).limit, defaultPendingBytes)
}

// What does not fit is refused before it is sent, as an answer that did not come: the member catches up later.
func TestAcceptThatDoesNotFitIsNotSent(t *testing.T) {
	is := is.New(t)
	core := &Core{pendingAccepts: newByteBudget(10)}
	is.True(core.pendingAccepts.reserve("a", 8))
	peer := remoteAcceptor{acceptorClient: acceptorClient{core: core}, address: "a"}
	err := peer.Accept(context.Background(), register.Change{Key: "k", Fields: register.Fields{"f": []byte(`"value"`)}})
	is.True(apierror.Is(err, apierror.Unreachable))
	is.Equal(core.pendingAccepts.pending["a"], 8)
}
