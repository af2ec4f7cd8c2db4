package protocol

import "time"

// The times that cores and agents agree on (docs/design.md §3.2 has the arithmetic).
const (
	// FreshLimit is T: how old a majority's answers may be for an agent to be current, where the deployment gives no bound of its own.
	FreshLimit = 1200 * time.Millisecond
	// UndecidedLimit is U: how long an agent stays current beside a version that may or may not be committed.
	UndecidedLimit = 500 * time.Millisecond
	// ProxyTimeout is the age of its agent's last request at which a proxy no longer counts as running.
	ProxyTimeout = 3 * time.Second
	// QuorumTimeout is how long an owner waits for a majority's answers.
	QuorumTimeout = 1500 * time.Millisecond
	// OperationTimeout bounds an operation that is sent to a core: that core may forward it to the owner, which waits for a majority.
	OperationTimeout = 2 * QuorumTimeout
	// DefaultWatchWait is how long a watch request is held open when there is no update.
	DefaultWatchWait = 100 * time.Millisecond
	// HelloInterval is the time between two attempts to find the members.
	HelloInterval = 200 * time.Millisecond
	// HelloTimeout bounds one hello, so that a core that does not answer delays nobody for longer.
	HelloTimeout = time.Second
	// CacheReaderInterval is the time between two looks at which core reads which replica's cache updates.
	CacheReaderInterval = 500 * time.Millisecond
)
