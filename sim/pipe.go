package sim

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipe is one direction of a connection.
type pipe struct {
	network  *Network
	from, to string
	mu       sync.Mutex
	pieces   []piece
	size     int
	shut     bool // by the writer
	reset    bool
	news     chan struct{}
	other    *pipe // the way back
}

// piece is a part of the data in transit.
type piece struct {
	data []byte
	at   time.Time
}

// pipeSize is the capacity of a direction in bytes, as of a socket buffer.
const pipeSize = 256 << 10

// newPipe returns an empty direction between two hosts.
func newPipe(n *Network, from, to string) *pipe {
	return &pipe{network: n, from: from, to: to, news: make(chan struct{})}
}

// changed wakes readers and writers.
func (p *pipe) changed() {
	close(p.news)
	p.news = make(chan struct{})
}

// errReset is the error after a reset.
var errReset = errors.New("connection reset by peer")

// read returns data that has arrived, and blocks while there is none.
func (p *pipe) read(b []byte, deadline func() time.Time) (int, error) {
	for {
		p.network.thaw(p.to)
		cut, mended, _ := p.network.isPartitioned(p.from, p.to)
		p.mu.Lock()
		if p.reset {
			p.mu.Unlock()
			return 0, &net.OpError{Op: "read", Net: "tcp", Err: errReset}
		}
		now := time.Now()
		delay := time.Hour
		if !cut && len(p.pieces) > 0 {
			first := &p.pieces[0]
			if !now.Before(first.at) {
				n := copy(b, first.data)
				if first.data = first.data[n:]; len(first.data) == 0 {
					p.pieces = p.pieces[1:]
				}
				p.size -= n
				p.changed()
				p.mu.Unlock()
				return n, nil
			}
			delay = first.at.Sub(now)
		} else if !cut && p.shut {
			p.mu.Unlock()
			return 0, io.EOF
		}
		changed := p.news
		p.mu.Unlock()
		if err := p.rest(delay, deadline, changed, mended); err != nil {
			return 0, err
		}
	}
}

// rest waits for data, the end of a partition or freeze, or the deadline.
func (p *pipe) rest(delay time.Duration, deadline func() time.Time, changed, mended chan struct{}) error {
	if end := deadline(); !end.IsZero() {
		left := time.Until(end)
		if left <= 0 {
			return os.ErrDeadlineExceeded
		}
		delay = min(delay, left)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-mended:
	}
	return nil
}

// giveUp ends the connection like a kernel whose data was not acknowledged in time: what has not arrived never does. Data arrives at its
// time or when the partition that it met is healed; its acknowledgment needs the opposite direction.
func (p *pipe) giveUp(at time.Time) {
	p.network.mu.Lock()
	there, back := p.network.partitionedSince(p.from, p.to), p.network.partitionedSince(p.to, p.from)
	p.network.mu.Unlock()
	lost := !there.IsZero() && !there.After(at)
	if lost {
		p.abort()
	}
	if lost || !back.IsZero() && !back.After(at) {
		p.other.abort()
	}
}

// write appends data, and blocks while the capacity is used up.
func (p *pipe) write(b []byte, deadline func() time.Time, unacknowledged time.Duration) (int, error) {
	sent := 0
	for sent < len(b) {
		p.network.thaw(p.from)
		if end := deadline(); !end.IsZero() && !time.Now().Before(end) {
			return sent, os.ErrDeadlineExceeded
		}
		_, mended, delay := p.network.isPartitioned(p.from, p.to)
		p.mu.Lock()
		if p.reset || p.shut {
			p.mu.Unlock()
			return sent, &net.OpError{Op: "write", Net: "tcp", Err: errReset}
		}
		if space := pipeSize - p.size; space > 0 {
			n := min(space, len(b)-sent)
			at := time.Now().Add(delay)
			if len(p.pieces) > 0 && at.Before(p.pieces[len(p.pieces)-1].at) {
				at = p.pieces[len(p.pieces)-1].at
			}
			p.pieces = append(p.pieces, piece{append([]byte(nil), b[sent:sent+n]...), at})
			p.size += n
			sent += n
			p.changed()
			p.mu.Unlock()
			p.network.count(p.to, n)
			if unacknowledged > 0 {
				time.AfterFunc(unacknowledged, func() { p.giveUp(at) })
			}
			continue
		}
		changed := p.news
		p.mu.Unlock()
		if err := p.rest(time.Hour, deadline, changed, mended); err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// abort ends the direction with an error.
func (p *pipe) abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.reset {
		p.reset = true
		p.changed()
	}
}

// poke wakes a reader or writer to look again.
func (p *pipe) poke() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed()
}
