package proxy

import (
	"context"
	"net"
	"net/http"
	"time"

	"asterridge/daemon"
	"asterridge/router"
	"asterridge/rpc"
)

// Proxy is the thin daemon over the router library.
type Proxy struct {
	Router  *router.Router
	host    daemon.Host
	options Options
}

// Options of a proxy.
type Options struct {
	Agent           string // the agent's loopback address
	Admin           string // where the agent reaches this proxy's queries
	Grace           time.Duration
	Seed            uint64
	PrefixIndexSize int
	BodyMemory      int64 // bytes of callers' bodies held at a time
	// ReadinessLinger is how long a stopping proxy, unready already, goes on taking requests: callers are still led to it for as long.
	ReadinessLinger time.Duration
	Dialect         router.Dialect
	OldWeightsLimit time.Duration
	RetrySlack      float64
	RetryRatio      float64
	AgentWatchWait  time.Duration
	KeepAlive       time.Duration
	HeaderTimeout   time.Duration // for a request's headers to come, where the configuration does not say; 0: 10 s
	IdleTimeout     time.Duration // an idle connection of a caller is kept so long, where the configuration does not say; 0: 2 min
}

// New makes a proxy.
func New(host daemon.Host, options Options) *Proxy {
	if options.HeaderTimeout == 0 {
		options.HeaderTimeout = defaultHeaderTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	return &Proxy{host: host, options: options, Router: router.New(router.Options{
		Name: host.Name, Zone: host.Zone, Fleet: host.Fleet, Agent: options.Agent, Admin: options.Admin,
		Net: host.Net, Log: host.Log, Seed: options.Seed, Index: options.PrefixIndexSize, Room: options.BodyMemory, Clock: host.Clock,
		Dialect: options.Dialect, OldWeights: options.OldWeightsLimit, RetrySlack: options.RetrySlack, RetryRatio: options.RetryRatio, AgentWait: options.AgentWatchWait, KeepAlive: options.KeepAlive,
	})}
}

// Serve runs the proxy until the context ends: then it is unready, rejects what waits, and lets streams finish for the grace.
func (p *Proxy) Serve(ctx context.Context, callers, admin net.Listener) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go p.Router.Run(running)
	mux := http.NewServeMux()
	mux.Handle("/", p.Router.Admin())
	daemon.HandleMetrics(mux, proxyGauges(p.Router))
	go func() { _ = daemon.Serve(running, admin, mux, time.Second) }()
	server := newServer(p.Router.Handler(), func() connectionTimeouts { return effectiveTimeouts(p.Router.Limits(), p.options) })
	failed := make(chan error, 1)
	watched := timeoutListener{router.Watch(server, callers)}
	go func() { failed <- server.Serve(watched) }()
	p.host.Log.Info().Str("address", p.host.Address).Msg("proxy started")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	last, end := context.WithTimeout(running, p.options.Grace)
	defer end()
	p.Router.Leave()
	if p.options.ReadinessLinger > 0 {
		server.SetKeepAlivesEnabled(false) // each answer ends its connection
		_ = rpc.Sleep(last, p.options.ReadinessLinger)
	}
	p.Router.Stop(last)
	if server.Shutdown(last) != nil {
		_ = server.Close()
	}
	p.host.Log.Info().Msg("proxy stopped")
	return nil
}
