package controlplane

import (
	"context"
	"errors"
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

// Accepted is the answer to a change that a majority has: the register's version.
type Accepted struct {
	Version uint64 `json:"version"`
}

// operations are the changes of registers that a core takes from operators, agents and other cores.
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
		config:         operation[ConfigChange, Accepted]{core: c, name: config.Key, key: always[ConfigChange](config.Key), apply: c.applyConfig, idempotent: ConfigChange.HasKey},
		numberedConfig: operation[config.NumberedConfig, Accepted]{core: c, name: "declaration", key: always[config.NumberedConfig](config.Key), apply: c.applyNumberedConfig, idempotent: always[config.NumberedConfig](true)},
		accessKey:      operation[AccessKeyChange, Accepted]{core: c, name: "keys", key: AccessKeyChange.Register, apply: c.applyAccessKey, idempotent: always[AccessKeyChange](true)},
		replicas:       operation[ReplicasChange, Accepted]{core: c, name: "replicas", key: always[ReplicasChange](config.ReplicasKey), apply: c.applyReplicas, idempotent: always[ReplicasChange](true)},
		modelVersion:   operation[ModelVersionChange, Accepted]{core: c, name: "models", key: always[ModelVersionChange](config.ModelsKey), apply: c.applyModelVersion, idempotent: always[ModelVersionChange](true)},
		loads:          operation[register.Fields, Accepted]{core: c, name: "loads", key: always[register.Fields](config.LoadsKey), apply: c.applyLoads, idempotent: always[register.Fields](true)},
		retirement:     operation[RetirementChange, Accepted]{core: c, name: "retirement", key: always[RetirementChange](config.RetirementKey), apply: c.applyRetirement, idempotent: RetirementChange.HasKey},
		retirementStep: operation[RetirementStep, Accepted]{core: c, name: "advance", key: always[RetirementStep](config.RetirementKey), apply: c.applyRetirementStep, idempotent: always[RetirementStep](true)},
		claim:          operation[claim.Request, struct{}]{core: c, name: "claim", key: claim.Request.Register, apply: c.applyClaim, idempotent: always[claim.Request](true)},
		throttle:       operation[throttle.Notice, struct{}]{core: c, name: "hold", key: throttleRegister, apply: c.applyThrottle, idempotent: always[throttle.Notice](true)},
		lease:          operation[LeaseRequest, Accepted]{core: c, name: "term", key: LeaseRequest.register, apply: c.grantLease, idempotent: always[LeaseRequest](false)},
		membership:     operation[membership.Change, Accepted]{core: c, name: "members", key: always[membership.Change](config.MembersKey), apply: c.applyMembershipChange, idempotent: membership.Change.IsIdempotent},
		commit:         operation[CommitRequest, CommitResponse]{core: c, name: "settle", key: func(r CommitRequest) string { return r.Key }, apply: c.commitKey, idempotent: always[CommitRequest](true)},
	}
}

// always gives the same for every request: the key of an operation that has one register only, for instance.
func always[Request, Value any](value Value) func(Request) Value {
	return func(Request) Value { return value }
}

// handle adds the endpoints of all operations.
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

// operation is one kind of change of a register.
type operation[Request, Response any] struct {
	core *Core
	name string
	// key gives the register that a request changes.
	key func(Request) string
	// apply makes the change as the register's owner.
	apply func(context.Context, Request) (Response, error)
	// idempotent reports whether a request that an owner may have applied can be applied again without harm.
	idempotent func(Request) bool
}

// handle adds the endpoints: any core takes a request at /op/NAME and forwards it to the owner, which takes it at /own/NAME.
func (o operation[Request, Response]) handle(mux *http.ServeMux) {
	mux.Handle("POST /op/"+o.name, rpc.Handler(o.core.host.Fleet, o.submit))
	mux.Handle("POST /own/"+o.name, rpc.Handler(o.core.host.Fleet, o.applyWithQuorum))
}

// applyWithQuorum applies a request that another core has forwarded. A core that hears no majority does not try: the other one may hear it.
func (o operation[Request, Response]) applyWithQuorum(ctx context.Context, request Request) (Response, error) {
	if !o.core.hasQuorum() {
		var none Response
		return none, apierror.New(apierror.NoMajority, "%s hears no majority of the members", o.core.host.Name)
	}
	return o.apply(ctx, request)
}

// submit has the register's owner apply a request. An owner that hears no majority is passed over for the next one that this core hears, for
// as long as protocol.QuorumTimeout; then this core tries itself, since what it hears may lag behind what it reaches.
func (o operation[Request, Response]) submit(ctx context.Context, request Request) (Response, error) {
	var none Response
	c := o.core
	if now := c.membership(); now.self == nil && len(now.members) == 0 {
		return none, apierror.New(apierror.NotFounded, "the founders have not all met")
	} else if now.self == nil {
		return none, apierror.New(apierror.NoMember, "%s is no member", c.host.Name)
	}
	candidates := c.live()
	for began := time.Now(); len(candidates) > 0 && time.Since(began) < protocol.QuorumTimeout; {
		owner := rendezvous.Pick(o.key(request), candidates)
		response, err := o.submitTo(ctx, owner, request)
		if !apierror.Is(err, apierror.NoMajority) {
			return response, err
		}
		candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == owner })
	}
	return o.apply(ctx, request)
}

// submitTo has one core apply a request as the register's owner. If that core does not answer, this one applies it itself, unless the other
// may have applied it and doing so twice would do harm: then the answer is apierror.Undecided, neither yes nor no.
func (o operation[Request, Response]) submitTo(ctx context.Context, owner string, request Request) (Response, error) {
	var none Response
	if owner == o.core.host.Name {
		return o.applyWithQuorum(ctx, request)
	}
	response, err := o.forward(ctx, owner, request)
	switch {
	case err == nil || !apierror.Is(err, apierror.Unreachable):
		return response, err
	case isDialError(err): // the owner cannot have got it
		return o.apply(ctx, request)
	case o.idempotent(request):
		return o.applyAgain(ctx, owner, request, err)
	}
	return none, apierror.New(apierror.Undecided, "the owner %s did not answer: %v", owner, err)
}

// forward sends a request to the register's owner.
func (o operation[Request, Response]) forward(ctx context.Context, owner string, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, protocol.OperationTimeout)
	defer cancel()
	return rpc.Call[Response](ctx, o.core.rpc, o.core.membership().addressOf(owner), "/own/"+o.name, request)
}

// applyAgain applies a request that the owner may have applied; cause is why the owner's answer is missing. What fails here without effect
// may have been done there, so it is undecided.
func (o operation[Request, Response]) applyAgain(ctx context.Context, owner string, request Request, cause error) (Response, error) {
	response, err := o.apply(ctx, request)
	if err != nil && apierror.Of(err).Code.Executed == apierror.NotRun {
		err = apierror.New(apierror.Undecided, "the owner %s did not answer: %v; then here: %v", owner, cause, err)
	}
	return response, err
}

// isDialError reports whether a call failed before a connection was made.
func isDialError(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}

// logOutcome logs how a change of a register ended.
func (c *Core) logOutcome(change, key string, revision register.Revision, err error) {
	if err != nil {
		c.host.Log.Warn().Str("key", key).Err(err).Msg(change + " rejected")
		return
	}
	c.host.Log.Info().Str("key", key).Uint64("epoch", revision.Epoch).Uint64("version", revision.Version).Msg(change + " accepted")
}

// CommitRequest asks a register's owner to make sure that what the register has is on a majority.
type CommitRequest struct {
	Key string `json:"key"`
	// Rewrite has the present members accept the content again even if it is committed.
	Rewrite bool `json:"carry,omitempty"`
	// Accepted is the revision that the asker has accepted. If it is above what is committed, it came to no majority; the asker takes over
	// what did only under a later epoch.
	Accepted register.Revision `json:"has"`
}

// CommitResponse has the committed revision.
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

// awaitRevision waits up to protocol.QuorumTimeout until this core's disk has a register's content of that revision, or a later one that
// is committed. The error is apierror.Behind if it does not get it.
func (c *Core) awaitRevision(ctx context.Context, key string, revision register.Revision) (register.Record, error) {
	const pollInterval = 30 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer cancel()
	for {
		record := c.acceptor.Read(key)
		later := revision.Less(record.Revision) && record.IsCommitted() // one that is not committed may be lost yet
		if record.Revision == revision || later {
			return record, nil
		}
		if err := rpc.Sleep(ctx, pollInterval); err != nil {
			return record, apierror.Wrap(err, apierror.Behind, key)
		}
	}
}
