package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"time"

	"asterridge/blueprint"
	"asterridge/fail"
	"asterridge/hold"
	"asterridge/link"
	"asterridge/prompt"
)

// handle is the rest of the chain.
type handle func(ctx context.Context, x *Exchange) error

// Filter is one policy on a request's way (§5.2). It may answer with an error, change the exchange, and call onward.
type Filter interface {
	Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error
}

type (
	currencyFilter struct{ r *Router }
	identityFilter struct{ r *Router }
	pathFilter     struct{ r *Router }
	shotsFilter    struct{ r *Router }
	backlogFilter  struct{ r *Router }
	claimFilter    struct{ r *Router }
	sendFilter     struct{ r *Router }
)

const maxAnyway = 16 << 20

// decode makes an exchange of a caller's request; the body is read later, when its bound is known.
func (r *Router) decode(ctx context.Context, q *http.Request) (any, error) {
	return &Exchange{ID: ctx.Value(idName{}).(string), Request: q, Received: time.Now()}, nil
}

// Handle bounces new work while this router cannot prove that it is current, or stops.
func (f currencyFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	if err := f.r.admits(); err != nil {
		return err
	}
	return onward(ctx, x)
}

func (r *Router) admits() error {
	if r.stopping.Load() {
		return again(fail.New(fail.Stopping, "this proxy is stopping"), time.Second)
	}
	if !r.IsCurrent() {
		return again(fail.New(fail.NotCurrent, "no word from a majority of cores"), time.Second)
	}
	return nil
}

func again(f *fail.Failure, after time.Duration) error {
	f.Again = after
	return f
}

// Handle finds the tenant by the access key.
func (f identityFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	word, isBearer := strings.CutPrefix(x.Request.Header.Get("Authorization"), "Bearer ")
	if !isBearer {
		return fail.New(fail.BadKey, "no bearer key")
	}
	x.View, x.Access = f.r.view.Load(), blueprint.HashKey(word)
	x.Tenant = x.View.access[x.Access]
	if x.Tenant == nil {
		return fail.New(fail.BadKey, "unknown or revoked key")
	}
	return onward(ctx, x)
}

// Handle reads the body within bounds, and finds the path.
func (f pathFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	q := x.Request
	if q.ContentLength > maxAnyway {
		return fail.New(fail.Oversize, "a body of %d bytes", q.ContentLength)
	}
	body, err := io.ReadAll(io.LimitReader(q.Body, maxAnyway+1))
	if err != nil {
		return fail.Wrap(err, fail.Malformed, "read body")
	}
	x.Body = body
	if x.Prompt, err = f.r.options.Dialect.Read(body, q.URL.Path); err != nil {
		return err
	}
	if x.Path = x.View.find(q.URL.Path, x.Prompt.Model); x.Path == nil {
		return fail.New(fail.NoPath, "no path for %s and model %q", q.URL.Path, x.Prompt.Model)
	}
	if len(body) > x.Path.MaxBody {
		return fail.New(fail.Oversize, "%d bytes, at most %d", len(body), x.Path.MaxBody)
	}
	x.Key = q.Header.Get("Idempotency-Key")
	if len(x.Key) > 256 {
		return fail.New(fail.Oversize, "an idempotency key of %d bytes", len(x.Key))
	}
	x.IsRepeatable = x.Path.IsRepeatable
	switch q.Header.Get("X-Repeatable") {
	case "yes":
		x.IsRepeatable = true
	case "no":
		x.IsRepeatable = false
	}
	wait := time.Duration(x.Path.DeadlineMs) * time.Millisecond
	if text := q.Header.Get("X-Deadline-Ms"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 {
			return fail.New(fail.OutOfRange, "X-Deadline-Ms %q", text)
		}
		wait = min(wait, time.Duration(ms)*time.Millisecond)
	}
	x.Deadline = x.Received.Add(wait)
	x.item.Tenant, x.item.Pool, x.item.Cost = x.Tenant.index, x.Path.pool.index, x.Path.Cost
	x.item.Deadline = x.Deadline
	x.item.Weight, x.item.Limit, x.item.Body = x.Tenant.Weight, x.Tenant.Backlog, x
	x.item.Scope = hold.Scope(x.Tenant.Name, x.Path.Pool, x.Tenant.Scope == "pool")
	return onward(ctx, x)
}

// errRedraw sends a request back to the backlog: nothing was sent, the replica it was given will not do.
var errRedraw = errors.New("draw another replica")

// errAgain is a shot that did not run, or may be repeated; the cause is what the caller hears if there is no other.
type errAgain struct{ cause error }

func (e errAgain) Error() string { return e.cause.Error() }
func (e errAgain) Unwrap() error { return e.cause }

// Handle shoots, and shoots again where that is allowed and paid for (§5.4).
func (f shotsFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	r := f.r
	waiting, stop := context.WithDeadline(ctx, x.Deadline)
	defer stop()
	r.step(x, Eligible, "")
	err := r.shoot(waiting, x, onward)
	if err != nil && x.isSent && fail.Of(err).Code.Ran == fail.NotRun {
		err = fail.New(fail.OutcomeLost, "an earlier shot was sent; then: %v", err)
	}
	if err != nil {
		r.unclaim(x, err)
	}
	return err
}

func (r *Router) shoot(ctx context.Context, x *Exchange, onward handle) error {
	for {
		if err := r.heldTooLong(x); err != nil {
			return err
		}
		if p := r.view.Load().pools[x.Path.Pool]; p == nil || !p.isStaffed() {
			return again(fail.New(fail.NoReplica, "pool %s has no replica that stays", x.Path.Pool), time.Second)
		}
		err := onward(ctx, x)
		if err == nil {
			return nil
		}
		if err == errRedraw {
			continue
		}
		var retry errAgain
		if !errors.As(err, &retry) {
			return err
		}
		if !r.budget.spend() {
			r.counts.add("budget_empty", 1)
			return r.givenUp(x, retry.cause)
		}
		r.step(x, RetryWait, retry.cause.Error())
		x.Shot++
		r.counts.add("second_shots", 1)
		r.step(x, Eligible, "again")
	}
}

// heldTooLong bounces a request at once whose hold outlasts its deadline.
func (r *Router) heldTooLong(x *Exchange) error {
	until := r.table.Until(x.item.Scope)
	if until.IsZero() || until.Before(x.Deadline) {
		return nil
	}
	return again(fail.New(fail.Held, "%s is held", x.item.Scope), time.Until(until))
}

// givenUp is the final answer of a request that has no shot left; it says when to come back.
func (r *Router) givenUp(x *Exchange, cause error) error {
	f := fail.New(fail.SpentShots, "%v", cause)
	if until := r.table.Until(x.item.Scope); !until.IsZero() {
		f.Again = time.Until(until)
	} else {
		f.Again = time.Second
	}
	return f
}

// Handle waits for the request's turn and a credit.
func (f backlogFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	r := f.r
	waiting, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-r.draining:
			stop()
		case <-waiting.Done():
		}
	}()
	c, err := r.backlog.Take(waiting, &x.item)
	if err != nil {
		switch {
		case r.stopping.Load():
			return again(fail.New(fail.Stopping, "stopped while waiting"), time.Second)
		case fail.Is(err, fail.Held):
			return err
		case fail.Is(err, fail.BacklogFull):
			return again(fail.Of(err), time.Second)
		case ctx.Err() == context.Canceled:
			return fail.New(fail.CallerGone, "left while waiting")
		}
		return again(fail.Of(err), time.Second)
	}
	x.replica, x.weights, x.source = c.replica, c.weights, c.source
	isKept := false
	defer func() {
		if !isKept {
			r.giveBack(c)
			r.backlog.Wake(x.item.Pool)
		}
	}()
	if err := onward(ctx, x); err != nil {
		return err
	}
	isKept = true
	finish := x.Answer.finish
	x.Answer.finish = func(err error) {
		r.giveBack(c)
		r.backlog.Wake(x.item.Pool)
		finish(err)
	}
	return nil
}

// Claim asks for a caller's key, or settles it (§5.5).
type Claim struct {
	Tenant string `json:"tenant"`
	Key    string `json:"key"`
	Nonce  string `json:"nonce"`
	State  string `json:"state"` // "running", "ran", "unknown", or "free" to give it back
}

// Handle claims the caller's key before the first send of a request that may not be repeated.
func (f claimFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	if x.Key == "" || x.IsRepeatable || x.isClaimed {
		return onward(ctx, x)
	}
	began := time.Now()
	_, err := link.Call[struct{}](ctx, f.r.wire, f.r.options.Agent, "/agent/claim", Claim{x.Tenant.Name, x.Key, x.ID, "running"})
	f.r.counts.add("claims", 1)
	f.r.counts.add("claim_us", time.Since(began).Microseconds())
	switch {
	case err == nil:
		x.isClaimed = true
		return onward(ctx, x)
	case fail.Is(err, fail.InProgress), fail.Is(err, fail.KeyUnknown), fail.Is(err, fail.KeyRan):
		return err
	}
	x.isClaimed = true // it may stand: give it back
	return again(fail.New(fail.NoClaim, "%v", err), time.Second)
}

// unclaim gives the key back if the request is bounced as not run, or else notes that its outcome is unknown.
func (r *Router) unclaim(x *Exchange, err error) {
	state := "free"
	if fail.Of(err).Code.Ran != fail.NotRun {
		state = "unknown"
	}
	r.settleClaim(x, state)
}

func (r *Router) settleClaim(x *Exchange, state string) {
	if !x.isClaimed {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		_, err := link.Call[struct{}](ctx, r.wire, r.options.Agent, "/agent/claim", Claim{x.Tenant.Name, x.Key, x.ID, state})
		if err != nil {
			r.log.Warn().Str("event", "claim_unsettled").Str("request", x.ID).Str("state", state).Err(err).Msg("")
		}
	}()
}

// recheck looks again at everything at the moment of sending (§3.2).
func (r *Router) recheck(x *Exchange) error {
	if err := r.admits(); err != nil {
		return err
	}
	v := r.view.Load()
	if t := v.access[x.Access]; t == nil || t.Name != x.Tenant.Name {
		return fail.New(fail.BadKey, "the key was revoked while the request waited")
	}
	x.View = v
	p, rep := v.pools[x.Path.Pool], v.replicas[x.replica.Name]
	if p == nil {
		return fail.New(fail.NoPath, "the path's pool is gone")
	}
	if until := r.table.Until(x.item.Scope); !until.IsZero() {
		return errRedraw
	}
	if rep == nil || rep.Address != x.replica.Address {
		return errRedraw
	}
	if weights, isFit := r.mayServe(p, rep, time.Now()); !isFit || weights != x.weights {
		return errRedraw
	}
	return nil
}

// Handle sends the request to its replica and waits for the first piece of the answer.
func (f sendFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	r, rep := f.r, x.replica
	domain := prompt.Domain(x.Tenant.Name, x.Tenant.IsWalled, x.weights)
	// The stream outlives the wait for its first piece: it has the caller's context, and a stop of its own.
	sending, stop := context.WithCancel(x.Request.Context())
	isReached := false
	traced := httptrace.WithClientTrace(sending, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { isReached = true }})
	q, err := http.NewRequestWithContext(traced, x.Request.Method, "http://"+rep.Address+x.Request.URL.RequestURI(), nil)
	if err != nil {
		stop()
		return fail.Wrap(err, fail.Internal, "make request")
	}
	for name, values := range x.Request.Header {
		switch name {
		case "Authorization", "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Idempotency-Key", "Proxy-Connection", "Expect":
		default:
			q.Header[name] = values
		}
	}
	weights := x.weights
	if x.Path.pool.Kind == "web" {
		weights = ""
	}
	r.options.Dialect.Dress(q.Header, x, domain, weights, x.source)
	// A body reader without GetBody keeps net/http from resending by itself (§5.4).
	q.Body, q.GetBody = io.NopCloser(struct{ io.Reader }{bytes.NewReader(x.Body)}), nil
	if len(x.Body) > 0 {
		q.ContentLength = int64(len(x.Body))
	}
	if err := r.recheck(x); err != nil {
		stop()
		return err
	}
	r.step(x, Submitted, "")
	x.Sent = time.Now()
	if x.Shot == 0 {
		r.budget.first()
		r.counts.add("first_shots", 1)
	}
	schedule := time.AfterFunc(time.Until(x.Deadline), stop)
	answer, err := r.upstream.RoundTrip(q)
	if err != nil {
		schedule.Stop()
		stop()
		var refused *net.OpError
		if !isReached && errors.As(err, &refused) && refused.Op == "dial" {
			r.cool(rep)
			return errAgain{fail.Wrap(err, fail.ReplicaSaid, "no connection was made")}
		}
		return r.lost(x, err)
	}
	verdict := r.options.Dialect.Judge(answer)
	if !verdict.IsServed {
		schedule.Stop()
		_ = answer.Body.Close()
		stop()
		return r.refused(x, answer, verdict)
	}
	if id := r.options.Dialect.AnswerID(answer); id != x.ID {
		schedule.Stop()
		_ = answer.Body.Close()
		stop()
		x.isSent = true
		r.log.Error().Str("event", "foreign_answer").Str("request", x.ID).Str("answer", id).Str("replica", rep.Name).Msg("")
		return fail.New(fail.ForeignAnswer, "answer %q", id)
	}
	x.Answer = &Answer{Status: answer.StatusCode, Header: answer.Header, Rest: answer.Body, finish: func(error) {
		_ = answer.Body.Close()
		stop()
	}}
	isStream := strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
	if isStream {
		x.Answer.IsEnd = r.options.Dialect.IsEnd
		buffer := pieces.Get().(*[pieceSize]byte)
		x.Answer.buffer = buffer
		n, readErr := answer.Body.Read(buffer[:])
		for n == 0 && readErr == nil {
			n, readErr = answer.Body.Read(buffer[:])
		}
		err = readErr
		if n > 0 || errors.Is(err, io.EOF) {
			err = nil
		}
		x.Answer.First = buffer[:n]
	} else if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		err = fail.New(fail.StreamCut, "an answer without an end of its own")
	} else if answer.ContentLength <= maxWhole {
		x.Answer.First, err = io.ReadAll(io.LimitReader(answer.Body, maxWhole+1))
		x.Answer.IsAll = len(x.Answer.First) <= maxWhole
	}
	if !schedule.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		x.Answer.finish(err)
		return r.lost(x, err)
	}
	r.began(x, time.Since(x.Sent))
	r.index.Learn(rep.Name, x.chain(domain))
	return nil
}

const maxWhole = 1 << 20

// lost ends a shot that may have run.
func (r *Router) lost(x *Exchange, err error) error {
	x.isSent = true
	if x.Request.Context().Err() != nil {
		return fail.Wrap(err, fail.OutcomeLost, "the caller left")
	}
	r.cool(x.replica)
	r.log.Warn().Str("event", "lost").Str("request", x.ID).Str("replica", x.replica.Name).Err(err).Msg("")
	lost := fail.Wrap(err, fail.OutcomeLost, "no whole answer from "+x.replica.Name)
	if x.IsRepeatable && time.Now().Before(x.Deadline) {
		return errAgain{lost}
	}
	return fail.New(fail.OutcomeLost, "%v", lost)
}

// refused reads a refusal: a throttle holds the tenant's scope; all that the dialect defines as not run may be shot again.
func (r *Router) refused(x *Exchange, answer *http.Response, v Verdict) error {
	r.counts.add("refusals", 1)
	cause := fail.New(fail.ReplicaSaid, "%s refused: %s", x.replica.Name, v.Reason)
	if v.IsPushed {
		r.counts.add("refusals_pushed", 1)
		rule := r.view.Load().hold
		values := answer.Header.Values("Retry-After")
		isOurs := v.IsTenant || r.signals.Refused(x.replica.index, x.Tenant.index)
		if !isOurs {
			r.cool(x.replica)
		}
		if isOurs || len(values) > 0 {
			delay, isParsed := hold.RetryAfter(values, time.Now(), time.Duration(rule.CapMs)*time.Millisecond)
			if !isParsed {
				delay = r.random.backoff(rule, x.Shot+r.streak(x))
			}
			r.throttle(x, delay, "refused: "+v.Reason, strings.Join(values, " | "))
		}
	}
	if v.IsMoved {
		r.cool(x.replica)
	}
	if !v.IsNotRun {
		x.isSent = true
		return fail.New(fail.OutcomeLost, "%s refused: %s", x.replica.Name, v.Reason)
	}
	return errAgain{cause}
}

// began feeds the delay of the first piece to the signals.
func (r *Router) began(x *Exchange, delay time.Duration) {
	x.replica.bad.Store(0)
	said := x.replica.report.Load()
	if said == nil || !said.IsWarm {
		return // slow for everyone
	}
	rule := r.view.Load().hold
	cold := time.Duration(float64(len(x.Prompt.Text)) / said.rate() * float64(time.Millisecond))
	if r.signals.Began(x.replica.index, x.Path.index, x.Tenant.index, delay, cold, rule.SlowRatio) {
		r.throttle(x, r.random.backoff(rule, r.streak(x)), "slowed", "")
	}
	if x.Path.pool.Kind == "model" && !r.signals.IsSlow(x.Tenant.index) {
		r.calm(x)
	}
}
