package router

import (
	"context"
	"net/http"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/throttle"
)

// handler is the part of the chain that follows a filter.
type handler func(ctx context.Context, x *Exchange) error

// Filter is one policy in the request chain (docs/design.md §5.2). It may end the request with an error, modify the exchange, and call
// onward to continue the chain.
type Filter interface {
	Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error
}

type (
	admissionFilter struct{ r *Router }
	identityFilter  struct{ r *Router }
	pathFilter      struct{ r *Router }
	attemptsFilter  struct{ r *Router }
	balanceFilter   struct{ r *Router }
	queueFilter     struct{ r *Router }
	claimFilter     struct{ r *Router }
	sendFilter      struct{ r *Router }
)

// Limits on requests where the configuration sets none.
const (
	defaultHeaderBytes = 64 << 10 // request line and header
	defaultBodyBytes   = 16 << 20
)

// headerSize returns the size in bytes of a request line and header on the wire.
func headerSize(q *http.Request) int {
	const spaces, lineEnd, separator, hostName = 2, 2, 2, 4
	size := len(q.Method) + len(q.RequestURI) + len(q.Proto) + spaces + lineEnd
	size += hostName + separator + len(q.Host) + lineEnd
	for name, values := range q.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + lineEnd
		}
	}
	return size
}

// checkHeader rejects a header above the configured limit with apierror.HeaderOversize.
func (v *View) checkHeader(q *http.Request) error {
	limit := defaultHeaderBytes
	if v.limits.HeaderBytes > 0 {
		limit = v.limits.HeaderBytes
	}
	if size := headerSize(q); size > limit {
		return apierror.New(apierror.HeaderOversize, "request header of %d bytes exceeds the limit of %d", size, limit)
	}
	return nil
}

// decode creates the exchange of a client's request. The body is read later, when its size limit is known.
func (r *Router) decode(ctx context.Context, q *http.Request) (any, error) {
	conn := ctx.Value(clientConnKey{}).(*clientConn)
	return &Exchange{ID: conn.id, Request: q, Received: time.Now(), LastEventID: conn.header.LastEventID, connection: conn}, nil
}

// Handle rejects new requests while this router is not current or is stopping.
func (f admissionFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	if err := f.r.admissionError(); err != nil {
		return err
	}
	return onward(ctx, x)
}

// admissionError returns the reason why this router must not process requests now, or nil. The errors are apierror.Stopping and
// apierror.NotCurrent.
func (r *Router) admissionError() error {
	if r.stopping.Load() {
		return again(apierror.New(apierror.Stopping, "this proxy is stopping"), time.Second)
	}
	if !r.IsCurrent() {
		return again(apierror.New(apierror.NotCurrent, "the routing view is not confirmed by a majority of cores"), time.Second)
	}
	return nil
}

// again sets the delay after which the client may try again.
func again(f *apierror.Error, after time.Duration) error {
	f.Again = after
	return f
}

// Handle identifies the tenant by the access key.
func (f identityFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	x.View, x.Access = f.r.view.Load(), config.HashKey(x.connection.header.Secret)
	if err := x.View.checkHeader(x.Request); err != nil {
		return err
	}
	x.Tenant = x.View.tenantOf(x)
	switch {
	case x.Tenant != nil && (x.connection.failure == nil || x.Tenant == x.View.public && apierror.Is(x.connection.failure, apierror.BadKey)):
		return onward(ctx, x)
	case x.connection.failure != nil:
		return x.connection.failure
	}
	if x.Access == noSecret && x.View.find(x.Request.Host, x.Request.URL.Path, x.Prompt.Model) == nil {
		return apierror.New(apierror.NoPath, "no path for %s", x.Request.URL.Path)
	}
	return apierror.New(apierror.BadKey, "unknown or revoked key")
}

// noSecret is the hash of an empty access key.
var noSecret = config.HashKey("")

// tenantOf returns the tenant that owns the request's access key, or the public tenant where no key is required; nil if there is none.
func (v *View) tenantOf(x *Exchange) *tenant {
	if t := v.access[x.Access]; t != nil {
		return t
	}
	if v.keyPolicy.Accepts(x.Access != noSecret) || v.isPublic(x.Request.Host, x.Request.URL.Path, x.Prompt.Model) {
		return v.public
	}
	return nil
}

// Handle reads the body within the size limits, and finds the path.
func (f pathFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	q := x.Request
	body, err := f.r.readBody(x)
	if err != nil {
		return err
	}
	x.Body = body
	if x.Prompt, err = f.r.options.Protocol.ReadPrompt(q, body); err != nil {
		return err
	}
	if err := x.route(x.View); err != nil {
		return err
	}
	limit := x.Path.MaxBody
	if bound := x.View.limits.BodyBytes; bound > 0 {
		limit = bound
	}
	if len(body) > limit {
		return apierror.New(apierror.Oversize, "%d bytes, at most %d", len(body), limit)
	}
	x.Key = x.connection.header.Key
	if len(x.Key) > 256 {
		return apierror.New(apierror.Oversize, "idempotency key of %d bytes exceeds the limit of 256", len(x.Key))
	}
	wait := time.Duration(x.Path.DeadlineMs) * time.Millisecond
	if given := x.connection.header.Timeout; given > 0 {
		wait = min(wait, given)
	}
	x.Deadline = x.Received.Add(wait)
	if x.Path.LatencyTargetMs > 0 {
		x.Pool.window.arrived(time.Duration(x.Path.LatencyTargetMs) * time.Millisecond)
	}
	x.item.Deadline, x.item.Body = x.Deadline, x
	return onward(ctx, x)
}

// route sets the tenant, path, pool and queue item from a view. It runs again before each attempt, with the view of that time.
func (x *Exchange) route(v *View) error {
	t := v.tenantOf(x)
	if t == nil || x.Tenant != nil && (t.Name != x.Tenant.Name || t.CreatedVersion != x.Tenant.CreatedVersion) {
		return apierror.New(apierror.BadKey, "the key was revoked while the request waited")
	}
	p := v.find(x.Request.Host, x.Request.URL.Path, x.Prompt.Model)
	if p == nil {
		return apierror.New(apierror.NoPath, "no path for %s and model %q", x.Request.URL.Path, x.Prompt.Model)
	}
	if err := v.mayUse(t, p); err != nil {
		return err
	}
	x.View, x.Tenant, x.Path, x.Pool, x.Idempotent = v, t, p, p.pick(x.ID), p.Idempotent || p.Resumable
	switch x.connection.header.Idempotent {
	case "yes":
		x.Idempotent = true
	case "no":
		x.Idempotent = false
	}
	x.item.Tenant, x.item.Pool, x.item.Cost = t.index, x.Pool.index, p.Cost
	x.item.Weight, x.item.Limit = t.Weight, t.Backlog
	if p.LatencyTargetMs > 0 {
		x.item.Due = x.Received.Add(time.Duration(dueShare * float64(p.LatencyTargetMs) * float64(time.Millisecond)))
	}
	x.item.Scope = throttle.Scope(t.Name, x.Pool.Name, t.Scope == "pool")
	return nil
}

// Handle waits in the queue until the request gets a credit, which names its replica.
func (f queueFilter) Handle(ctx context.Context, x *Exchange, onward func(context.Context, *Exchange) error) error {
	r := f.r
	waiting, cancel := context.WithCancel(ctx)
	if x.Path.LatencyTargetMs > 0 && x.Answer == nil { // not for a resumed stream: this limit counts from the arrival of the request
		waiting, cancel = context.WithDeadline(ctx, x.Received.Add(time.Duration(waitShare*float64(x.Deadline.Sub(x.Received)))))
	}
	defer cancel()
	go func() {
		select {
		case <-r.stopped:
			cancel()
		case <-waiting.Done():
		}
	}()
	c, err := r.queue.Take(waiting, &x.item)
	if err != nil {
		switch {
		case r.stopping.Load():
			return again(apierror.New(apierror.Stopping, "the proxy stopped while the request was queued"), time.Second)
		case apierror.Is(err, apierror.Throttled), apierror.Is(err, apierror.QueueFull):
			return err
		case ctx.Err() == context.Canceled:
			return apierror.New(apierror.ClientGone, "client disconnected while the request was queued")
		}
		return again(apierror.Of(err), time.Second)
	}
	x.replica, x.weights, x.source, x.sink, x.prefill = c.replica, c.weights, c.source, c.sink, c
	x.placement = c.placement
	handedOver := false
	defer func() {
		if !handedOver {
			r.endPrefill(x)
			r.release(c)
			r.queue.Wake(x.item.Pool)
		}
	}()
	if err := onward(ctx, x); err != nil {
		return err
	}
	handedOver = true
	finish := x.Answer.finish
	x.Answer.finish = func(err error) {
		r.release(c)
		r.queue.Wake(x.item.Pool)
		finish(err)
	}
	return nil
}
