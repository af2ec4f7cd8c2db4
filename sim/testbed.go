package sim

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/watch"
)

// TestbedAddress is the address at which clients reach a testbed's router.
const TestbedAddress = "10.0.1.1:7002"

// testbedAgent is the address of the testbed's agent.
const testbedAgent = "10.0.1.1:7001"

// Testbed is one router in a synctest bubble, with hand-written back ends and an agent that forwards what the test publishes.
type Testbed struct {
	Net    *Network
	Source *watch.Server // what the agent passes on
	Router *router.Router
	Client *http.Client

	stop    context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
	mu      sync.Mutex
	version uint64
}

// NewTestbed starts a router. The testbed sets the network, agent and fleet of its options.
func NewTestbed(o router.Options) *Testbed {
	s := &Testbed{Net: NewNetwork(time.Millisecond), Source: watch.NewServer(watch.ServerOptions{ValidFor: func() time.Duration { return 10 * time.Second }})}
	s.ctx, s.stop = context.WithCancel(context.Background())
	o.Fleet, o.Agent, o.Net = fleetName, testbedAgent, s.Net.Host("10.0.1.1")
	s.Router = router.New(o)
	s.Client = &http.Client{Transport: &http.Transport{DialContext: s.Net.Host(CallerIP).DialContext, DisableCompression: true}}
	mux := http.NewServeMux()
	mux.Handle("POST /agent/pull", rpc.Handler(fleetName, s.Source.Watch))
	s.Serve(testbedAgent, mux)
	s.serve(TestbedAddress, s.Router.Handler(), router.Watch)
	s.running.Go(func() { s.Router.Run(s.ctx) })
	return s
}

// Serve runs a handler at an address until the testbed ends.
func (s *Testbed) Serve(address string, handler http.Handler) {
	s.serve(address, handler, func(_ *http.Server, listener net.Listener) net.Listener { return listener })
}

// serve runs an HTTP server until the testbed ends.
func (s *Testbed) serve(address string, handler http.Handler, wrap func(*http.Server, net.Listener) net.Listener) {
	server := &http.Server{Handler: handler}
	listener := wrap(server, must(s.Net.Host(host(address)).Listen(address)))
	s.running.Go(func() { _ = server.Serve(listener) })         // it ends with the testbed
	s.running.Go(func() { <-s.ctx.Done(); _ = server.Close() }) // it ends with the testbed
}

// Publish has the agent forward a committed content of a key, in place of the former one.
func (s *Testbed) Publish(key string, fields register.Fields) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	revision := register.Revision{Epoch: 1, Version: s.version}
	s.Source.Publish(key, revision, revision, fields, true)
}

// Repeat runs a function at once and then at an interval, with its count, until the testbed ends.
func (s *Testbed) Repeat(step time.Duration, do func(number uint64)) {
	s.running.Go(func() {
		for number := uint64(1); s.ctx.Err() == nil; number++ {
			do(number)
			_ = rpc.Sleep(s.ctx, step) // the loop looks at the context
		}
	})
}

// Configure publishes a configuration with its replicas, and waits until the router has both.
func (s *Testbed) Configure(b *config.Config, replicas ...config.Replica) {
	listed := register.Fields{}
	for _, r := range replicas {
		listed.Apply(config.Field(r.Name, r))
	}
	s.Publish(config.ReplicasKey, listed)
	s.Publish(config.Key, b.Fields())
	time.Sleep(time.Second)
}

// Stop ends everything, so that the bubble can end.
func (s *Testbed) Stop() {
	s.stop()
	s.running.Wait()
	s.Net.End()
	time.Sleep(time.Minute) // what was let loose comes to its own end
}
