package sim

import (
	"net"
	"sync"
	"sync/atomic"
)

// StalledListener hands out connections in memory. While it is stalled, what a read has taken from a connection does not return to its reader: so
// it is on a machine whose processor is busy elsewhere.
type StalledListener struct {
	accepted chan net.Conn
	once     sync.Once
	stalled  atomic.Bool
	resumed  chan struct{}
}

// NewStalledListener makes a listener that is not stalled yet.
func NewStalledListener() *StalledListener {
	return &StalledListener{accepted: make(chan net.Conn), resumed: make(chan struct{})}
}

// Dial waits until a connection is accepted, and returns the client's end of it.
func (l *StalledListener) Dial() net.Conn {
	ours, theirs := net.Pipe()
	l.accepted <- theirs
	return ours
}

// Stall has reads with bytes wait until Resume.
func (l *StalledListener) Stall() { l.stalled.Store(true) }

// Resume lets the reads return, for good.
func (l *StalledListener) Resume() {
	l.stalled.Store(false)
	close(l.resumed)
}

// Accept waits for the next connection.
func (l *StalledListener) Accept() (net.Conn, error) {
	conn, open := <-l.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return stalledConn{conn, l}, nil
}

// Close ends Accept.
func (l *StalledListener) Close() error {
	l.once.Do(func() { close(l.accepted) })
	return nil
}

// Addr is of no meaning here.
func (l *StalledListener) Addr() net.Addr { return &net.TCPAddr{} }

type stalledConn struct {
	net.Conn
	listener *StalledListener
}

// Read reads from the client, and returns with what it has read when the listener is not stalled.
func (c stalledConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.listener.stalled.Load() {
		<-c.listener.resumed
	}
	return n, err
}
