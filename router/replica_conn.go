package router

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/rpc"
)

// Limits on the time between the last check and the arrival of the request at the replica (docs/design.md §3.2).
const (
	dialLimit  = time.Second
	writeLimit = 500 * time.Millisecond // W: the kernel has accepted the whole request by then, or the connection is closed
	ackLimit   = 700 * time.Millisecond // A: the replica has acknowledged the data by then, or the connection is closed
	sendBuffer = 256 << 10              // bytes that the kernel buffers unsent
)

// errUnwritten is the error of a request of which no byte was written.
var errUnwritten = errors.New("request not written")

// replicaConn is a connection to a replica. At the first write of each request it checks again whether the request may still be sent.
type replicaConn struct {
	net.Conn
	mu       sync.Mutex
	current  *requestWrite
	unusable bool                     // a response that belongs to no request may arrive on it
	written  [rememberedWrites]string // IDs of the latest requests written
	count    int
}

// requestWrite is the state of one request's write on a connection. It remains in use after the next request's write has begun: after
// an answer without a body the connection becomes idle, and is given to another request, before the sender of the first one gets the
// answer.
type requestWrite struct {
	conn    *replicaConn
	id      string
	check   func() (*View, error) // nil once the request is being written
	view    *View                 // if not nil, the request may have been sent, under this view
	at      time.Time
	failure error
}

// rememberedWrites is the number of latest request IDs that a connection remembers.
const rememberedWrites = 32

// dialReplica connects to a replica. The connection limits how late the kernel may deliver data.
func (r *Router) dialReplica(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	c, err := r.options.Net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := rpc.BoundSend(c, ackLimit, sendBuffer); err != nil {
		_ = c.Close() // the first error counts
		return nil, apierror.Wrap(err, apierror.Internal, "set the limits of the replica connection")
	}
	return &replicaConn{Conn: c}, nil
}

// startWrite begins the write of the next request. A request is not written twice on one connection, because a duplicate of the answer
// to its first attempt, for example a rejection, could not be told from the answer to the second.
func (c *replicaConn) startWrite(id string, check func() (*View, error)) *requestWrite {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &requestWrite{conn: c, id: id, check: check, failure: errUnwritten}
	if c.unusable || slices.Contains(c.written[:], id) {
		c.current.check = func() (*View, error) { return nil, errPickAgain }
	}
	return c.current
}

// Write passes the first bytes of a request only if its check succeeds. The write deadline is set before the check, so that a process
// that is frozen between the two fails the write when it resumes.
func (c *replicaConn) Write(b []byte) (int, error) {
	if err := c.checkFirstWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// checkFirstWrite runs the check of the request whose first bytes are being written; it returns nil for all later bytes.
func (c *replicaConn) checkFirstWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.current
	if w == nil || w.check == nil {
		return nil
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeLimit)) // on a closed connection the write fails anyway
	if w.view, w.failure = w.check(); w.failure != nil {
		w.view = nil
		return w.failure
	}
	w.check, w.at = nil, time.Now()
	c.written[c.count%rememberedWrites] = w.id
	c.count++
	return nil
}

// finish ends a request's write: if none of it was written yet, none will be. It returns the view under which the request was written,
// or the reason why it was not.
func (w *requestWrite) finish() (seen *View, at time.Time, failure error) {
	w.conn.mu.Lock()
	defer w.conn.mu.Unlock()
	if w.view == nil {
		failure := w.failure
		w.check = func() (*View, error) { return nil, failure }
	}
	return w.view, w.at, w.failure
}

// discard closes the connection of a request that got another request's answer: its own answer may still arrive and would be taken for
// the next one's. If another request is already using the connection, it continues, and checks the answer's ID as well.
func (w *requestWrite) discard() {
	c := w.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == w {
		c.unusable = true
		_ = c.Close() // the connection is not used again
	}
}
