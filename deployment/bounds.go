// Package deployment derives the options of the fleet's programs from what a deployment promises to its users. Sizes and times come from here,
// never from a deployment's name.
package deployment

import (
	"time"

	"asterridge/agent"
	"asterridge/controlplane"
	"asterridge/daemon"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/proxy"
)

// Bounds are what a deployment promises to its users (docs/design.md §3.2, §6.2). A zero bound is one that it does not give.
type Bounds struct {
	// RevocationClosed: a revoked access key is refused everywhere within KeyRevocation, also by a proxy that is cut off.
	RevocationClosed bool
	KeyRevocation    time.Duration
	// ConfigApply is the time within which an accepted configuration is used.
	ConfigApply time.Duration
	// ModelVersion is the time after which no request begins on a version before the published one.
	ModelVersion time.Duration
	// Lease is the least time between the orders of two holders of a singleton role.
	Lease time.Duration
	// Drain is the time after which a draining replica gets no more work.
	Drain time.Duration
	// Grace is the time from the signal to stop to the end of the process.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the second attempts of the fleet: that part of the first ones, and so many beyond it.
	RetryRatio float64
	RetrySlack float64
	// GossipInterval is the time between two heartbeats.
	GossipInterval time.Duration
	// MemoryMB is the memory of one process.
	MemoryMB int
	// Tolerance is what may be lost at once.
	Tolerance membership.Tolerance
}

const (
	// staleMargin is taken off the bound on revoked keys: for the last look, the send, and the replica's own start.
	staleMargin = time.Second
	// maxStale bounds staleness where revocation is open.
	maxStale = 10 * time.Second
	// modelVersionMargin is taken off the bound on old versions: for the update to arrive, and the way to the replica.
	modelVersionMargin = time.Second
	// watchWait is how long watch requests of agents and proxies are held open, coreWatchWait those between cores.
	watchWait     = 700 * time.Millisecond
	coreWatchWait = 200 * time.Millisecond
	// The grace by proxyStopDivisor is left when a proxy cuts its last requests, by agentStopDivisor when an agent no longer waits for its
	// proxy. The users' rule allows no cut before the last sixth (docs/platform.md, LOST).
	proxyStopDivisor = 8
	agentStopDivisor = 10
	// The grace by agentCloseDivisor and by coreCloseDivisor is what running answers may take when the process closes its listeners, up to
	// daemon.CloseTimeout.
	agentCloseDivisor = 20
	coreCloseDivisor  = 4
	// readinessLinger covers two of the platform's checks of readiness.
	readinessLinger = 2200 * time.Millisecond
	// claimRetention is how long clients' idempotency keys are remembered.
	claimRetention = time.Hour
	// bodyMemoryShare is the part of the memory that holds clients' bodies: a quarter.
	bodyMemoryShare = 4
	// pendingMemoryDivisor gives the part of a core's memory that holds the changes which wait for one member's answer: a sixteenth.
	pendingMemoryDivisor = 16
	// indexEntriesPerMB sizes the prefix index.
	indexEntriesPerMB = 100
)

// maxStaleness is how long a proxy serves by what it knows without hearing a majority of the cores (T and U).
func (b Bounds) maxStaleness() time.Duration {
	if !b.RevocationClosed {
		return maxStale
	}
	return max(protocol.FreshLimit, min(b.KeyRevocation-staleMargin, maxStale))
}

// oldVersionLimit is how long a version of a model may be used after the next one was published.
func (b Bounds) oldVersionLimit() time.Duration {
	return max(b.ModelVersion/2, b.ModelVersion-modelVersionMargin)
}

// Agent gives an agent's options.
func (b Bounds) Agent() agent.Options {
	return agent.Options{
		FreshLimit:     b.maxStaleness(),
		UndecidedLimit: b.maxStaleness(),
		WatchWait:      watchWait,
		Grace:          b.Grace - b.Grace/agentStopDivisor,
		CloseTimeout:   min(daemon.CloseTimeout, b.Grace/agentCloseDivisor),
	}
}

// Proxy gives a proxy's options.
func (b Bounds) Proxy() proxy.Options {
	return proxy.Options{
		Grace:           b.Grace - b.Grace/proxyStopDivisor,
		ReadinessLinger: min(readinessLinger, b.Grace/3),
		OldWeightsLimit: b.oldVersionLimit(),
		RetryRatio:      b.RetryRatio,
		RetrySlack:      b.RetrySlack,
		AgentWatchWait:  watchWait,
		PrefixIndexSize: b.MemoryMB * indexEntriesPerMB,
		BodyMemory:      int64(b.MemoryMB) << 20 / bodyMemoryShare,
	}
}

// Core gives a core's options.
func (b Bounds) Core() controlplane.Options {
	return controlplane.Options{
		ClaimRetention:  claimRetention,
		AutoMembership:  true,
		Lease:           b.Lease,
		OldVersionLimit: b.oldVersionLimit(),
		PendingBytes:    b.MemoryMB << 20 / pendingMemoryDivisor,
		WatchWait:       coreWatchWait,
		Tolerance:       b.Tolerance,
		LeaveTimeout:    min(controlplane.MaxLeaveTimeout, b.Grace/2),
		CloseTimeout:    min(daemon.CloseTimeout, b.Grace/coreCloseDivisor),
	}
}
