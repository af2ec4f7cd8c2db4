package router

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"asterridge/apierror"
)

// Bounds on request bodies.
const (
	defaultBodyMemory   = 256 << 20 // default of Options.BodyMemory, in bytes
	tenantMemoryDivisor = 4         // one tenant may hold at most 1/4 of the memory
	memoryStep          = 64 << 10
	bodyReadTimeout     = 10 * time.Second // time to read a body, plus its size divided by minBodyRate
	minBodyRate         = 256 << 10        // bytes per second
)

// memoryBudget bounds the memory for request bodies while they are read, queued or sent (docs/design.md §5.3).
type memoryBudget struct {
	mu       sync.Mutex
	limit    int64
	used     int64
	byTenant map[int]int64
}

// reserve reserves memory for a tenant, and reports whether there was enough.
func (m *memoryBudget) reserve(tenant int, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > m.limit || m.byTenant[tenant]+n > m.limit/tenantMemoryDivisor {
		return false
	}
	m.used += n
	m.byTenant[tenant] += n
	return true
}

// release returns reserved memory.
func (m *memoryBudget) release(tenant int, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	m.byTenant[tenant] -= n
}

// inUse returns how much memory is reserved.
func (m *memoryBudget) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// clientConn is the client's side of one request's connection.
type clientConn struct {
	id      string
	header  ClientHeader
	failure error // why the client header could not be read
	control *http.ResponseController
	onDone  []func() // called when the request has ended
}

// clientConnKey is the key of a clientConn in a request's context.
type clientConnKey struct{}

// readBody reads a body within limits of size, memory and time. It fails with apierror.Oversize, NoMemory, TooSlow or Malformed.
func (r *Router) readBody(x *Exchange) ([]byte, error) {
	q, limit := x.Request, max(defaultBodyBytes, x.View.limits.BodyBytes)
	if q.ContentLength > int64(limit) {
		return nil, apierror.New(apierror.Oversize, "request body of %d bytes exceeds the limit", q.ContentLength)
	}
	taken, tenant := int64(0), x.Tenant.index
	x.connection.onDone = append(x.connection.onDone, func() { r.bodyMemory.release(tenant, taken) })
	grow := func(n int64) error {
		if !r.bodyMemory.reserve(tenant, n) {
			return again(apierror.New(apierror.NoMemory, "not enough memory for %d more bytes of request bodies", n), time.Second)
		}
		taken += n
		return nil
	}
	// An error means that the connection has no read deadline; such a connection has bounds of its own.
	_ = x.connection.control.SetReadDeadline(time.Now().Add(bodyReadTimeout + time.Duration(max(0, q.ContentLength))*time.Second/minBodyRate))
	var body bytes.Buffer
	if q.ContentLength > 0 {
		if err := grow(q.ContentLength); err != nil {
			return nil, err
		}
		body.Grow(int(q.ContentLength))
	}
	for {
		if q.ContentLength < 0 {
			if err := grow(memoryStep); err != nil {
				return nil, err
			}
		}
		n, err := io.CopyN(&body, q.Body, memoryStep)
		switch {
		case body.Len() > limit:
			return nil, apierror.New(apierror.Oversize, "request body exceeds the limit of %d bytes", limit)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, apierror.New(apierror.TooSlow, "request body incomplete at the read deadline: got %d bytes", body.Len())
		case err == io.EOF || err == nil && n == 0:
			_ = x.connection.control.SetReadDeadline(time.Time{}) // the response stream may take any time
			return body.Bytes(), nil
		case err != nil:
			return nil, apierror.Wrap(err, apierror.Malformed, "read body")
		}
	}
}
