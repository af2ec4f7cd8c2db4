// Package daemon assembles the core, the agent and the proxy, so that the programs and the simulator run the same code
// (docs/design.md §1.2).
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"asterridge/rpc"
)

// Host is where a daemon stands, and whom it asks first.
type Host struct {
	Name    string
	Fleet   string
	Zone    string
	Address string
	Seeds   []string
	// BootstrapPeers are the addresses of the cores that found the fleet; nil: this core's own and its seeds.
	BootstrapPeers []string
	Bootstrapped   bool          // the fleet was founded before: an empty disk here never founds it again (§2.6)
	GossipInterval time.Duration // between two beats of the ring; 0: 500 ms
	Net            rpc.Network
	Log            zerolog.Logger
	Clock          func() time.Time // the wall clock, which decides nothing (§1.3); nil: the machine's
}

// Serve answers on a listener until the context ends; then it lets running answers finish for the grace.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, stop := context.WithTimeout(context.Background(), grace)
	defer stop()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	return nil
}

// Every does a thing again and again until the context ends.
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
