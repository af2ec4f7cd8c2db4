package daemon

import (
	"net"
	"sync"
	"time"
)

// ConnectionTimeouts are how long a connection may be idle, and how long the header of a request may take to arrive.
type ConnectionTimeouts struct{ Header, Idle time.Duration }

// connectionSet has the open connections of a server.
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

// interruptIdle ends the connections from which nothing of a request was read, and gives how many are still open.
func (s *connectionSet) interruptIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.interruptIdle()
	}
	return len(s.open)
}

// trackingListener wraps the connections that it accepts.
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

// trackedConn closes itself when it has been idle, or a header has been under way, for too long.
type trackedConn struct {
	net.Conn
	connections *connectionSet

	mu     sync.Mutex
	timer  *time.Timer // runs while the connection is idle or a header is arriving
	header time.Duration
	idle   bool // no byte of the next request was read
	// headerEnd is when the header that is arriving has to be whole; zero while none is.
	headerEnd time.Time
	// interrupted: the read under way fails unless it has bytes already.
	interrupted bool
}

// interruptIdle ends the connection unless something of a request was read. The read that waits for it fails, and so the server closes it;
// a read that has bytes at the same moment goes on.
func (c *trackedConn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.interrupt()
	}
}

// interrupt has the read under way fail, or the next one; c.mu is held.
func (c *trackedConn) interrupt() {
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(0, 1)) // long past; a connection that is closed already is what is wanted
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.connections.remove(c)
	c.stopIdle()
	return c.Conn.Close()
}

// startIdle begins to wait for a request.
func (c *trackedConn) startIdle(times ConnectionTimeouts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
	c.idle, c.header = true, times.Header
	c.timer = time.AfterFunc(times.Idle, c.expire)
}

// expire ends the connection whose time is over: an idle one by its next read, one whose header does not come at once. The time of a header
// that began just now has not run out.
func (c *trackedConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.idle:
		c.interrupt()
	case !c.headerEnd.IsZero() && !time.Now().Before(c.headerEnd):
		_ = c.Conn.Close() // a connection that is closed already is what is wanted
	}
}

// stopIdle ends the wait: a whole header has arrived, or the connection is closed.
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

// NetConn gives the connection below.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite is what net/http ends a connection with whose other side may still be sending.
func (c *trackedConn) CloseWrite() error {
	if half, canHalf := c.Conn.(interface{ CloseWrite() error }); canHalf {
		return half.CloseWrite()
	}
	return nil
}

// Read notes when the first byte of a request arrives: from then on its header has its own time.
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
			_ = c.Conn.SetReadDeadline(time.Time{}) // the request is served; as above
		}
	}
	return n, err
}
