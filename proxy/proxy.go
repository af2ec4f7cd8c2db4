// Package proxy is the program that clients' requests come to. It is thin: the library router decides, this package gives it listeners, ends
// it in order, and bounds how long clients' connections may be idle.
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

// Options of a proxy. Zero values are those of router.Options, but where another default is given.
type Options struct {
	// Agent is the agent's loopback address, Admin the one where the agent reaches this proxy's queries.
	Agent string
	Admin string
	// Grace is how long a stopping proxy lets running requests finish.
	Grace time.Duration
	// ReadinessLinger is how long a stopping proxy, unready already, goes on taking requests: clients are still led to it for as long.
	ReadinessLinger time.Duration
	// Seed is of the random choices.
	Seed uint64
	// PrefixIndexSize bounds the entries of the prefix index; 0: no index.
	PrefixIndexSize int
	// BodyMemory bounds the bytes of clients' bodies that are held at a time.
	BodyMemory int64
	// Protocol is how clients and replicas are spoken to; nil: router.ChatProtocol.
	Protocol router.Protocol
	// OldWeightsLimit is how long requests may begin on a version before the published one.
	OldWeightsLimit time.Duration
	// RetryRatio and RetrySlack bound second attempts: that part of the first ones, and so many beyond it.
	RetryRatio float64
	RetrySlack float64
	// AgentWatchWait is how long the agent may hold a watch request open.
	AgentWatchWait time.Duration
	// KeepAlive is how long an idle connection to a replica is kept.
	KeepAlive time.Duration
	// HeaderTimeout is how long a request's header may take to arrive, where the configuration does not say; 0: 10 s.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection of a client is kept, where the configuration does not say; 0: 2 min.
	IdleTimeout time.Duration
}

// Proxy serves clients' requests.
type Proxy struct {
	Router  *router.Router
	host    daemon.Host
	options Options
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
		Name:            host.Name,
		Zone:            host.Zone,
		Fleet:           host.Fleet,
		Agent:           options.Agent,
		Admin:           options.Admin,
		Net:             host.Net,
		Log:             host.Log,
		Clock:           host.Clock,
		Seed:            options.Seed,
		PrefixIndexSize: options.PrefixIndexSize,
		BodyMemory:      options.BodyMemory,
		Protocol:        options.Protocol,
		OldWeightsLimit: options.OldWeightsLimit,
		RetryRatio:      options.RetryRatio,
		RetrySlack:      options.RetrySlack,
		AgentWatchWait:  options.AgentWatchWait,
		KeepAlive:       options.KeepAlive,
	})}
}

// Serve runs the proxy until the context ends. Then it is unready, goes on taking requests for the linger, rejects what waits, and lets
// streams finish within the grace.
func (p *Proxy) Serve(ctx context.Context, clients, admin net.Listener) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go p.Router.Run(running)
	go p.serveAdmin(running, admin)
	callers := &http.Server{Handler: p.Router.Handler(), MaxHeaderBytes: maxHeaderBytes}
	server := daemon.NewServer(callers, router.Watch(callers, clients), p.timeouts)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
	p.host.Log.Info().Str("address", p.host.Address).Msg("proxy started")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	p.shutDown(running, server)
	p.host.Log.Info().Msg("proxy stopped")
	return nil
}

func (p *Proxy) timeouts() daemon.ConnectionTimeouts {
	return effectiveTimeouts(p.Router.Limits(), p.options)
}

// shutDown ends the proxy within the grace.
func (p *Proxy) shutDown(ctx context.Context, server *daemon.Server) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Grace)
	defer cancel()
	server.Drain()
	p.Router.Drain()
	if p.options.ReadinessLinger > 0 {
		_ = rpc.Sleep(ctx, p.options.ReadinessLinger) // it ends sooner if the grace does
	}
	p.Router.Stop(ctx)
	server.Shutdown(ctx)
}

// serveAdmin serves queries and figures.
func (p *Proxy) serveAdmin(ctx context.Context, admin net.Listener) {
	mux := http.NewServeMux()
	mux.Handle("/", p.Router.Admin())
	daemon.HandleMetrics(mux, gauges(p.Router))
	if err := daemon.Serve(ctx, admin, mux, daemon.CloseTimeout); err != nil {
		p.host.Log.Error().Err(err).Msg("listener for queries failed")
	}
}
