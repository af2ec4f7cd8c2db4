package router

import (
	"context"
	"errors"
	"time"

	"asterridge/apierror"
)

// errPickAgain returns a request to the queue: nothing was sent, and the replica that it was given can no longer serve it.
var errPickAgain = errors.New("pick another replica")

// errRetryable is the error of an attempt that was not executed or may be repeated. Its cause is the client's answer if no other
// attempt is made.
type errRetryable struct{ cause error }

func (e errRetryable) Error() string { return e.cause.Error() }

func (e errRetryable) Unwrap() error { return e.cause }

// Handle makes attempts as long as the path, the deadline and the retry budget allow (docs/design.md §5.4).
func (f attemptsFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	r := f.r
	waiting, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	r.step(x, Eligible, "")
	err := r.attempt(waiting, x, onward)
	if err != nil && x.mayHaveExecuted && apierror.Of(err).Code.Executed == apierror.NotRun {
		err = apierror.New(apierror.OutcomeLost, "an earlier attempt was sent and may have been executed; the last one failed: %v", err)
	}
	if err != nil {
		r.releaseClaim(x, err)
	}
	return err
}

// attempt runs the rest of the chain until it succeeds or no attempt is left. A replica that was picked and not written to does not
// count as a retry.
func (r *Router) attempt(ctx context.Context, x *Exchange, onward handler) error {
	for {
		if err := x.route(r.view.Load()); err != nil {
			return err
		}
		if err := r.checkThrottle(x); err != nil {
			return err
		}
		if !x.Pool.isStaffed() {
			return again(apierror.New(apierror.NoReplica, "pool %s has no replica that is to stay in service", x.Pool.Name), time.Second)
		}
		err := onward(ctx, x)
		if err == nil {
			return nil
		}
		if err == errPickAgain {
			if x.State == Submitted { // the check at the write failed: nothing was written
				r.step(x, RetryWait, "not sent")
				r.step(x, Eligible, "again")
			}
			continue
		}
		var unsent errUnsent
		if errors.As(err, &unsent) { // nothing reached a replica: not charged to the retry budget
			if x.unsentAttempts++; x.unsentAttempts > maxUnsentAttempts {
				return r.attemptsExhausted(x, unsent.cause)
			}
			if x.State == Submitted {
				r.step(x, RetryWait, unsent.cause.Error())
				r.step(x, Eligible, "again")
			}
			continue
		}
		var retry errRetryable
		if !errors.As(err, &retry) {
			return err
		}
		if err := r.chargeRetry(x, retry.cause); err != nil {
			return err
		}
	}
}

// maxUnsentAttempts is the maximum number of attempts of one request of which no byte was written.
const maxUnsentAttempts = 6

// errUnsent is the error of an attempt of which no byte was written.
type errUnsent struct{ cause error }

func (e errUnsent) Error() string { return e.cause.Error() }

func (e errUnsent) Unwrap() error { return e.cause }

// chargeRetry charges a retry to the retry budget and to the path's attempts, and makes the request eligible again.
func (r *Router) chargeRetry(x *Exchange, cause error) error {
	if x.Path.Tries > 0 && x.Attempt+1 >= x.Path.Tries {
		return r.attemptsExhausted(x, cause)
	}
	if !r.budget.spend() {
		r.counts.add("budget_empty", 1)
		return r.attemptsExhausted(x, cause)
	}
	r.step(x, RetryWait, cause.Error())
	x.Attempt++
	r.counts.add("second_shots", 1)
	r.step(x, Eligible, "again")
	return nil
}

// checkThrottle rejects a request whose throttle lasts beyond its deadline, with apierror.Throttled.
func (r *Router) checkThrottle(x *Exchange) error {
	until := r.throttles.Until(x.item.Scope)
	if until.IsZero() || until.Before(x.Deadline) {
		return nil
	}
	return again(apierror.New(apierror.Throttled, "%s is held", x.item.Scope), time.Until(until))
}

// attemptsExhausted returns the final error of a request that has no attempt left, with the delay after which to try again.
func (r *Router) attemptsExhausted(x *Exchange, cause error) error {
	f := apierror.New(apierror.SpentAttempts, "%v", cause)
	if until := r.throttles.Until(x.item.Scope); !until.IsZero() {
		f.Again = time.Until(until)
	} else {
		f.Again = time.Second
	}
	return f
}
