package daemon

import (
	"net"
	"sync"
	"time"
)

// ConnectionTimeouts limits how long a connection may be idle and how long the header of a request may take to arrive.
type ConnectionTimeouts struct{ Header, Idle time.Duration }

// connectionSet tracks the open connections of a server.
type connectionSet struct {
	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

func newConnectionSet() *connectionSet { return &connectionSet{open: map[*trackedConn]struct{}{}} }

func (s *connectionSet) add(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
}

func (s *connectionSet) remove(c *trackedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// interruptIdle interrupts the connections on which no byte of a request has been read, and returns the number of open connections.
func (s *connectionSet) interruptIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.interruptIdle()
	}
	return len(s.open)
}

// trackingListener wraps accepted connections in a trackedConn and adds them to a connectionSet.
type trackingListener struct {
	net.Listener
	connections *connectionSet
}

// Accept waits for the next connection.
func (l trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &trackedConn{Conn: conn, connections: l.connections}
	l.connections.add(wrapped)
	return wrapped, nil
}

// trackedConn enforces the ConnectionTimeouts of one connection.
type trackedConn struct {
	net.Conn
	connections *connectionSet

	mu     sync.Mutex
	timer  *time.Timer // runs while the connection is idle or a header is arriving
	header time.Duration
	idle   bool // no byte of the next request has been read
	// headerEnd is the deadline of the header that is arriving; zero if none is.
	headerEnd time.Time
	// interrupted is true if the current or next Read fails unless it already has bytes.
	interrupted bool
}

// interruptIdle ends the connection unless a byte of a request has been read: the pending read fails, and the server then closes the
// connection. A read that gets bytes at the same moment succeeds, and its request is served.
func (c *trackedConn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.interrupt()
	}
}

// interrupt makes the pending read fail, or the next one if none is pending. The caller holds c.mu.
func (c *trackedConn) interrupt() {
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(0, 1)) // a time in the past; fails only if the connection is closed already
}

// Close closes the connection and removes it from its connectionSet.
func (c *trackedConn) Close() error {
	c.connections.remove(c)
	c.stopIdle()
	return c.Conn.Close()
}

// startIdle starts the idle timer of a connection that waits for a request.
func (c *trackedConn) startIdle(times ConnectionTimeouts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
	c.idle, c.header = true, times.Header
	c.timer = time.AfterFunc(times.Idle, c.expire)
}

// expire runs when the timer fires. It interrupts an idle connection through its pending read, and closes a connection at once if its header
// is late. It does nothing if a header started to arrive just before the timer fired, as that header's deadline is still to come.
func (c *trackedConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.idle:
		c.interrupt()
	case !c.headerEnd.IsZero() && !time.Now().Before(c.headerEnd):
		_ = c.Conn.Close() // fails only if the connection is closed already
	}
}

// stopIdle stops the timer: a complete header has arrived, or the connection is closed.
func (c *trackedConn) stopIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
}

func (c *trackedConn) stop() {
	c.idle, c.headerEnd = false, time.Time{}
	if c.timer != nil {
		c.timer.Stop()
	}
}

// NetConn returns the wrapped connection.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending direction. net/http uses it to end a connection whose peer may still be sending.
func (c *trackedConn) CloseWrite() error {
	if half, canHalf := c.Conn.(interface{ CloseWrite() error }); canHalf {
		return half.CloseWrite()
	}
	return nil
}

// Read reads from the connection. The first byte of a request ends the idle time and starts the time limit of the request's header.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.idle {
			c.idle, c.headerEnd = false, time.Now().Add(c.header)
			c.timer.Reset(c.header)
		}
		if c.interrupted {
			c.interrupted = false
			_ = c.Conn.SetReadDeadline(time.Time{}) // the request is served; fails only if the connection is closed already
		}
	}
	return n, err
}
