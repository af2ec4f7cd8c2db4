package proxy

import (
	"net"
	"net/http"
	"sync"
	"time"

	"asterridge/config"
)

// The bounds on a caller's connection where neither the options nor the configuration give one.
const (
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// maxHeaderBytes is the most that a configuration may allow; the router holds each request to what it does allow.
	maxHeaderBytes = 1 << 20
)

// connectionTimeouts are how long a caller's connection may be idle, and how long the header of a request may take to arrive.
type connectionTimeouts struct{ header, idle time.Duration }

// effectiveTimeouts takes the times from the configuration's limits, and from the options what the limits leave open.
func effectiveTimeouts(limits config.Limits, options Options) connectionTimeouts {
	times := connectionTimeouts{header: options.HeaderTimeout, idle: options.IdleTimeout}
	if limits.HeaderMs > 0 {
		times.header = time.Duration(limits.HeaderMs) * time.Millisecond
	}
	if limits.IdleMs > 0 {
		times.idle = time.Duration(limits.IdleMs) * time.Millisecond
	}
	return times
}

// newServer makes the HTTP server that callers reach. The times are asked for anew for each request, since a new configuration may
// change them; http.Server's own are fixed for its life, so each connection has a timer of its own in their place.
func newServer(handler http.Handler, times func() connectionTimeouts) *http.Server {
	return &http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes, ConnState: func(conn net.Conn, state http.ConnState) {
		caller, own := conn.(*timeoutConn)
		if !own {
			return
		}
		switch state {
		case http.StateNew, http.StateIdle:
			caller.startIdle(times())
		default:
			caller.stopIdle()
		}
	}}
}

// timeoutListener wraps the connections that it accepts.
type timeoutListener struct {
	net.Listener
	connections *connectionSet
}

// Accept waits for the next caller's connection.
func (l timeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &timeoutConn{Conn: conn, connections: l.connections}
	l.connections.add(wrapped)
	return wrapped, nil
}

// timeoutConn closes itself when it has been idle, or a header has been under way, for too long.
type timeoutConn struct {
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
func (c *timeoutConn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.interrupt()
	}
}

// interrupt has the read under way fail, or the next one; c.mu is held.
func (c *timeoutConn) interrupt() {
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(0, 1)) // long past; a connection that is closed already is what is wanted
}

// Close closes the connection.
func (c *timeoutConn) Close() error {
	c.connections.remove(c)
	c.stopIdle()
	return c.Conn.Close()
}

// startIdle begins to wait for a request.
func (c *timeoutConn) startIdle(times connectionTimeouts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
	c.idle, c.header = true, times.header
	c.timer = time.AfterFunc(times.idle, c.expire)
}

// expire ends the connection whose time is over: an idle one by its next read, one whose header does not come at once. The time of a header
// that began just now has not run out.
func (c *timeoutConn) expire() {
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
func (c *timeoutConn) stopIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stop()
}

func (c *timeoutConn) stop() {
	c.idle, c.headerEnd = false, time.Time{}
	if c.timer != nil {
		c.timer.Stop()
	}
}

// NetConn gives the connection below.
func (c *timeoutConn) NetConn() net.Conn { return c.Conn }

// CloseWrite is what net/http ends a connection with whose other side may still be sending.
func (c *timeoutConn) CloseWrite() error {
	if half, canHalf := c.Conn.(interface{ CloseWrite() error }); canHalf {
		return half.CloseWrite()
	}
	return nil
}

// Read notes when the first byte of a request arrives: from then on its header has its own time.
func (c *timeoutConn) Read(b []byte) (int, error) {
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
