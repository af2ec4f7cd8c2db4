package router

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// net/http reads a request that has both a Content-Length and chunked framing by its chunks, as RFC 9112 §6.3 allows, and drops the
// length. The RFC requires such a request to be the last on its connection: another party that goes by the length takes what follows
// the chunks for part of the body, so that it must not be read as a request. Because the handler does not see the dropped header, a
// watchedConn counts Content-Length headers in the bytes that it reads.

// lengthHeader is the start of a Content-Length header after the end of the line before it, in lower case.
var lengthHeader = []byte("\ncontent-length")

// watchedConn is a client's connection that counts the lines that look like a Content-Length header, in headers and bodies alike.
type watchedConn struct {
	net.Conn
	lengthHeaders atomic.Int64
	matched       int   // bytes of lengthHeader matched at the end of the data read so far
	lengthFramed  int64 // requests framed by their length; used by handlers alone, which run one after another
}

// Read implements net.Conn and counts headers in what it reads; a line may be split between two reads.
func (c *watchedConn) Read(b []byte) (int, error) {
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
				c.lengthHeaders.Add(1)
				c.matched = 0
			}
		default:
			c.matched = 0
		}
	}
	return n, err
}

// CloseWrite is called by net/http before it closes a connection that is not used again.
func (c *watchedConn) CloseWrite() error {
	if half, supported := c.Conn.(interface{ CloseWrite() error }); supported {
		return half.CloseWrite()
	}
	return nil
}

// watchedListener wraps each accepted connection in a watchedConn.
type watchedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c}, nil
}

// watchedKey is the key of a watchedConn in a request's context.
type watchedKey struct{}

// Watch sets up a server so that its handler can tell requests with ambiguous framing, which are used for request smuggling. A
// connection that wraps one of the listener's has to return it from a method NetConn, as TLS connections do. On a server without
// Watch, every chunked request is the last on its connection.
func Watch(server *http.Server, listener net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		for {
			wrapper, wrapped := c.(interface{ NetConn() net.Conn })
			if !wrapped {
				return context.WithValue(ctx, watchedKey{}, c)
			}
			c = wrapper.NetConn()
		}
	}
	return watchedListener{listener}
}

// resetOnClose makes a client's connection end with a reset. An HTTP/1.0 client, which does not know chunks, would take a truncated
// answer for complete if its connection were closed normally.
func resetOnClose(q *http.Request) {
	c, isWatched := q.Context().Value(watchedKey{}).(*watchedConn)
	if !isWatched {
		return
	}
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already: the client has reset it
	}
}

// isFramedTwice reports whether a chunked request may have had a Content-Length as well.
func isFramedTwice(q *http.Request) bool {
	c, isWatched := q.Context().Value(watchedKey{}).(*watchedConn)
	if len(q.TransferEncoding) == 0 {
		if isWatched && q.Header.Get("Content-Length") != "" {
			c.lengthFramed++
		}
		return false
	}
	return !isWatched || c.lengthHeaders.Load() > c.lengthFramed
}
