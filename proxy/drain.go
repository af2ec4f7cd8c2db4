package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"asterridge/rpc"
)

// drainInterval is the time between two looks at the connections that are left.
const drainInterval = 10 * time.Millisecond

// connectionSet has the open connections of clients.
//
// http.Server.Shutdown and SetKeepAlivesEnabled close a connection as long as the header of its next request was not read to its end and
// noted, which is some time after its bytes were read: such a request goes on to a replica, and its client has no answer. A connectionSet
// ends a connection by way of its next read instead, which either brings bytes, and then the request is served, or fails without any.
type connectionSet struct {
	mu   sync.Mutex
	open map[*timeoutConn]struct{}
}

func newConnectionSet() *connectionSet { return &connectionSet{open: map[*timeoutConn]struct{}{}} }

func (s *connectionSet) add(c *timeoutConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
}

func (s *connectionSet) remove(c *timeoutConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// interruptIdle ends the connections from which nothing of a request was read, and gives how many are still open.
func (s *connectionSet) interruptIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.interruptIdle()
	}
	return len(s.open)
}

// drain ends each connection once no request is on it, until none is left or the context ends.
func (s *connectionSet) drain(ctx context.Context) {
	for s.interruptIdle() > 0 && rpc.Sleep(ctx, drainInterval) == nil {
	}
}

// closeWhileDraining has each answer that begins while the proxy drains end its connection.
func (p *Proxy) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if p.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, q)
	})
}

// shutDown ends the proxy within the grace. accepting is closed when no connection is accepted any more, after stopAccepting.
func (p *Proxy) shutDown(ctx context.Context, server *http.Server, connections *connectionSet, stopAccepting func(), accepting <-chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Grace)
	defer cancel()
	p.draining.Store(true)
	p.Router.Drain()
	if p.options.ReadinessLinger > 0 {
		_ = rpc.Sleep(ctx, p.options.ReadinessLinger) // it ends sooner if the grace does
	}
	p.Router.Stop(ctx)
	stopAccepting()
	<-accepting
	connections.drain(ctx)
	_ = server.Close() // what is left when the grace is over
}
