package sim

import (
	"net"
	"sync"
	"sync/atomic"
)

// HeldListener hands out connections in memory. While it is held, what a read has taken from a connection does not return to its reader: so it
// is on a machine whose processor is busy elsewhere.
type HeldListener struct {
	accepted chan net.Conn
	once     sync.Once
	held     atomic.Bool
	released chan struct{}
}

// NewHeldListener makes a listener that is not held yet.
func NewHeldListener() *HeldListener {
	return &HeldListener{accepted: make(chan net.Conn), released: make(chan struct{})}
}

// Dial waits until a connection is accepted, and returns the client's end of it.
func (l *HeldListener) Dial() net.Conn {
	ours, theirs := net.Pipe()
	l.accepted <- theirs
	return ours
}

// Hold has reads with bytes wait until Release.
func (l *HeldListener) Hold() { l.held.Store(true) }

// Release lets the reads return, for good.
func (l *HeldListener) Release() {
	l.held.Store(false)
	close(l.released)
}

// Accept waits for the next connection.
func (l *HeldListener) Accept() (net.Conn, error) {
	conn, open := <-l.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return heldConn{conn, l}, nil
}

// Close ends Accept.
func (l *HeldListener) Close() error {
	l.once.Do(func() { close(l.accepted) })
	return nil
}

// Addr is of no meaning here.
func (l *HeldListener) Addr() net.Addr { return &net.TCPAddr{} }

type heldConn struct {
	net.Conn
	listener *HeldListener
}

// Read reads from the client, and returns with what it has read when the listener is not held.
func (c heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.held.Load() {
		<-c.listener.released
	}
	return n, err
}
