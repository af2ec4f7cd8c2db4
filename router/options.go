package router

import (
	"time"

	"github.com/rs/zerolog"

	"asterridge/rpc"
)

// What options have where they are not set.
const (
	defaultAudit          = 4096
	defaultAgentWatchWait = 100 * time.Millisecond
	defaultKeepAlive      = 5 * time.Second
)

// Options of a router.
type Options struct {
	// Name is unique in the fleet.
	Name  string
	Zone  string
	Fleet string
	// Agent is the agent's address on loopback, Admin the one where the agent reaches this router's queries.
	Agent string
	Admin string
	Net   rpc.Network
	Log   zerolog.Logger
	// Seed is of the random choices.
	Seed uint64
	// Protocol is how clients and replicas are spoken to; nil: ChatProtocol.
	Protocol Protocol
	// Filters are policies of one's own; they run after tenant and path are known.
	Filters []Filter
	// Audit is the number of events kept; 0: 4096.
	Audit int
	// PrefixIndexSize is the number of entries of the prefix index; 0: no index, replicas are chosen by load and by the prompt's beginning.
	PrefixIndexSize int
	// BodyMemory bounds the bytes of clients' bodies that are held at a time; 0: 256 MiB.
	BodyMemory int64
	// OldWeightsLimit is how long work may begin on old weights after the new ones were learned; 0: 12 s (docs/design.md §6.2).
	OldWeightsLimit time.Duration
	// RetrySlack is how many retries all routers together may send beyond RetryRatio; 0: five each (docs/design.md §5.4).
	RetrySlack float64
	// RetryRatio is the part of first attempts that retries may be; 0: not told.
	RetryRatio float64
	// AgentWatchWait is how long the agent may hold a watch request open; 0: 100 ms.
	AgentWatchWait time.Duration
	// KeepAlive is how long an idle connection to a replica is kept; 0: 5 s.
	KeepAlive time.Duration
	// Clock is the wall clock, for audit events and for dates of replicas that send none; nil: the machine's.
	Clock func() time.Time
}

// withDefaults gives the options with the usual value of each that is not set.
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
