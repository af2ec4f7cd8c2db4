// Package proxy implements the process that receives the clients' requests. Package router makes the routing decisions; this package
// provides its listeners, its graceful shutdown, and the time-outs of client connections.
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

// Options configures a proxy. Zero values have the meaning that they have in router.Options unless another default is stated.
type Options struct {
	// Agent is the agent's loopback address; Admin is the address where this proxy answers the agent's queries.
	Agent string
	Admin string
	// Grace is the total time that a stopping proxy has to shut down, ReadinessLinger and the end of running requests included.
	Grace time.Duration
	// ReadinessLinger is how long a stopping proxy still accepts requests after it reports that it is not ready, since load balancers keep
	// sending requests for that long.
	ReadinessLinger time.Duration
	// Seed seeds the random choices.
	Seed uint64
	// PrefixIndexSize bounds the entries of the prefix index; 0 means no index.
	PrefixIndexSize int
	// BodyMemory bounds the total bytes of request bodies held in memory.
	BodyMemory int64
	// Protocol is the API that clients use and replicas implement; nil means router.ChatProtocol.
	Protocol router.Protocol
	// OldWeightsLimit is how long requests may still start on an older model version than the published one.
	OldWeightsLimit time.Duration
	// RetryRatio and RetrySlack bound the retries: RetryRatio is their share of the first attempts, RetrySlack the number allowed beyond it.
	RetryRatio float64
	RetrySlack float64
	// AgentWatchWait is how long the agent may hold a watch request open.
	AgentWatchWait time.Duration
	// KeepAlive is how long an idle connection to a replica is kept.
	KeepAlive time.Duration
	// HeaderTimeout is how long a request's header may take to arrive, unless the configuration sets a time; 0 means 10 s.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle client connection is kept open, unless the configuration sets a time; 0 means 2 min.
	IdleTimeout time.Duration
}

// Proxy serves clients' requests.
type Proxy struct {
	Router  *router.Router
	host    daemon.Host
	options Options
}

// New returns a proxy; Serve runs it.
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

// Serve runs the proxy until the context ends. It then reports not ready, accepts requests for ReadinessLinger, rejects queued ones, and
// lets running streams finish until Grace has passed.
func (p *Proxy) Serve(ctx context.Context, clients, admin net.Listener) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go p.Router.Run(running)
	go p.serveAdmin(running, admin)
	httpServer := &http.Server{Handler: p.Router.Handler(), MaxHeaderBytes: maxHeaderBytes}
	server := daemon.NewServer(httpServer, router.Watch(httpServer, clients), p.timeouts)
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

// shutDown drains and stops the proxy within options.Grace.
func (p *Proxy) shutDown(ctx context.Context, server *daemon.Server) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Grace)
	defer cancel()
	server.Drain()
	p.Router.Drain()
	if p.options.ReadinessLinger > 0 {
		_ = rpc.Sleep(ctx, p.options.ReadinessLinger) // an error only means that Grace has ended first
	}
	p.Router.Stop(ctx)
	server.Shutdown(ctx)
}

// serveAdmin serves the agent's queries and GET /metrics.
func (p *Proxy) serveAdmin(ctx context.Context, admin net.Listener) {
	mux := http.NewServeMux()
	mux.Handle("/", p.Router.Admin())
	daemon.HandleMetrics(mux, gauges(p.Router))
	if err := daemon.Serve(ctx, admin, mux, daemon.CloseTimeout); err != nil {
		p.host.Log.Error().Err(err).Msg("listener for queries failed")
	}
}
