package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// countAnswered sends requests on one connection, in pieces of the given size, and returns how many were countAnswered.
func countAnswered(is *is.I, watched bool, step int, requests ...string) (count int) {
	is.Helper()
	near, far := net.Pipe()
	listener := &oneConn{c: far, closed: make(chan struct{})}
	var read atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		read.Add(1)
		if isFramedTwice(q) {
			w.Header().Set("Connection", "close")
		}
		fmt.Fprint(w, "yes")
	})}
	var wrapped net.Listener = listener
	if watched {
		wrapped = Watch(server, listener)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); _ = server.Serve(wrapped) }()
	go func() {
		for text := strings.Join(requests, ""); text != ""; {
			n := min(step, len(text))
			if _, err := io.WriteString(near, text[:n]); err != nil {
				return
			}
			text = text[n:]
		}
	}()
	in := bufio.NewReader(near)
	for range requests {
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			break
		}
		_, err = io.Copy(io.Discard, answer.Body)
		is.NoErr(err)
		count++
		if answer.Close {
			break
		}
	}
	_ = near.Close()
	_ = server.Close()
	<-ended
	is.Equal(int(read.Load()), count)
	return count
}

// oneConn is a listener that accepts a single connection.
type oneConn struct {
	c      net.Conn
	closed chan struct{}
	done   bool
}

func (l *oneConn) Accept() (net.Conn, error) {
	if !l.done {
		l.done = true
		return l.c, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *oneConn) Close() error { close(l.closed); return nil }

func (l *oneConn) Addr() net.Addr { return l.c.LocalAddr() }

// A request with both a Content-Length and chunks must be the last on its connection, wherever the header line is split, or the rest
// of its body could be read as a smuggled request. Other requests keep the connection open.
func TestRequestFramedTwiceIsTheLastOnItsConnection(t *testing.T) {
	is := is.New(t)
	const (
		long    = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nfour"
		chunked = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n"
		bare    = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		twice   = "POST / HTTP/1.1\r\nHost: a\r\ncontent-LENGTH: 44\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		inBody  = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n\r\nContent-Length\r\n\r\n0\r\n\r\n"
	)
	for _, step := range []int{1, 2, 3, 7, 50, 4096} {
		is.Equal(countAnswered(is, true, step, long, twice, long, long), 2)
		is.Equal(countAnswered(is, true, step, twice, bare), 1)
	}
	for _, step := range []int{1, 2, 3, 7} { // small pieces, so that at most one request is read ahead
		is.Equal(countAnswered(is, true, step, bare, bare, long, chunked, twice, chunked), 5)
		is.Equal(countAnswered(is, true, step, long, chunked, bare, chunked, long, long, chunked), 7)
	}
	is.Equal(countAnswered(is, true, 1, inBody, chunked), 1)            // a body that looks like the header closes the connection too, to be safe
	is.Equal(countAnswered(is, false, 1, long, bare, chunked, long), 3) // without Watch every chunked request is the last
}
