// Package sim is the test network, the test disk and a whole fleet on them, for runs inside testing/synctest bubbles: the daemons' own
// code, fake time, seeded faults (docs/design.md §8).
package sim

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Network connects hosts by IP address. A partition delays data, as a network that loses packets does, until it is healed.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	cuts      map[[2]string]time.Time // since when
	delays    map[[2]string]time.Duration
	frozen    map[string]bool
	Delay     time.Duration // of every piece
	over      bool          // the run has ended: nobody connects any more
	news      chan struct{} // closed when cuts change

	carried map[string]int // bytes by the host that they go to
}

// NewNetwork returns a network without faults.
func NewNetwork(delay time.Duration) *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]bool{}, cuts: map[[2]string]time.Time{},
		delays: map[[2]string]time.Duration{}, frozen: map[string]bool{}, carried: map[string]int{}, Delay: delay, news: make(chan struct{})}
}

// BytesCarried returns the number of bytes sent to a host.
func (n *Network) BytesCarried(to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.carried[to]
}

// count adds to the bytes sent to a host.
func (n *Network) count(to string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carried[to] += bytes
}

// host is what the network knows of one machine.
func host(address string) string {
	h, _, _ := net.SplitHostPort(address)
	return h
}

// changed wakes all that wait for a change of the network.
func (n *Network) changed() {
	close(n.news)
	n.news = make(chan struct{})
}

// Partition stops traffic from one host to another until Heal. The empty name means every host.
func (n *Network) Partition(from, to string) { n.setPartitioned(from, to, true) }

// Heal undoes Partition.
func (n *Network) Heal(from, to string) { n.setPartitioned(from, to, false) }

// setPartitioned begins or ends a partition in one direction.
func (n *Network) setPartitioned(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := [2]string{from, to}
	if !cut {
		delete(n.cuts, at)
	} else if n.cuts[at].IsZero() {
		n.cuts[at] = time.Now()
	}
	n.changed()
}

// PartitionGroups separates two groups of hosts in both directions, or heals that.
func (n *Network) PartitionGroups(a, b []string, cut bool) {
	for _, x := range a {
		for _, y := range b {
			n.setPartitioned(x, y, cut)
			n.setPartitioned(y, x, cut)
		}
	}
}

// Slow sets the delay from one host to another.
func (n *Network) Slow(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[[2]string{from, to}] = d
}

// Freeze stops all reading, writing, dialing and accepting of a host's processes, like a stopped process whose kernel goes on, or resumes
// them. Pending operations complete after the resumption.
func (n *Network) Freeze(ip string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[ip] = frozen
	n.changed()
}

// thaw waits until a host's processes run.
func (n *Network) thaw(ip string) {
	for {
		n.mu.Lock()
		frozen, changed := n.frozen[ip] && !n.over, n.news
		n.mu.Unlock()
		if !frozen {
			return
		}
		<-changed
	}
}

// isPartitioned reports whether two hosts are partitioned. It also returns the channel that tells of changes, and the delay.
func (n *Network) isPartitioned(from, to string) (bool, chan struct{}, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cut := !n.partitionedSince(from, to).IsZero()
	delay, set := n.delays[[2]string{from, to}]
	if !set {
		delay = n.Delay
	}
	return cut, n.news, delay
}

// partitionedSince returns when the partition between two hosts began, or zero. The caller holds n.mu.
func (n *Network) partitionedSince(from, to string) (since time.Time) {
	for _, at := range [][2]string{{from, to}, {"", to}, {from, ""}} {
		if began := n.cuts[at]; !began.IsZero() && (since.IsZero() || began.Before(since)) {
			since = began
		}
	}
	return since
}

// Crash resets all connections of a host and closes its ports, as when a process is killed.
func (n *Network) Crash(ip string) {
	n.mu.Lock()
	var ended []*conn
	for c := range n.conns {
		if c.local == ip || c.remote == ip {
			ended = append(ended, c)
		}
	}
	var shut []*listener
	for address, l := range n.listeners {
		if host(address) == ip {
			shut = append(shut, l)
		}
	}
	n.mu.Unlock()
	for _, l := range shut {
		_ = l.Close() // it never fails
	}
	for _, c := range ended {
		c.reset()
	}
}

// Reset breaks all connections between two hosts; data in transit is lost.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if c.local == a && c.remote == b || c.local == b && c.remote == a {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.reset()
	}
}

// End resets every connection and refuses new ones.
func (n *Network) End() {
	n.mu.Lock()
	n.over = true
	var left []*conn
	for c := range n.conns {
		left = append(left, c)
	}
	n.cuts = map[[2]string]time.Time{}
	n.changed()
	n.mu.Unlock()
	for _, c := range left {
		c.reset()
	}
}

// Host is one machine's side of the network.
type Host struct {
	network *Network
	IP      string
}

// Host returns the machine with an IP address.
func (n *Network) Host(ip string) *Host { return &Host{n, ip} }

// listener is an open port.
type listener struct {
	network *Network
	address string
	line    chan *conn
	closed  chan struct{}
	once    sync.Once
}

// Listen opens a port of this host.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.New("address in use: " + address)
	}
	l := &listener{network: n, address: address, line: make(chan *conn, 128), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.line:
		l.network.thaw(c.local)
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

// addr is an address as text.
func addr(address string) net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", address)
	return a
}

// DialContext connects. During a partition it blocks until the partition is healed or the context ends.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	failed := func(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: err} }
	for {
		n.thaw(h.IP)
		there, thereNews, delay := n.isPartitioned(h.IP, host(address))
		back, _, _ := n.isPartitioned(host(address), h.IP)
		if !there && !back {
			if err := wait(ctx, 2*delay, nil); err != nil {
				return nil, failed(err)
			}
			break
		}
		if err := wait(ctx, time.Hour, thereNews); err != nil {
			return nil, failed(err)
		}
	}
	n.mu.Lock()
	l := n.listeners[address]
	if l == nil || n.over {
		n.mu.Unlock()
		return nil, failed(errors.New("connection refused"))
	}
	there, back := newPipe(n, h.IP, host(address)), newPipe(n, host(address), h.IP)
	there.other, back.other = back, there
	near := &conn{network: n, local: h.IP, remote: host(address), in: back, out: there, remoteAddress: address}
	far := &conn{network: n, local: host(address), remote: h.IP, in: there, out: back, remoteAddress: h.IP + ":0"}
	n.conns[near], n.conns[far] = true, true
	n.mu.Unlock()
	select {
	case l.line <- far:
		return near, nil
	case <-l.closed:
		return nil, failed(errors.New("connection refused"))
	case <-ctx.Done():
		return nil, failed(ctx.Err())
	}
}

// wait blocks for a duration, until a channel is closed, or until the context ends, in which case it returns the context's error.
func wait(ctx context.Context, d time.Duration, changed chan struct{}) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
		return ctx.Err()
	}
	return ctx.Err()
}

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote string
	remoteAddress string
	in, out       *pipe
	mu            sync.Mutex
	readBy        time.Time
	writeBy       time.Time
	userTimeout   time.Duration
	abortive      bool // closing it resets it
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	return c.in.read(b, func() time.Time { return c.deadline(&c.readBy) })
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	unacknowledged := c.userTimeout
	c.mu.Unlock()
	return c.out.write(b, func() time.Time { return c.deadline(&c.writeBy) }, unacknowledged)
}

// SetUserTimeout acts as the socket option TCP_USER_TIMEOUT.
func (c *conn) SetUserTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.userTimeout = d
}

// deadline returns the deadline of one direction.
func (c *conn) deadline(which *time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *which
}

// SetLinger acts as the socket option SO_LINGER of 0 s: closing the connection resets it. Other times are not known here.
func (c *conn) SetLinger(seconds int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortive = seconds == 0
	return nil
}

// Close ends the outgoing direction and discards incoming data.
func (c *conn) Close() error {
	c.mu.Lock()
	abortive := c.abortive
	c.mu.Unlock()
	if abortive {
		c.reset()
		return nil
	}
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.out.mu.Lock()
	if !c.out.shut {
		c.out.shut = true
		c.out.changed()
	}
	c.out.mu.Unlock()
	c.in.abort()
	return nil
}

// reset ends both directions with an error.
func (c *conn) reset() {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	c.in.abort()
	c.out.abort()
}

// Abort ends the connection at once, as a reset does: data in transit is lost.
func (c *conn) Abort() { c.reset() }

// ShutWrite ends the outgoing direction; the other one stays open.
func (c *conn) ShutWrite() {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	if !c.out.shut {
		c.out.shut = true
		c.out.changed()
	}
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.local + ":0") }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return addr(c.remoteAddress) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t) // it never fails
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readBy = t
	c.mu.Unlock()
	c.in.poke()
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	c.writeBy = t
	c.mu.Unlock()
	c.out.poke()
	return nil
}
