package main

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/controlplane"
	"asterridge/membership"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/sim"
)

// core is a fake core: it responds to the first attempts of an order, failures in number, with an error and accepts the later ones.
type core struct {
	failure  error
	failures int

	mu      sync.Mutex
	changes []controlplane.AccessKeyChange
	members []membership.Change
}

func (c *core) accessKey(_ context.Context, change controlplane.AccessKeyChange) (controlplane.Accepted, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, change)
	if len(c.changes) <= c.failures {
		return controlplane.Accepted{}, c.failure
	}
	return controlplane.Accepted{Version: 8}, nil
}

func (c *core) changeMembers(_ context.Context, change membership.Change) (controlplane.Accepted, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = append(c.members, change)
	return controlplane.Accepted{Version: 9}, nil
}

// withCore executes commands against a fake core.
func withCore(t *testing.T, c *core, key string, play func(is *is.I, run func(line string) int)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := sim.NewNetwork(0)
		listener, err := network.Host("10.0.0.1").Listen("10.0.0.1:7000")
		is.NoErr(err)
		mux := http.NewServeMux()
		mux.Handle("POST /op/keys", rpc.Handler("fleet", c.accessKey))
		mux.Handle("POST /op/members", rpc.Handler("fleet", c.changeMembers))
		mux.Handle("POST /op/settle", rpc.Handler("fleet", func(_ context.Context, request controlplane.CommitRequest) (controlplane.CommitResponse, error) {
			is.Equal(request.Key, config.KeysPrefix+"a")
			return controlplane.CommitResponse{Revision: register.Revision{Epoch: 1, Version: 5}}, nil
		}))
		mux.Handle("POST /query", rpc.Handler("fleet", func(context.Context, controlplane.Query) (controlplane.QueryResponse, error) {
			return controlplane.QueryResponse{Rows: []router.Row{{"name": "core-3", "id": 7, "incarnation": "life"}, {"name": "core-9", "incarnation": "other"}}}, nil
		}))
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(listener) }() // returns when the test closes the server
		s := &session{client: rpc.NewClient("fleet", network.Host("10.0.9.1")), cores: []string{"10.0.0.1:7000"}, out: &bytes.Buffer{}, key: key}
		play(is, s.execute)
		is.NoErr(server.Close())
		s.client.HTTP.CloseIdleConnections()
		network.End()
	})
}

// An order with unknown outcome is retried unchanged, with the same idempotency key and known version. A rejection is not retried.
func TestOrderIsRetriedWithSameIdempotencyKey(t *testing.T) {
	lost := &core{failure: apierror.New(apierror.Undecided, "the owner did not answer"), failures: 3}
	withCore(t, lost, "", func(is *is.I, run func(string) int) {
		is.Equal(run("grant key k to a"), 0)
		is.Equal(len(lost.changes), 4)
		is.True(lost.changes[0].IdempotencyKey != "")
		is.Equal(lost.changes[0].KnownVersion, uint64(5))
		for _, change := range lost.changes {
			is.Equal(change, lost.changes[0])
		}
		is.Equal(run("revoke key k of a"), 0)
		is.True(lost.changes[4].IdempotencyKey != lost.changes[0].IdempotencyKey) // another order gets another key
	})
	refused := &core{failure: apierror.New(apierror.Conflict, "the key was revoked"), failures: 3}
	withCore(t, refused, "", func(is *is.I, run func(string) int) {
		is.Equal(run("grant key k to a"), 1)
		is.Equal(len(refused.changes), 1)
	})
	never := &core{failure: apierror.New(apierror.Undecided, "the owner did not answer"), failures: 1000}
	withCore(t, never, "", func(is *is.I, run func(string) int) {
		is.Equal(run("grant key k to a"), 1)
		is.True(len(never.changes) > 10)
	})
}

// An order is sent with the idempotency key and known version that the operator gives, as an earlier error message printed them.
func TestOrderUsesOperatorsIdempotencyKey(t *testing.T) {
	c := &core{}
	withCore(t, c, "mine:4", func(is *is.I, run func(string) int) {
		is.Equal(run("grant key k to a"), 0)
		is.Equal(c.changes[0].IdempotencyKey, "mine")
		is.Equal(c.changes[0].KnownVersion, uint64(4))
	})
}

// A membership change carries the ID of the member to remove or the incarnation of the core to admit. If there is no such core, nothing is
// sent.
func TestMembershipChangeIdentifiesCore(t *testing.T) {
	c := &core{}
	withCore(t, c, "", func(is *is.I, run func(string) int) {
		is.Equal(run("retire core core-3"), 0)
		is.Equal(run("admit core core-9"), 0)
		is.Equal(run("retire core core-9"), 1)
		is.Equal(run("admit core core-3"), 1)
		is.Equal(c.members, []membership.Change{{Action: membership.Remove, Name: "core-3", MemberID: 7}, {Action: membership.Admit, Name: "core-9", Incarnation: "other"}})
	})
}
