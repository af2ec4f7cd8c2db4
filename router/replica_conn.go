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

// These bound the time between the last check and the replica having the request (docs/design.md §3.2).
const (
	dialLimit  = time.Second
	writeLimit = 500 * time.Millisecond // W: the whole request is in the kernel, or the connection ends
	ackLimit   = 700 * time.Millisecond // A: what the kernel has is acknowledged, or the connection ends
	sendBuffer = 256 << 10              // what the kernel takes beyond what it has sent
)

// errUnwritten is a request of which no byte was written.
var errUnwritten = errors.New("not written")

// replicaConn is a connection to a replica. In the moment of a request's first write it checks again whether the request may still be sent.
type replicaConn struct {
	net.Conn
	mu       sync.Mutex
	current  *requestWrite
	unusable bool                     // something may come on it that belongs to no request
	written  [rememberedWrites]string // ids of the requests written last
	count    int
}

// requestWrite is one request's write on a connection. It outlasts the beginning of the next one: a connection whose answer has no body is
// idle, and another request's, before the sender of the first one hears of the answer.
type requestWrite struct {
	conn    *replicaConn
	id      string
	check   func() (*View, error) // until the request was written or rejected
	view    *View                 // not nil: the request may have left, under this view
	at      time.Time
	failure error
}

// rememberedWrites is how many of the requests that it has carried a connection remembers.
const rememberedWrites = 32

// dialGuarded connects to a replica. The connection bounds what the kernel may deliver late.
func (r *Router) dialGuarded(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, dialLimit)
	defer stop()
	c, err := r.options.Net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := rpc.BoundSend(c, ackLimit, sendBuffer); err != nil {
		_ = c.Close() // the first error counts
		return nil, apierror.Wrap(err, apierror.Internal, "bound the connection")
	}
	return &replicaConn{Conn: c}, nil
}

// arm begins the write of the next request. A request is not written twice on one connection: a second copy of the answer to the first
// attempt, a rejection say, could not be told from the answer to the second.
func (g *replicaConn) arm(id string, check func() (*View, error)) *requestWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current = &requestWrite{conn: g, id: id, check: check, failure: errUnwritten}
	if g.unusable || slices.Contains(g.written[:], id) {
		g.current.check = func() (*View, error) { return nil, errPickAgain }
	}
	return g.current
}

// Write lets the first bytes of a request pass only if its check does. The deadline is set before the check: a process that is frozen
// between the two finds it passed.
func (g *replicaConn) Write(b []byte) (int, error) {
	if err := g.mayWrite(); err != nil {
		return 0, err
	}
	return g.Conn.Write(b)
}

// mayWrite makes the check of the request whose first bytes are being written; nil for all bytes after them.
func (g *replicaConn) mayWrite() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.current
	if t == nil || t.check == nil {
		return nil
	}
	_ = g.Conn.SetWriteDeadline(time.Now().Add(writeLimit)) // a closed connection fails the write as well
	if t.view, t.failure = t.check(); t.failure != nil {
		t.view = nil
		return t.failure
	}
	t.check, t.at = nil, time.Now()
	g.written[g.count%rememberedWrites] = t.id
	g.count++
	return nil
}

// finish ends a request's write: from now on nothing of it is written that was not. It gives the view under which it was written, or why it
// was not.
func (t *requestWrite) finish() (seen *View, at time.Time, failure error) {
	t.conn.mu.Lock()
	defer t.conn.mu.Unlock()
	if t.view == nil {
		failure := t.failure
		t.check = func() (*View, error) { return nil, failure }
	}
	return t.view, t.at, t.failure
}

// discard ends the connection of a request that got an answer which is not its own: its own may come yet, where another request's is due.
// If another request has the connection already, it goes on, and checks the answer's ID as this one did.
func (t *requestWrite) discard() {
	g := t.conn
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == t {
		g.unusable = true
		_ = g.Close() // it is not used again
	}
}
