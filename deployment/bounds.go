package deployment

import (
	"time"

	"asterridge/agent"
	"asterridge/controlplane"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/proxy"
)

// Bounds are what a deployment promises to its users; the daemons' own limits follow from them (§3.2, §6.2).
type Bounds struct {
	RevocationClosed bool                 // a revoked key is refused everywhere, also by a proxy that is cut off
	KeyRevocation    time.Duration        // within which it is
	ConfigApply      time.Duration        // a configuration is used
	ModelVersion     time.Duration        // no request begins on old weights after it
	Lease            time.Duration        // between the orders of two holders of a duty
	Drain            time.Duration        // a leaving replica gets no more work after it
	Grace            time.Duration        // from the word to stop to the end of the process
	RetryRatio       float64              // of second tries to first ones that the fleet may send; 0: not told
	RetrySlack       float64              // second tries that the fleet may send beyond that
	GossipInterval   time.Duration        // between two beats of the ring
	MemoryMB         int                  // of one process
	Tolerance        membership.Tolerance // what may be lost at once
}

const (
	staleMargin        = time.Second // of the bound on revoked keys: the last look, the send, and the replica's own start
	maxStale           = 10 * time.Second
	modelVersionMargin = time.Second // of the bound on old versions: the word of the new one, and the way to the replica
	watchWait          = 700 * time.Millisecond
	bodyMemoryShare    = 4   // so much of the memory holds callers' bodies
	indexEntriesPerMB  = 100 // entries of the index of kept prompts
)

// maxStaleness is how long a proxy serves by what it knows without a word from a majority of cores (T and U).
func (b Bounds) maxStaleness() time.Duration {
	if !b.RevocationClosed {
		return maxStale
	}
	return max(protocol.FreshLimit, min(b.KeyRevocation-staleMargin, maxStale))
}

// Agent gives the agent's options.
func (b Bounds) Agent() agent.Options {
	return agent.Options{FreshLimit: b.maxStaleness(), UndecidedLimit: b.maxStaleness(), WatchWait: watchWait, Grace: max(0, b.Grace-time.Second)}
}

// Proxy gives the proxy's options.
func (b Bounds) Proxy() proxy.Options {
	return proxy.Options{
		Grace: max(0, b.Grace-2*time.Second), ReadinessLinger: min(readinessLinger, b.Grace/3), OldWeightsLimit: max(b.ModelVersion/2, b.ModelVersion-modelVersionMargin),
		RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack, AgentWatchWait: watchWait, PrefixIndexSize: b.MemoryMB * indexEntriesPerMB, BodyMemory: int64(b.MemoryMB) << 20 / bodyMemoryShare,
	}
}

// readinessLinger covers two of the platform's checks of readiness.
const readinessLinger = 2200 * time.Millisecond

// Core gives the core's options.
func (b Bounds) Core() controlplane.Options {
	return controlplane.Options{
		ClaimRetention: time.Hour, AutoMembership: true, Lease: b.Lease, WatchWait: 200 * time.Millisecond,
		Tolerance: b.Tolerance, LeaveTimeout: min(controlplane.MaxLeaveTimeout, b.Grace/2),
	}
}
