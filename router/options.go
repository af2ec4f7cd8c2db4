package router

import (
	"time"

	"github.com/rs/zerolog"

	"asterridge/rpc"
)

// Defaults of options.
const (
	defaultAudit          = 4096
	defaultAgentWatchWait = 100 * time.Millisecond
	defaultKeepAlive      = 5 * time.Second
)

// Options configure a router.
type Options struct {
	// Name is this router's name, unique in the fleet.
	Name  string
	Zone  string
	Fleet string
	// Agent is the agent's address on loopback, Admin the address at which the agent reaches this router's queries.
	Agent string
	Admin string
	Net   rpc.Network
	Log   zerolog.Logger
	// Seed is the seed of the random choices.
	Seed uint64
	// Protocol is the protocol of clients and replicas; nil: ChatProtocol.
	Protocol Protocol
	// Filters are additional policies; they run after tenant and path are known.
	Filters []Filter
	// Audit is the number of audit events kept; 0: 4096.
	Audit int
	// PrefixIndexSize is the number of entries of the prefix index; 0: no index, so replicas are chosen by load and by the beginning of the
	// prompt.
	PrefixIndexSize int
	// BodyMemory bounds the bytes of request bodies that are held at a time; 0: 256 MiB.
	BodyMemory int64
	// OldWeightsLimit is how long work may start on old weights after new ones were received; 0: 12 s (docs/design.md §6.2).
	OldWeightsLimit time.Duration
	// RetrySlack is how many retries all routers together may send beyond RetryRatio; 0: five per router (docs/design.md §5.4).
	RetrySlack float64
	// RetryRatio is the highest ratio of retries to first attempts; 0: none is set, and each first attempt adds 0.1 of a retry.
	RetryRatio float64
	// AgentWatchWait is how long the agent may hold a watch request open; 0: 100 ms.
	AgentWatchWait time.Duration
	// KeepAlive is how long an idle connection to a replica is kept; 0: 5 s.
	KeepAlive time.Duration
	// Clock is the wall clock for audit events, and for the dates of responses without one; nil: the machine's clock.
	Clock func() time.Time
}

// withDefaults returns the options with defaults for those that are not set.
func (o Options) withDefaults() Options {
	if o.Protocol == nil {
		o.Protocol = ChatProtocol{}
	}
	if o.Audit == 0 {
		o.Audit = defaultAudit
	}
	if o.BodyMemory == 0 {
		o.BodyMemory = defaultBodyMemory
	}
	if o.OldWeightsLimit == 0 {
		o.OldWeightsLimit = defaultOldWeightsLimit
	}
	if o.AgentWatchWait == 0 {
		o.AgentWatchWait = defaultAgentWatchWait
	}
	if o.KeepAlive == 0 {
		o.KeepAlive = defaultKeepAlive
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return o
}
