package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"asterridge/rpc"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	// drainInterval is the time between two looks at the connections that are left.
	drainInterval = 10 * time.Millisecond
	// IdleTimeout is how long a connection to a daemon may be idle.
	IdleTimeout = 2 * time.Minute
	// CloseTimeout is how long running answers may take when a daemon closes its listeners, where its options do not say.
	CloseTimeout = time.Second
)

// Serve answers on a listener until the context ends, and then lets running answers finish for the grace.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) error {
	timeouts := func() ConnectionTimeouts { return ConnectionTimeouts{Header: readHeaderTimeout, Idle: IdleTimeout} }
	server := NewServer(&http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes}, listener, timeouts)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	server.Drain()
	server.Shutdown(shutdownCtx)
	return nil
}

// Server is an http.Server that answers each request which it has read, also when it is shut down and when a connection has been idle for too
// long.
//
// http.Server.Shutdown and SetKeepAlivesEnabled close a connection as long as the header of its next request was not read to its end and
// noted, which is some time after its bytes were read: such a request is handled, and its client has no answer. A Server ends a connection by
// way of its next read instead, which either brings bytes, and then the request is served, or fails without any.
type Server struct {
	http        *http.Server
	listener    net.Listener
	connections *connectionSet
	draining    atomic.Bool
	accepting   chan struct{} // closed when no connection is accepted any more
}

// NewServer makes a server of a listener's connections. It takes over the http.Server, whose own time-outs must be zero: timeouts is asked
// anew for each request.
func NewServer(server *http.Server, listener net.Listener, timeouts func() ConnectionTimeouts) *Server {
	connections := newConnectionSet()
	s := &Server{http: server, listener: trackingListener{listener, connections}, connections: connections, accepting: make(chan struct{})}
	server.Handler = s.closeWhileDraining(server.Handler)
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		tracked, own := conn.(*trackedConn)
		if !own {
			return
		}
		switch state {
		case http.StateNew, http.StateIdle:
			tracked.startIdle(timeouts())
		default:
			tracked.stopIdle()
		}
	}
	return s
}

// Serve accepts connections until Shutdown is called or the listener fails, whose error it returns.
func (s *Server) Serve() error {
	defer close(s.accepting)
	return s.http.Serve(s.listener)
}

// Drain has each answer that begins from now on end its connection. Connections are accepted as before.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown accepts no more connections, and ends each that is open once no request is on it. What is left when the context ends is cut off.
// It is called once Serve was.
func (s *Server) Shutdown(ctx context.Context) {
	_ = s.listener.Close() // the server may have closed it after a failure
	<-s.accepting
	for s.connections.interruptIdle() > 0 && rpc.Sleep(ctx, drainInterval) == nil {
	}
	_ = s.http.Close() // what is left is cut off
}

func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, q)
	})
}
