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
	// drainInterval is how often Shutdown checks for open connections.
	drainInterval = 10 * time.Millisecond
	// IdleTimeout is how long a connection to a daemon may be idle.
	IdleTimeout = 2 * time.Minute
	// CloseTimeout is how long requests in progress may take once a daemon closes its listeners, unless its options give another limit.
	CloseTimeout = time.Second
)

// Serve handles requests on a listener until the context ends. Requests in progress then have the grace period to finish.
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

// Server is an http.Server that responds to every request that it has read, even during shutdown or when the idle timeout of the connection
// expires.
//
// http.Server.Shutdown and SetKeepAlivesEnabled close a connection until the complete header of its next request has been read and the
// connection marked active, which is some time after the bytes were read. A request in between is handled, but its client gets no response.
// A Server instead makes the connection's next read fail. That read either returns bytes, and the request is served, or fails without any.
type Server struct {
	http        *http.Server
	listener    net.Listener
	connections *connectionSet
	draining    atomic.Bool
	accepting   chan struct{} // closed when the server has stopped accepting connections
}

// NewServer returns a Server for the connections of a listener. It takes over the http.Server, whose own timeouts must be zero. It calls
// timeouts again before each request.
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

// Serve accepts connections until Shutdown is called or the listener fails, and returns the listener's error.
func (s *Server) Serve() error {
	defer close(s.accepting)
	return s.http.Serve(s.listener)
}

// Drain makes every response that starts from now on close its connection. New connections are still accepted.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops accepting connections and closes each open connection once it has no request in progress. Connections that are still open
// when the context ends are closed. Shutdown may only be called after Serve.
func (s *Server) Shutdown(ctx context.Context) {
	_ = s.listener.Close() // the server may have closed it after a failure
	<-s.accepting
	for s.connections.interruptIdle() > 0 && rpc.Sleep(ctx, drainInterval) == nil {
	}
	_ = s.http.Close() // closes the remaining connections; its error does not matter during shutdown
}

func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, q)
	})
}
