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

// Bounds on clients' bodies.
const (
	defaultBodyMemory = 256 << 20 // bytes of callers' bodies that a router holds, unless its options say otherwise
	tenantMemoryDivisor       = 4         // no tenant holds more than this part of them
	memoryStep        = 64 << 10
	bodyReadTimeout         = 10 * time.Second // for a body to come, and beyond that the time of its size at bodyRate
	minBodyRate          = 256 << 10        // bytes a second
)

// memoryBudget is the memory for clients' bodies while they are read, wait or are being sent (docs/design.md §5.3).
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

// inUse is how much is reserved now.
func (m *memoryBudget) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// clientConn is the client's side of one request's connection.
type clientConn struct {
	id      string
	header  ClientHeader
	failure error // why the opening could not be read
	control *http.ResponseController
	onDone  []func() // when the request is over
}

// clientConnKey is the key of a clientConn in a request's context.
type clientConnKey struct{}

// readBody reads a body within bounds of size, memory and time. The errors are apierror.Oversize, NoMemory, TooSlow and Malformed.
func (r *Router) readBody(x *Exchange) ([]byte, error) {
	q, limit := x.Request, max(defaultBodyBytes, x.View.limits.BodyBytes)
	if q.ContentLength > int64(limit) {
		return nil, apierror.New(apierror.Oversize, "a body of %d bytes", q.ContentLength)
	}
	taken, tenant := int64(0), x.Tenant.index
	x.connection.onDone = append(x.connection.onDone, func() { r.bodyMemory.release(tenant, taken) })
	grow := func(n int64) error {
		if !r.bodyMemory.reserve(tenant, n) {
			return again(apierror.New(apierror.NoMemory, "no room for %d more bytes", n), time.Second)
		}
		taken += n
		return nil
	}
	_ = x.connection.control.SetReadDeadline(time.Now().Add(bodyReadTimeout + time.Duration(max(0, q.ContentLength))*time.Second/minBodyRate)) // a connection that knows none has its own bounds
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
			return nil, apierror.New(apierror.Oversize, "a body of over %d bytes", limit)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, apierror.New(apierror.TooSlow, "%d bytes came in time", body.Len())
		case err == io.EOF || err == nil && n == 0:
			_ = x.connection.control.SetReadDeadline(time.Time{}) // streams are as long as they are
			return body.Bytes(), nil
		case err != nil:
			return nil, apierror.Wrap(err, apierror.Malformed, "read body")
		}
	}
}
