package router

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// net/http reads a request that has both a Content-Length and chunks by its chunks, as RFC 9112 §6.3 allows, and forgets the length. The
// RFC has such a request be the last on its connection: whoever goes by the length takes what follows the chunks for the request's own
// body, so that it must not be read as a request. A Watched connection counts what the handler is not shown.

// lengthHeader is the header's name after a line's end, in lower case.
var lengthHeader = []byte("\ncontent-length")

// watched is a client's connection that counts the lines which look like a Content-Length, wherever they stand.
type watched struct {
	net.Conn
	lengths atomic.Int64
	matched int   // of lengthHeader, at the end of what was read
	honest  int64 // requests that were read by their length; of the handlers, which run one after another
}

// Read counts in passing. A line may be cut anywhere.
func (c *watched) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for remaining := b[:n]; len(remaining) > 0; {
		if c.matched == 0 {
			at := bytes.IndexByte(remaining, lengthHeader[0])
			if at < 0 {
				break
			}
			remaining, c.matched = remaining[at+1:], 1
			continue
		}
		switch char := remaining[0]; {
		case char|0x20 == lengthHeader[c.matched] || char == lengthHeader[c.matched]:
			remaining = remaining[1:]
			if c.matched++; c.matched == len(lengthHeader) {
				c.lengths.Add(1)
				c.matched = 0
			}
		default:
			c.matched = 0
		}
	}
	return n, err
}

// CloseWrite is what net/http calls to end a connection that is not used again.
func (c *watched) CloseWrite() error {
	if half, canHalf := c.Conn.(interface{ CloseWrite() error }); canHalf {
		return half.CloseWrite()
	}
	return nil
}

// watchedListener wraps the connections that it accepts.
type watchedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watched{Conn: c}, nil
}

// watchedName is the key of a watched connection in a request's context.
type watchedName struct{}

// Watch has a server tell its handler which requests are framed in two ways, which is how requests are smuggled. A connection that wraps
// one of the listener's gives it by a method NetConn, as TLS does. Where a server is not watched, each chunked request is the last on its
// connection.
func Watch(server *http.Server, listener net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		for {
			above, wrapped := c.(interface{ NetConn() net.Conn })
			if !wrapped {
				return context.WithValue(ctx, watchedName{}, c)
			}
			c = above.NetConn()
		}
	}
	return watchedListener{listener}
}

// resetOnClose has a client's connection end with a reset. To a client of HTTP/1.0, which knows no chunks, an answer that broke off would
// look complete if its connection ended in order.
func resetOnClose(q *http.Request) {
	c, isWatched := q.Context().Value(watchedName{}).(*watched)
	if !isWatched {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // a connection that is closed already has been reset by the client
	}
}

// isFramedTwice reports whether a chunked request may have had a Content-Length too.
func isFramedTwice(q *http.Request) bool {
	c, watched := q.Context().Value(watchedName{}).(*watched)
	if len(q.TransferEncoding) == 0 {
		if watched && q.Header.Get("Content-Length") != "" {
			c.honest++
		}
		return false
	}
	return !watched || c.lengths.Load() > c.honest
}
