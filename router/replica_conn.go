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

// What bounds the time between the last look and the replica having the request (§3.2).
const (
	dialLimit  = time.Second
	writeLimit = 500 * time.Millisecond // W: the whole request is in the kernel, or the connection ends
	ackLimit   = 700 * time.Millisecond // A: what the kernel has is acknowledged, or the connection ends
	sendBuffer = 256 << 10              // what the kernel takes beyond what it has sent
)

var errUnwritten = errors.New("not written")

// replicaConn is a connection to a replica that looks again at everything in the moment of the write.
type replicaConn struct {
	net.Conn
	mu       sync.Mutex
	current  *requestWrite
	unusable bool                     // something may come on it that belongs to no request
	written  [rememberedWrites]string // ids of the requests written last
	count    int
}

// requestWrite is one request's on a connection. It outlasts the next one's beginning: a connection whose answer has no body is idle, and another
// request's, before the first one's sender hears of the answer.
type requestWrite struct {
	conn    *replicaConn
	id      string
	check   func() (*View, error) // until the request was written or rejected
	view    *View                 // not nil: the request may have left, under this view
	at      time.Time
	failure error
}

// rememberedWrites is of how many requests a connection knows that it has carried them.
const rememberedWrites = 32

// dialGuarded connects to a replica, bounded in what the kernel may deliver late.
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

// arm begins the turn of the next request. A request is not written twice on one connection: a second copy of what was answered to the
// first attempt, a refusal say, could not be told from the answer to the second.
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

// finish ends a request's turn: from now on nothing of it is written that was not. It gives the view under which it was written, or why it
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

// discard ends the connection of a request that got an answer which is not its own: that may come yet, where another request's is due. If
// another request has the connection already, it goes on, and looks at the answer's id like this one.
func (t *requestWrite) discard() {
	g := t.conn
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == t {
		g.unusable = true
		_ = g.Close() // it is not used again
	}
}
