package main

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"asterridge/rpc"
)

// traffic is what was sent and received on one path, in messages and in bytes above TCP.
type traffic struct {
	Messages  int
	HeadOut   int64
	BodyOut   int64
	HeadIn    int64
	BodyIn    int64
	Snapshots int
	Last      time.Time // when the last byte came
}

func (t *traffic) add(other traffic) {
	t.Messages += other.Messages
	t.HeadOut += other.HeadOut
	t.BodyOut += other.BodyOut
	t.HeadIn += other.HeadIn
	t.BodyIn += other.BodyIn
	t.Snapshots += other.Snapshots
	if other.Last.After(t.Last) {
		t.Last = other.Last
	}
}

func (t traffic) minus(before traffic) traffic {
	return traffic{Messages: t.Messages - before.Messages, HeadOut: t.HeadOut - before.HeadOut, BodyOut: t.BodyOut - before.BodyOut,
		HeadIn: t.HeadIn - before.HeadIn, BodyIn: t.BodyIn - before.BodyIn, Snapshots: t.Snapshots - before.Snapshots, Last: t.Last}
}

func (t traffic) bytes() float64 { return float64(t.HeadOut + t.BodyOut + t.HeadIn + t.BodyIn) }

// counter sums the traffic of all processes of a child by path.
type counter struct {
	mu     sync.Mutex
	byPath map[string]*traffic
}

func newCounter() *counter { return &counter{byPath: map[string]*traffic{}} }

// count updates the sums of one path.
func (c *counter) count(path string, change func(*traffic)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.byPath[path]
	if t == nil {
		t = &traffic{}
		c.byPath[path] = t
	}
	change(t)
}

func (c *counter) all() map[string]traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[string]traffic{}
	for path, t := range c.byPath {
		all[path] = *t
	}
	return all
}

// countingNet is a host's network that counts the requests of its processes and the answers to them.
type countingNet struct {
	rpc.Network
	counter *counter
}

// DialContext connects and counts what the connection carries.
func (n *countingNet) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, counter: n.counter}, nil
}

// countedConn reads the first lines of the requests. HTTP/1.1 has one request on a connection at a time.
type countedConn struct {
	net.Conn
	counter *counter
	mu      sync.Mutex
	path    string
	head    bool // the answer's head has not ended
	first   bool // nothing of the answer's body has come
}

var headEnd = []byte("\r\n\r\n")

// Write counts the bytes of a request and records its path.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	head := 0
	if bytes.HasPrefix(b, []byte("POST ")) || bytes.HasPrefix(b, []byte("GET ")) {
		c.path, _, _ = strings.Cut(strings.Fields(string(b[:min(len(b), 200)]))[1], "?")
		c.head, c.first = true, true
		head = max(bytes.Index(b, headEnd), 0) + len(headEnd)
	}
	path := c.path
	c.mu.Unlock() // noted before it is sent: the answer may be there before Write returns
	n, err := c.Conn.Write(b)
	head = min(n, head)
	c.counter.count(path, func(t *traffic) {
		if head > 0 {
			t.Messages++
		}
		t.HeadOut += int64(head)
		t.BodyOut += int64(n - head)
	})
	return n, err
}

// Read counts the bytes of an answer.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	path, head, snapshots := c.path, 0, 0
	if c.head && n > 0 {
		head = n
		if end := bytes.Index(b[:n], headEnd); end >= 0 {
			head, c.head = end+len(headEnd), false
		}
	}
	if body := b[head:n]; len(body) > 0 && c.first {
		c.first = false
		if bytes.Contains(body[:min(len(body), 300)], []byte(`"image":true`)) {
			snapshots = 1
		}
	}
	c.mu.Unlock()
	if n > 0 {
		c.counter.count(path, func(t *traffic) {
			t.HeadIn += int64(head)
			t.BodyIn += int64(n - head)
			t.Snapshots += snapshots
			t.Last = time.Now()
		})
	}
	return n, err
}
