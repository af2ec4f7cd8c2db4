package router

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// noted is a connection that notes that it was closed.
type noted struct {
	net.Conn
	closed bool
}

func (c *noted) Write(b []byte) (int, error)      { return len(b), nil }
func (c *noted) SetWriteDeadline(time.Time) error { return nil }
func (c *noted) Close() error                     { c.closed = true; return nil }

func write(g *replicaConn, id string) (*requestWrite, error) {
	t := g.startWrite(id, func() (*View, error) { return &View{}, nil })
	_, err := g.Write(nil)
	return t, err
}

func TestConnectionIsDiscardedUnlessAnotherRequestHasIt(t *testing.T) {
	is := is.New(t)
	c := &noted{}
	g := &replicaConn{Conn: c}
	a, err := write(g, "a")
	is.NoErr(err)
	_, err = write(g, "b")
	is.NoErr(err)
	a.discard()
	is.True(!c.closed) // it is b's by now
	_, err = write(g, "a")
	is.True(errors.Is(err, errPickAgain)) // not twice on one connection
	d, err := write(g, "d")
	is.NoErr(err)
	d.discard()
	is.True(c.closed)
	_, err = write(g, "e")
	is.True(errors.Is(err, errPickAgain))
}

// An answer without a body makes the connection another request's before its own sender hears of it: each knows what was written of it.
func TestTurnOutlastsTheNextOnesBeginning(t *testing.T) {
	is := is.New(t)
	g := &replicaConn{Conn: &noted{}}
	a, err := write(g, "a")
	is.NoErr(err)
	b := g.startWrite("b", func() (*View, error) { return &View{}, nil })
	seen, _, failure := a.finish()
	is.True(seen != nil && failure == nil) // it was written, though b was not yet
	_, err = g.Write(nil)
	is.NoErr(err) // and b may be
	seen, _, failure = b.finish()
	is.True(seen != nil && failure == nil)
	c := g.startWrite("c", func() (*View, error) { return &View{}, nil })
	seen, _, failure = c.finish()
	is.True(seen == nil && failure == errUnwritten)
	_, err = g.Write(nil)
	is.True(err != nil) // given up, it is not written any more
}

// An extra answer may be read before the request is written that it is taken for: that request has not run, and is told so.
func TestAnswerBeforeTheRequestIsAReasonToo(t *testing.T) {
	is := is.New(t)
	is.True(unwritten(&http.Response{Body: http.NoBody}, nil) != nil)
	is.True(unwritten(nil, errUnwritten) != nil)
}
