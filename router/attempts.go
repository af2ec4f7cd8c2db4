package router

import (
	"context"
	"errors"
	"time"

	"asterridge/apierror"
)

// errPickAgain sends a request back to the queue: nothing was sent, and the replica that it was given will not do.
var errPickAgain = errors.New("draw another replica")

// errAgain is an attempt that was not executed, or that may be repeated. Its cause is the client's answer if there is no other attempt.
type errAgain struct{ cause error }

func (e errAgain) Error() string { return e.cause.Error() }

func (e errAgain) Unwrap() error { return e.cause }

// Handle makes attempts as long as that is allowed and paid for (docs/design.md §5.4).
func (f attemptsFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	r := f.r
	waiting, stop := context.WithDeadline(ctx, x.Deadline)
	defer stop()
	r.step(x, Eligible, "")
	err := r.attempt(waiting, x, onward)
	if err != nil && x.mayHaveExecuted && apierror.Of(err).Code.Executed == apierror.NotRun {
		err = apierror.New(apierror.OutcomeLost, "an earlier attempt was sent; then: %v", err)
	}
	if err != nil {
		r.releaseClaim(x, err)
	}
	return err
}

// attempt runs the rest of the chain once; a replica that will not do is no attempt.
func (r *Router) attempt(ctx context.Context, x *Exchange, onward handle) error {
	for {
		if err := x.lead(r.view.Load()); err != nil {
			return err
		}
		if err := r.checkThrottle(x); err != nil {
			return err
		}
		if !x.Pool.isStaffed() {
			return again(apierror.New(apierror.NoReplica, "pool %s has no replica that stays", x.Pool.Name), time.Second)
		}
		err := onward(ctx, x)
		if err == nil {
			return nil
		}
		if err == errPickAgain {
			if x.State == Submitted { // its connection came too late: not a byte of it was written
				r.step(x, RetryWait, "not sent")
				r.step(x, Eligible, "again")
			}
			continue
		}
		var unsent errUnsent
		if errors.As(err, &unsent) { // nothing arrived anywhere: it is not paid for
			if x.unsentAttempts++; x.unsentAttempts > maxUnsent {
				return r.givenUp(x, unsent.cause)
			}
			if x.State == Submitted {
				r.step(x, RetryWait, unsent.cause.Error())
				r.step(x, Eligible, "again")
			}
			continue
		}
		var retry errAgain
		if !errors.As(err, &retry) {
			return err
		}
		if err := r.payRetry(x, retry.cause); err != nil {
			return err
		}
	}
}

// maxUnsent bounds the attempts of one request of which no byte was written.
const maxUnsent = 6

// errUnsent is an attempt of which no byte was written.
type errUnsent struct{ cause error }

func (e errUnsent) Error() string { return e.cause.Error() }

func (e errUnsent) Unwrap() error { return e.cause }

// payRetry takes a retry from the budget and from the path's attempts, and makes the request eligible again.
func (r *Router) payRetry(x *Exchange, cause error) error {
	if x.Path.Tries > 0 && x.Attempt+1 >= x.Path.Tries {
		return r.givenUp(x, cause)
	}
	if !r.budget.spend() {
		r.counts.add("budget_empty", 1)
		return r.givenUp(x, cause)
	}
	r.step(x, RetryWait, cause.Error())
	x.Attempt++
	r.counts.add("second_shots", 1)
	r.step(x, Eligible, "again")
	return nil
}

// checkThrottle rejects a request at once whose throttle outlasts its deadline, with apierror.Throttled.
func (r *Router) checkThrottle(x *Exchange) error {
	until := r.throttles.Until(x.item.Scope)
	if until.IsZero() || until.Before(x.Deadline) {
		return nil
	}
	return again(apierror.New(apierror.Throttled, "%s is held", x.item.Scope), time.Until(until))
}

// givenUp is the final answer of a request that has no attempt left; it says when to come back.
func (r *Router) givenUp(x *Exchange, cause error) error {
	f := apierror.New(apierror.SpentAttempts, "%v", cause)
	if until := r.throttles.Until(x.item.Scope); !until.IsZero() {
		f.Again = time.Until(until)
	} else {
		f.Again = time.Second
	}
	return f
}
