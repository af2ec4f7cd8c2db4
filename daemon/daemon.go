// Package daemon is what every process of the fleet is made of: its host (name, address, network, log), its settings, a server that ends
// in order, figures for scraping, and its part in the gossip about which processes run.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"asterridge/rpc"
)

// Host is where a process runs, and whom it contacts first.
type Host struct {
	Name    string // unique in the fleet
	Fleet   string // messages from another fleet are rejected
	Zone    string
	Address string // ip:port at which other machines reach it
	Seeds   []string
	// BootstrapPeers are the addresses of the cores that make the first list of members; nil: this core's own and its seeds.
	BootstrapPeers []string
	// Bootstrapped: the fleet was started before, so that an empty disk never makes a first list (docs/design.md §2.6).
	Bootstrapped bool
	// GossipInterval is the time between two heartbeats; 0: 500 ms.
	GossipInterval time.Duration
	Net            rpc.Network
	Log            zerolog.Logger
	// Clock is the wall clock, which is shown to operators and decides nothing; nil: the machine's.
	Clock func() time.Time
}

const (
	readHeaderTimeout = 10 * time.Second
	IdleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// CloseTimeout is how long running answers may take when a daemon closes its listeners, where its options do not say.
	CloseTimeout = time.Second
)

// Serve answers on a listener until the context ends, and then lets running answers finish for the grace.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: IdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close() // what is left is cut off
	}
	return nil
}

// Every calls run at each interval until the context ends. A call that takes longer than the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			run()
		}
	}
}
