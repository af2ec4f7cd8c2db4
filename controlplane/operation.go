package controlplane

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"asterridge/apierror"
	"asterridge/claim"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rendezvous"
	"asterridge/rpc"
	"asterridge/throttle"
)

// Accepted is the response to a change that a majority has accepted: the register's new version.
type Accepted struct {
	Version uint64 `json:"version"`
}

// operations are the register changes that a core accepts from operators, agents and other cores.
type operations struct {
	config         operation[ConfigChange, Accepted]
	numberedConfig operation[config.NumberedConfig, Accepted]
	accessKey      operation[AccessKeyChange, Accepted]
	replicas       operation[ReplicasChange, Accepted]
	modelVersion   operation[ModelVersionChange, Accepted]
	loads          operation[register.Fields, Accepted]
	retirement     operation[RetirementChange, Accepted]
	retirementStep operation[RetirementStep, Accepted]
	claim          operation[claim.Request, struct{}]
	throttle       operation[throttle.Notice, struct{}]
	lease          operation[LeaseRequest, Accepted]
	membership     operation[membership.Change, Accepted]
	commit         operation[CommitRequest, CommitResponse]
}

func newOperations(c *Core) operations {
	return operations{
		config:         operation[ConfigChange, Accepted]{core: c, name: config.Key, key: constant[ConfigChange](config.Key), apply: c.applyConfig, idempotent: ConfigChange.HasKey},
		numberedConfig: operation[config.NumberedConfig, Accepted]{core: c, name: "declaration", key: constant[config.NumberedConfig](config.Key), apply: c.applyNumberedConfig, idempotent: constant[config.NumberedConfig](true)},
		accessKey:      operation[AccessKeyChange, Accepted]{core: c, name: "keys", key: AccessKeyChange.Register, apply: c.applyAccessKey, idempotent: constant[AccessKeyChange](true)},
		replicas:       operation[ReplicasChange, Accepted]{core: c, name: "replicas", key: constant[ReplicasChange](config.ReplicasKey), apply: c.applyReplicas, idempotent: constant[ReplicasChange](true)},
		modelVersion:   operation[ModelVersionChange, Accepted]{core: c, name: "models", key: constant[ModelVersionChange](config.ModelsKey), apply: c.applyModelVersion, idempotent: constant[ModelVersionChange](true)},
		loads:          operation[register.Fields, Accepted]{core: c, name: "loads", key: constant[register.Fields](config.LoadsKey), apply: c.applyLoads, idempotent: constant[register.Fields](true)},
		retirement:     operation[RetirementChange, Accepted]{core: c, name: "retirement", key: constant[RetirementChange](config.RetirementKey), apply: c.applyRetirement, idempotent: RetirementChange.HasKey},
		retirementStep: operation[RetirementStep, Accepted]{core: c, name: "advance", key: constant[RetirementStep](config.RetirementKey), apply: c.applyRetirementStep, idempotent: constant[RetirementStep](true)},
		claim:          operation[claim.Request, struct{}]{core: c, name: "claim", key: claim.Request.Register, apply: c.applyClaim, idempotent: constant[claim.Request](true)},
		throttle:       operation[throttle.Notice, struct{}]{core: c, name: "hold", key: throttleRegister, apply: c.applyThrottle, idempotent: constant[throttle.Notice](true)},
		lease:          operation[LeaseRequest, Accepted]{core: c, name: "term", key: LeaseRequest.register, apply: c.grantLease, idempotent: constant[LeaseRequest](false)},
		membership:     operation[membership.Change, Accepted]{core: c, name: "members", key: constant[membership.Change](config.MembersKey), apply: c.applyMembershipChange, idempotent: membership.Change.IsIdempotent},
		commit:         operation[CommitRequest, CommitResponse]{core: c, name: "settle", key: func(r CommitRequest) string { return r.Key }, apply: c.commitKey, idempotent: constant[CommitRequest](true)},
	}
}

// constant returns a function that ignores its request and returns value: for example the key of an operation on a single register.
func constant[Request, Value any](value Value) func(Request) Value {
	return func(Request) Value { return value }
}

// handle registers the endpoints of all operations.
func (o operations) handle(mux *http.ServeMux) {
	o.config.handle(mux)
	o.numberedConfig.handle(mux)
	o.accessKey.handle(mux)
	o.replicas.handle(mux)
	o.modelVersion.handle(mux)
	o.loads.handle(mux)
	o.retirement.handle(mux)
	o.retirementStep.handle(mux)
	o.claim.handle(mux)
	o.throttle.handle(mux)
	o.lease.handle(mux)
	o.membership.handle(mux)
	o.commit.handle(mux)
}

// operation is one kind of register change.
type operation[Request, Response any] struct {
	core *Core
	name string
	// key returns the key of the register that a request changes.
	key func(Request) string
	// apply performs the change as the register's owner.
	apply func(context.Context, Request) (Response, error)
	// idempotent reports whether it is safe to apply a request again after an owner may have applied it.
	idempotent func(Request) bool
}

// handle registers the endpoints: any core accepts a request at /op/NAME and forwards it to the owner, which accepts it at /own/NAME.
func (o operation[Request, Response]) handle(mux *http.ServeMux) {
	mux.Handle("POST /op/"+o.name, rpc.Handler(o.core.host.Fleet, o.submit))
	mux.Handle("POST /own/"+o.name, rpc.Handler(o.core.host.Fleet, o.applyWithQuorum))
}

// applyWithQuorum applies a request forwarded by another core. A core without a quorum rejects it, since the sender may still reach a
// majority.
func (o operation[Request, Response]) applyWithQuorum(ctx context.Context, request Request) (Response, error) {
	if !o.core.hasQuorumFor(o.key(request)) {
		var none Response
		return none, apierror.New(apierror.NoMajority, "%s cannot reach a majority of the members", o.core.host.Name)
	}
	return o.apply(ctx, request)
}

// submit has the register's owner apply a request. If the owner has no quorum, the next owner among the cores that this one considers
// able to act is tried, for up to protocol.QuorumTimeout. After that this core applies the request itself, since its view of which cores are
// live may lag behind which ones it can reach.
func (o operation[Request, Response]) submit(ctx context.Context, request Request) (Response, error) {
	var none Response
	c := o.core
	if current := c.membership(); current.self == nil && len(current.members) == 0 {
		return none, apierror.New(apierror.NotFounded, "the fleet is not bootstrapped: not all bootstrap peers have found each other")
	} else if current.self == nil {
		return none, apierror.New(apierror.NoMember, "%s is not a member", c.host.Name)
	}
	candidates := c.able()
	for start := time.Now(); len(candidates) > 0 && time.Since(start) < protocol.QuorumTimeout; {
		owner := rendezvous.Pick(o.key(request), candidates)
		response, err := o.submitTo(ctx, owner, request)
		if !apierror.Is(err, apierror.NoMajority) {
			return response, err
		}
		candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == owner })
	}
	return o.apply(ctx, request)
}

// submitTo has one core apply a request as the register's owner. If that core does not answer, this core applies the request itself,
// unless the other one may have applied it and applying it twice is unsafe. In that case the error is apierror.Undecided: the outcome
// is in doubt.
func (o operation[Request, Response]) submitTo(ctx context.Context, owner string, request Request) (Response, error) {
	var none Response
	if owner == o.core.host.Name {
		return o.applyWithQuorum(ctx, request)
	}
	response, err := o.forward(ctx, owner, request)
	switch {
	case err == nil || !apierror.Is(err, apierror.Unreachable):
		return response, err
	case isDialError(err): // no connection was made, so the owner has not received the request
		return o.apply(ctx, request)
	case o.idempotent(request):
		return o.retryLocally(ctx, owner, request, err)
	}
	return none, apierror.New(apierror.Undecided, "owner %s did not answer: %v", owner, err)
}

// forward sends a request to the register's owner.
func (o operation[Request, Response]) forward(ctx context.Context, owner string, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, protocol.OperationTimeout)
	defer cancel()
	return rpc.Call[Response](ctx, o.core.rpc, o.core.membership().addressOf(owner), "/own/"+o.name, request)
}

// retryLocally applies a request that the owner may already have applied; cause is why the owner's response is missing. If it is
// rejected here, it may still have taken effect at the owner, so the outcome is reported as undecided.
func (o operation[Request, Response]) retryLocally(ctx context.Context, owner string, request Request, cause error) (Response, error) {
	response, err := o.apply(ctx, request)
	if err != nil && apierror.Of(err).Code.Executed == apierror.NotRun {
		err = apierror.New(apierror.Undecided, "owner %s did not answer: %v; local attempt failed: %v", owner, cause, err)
	}
	return response, err
}

// isDialError reports whether a call failed before a connection was made.
func isDialError(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// logOutcome logs whether a register change was accepted or rejected.
func (c *Core) logOutcome(change, key string, revision register.Revision, err error) {
	if err != nil {
		c.host.Log.Warn().Str("key", key).Err(err).Msg(change + " rejected")
		return
	}
	c.host.Log.Info().Str("key", key).Uint64("epoch", revision.Epoch).Uint64("version", revision.Version).Msg(change + " accepted")
}

// CommitRequest asks a register's owner to ensure that the register's content is committed on a majority.
type CommitRequest struct {
	Key string `json:"key"`
	// Rewrite makes the current members accept the content again even if it is already committed.
	Rewrite bool `json:"carry,omitempty"`
	// Accepted is the revision that the sender has accepted. If it is above the committed revision, it did not reach a majority, and
	// the sender takes over the committed content only if it is written again under a later epoch.
	Accepted register.Revision `json:"has"`
}

// CommitResponse returns the committed revision.
type CommitResponse struct {
	Revision register.Revision `json:"stamp"`
}

func (c *Core) commitKey(ctx context.Context, request CommitRequest) (CommitResponse, error) {
	revision, err := c.owner.Commit(ctx, request.Key, request.Rewrite)
	if err == nil && revision.Less(request.Accepted) {
		revision, err = c.owner.Commit(ctx, request.Key, true)
	}
	return CommitResponse{Revision: revision}, err
}

// awaitRevision waits up to protocol.QuorumTimeout until this core has the given committed revision of a register, or a later committed one:
// on its disk, or as another core reports it while this disk takes no writes. The error is apierror.Behind if neither arrives in time.
func (c *Core) awaitRevision(ctx context.Context, key string, revision register.Revision) (register.Record, error) {
	const pollInterval = 30 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer cancel()
	for {
		record := c.acceptor.Read(key)
		if hasRevision(record, revision) {
			return record, nil
		}
		if reported, ok := c.reportedRevision(key, revision); ok {
			return reported, nil
		}
		if err := rpc.Sleep(ctx, pollInterval); err != nil {
			return record, apierror.Wrap(err, apierror.Behind, key)
		}
	}
}

// hasRevision reports whether a record has a committed revision or a later committed one. A later one that is not known to be committed may
// still be lost.
func hasRevision(record register.Record, revision register.Revision) bool {
	return record.Revision == revision || revision.Less(record.Revision) && record.IsCommitted()
}

// reportedRevision returns a register as a peer reports it, if the peer has the given committed revision or a later committed one.
func (c *Core) reportedRevision(key string, revision register.Revision) (register.Record, bool) {
	c.mu.Lock()
	peers := slices.Collect(maps.Values(c.peers))
	c.mu.Unlock()
	for _, peer := range peers {
		accepted, committed := peer.Revisions(key)
		if !hasRevision(register.Record{Revision: accepted, Committed: committed}, revision) {
			continue
		}
		state := peer.Read(key) // which may be newer by now
		record := register.Record{Revision: state.Revision, Committed: state.Committed, Fields: state.Fields}
		if hasRevision(record, revision) {
			return record, true
		}
	}
	return register.Record{}, false
}
