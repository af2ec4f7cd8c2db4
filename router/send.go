package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"reflect"
	"slices"
	"strings"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/prefixindex"
	"asterridge/throttle"
)

// recheck repeats all checks, before a connection is sought and again at the moment of the write (docs/design.md §3.2). It changes no
// state, and returns the view that it checked against. The error is errPickAgain if the request has to be routed anew.
func (r *Router) recheck(x *Exchange) (*View, error) {
	if err := r.admissionError(); err != nil {
		return nil, err
	}
	v := r.view.Load()
	t, p, rep := v.tenantOf(x), v.find(x.Request.Host, x.Request.URL.Path, x.Prompt.Model), v.replicas[x.replica.Name]
	if v != x.View && (t == nil || p == nil || !t.isSame(x.Tenant) || !reflect.DeepEqual(p.Path, x.Path.Path)) {
		return nil, errPickAgain // routed anew, it is sent under the current configuration, or rejected
	}
	if until := r.throttles.Until(x.item.Scope); !until.IsZero() {
		return nil, errPickAgain
	}
	if rep == nil || rep.Address != x.replica.Address {
		return nil, errPickAgain
	}
	if weights, fit := r.canServe(v, p.pick(x.ID), rep, x.Prompt.Model, time.Now()); !fit || weights != x.weights {
		return nil, errPickAgain
	}
	if on, ready := v.placement(x, p, rep); !ready || on != x.placement {
		return nil, errPickAgain // the placement has changed: the base is chosen at the write (§6.6)
	}
	if r.isPastOldVersion(v, x) {
		return nil, errPickAgain
	}
	return v, nil
}

// Handle sends the request to its replica and waits for the first chunk of the answer.
func (f sendFilter) Handle(_ context.Context, x *Exchange, _ func(context.Context, *Exchange) error) error {
	r, rep := f.r, x.replica
	domain := prefixindex.Domain(x.Tenant.cacheScope, domainOf(x.weights, x.placement))
	x.remaining = 0 // the replica was not told a time yet
	v, err := r.recheck(x)
	if err != nil {
		return err
	}
	x.remaining = r.remainingTime(v, x)
	// The stream outlives the wait for its first chunk, so it uses the client's context and a cancel function of its own.
	sending, cancel := context.WithCancel(x.Request.Context())
	timer := time.AfterFunc(time.Until(x.Deadline), cancel)
	answer, err := r.send(sending, x, domain)
	if err != nil {
		timer.Stop()
		cancel()
		return err
	}
	if err := r.matchResponse(x, answer); err != nil {
		timer.Stop()
		_ = answer.Body.Close() // its body is not used
		x.write.discard()
		cancel()
		return err
	}
	r.observeResponse(x, answer)
	verdict := r.options.Protocol.Classify(answer)
	if !verdict.Served {
		timer.Stop()
		_ = answer.Body.Close() // its body is not used
		cancel()
		return r.handleRejection(x, answer, verdict)
	}
	x.Answer = &Answer{Status: answer.StatusCode, Header: answer.Header, Body: answer.Body, finish: func(error) {
		_ = answer.Body.Close() // the answer is over: nothing more is read from it
		cancel()
	}}
	err = r.readFirstChunk(x, answer)
	if !timer.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		x.Answer.finish(err)
		return r.handleLostAttempt(x, err)
	}
	r.observeFirstChunk(x, time.Since(x.Sent))
	if answer.StatusCode == http.StatusOK {
		r.index.Add(rep.Name, x.chain(domain))
	}
	return nil
}

// matchResponse rejects a response with an invalid status, or with the ID of another request. Such a response says nothing about this
// request, which may have been executed.
func (r *Router) matchResponse(x *Exchange, answer *http.Response) error {
	if answer.StatusCode < http.StatusOK || answer.StatusCode > highestStatus {
		return r.handleLostAttempt(x, apierror.New(apierror.ReplicaRejected, "invalid response status %d", answer.StatusCode))
	}
	if id := r.options.Protocol.AnswerID(answer); id != x.ID {
		r.log.Error().Str("request", x.ID).Str("answer", id).Str("replica", x.replica.Name).Msg("answer bears the ID of another request")
		mismatch, retry := apierror.New(apierror.ForeignAnswer, "response has request ID %q", id), errRetryable{}
		if err := r.handleLostAttempt(x, mismatch); errors.As(err, &retry) {
			return retry
		}
		return mismatch
	}
	return nil
}

// highestStatus is the highest HTTP status.
const highestStatus = 599

// observeResponse records what a response's header says about its replica: its occupancy, and its version of the request's model.
func (r *Router) observeResponse(x *Exchange, answer *http.Response) {
	if seen, reported := r.options.Protocol.Occupancy(answer); reported {
		seen.at = time.Now()
		x.replica.occupied(&seen)
	}
	if model := x.Prompt.Model; slices.Contains(x.Pool.Models, model) {
		x.replica.observeModelVersion(model, r.options.Protocol.ModelVersion(answer))
	}
}

// replicaRequest builds the request to the replica from the client's request.
func (r *Router) replicaRequest(ctx context.Context, x *Exchange, domain string) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, x.Request.Method, "http://"+x.replica.Address+x.Request.URL.RequestURI(), nil)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Internal, "make request")
	}
	if target := x.Request.RequestURI; strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "//") {
		q.URL = &url.URL{Scheme: "http", Host: x.replica.Address, Opaque: target} // exactly as received, without escaping it again
	} else if strings.HasPrefix(target, "//") && q.URL.RequestURI() != target { // net/url cannot pass it on as received
		return nil, apierror.New(apierror.Malformed, "a target that begins with two slashes has characters that must be escaped (RFC 3986)")
	}
	q.Host = x.Request.Host
	hopByHop := map[string]bool{} // headers for the client's connection only
	for _, value := range x.Request.Header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			hopByHop[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range x.Request.Header {
		if hopByHop[name] {
			continue
		}
		switch name {
		case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Idempotency-Key", "Proxy-Connection", "Expect":
		default:
			q.Header[name] = values
		}
	}
	s := ReplicaHeader{Domain: domain, Weights: x.weights, Source: x.source, Sink: x.sink, Timeout: x.remaining, LastEventID: x.LastEventID}
	if x.Pool.Kind == config.WebPool {
		s.Weights = ""
	}
	r.options.Protocol.SetHeaders(q.Header, x, s)
	setPlacementHeaders(q.Header, x.placement)
	// Without GetBody, net/http cannot resend the request by itself (§5.4).
	q.Body, q.GetBody = io.NopCloser(struct{ io.Reader }{bytes.NewReader(x.Body)}), nil
	if len(x.Body) > 0 {
		q.ContentLength = int64(len(x.Body))
	}
	return q, nil
}

// send writes the request and waits for the response header. A request of which provably nothing was written was not executed; any
// other may have been executed (docs/design.md §3.2).
func (r *Router) send(ctx context.Context, x *Exchange, domain string) (*http.Response, error) {
	var pending *requestWrite
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		pending = got.Conn.(*replicaConn).startWrite(x.ID, func() (*View, error) { return r.recheck(x) }) // dialReplica returns only these
	}})
	q, err := r.replicaRequest(traced, x, domain)
	if err != nil {
		return nil, err
	}
	r.step(x, Submitted, "")
	answer, err := r.upstream.RoundTrip(q)
	var seen *View
	var at time.Time
	failure := errUnwritten
	if pending != nil {
		seen, at, failure = pending.finish()
	}
	if seen == nil {
		r.counts.add("unwritten", 1)
		switch {
		case failure != errUnwritten:
			return nil, failure
		case x.Request.Context().Err() != nil:
			return nil, apierror.New(apierror.ClientGone, "client disconnected before the request was written")
		}
		r.coolDown(x.replica)
		return nil, errUnsent{unwritten(answer, err)}
	}
	x.View, x.Sent, x.write = seen, at, pending
	if x.Attempt == 0 {
		r.budget.first()
		r.counts.add("first_shots", 1)
	}
	if err != nil {
		return nil, r.handleLostAttempt(x, err)
	}
	return answer, nil
}

// unwritten returns the reason why a request was not written. A response that was on the connection before the write belongs to no
// request.
func unwritten(answer *http.Response, err error) error {
	if answer != nil {
		_ = answer.Body.Close() // its body is not used
		return apierror.New(apierror.ReplicaRejected, "a response arrived before the request was written")
	}
	return apierror.Wrap(err, apierror.ReplicaRejected, "no connection to the replica, or nothing written to it")
}

// readFirstChunk reads the first chunk of a stream, or a short answer in full.
func (r *Router) readFirstChunk(x *Exchange, answer *http.Response) error {
	response := x.Answer
	framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	switch {
	case x.Request.Method == http.MethodHead:
		response.Complete = true
	case strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream"):
		if response.AtEnd = r.options.Protocol.EndDetector(); response.AtEnd == nil && !framed {
			return errUnframed
		}
		response.buffer = chunkBuffers.Get().(*[chunkSize]byte)
		n, err := answer.Body.Read(response.buffer[:])
		for n == 0 && err == nil {
			n, err = answer.Body.Read(response.buffer[:])
		}
		response.firstChunk = response.buffer[:n]
		if n == 0 && !errors.Is(err, io.EOF) {
			return err
		}
	case !framed:
		return errUnframed
	case answer.ContentLength <= maxBufferedBody:
		var err error
		response.firstChunk, err = io.ReadAll(io.LimitReader(answer.Body, maxBufferedBody+1))
		response.Complete = len(response.firstChunk) <= maxBufferedBody
		return err
	}
	return nil
}

// maxBufferedBody is the size in bytes up to which an answer is read in full before any of it is passed on.
const maxBufferedBody = 1 << 20

// errUnframed rejects an answer whose end is marked only by the end of the connection, because a truncated one would look complete.
var errUnframed = apierror.New(apierror.StreamBroken, "the answer has neither a length nor chunked framing nor an end marker")

// handleLostAttempt ends an attempt that failed and may have been executed.
func (r *Router) handleLostAttempt(x *Exchange, err error) error {
	x.mayHaveExecuted = true
	if x.Request.Context().Err() != nil {
		return apierror.Wrap(err, apierror.OutcomeLost, "client disconnected")
	}
	r.coolDown(x.replica)
	r.log.Warn().Str("request", x.ID).Str("replica", x.replica.Name).Err(err).Msg("request lost at a replica")
	lost := apierror.Wrap(err, apierror.OutcomeLost, "no complete answer from "+x.replica.Name)
	if x.Idempotent && time.Now().Before(x.Deadline) {
		return errRetryable{lost}
	}
	return apierror.New(apierror.OutcomeLost, "%v", lost)
}

// handleRejection handles a replica's rejection. A rejection for load throttles the tenant's scope; one that the protocol defines as
// not executed may be attempted again.
func (r *Router) handleRejection(x *Exchange, answer *http.Response, v Outcome) error {
	r.counts.add("refusals", 1)
	cause := apierror.New(apierror.ReplicaRejected, "replica %s rejected the request: %s", x.replica.Name, v.Reason)
	if v.Throttled {
		r.counts.add("refusals_pushed", 1)
		rule := r.view.Load().throttleRule
		values := answer.Header.Values("Retry-After")
		tenantOnly := v.NamesTenant || r.signals.Rejected(x.replica.index, x.Tenant.index)
		if !tenantOnly {
			r.coolDown(x.replica)
		}
		if tenantOnly || len(values) > 0 {
			delay, parsed := throttle.RetryAfter(values, r.dateOf(answer), time.Duration(rule.CapMs)*time.Millisecond)
			if !parsed {
				delay = r.random.backoff(rule, x.Attempt+r.streak(x))
			}
			r.throttle(x, delay, "refused: "+v.Reason, strings.Join(values, " | "))
		}
	}
	if v.PickAgain {
		r.coolDown(x.replica)
	}
	if isPlacementMissing(v.Reason) {
		x.forgetPlacement()
	}
	if v.NoSlot {
		r.borrow.observe(true)
	}
	if !v.NotExecuted {
		return r.handleLostAttempt(x, errors.New(cause.Error()))
	}
	return errRetryable{cause}
}

// dateOf returns the replica's own wall-clock time, which its Retry-After dates refer to; the local clock may have jumped.
func (r *Router) dateOf(answer *http.Response) time.Time {
	if at, err := http.ParseTime(answer.Header.Get("Date")); err == nil {
		return at
	}
	return r.options.Clock()
}

// logFirstChunk counts and logs the delay of a first chunk next to the delay that the placement expected, so that the cause of a late
// one can be told: it waited in this proxy, its prompt was computed without cached blocks, or it was behind other requests at its
// replica.
func (r *Router) logFirstChunk(x *Exchange, delay time.Duration) {
	c := x.prefill
	r.counts.add("first_chunks", 1)
	r.counts.add("first_chunk_us", delay.Microseconds())
	r.counts.add("first_chunk_expected_us", int64(c.expected*float64(time.Millisecond/time.Microsecond)))
	r.log.Debug().Str("request", x.ID).Str("path", x.Path.Name).Str("replica", x.replica.Name).Str("prefix", x.anchor("")).
		Int64("waited_ms", x.Sent.Sub(x.Received).Milliseconds()).Int64("delay_ms", delay.Milliseconds()).
		Float64("expected_ms", c.expected).Int("prompt", x.Prompt.Size()).Int64("prefill", c.work).Int64("ahead", c.ahead).
		Float64("rate", x.replica.rate()).Bool("fetched", x.source != "").Int(AttemptColumn, x.Attempt).
		Msg("first chunk")
}

// observeFirstChunk reports the delay of the first chunk to the throttling signals.
func (r *Router) observeFirstChunk(x *Exchange, delay time.Duration) {
	x.replica.bad.Store(0)
	r.borrow.observe(false)
	r.observePrefillRate(x, delay)
	r.logFirstChunk(x, delay)
	r.endPrefill(x)
	report := x.replica.report.Load()
	if report != nil && !report.Warm {
		return // slow for all tenants while it warms up
	}
	rule := r.view.Load().throttleRule
	coldPrefill := time.Duration(float64(x.Prompt.Size()) / x.replica.rate() * float64(time.Millisecond))
	if r.signals.Began(x.replica.index, x.Path.index, x.Tenant.index, delay, coldPrefill, rule.SlowRatio) {
		r.throttle(x, r.random.backoff(rule, r.streak(x)), "slowed", "")
	}
	if x.Pool.Kind == config.ModelPool && !r.signals.IsSlow(x.Tenant.index) {
		r.calm(x)
	}
}
