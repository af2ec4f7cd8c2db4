package sim

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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
func (l *StalledListener) Dial() *Caller {
	ours, theirs := net.Pipe()
	l.accepted <- theirs
	return &Caller{ours, bufio.NewReader(ours)}
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

// Caller sends requests on one connection.
type Caller struct {
	net.Conn
	answers *bufio.Reader
}

// Send sends a request with a body.
func (c *Caller) Send(body string) error {
	_, err := fmt.Fprintf(c.Conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}

// Answer reads the whole body of the next answer.
func (c *Caller) Answer() (string, error) {
	answer, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

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
