package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"asterridge/router"
	"asterridge/rpc"
)

// Proxy is the thin daemon over the router library.
type Proxy struct {
	Router  *router.Router
	host    Host
	options ProxyOptions
}

// ProxyOptions of a proxy.
type ProxyOptions struct {
	Agent string // the agent's loopback address
	Admin string // where the agent reaches this proxy's queries
	Grace time.Duration
	Seed  uint64
	Index int
	Room  int64 // bytes of callers' bodies held at a time
	// Linger is how long a stopping proxy, unready already, goes on taking requests: callers are still led to it for as long.
	Linger     time.Duration
	Dialect    router.Dialect
	OldWeights time.Duration
	RetrySlack float64
	RetryRatio float64
	AgentWait  time.Duration
	KeepAlive  time.Duration
	HeaderTime time.Duration // for a request's headers to come, where the configuration does not say; 0: 10 s
	IdleTime   time.Duration // an idle connection of a caller is kept so long, where the configuration does not say; 0: 2 min
}

// NewProxy makes a proxy.
func NewProxy(host Host, options ProxyOptions) *Proxy {
	if options.HeaderTime == 0 {
		options.HeaderTime = defaultHeaderTime
	}
	if options.IdleTime == 0 {
		options.IdleTime = defaultIdleTime
	}
	return &Proxy{host: host, options: options, Router: router.New(router.Options{
		Name: host.Name, Zone: host.Zone, Fleet: host.Fleet, Agent: options.Agent, Admin: options.Admin,
		Net: host.Net, Log: host.Log, Seed: options.Seed, Index: options.Index, Room: options.Room, Clock: host.Clock,
		Dialect: options.Dialect, OldWeights: options.OldWeights, RetrySlack: options.RetrySlack, RetryRatio: options.RetryRatio, AgentWait: options.AgentWait, KeepAlive: options.KeepAlive,
	})}
}

// Serve runs the proxy until the context ends: then it is unready, rejects what waits, and lets streams finish for the grace.
func (p *Proxy) Serve(ctx context.Context, callers, admin net.Listener) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go p.Router.Run(running)
	mux := http.NewServeMux()
	mux.Handle("/", p.Router.Admin())
	HandleMetrics(mux, proxyGauges(p.Router))
	go func() { _ = Serve(running, admin, mux, time.Second) }()
	server := newCallerServer(p.Router.Handler(), func() callerTimes { return timesOf(p.Router.Limits(), p.options) })
	failed := make(chan error, 1)
	watched := callerListener{router.Watch(server, callers)}
	go func() { failed <- server.Serve(watched) }()
	p.host.Log.Info().Str("event", "proxy_up").Str("address", p.host.Address).Msg("")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	last, end := context.WithTimeout(running, p.options.Grace)
	defer end()
	p.Router.Leave()
	if p.options.Linger > 0 {
		server.SetKeepAlivesEnabled(false) // each answer ends its connection
		_ = rpc.Sleep(last, p.options.Linger)
	}
	p.Router.Stop(last)
	if server.Shutdown(last) != nil {
		_ = server.Close()
	}
	p.host.Log.Info().Str("event", "proxy_down").Msg("")
	return nil
}
