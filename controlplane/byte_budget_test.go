package controlplane

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/register"
)

// Pending bytes are limited for each member separately; a single request fits whatever its size, and all bytes are returned.
func TestPendingBytesPerMemberAreBounded(t *testing.T) {
	is := is.New(t)
	b := newByteBudget(100)
	is.True(b.reserve("a", 60))
	is.True(b.reserve("a", 40)) // exactly at the limit
	is.True(!b.reserve("a", 1))
	is.True(b.reserve("b", 500)) // above the limit, but nothing else is pending
	is.True(!b.reserve("b", 1))
	b.release("a", 40)
	is.True(b.reserve("a", 40))
	b.release("a", 60)
	b.release("a", 40)
	b.release("b", 500)
	is.Equal(len(b.pending), 0)
	is.Equal(newByteBudget(0).limit, defaultPendingBytes)
}

// A change that exceeds the budget is rejected as unreachable before it is sent; the member catches up later.
func TestAcceptOverBudgetIsNotSent(t *testing.T) {
	is := is.New(t)
	core := &Core{pendingAccepts: newByteBudget(10)}
	is.True(core.pendingAccepts.reserve("a", 8))
	peer := remoteAcceptor{acceptorClient: acceptorClient{core: core}, address: "a"}
	err := peer.Accept(context.Background(), register.Change{Key: "k", Fields: register.Fields{"f": []byte(`"value"`)}})
	is.True(apierror.Is(err, apierror.Unreachable))
	is.Equal(core.pendingAccepts.pending["a"], 8)
}
