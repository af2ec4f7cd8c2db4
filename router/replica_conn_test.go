package router

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// closeRecorder is a connection that records that it was closed.
type closeRecorder struct {
	net.Conn
	closed bool
}

func (c *closeRecorder) Write(b []byte) (int, error)      { return len(b), nil }
func (c *closeRecorder) SetWriteDeadline(time.Time) error { return nil }
func (c *closeRecorder) Close() error                     { c.closed = true; return nil }

func startAndWrite(c *replicaConn, id string) (*requestWrite, error) {
	t := c.startWrite(id, func() (*View, error) { return &View{}, nil })
	_, err := c.Write(nil)
	return t, err
}

func TestDiscardClosesConnectionUnlessAnotherRequestUsesIt(t *testing.T) {
	is := is.New(t)
	c := &closeRecorder{}
	g := &replicaConn{Conn: c}
	a, err := startAndWrite(g, "a")
	is.NoErr(err)
	_, err = startAndWrite(g, "b")
	is.NoErr(err)
	a.discard()
	is.True(!c.closed) // request b uses it by now
	_, err = startAndWrite(g, "a")
	is.True(errors.Is(err, errPickAgain)) // a request is not written twice on one connection
	d, err := startAndWrite(g, "d")
	is.NoErr(err)
	d.discard()
	is.True(c.closed)
	_, err = startAndWrite(g, "e")
	is.True(errors.Is(err, errPickAgain))
}

// After an answer without a body, the connection may be given to another request before the first sender gets the answer. Each of the
// two must still find out whether its own request was written.
func TestWriteStateOutlivesTheNextWriteOnTheConnection(t *testing.T) {
	is := is.New(t)
	g := &replicaConn{Conn: &closeRecorder{}}
	a, err := startAndWrite(g, "a")
	is.NoErr(err)
	b := g.startWrite("b", func() (*View, error) { return &View{}, nil })
	seen, _, failure := a.finish()
	is.True(seen != nil && failure == nil) // a was written, b not yet
	_, err = g.Write(nil)
	is.NoErr(err) // b may still be written
	seen, _, failure = b.finish()
	is.True(seen != nil && failure == nil)
	c := g.startWrite("c", func() (*View, error) { return &View{}, nil })
	seen, _, failure = c.finish()
	is.True(seen == nil && failure == errUnwritten)
	_, err = g.Write(nil)
	is.True(err != nil) // after finish, c must not be written any more
}

// An extra response may arrive before the request that it is taken for is written. That request was not executed, and gets an error
// that says so.
func TestResponseBeforeTheWriteCountsAsUnwritten(t *testing.T) {
	is := is.New(t)
	is.True(unwritten(&http.Response{Body: http.NoBody}, nil) != nil)
	is.True(unwritten(nil, errUnwritten) != nil)
}
