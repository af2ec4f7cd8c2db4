// Package deployment derives the options of agents, proxies and cores from the limits that a deployment guarantees to its users. Sizes and
// times are derived from these limits only, never from a deployment's name.
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

// Bounds are the limits that a deployment guarantees to its users (docs/design.md §3.2, §6.2). A zero value means no guarantee.
type Bounds struct {
	// RevocationClosed is true if a revoked access key must be rejected everywhere within KeyRevocation, even by a proxy that cannot reach
	// the cores.
	RevocationClosed bool
	KeyRevocation    time.Duration
	// ConfigApply is the time within which an accepted configuration takes effect.
	ConfigApply time.Duration
	// ModelVersion is the time after the publication of a model version from which no request starts on an older one.
	ModelVersion time.Duration
	// Lease is the minimum time between the orders of two successive holders of a singleton role.
	Lease time.Duration
	// Drain is the time after which a draining replica gets no more requests.
	Drain time.Duration
	// Grace is the time from the stop signal to the end of the process.
	Grace time.Duration
	// RetryRatio and RetrySlack limit the fleet's retries to RetryRatio times the first attempts plus RetrySlack.
	RetryRatio float64
	RetrySlack float64
	// GossipInterval is the time between two heartbeats.
	GossipInterval time.Duration
	// MemoryMB is the memory of one process.
	MemoryMB int
	// Tolerance is the set of simultaneous failures that the deployment survives.
	Tolerance membership.Tolerance
}

const (
	// staleMargin is subtracted from KeyRevocation to leave time for the last check, the sending of a request, and its start on the replica.
	staleMargin = time.Second
	// maxStale limits staleness in every case; it is the only limit if RevocationClosed is false.
	maxStale = 10 * time.Second
	// modelVersionMargin is subtracted from ModelVersion to leave time for the update to arrive and for the request to reach the replica.
	modelVersionMargin = time.Second
	// watchWait is how long watch requests of agents and proxies are held open; coreWatchWait is the same for those between cores.
	watchWait     = 700 * time.Millisecond
	coreWatchWait = 200 * time.Millisecond
	// A proxy aborts its remaining requests when 1/proxyStopDivisor of the grace period is left, and an agent stops waiting for its proxy when
	// 1/agentStopDivisor is left. Requests may not be aborted before the last sixth of the grace period (docs/platform.md, LOST).
	proxyStopDivisor = 8
	agentStopDivisor = 10
	// Requests in progress get 1/agentCloseDivisor (agent) or 1/coreCloseDivisor (core) of the grace period when the process closes its
	// listeners, but at most daemon.CloseTimeout.
	agentCloseDivisor = 20
	coreCloseDivisor  = 4
	// readinessLinger is long enough for two of the platform's readiness checks.
	readinessLinger = 2200 * time.Millisecond
	// claimRetention is how long the idempotency keys of clients are kept.
	claimRetention = time.Hour
	// bodyMemoryShare is the divisor for the part of a proxy's memory that may hold request bodies: a quarter.
	bodyMemoryShare = 4
	// pendingMemoryDivisor is the divisor for the part of a core's memory for changes that wait for one member's response: a sixteenth.
	pendingMemoryDivisor = 16
	// indexEntriesPerMB is the number of prefix index entries per megabyte of memory.
	indexEntriesPerMB = 100
)

// maxStaleness is how long a proxy may serve requests without news from a majority of the cores (used for both T and U).
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

// Agent returns an agent's options.
func (b Bounds) Agent() agent.Options {
	return agent.Options{
		FreshLimit:     b.maxStaleness(),
		UndecidedLimit: b.maxStaleness(),
		WatchWait:      watchWait,
		Grace:          b.Grace - b.Grace/agentStopDivisor,
		CloseTimeout:   min(daemon.CloseTimeout, b.Grace/agentCloseDivisor),
	}
}

// Proxy returns a proxy's options.
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

// Core returns a core's options.
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
