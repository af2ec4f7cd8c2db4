package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// relays forward connections to processes and replicas, so that links between machines can be cut in one or both directions, slowed and
// reset. A machine is an IP address here.
type relays struct {
	mu     sync.Mutex
	cuts   map[[2]string]bool // from, to; "" stands for every machine
	delays map[[2]string]time.Duration
	conns  map[net.Conn][2]string
	news   chan struct{} // closed when a cut is made or mended
}

func newRelays() *relays {
	return &relays{cuts: map[[2]string]bool{}, delays: map[[2]string]time.Duration{}, conns: map[net.Conn][2]string{}, news: make(chan struct{})}
}

// open starts a relay to a process that listens at another port, and returns the relay's address.
func (r *relays) open(machine int, target string) (string, error) {
	at, err := place(machine)
	if err != nil {
		return "", err
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go r.join(near, target)
		}
	}()
	return at, nil
}

func ipOf(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return ip
}

// join connects both sides, from the client's own IP address.
func (r *relays) join(near net.Conn, target string) {
	from, to := ipOf(near.RemoteAddr().String()), ipOf(target)
	r.await(from, to)
	dialer := net.Dialer{Timeout: 5 * time.Second}
	far, err := dialer.Dial("tcp", target)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0) // the caller sees a reset, as from a machine without that process
		_ = near.Close()
		return
	}
	r.mu.Lock()
	r.conns[near], r.conns[far] = [2]string{from, to}, [2]string{from, to}
	r.mu.Unlock()
	go r.pour(far, near, from, to)
	r.pour(near, far, to, from)
}

// pour copies one direction until it ends and then closes it; both sides are closed once both directions have ended.
func (r *relays) pour(into, out net.Conn, from, to string) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := out.Read(buffer)
		r.await(from, to)
		if n > 0 {
			if _, failed := into.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = into.(*net.TCPConn).CloseWrite() // a connection that is gone needs none
			} else {
				_ = into.(*net.TCPConn).SetLinger(0) // a connection that is gone needs none
				_ = into.Close()                     // a connection that is gone needs none
				_ = out.Close()                      // a connection that is gone needs none
			}
			r.mu.Lock()
			delete(r.conns, out)
			r.mu.Unlock()
			return
		}
	}
}

// await blocks during a cut, and for the delay of a slow link.
func (r *relays) await(from, to string) {
	for {
		r.mu.Lock()
		cut := r.cuts[[2]string{from, to}] || r.cuts[[2]string{"", to}] || r.cuts[[2]string{from, ""}]
		delay, news := r.delays[[2]string{from, to}], r.news
		r.mu.Unlock()
		if !cut {
			if delay > 0 {
				time.Sleep(delay) // the link's own time
			}
			return
		}
		<-news
	}
}

// cut stops traffic from one machine to another, or lets it flow again.
func (r *relays) cut(from, to string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts[[2]string{from, to}] = cut
	close(r.news)
	r.news = make(chan struct{})
}

// part isolates a machine in both directions, or heals that.
func (r *relays) part(ip string, cut bool) {
	r.cut(ip, "", cut)
	r.cut("", ip, cut)
}

func (r *relays) slow(from, to string, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delays[[2]string{from, to}] = delay
}

// reset breaks all connections of a machine.
func (r *relays) reset(ip string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, ends := range r.conns {
		if ends[0] == ip || ends[1] == ip {
			_ = c.(*net.TCPConn).SetLinger(0) // a connection that is gone needs none
			_ = c.Close()                     // a connection that is gone needs none
		}
	}
}
