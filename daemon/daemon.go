// Package daemon has what every process of the fleet needs: its identity and environment (Host), settings, signal handling, an HTTP server
// with graceful shutdown, Prometheus metrics, and the endpoints of the gossip failure detector.
package daemon

import (
	"time"

	"github.com/rs/zerolog"

	"asterridge/rpc"
)

// Host describes a process's identity and environment, and which other processes it contacts first.
type Host struct {
	Name    string // unique in the fleet
	Fleet   string // messages from another fleet are rejected
	Zone    string
	Address string // ip:port at which other machines reach this process
	Seeds   []string
	// BootstrapPeers are the addresses of the cores that form the initial membership; nil means this core's own address and its seeds.
	BootstrapPeers []string
	// Bootstrapped is true if the fleet was started before: a core with an empty disk must not form an initial membership then
	// (docs/design.md §2.6).
	Bootstrapped bool
	// GossipInterval is the time between two heartbeats; 0 means 500 ms.
	GossipInterval time.Duration
	Net            rpc.Network
	Log            zerolog.Logger
	// Clock is the wall clock for times shown to operators; no decision depends on it. nil means the machine's clock.
	Clock func() time.Time
}
