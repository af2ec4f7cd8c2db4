package protocol

import "time"

// The time limits that cores and agents must agree on (derived in docs/design.md §3.2).
const (
	// FreshLimit is T: the greatest age of a majority's responses at which an agent is current, unless the deployment sets its own limit.
	FreshLimit = 1200 * time.Millisecond
	// UndecidedLimit is U: how long an agent stays current while it knows of a version that is in doubt.
	UndecidedLimit = 500 * time.Millisecond
	// ProxyTimeout is how long after its agent's last request a proxy still counts as running.
	ProxyTimeout = 3 * time.Second
	// QuorumTimeout is how long an owner waits for the responses of a majority.
	QuorumTimeout = 1500 * time.Millisecond
	// OperationTimeout limits an operation that is sent to a core: that core may forward it to the owner, which waits for a majority.
	OperationTimeout = 2 * QuorumTimeout
	// DefaultWatchWait is how long a watch request is held open when there is no update.
	DefaultWatchWait = 100 * time.Millisecond
	// HelloInterval is the time between two attempts to find the members.
	HelloInterval = 200 * time.Millisecond
	// HelloTimeout limits one hello, so that a core that does not respond cannot delay the sender for longer.
	HelloTimeout = time.Second
	// SearchSample is how many nodes known through gossip are asked for the members in one search, besides the seeds.
	SearchSample = 8
	// SearchInterval is the time between two searches for a newer list of members by a process that hears no majority of those it knows.
	SearchInterval = time.Second
	// CacheReaderInterval is how often the cores determine which of them reads which replica's cache updates.
	CacheReaderInterval = 500 * time.Millisecond
)
