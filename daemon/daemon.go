// Package daemon is what every process of the fleet is made of: its host (name, address, network, log), its settings, a server that ends
// in order, figures for scraping, and its part in the gossip about which processes run.
package daemon

import (
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
