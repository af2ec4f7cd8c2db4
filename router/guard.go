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

// guard is a connection to a replica that looks again at everything in the moment of the write.
type guard struct {
	net.Conn
	mu      sync.Mutex
	turn    *turn
	spent   bool                // something may come on it that belongs to no request
	carried [carriedMost]string // ids of the requests written last
	count   int
}

// turn is one request's on a connection. It outlasts the next one's beginning: a connection whose answer has no body is idle, and another
// request's, before the first one's sender hears of the answer.
type turn struct {
	line    *guard
	id      string
	check   func() (*View, error) // until the request was written or rejected
	seen    *View                 // not nil: the request may have left, under this view
	at      time.Time
	failure error
}

// carriedMost is of how many requests a connection knows that it has carried them.
const carriedMost = 32

// dialGuarded connects to a replica, bounded in what the kernel may deliver late.
func (r *Router) dialGuarded(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, stop := context.WithTimeout(ctx, dialLimit)
	defer stop()
	c, err := r.options.Net.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := rpc.BoundSend(c, ackLimit, sendBuffer); err != nil {
		_ = c.Close()
		return nil, apierror.Wrap(err, apierror.Internal, "bound the connection")
	}
	return &guard{Conn: c}, nil
}

// arm begins the turn of the next request. A request is not written twice on one connection: a second copy of what was answered to the
// first attempt, a refusal say, could not be told from the answer to the second.
func (g *guard) arm(id string, check func() (*View, error)) *turn {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn = &turn{line: g, id: id, check: check, failure: errUnwritten}
	if g.spent || slices.Contains(g.carried[:], id) {
		g.turn.check = func() (*View, error) { return nil, errPickAgain }
	}
	return g.turn
}

// Write lets the first bytes of a request pass only if its check does. The deadline is set before the check: a process that is frozen
// between the two finds it passed.
func (g *guard) Write(b []byte) (int, error) {
	if err := g.mayWrite(); err != nil {
		return 0, err
	}
	return g.Conn.Write(b)
}

func (g *guard) mayWrite() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.turn
	if t == nil || t.check == nil {
		return nil
	}
	_ = g.Conn.SetWriteDeadline(time.Now().Add(writeLimit))
	if t.seen, t.failure = t.check(); t.failure != nil {
		t.seen = nil
		return t.failure
	}
	t.check, t.at = nil, time.Now()
	g.carried[g.count%carriedMost] = t.id
	g.count++
	return nil
}

// settle ends a request's turn: from now on nothing of it is written that was not. It gives the view under which it was written, or why it
// was not.
func (t *turn) settle() (seen *View, at time.Time, failure error) {
	t.line.mu.Lock()
	defer t.line.mu.Unlock()
	if t.seen == nil {
		failure := t.failure
		t.check = func() (*View, error) { return nil, failure }
	}
	return t.seen, t.at, t.failure
}

// discard ends the connection of a request that got an answer which is not its own: that may come yet, where another request's is due. If
// another request has the connection already, it goes on, and looks at the answer's id like this one.
func (t *turn) discard() {
	g := t.line
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.turn == t {
		g.spent = true
		_ = g.Close()
	}
}
