// Package inflight has the table of the requests that all proxies have in flight at the replicas. A proxy sees only its own requests, but the
// requests of all proxies queue at a replica. So a proxy asks the table before it places a request (docs/policy.md).
//
// The table is a hint that is kept in memory only. It is divided among the cores: each has the replicas that rendezvous hashing assigns to it.
// A message contains all that its proxy has in flight at those replicas, so the next message makes up for a lost one, and a restarted core has
// its table again after one message from each proxy.
package inflight

import (
	"sync"
	"time"
)

// retention is how long a proxy's loads count after its last message. A proxy with requests in flight sends one every RefreshInterval.
const retention = 3 * RefreshInterval

// RefreshInterval is the longest time between two messages from a proxy that has requests in flight.
const RefreshInterval = time.Second

// Load is what a proxy has in flight at one replica.
type Load struct {
	// Running is the number of requests that were sent there and whose responses have not ended.
	Running int `json:"running"`
	// PrefillMs is the estimated time, in milliseconds, of the prefills that have not ended.
	PrefillMs int64 `json:"prefill_ms,omitempty"`
}

// Candidate is a replica at which a request may be placed.
type Candidate struct {
	Replica string `json:"replica"`
	// CostMs is the cost of the request there as estimated by the asking proxy, including its own requests in flight. WorkMs is the prefill
	// time that the request itself adds, which is part of CostMs. Both are in milliseconds.
	CostMs int64 `json:"cost_ms"`
	WorkMs int64 `json:"work_ms"`
	// Slots is how many requests the replica runs at the same time.
	Slots int `json:"slots"`
}

// Request reports all that a proxy has in flight at the replicas of one core, and asks for the best of some candidates.
type Request struct {
	// Proxy and Run identify the process. Number increases with each of its messages to one core.
	Proxy  string `json:"proxy"`
	Run    string `json:"run"`
	Number uint64 `json:"number"`
	// Loads has the proxy's load by replica.
	Loads map[string]Load `json:"loads,omitempty"`
	// Candidates may be empty: then the message only reports the loads.
	Candidates []Candidate `json:"candidates,omitempty"`
	// Shared has the blocks that the request's prompt may share with others; the cores tell all proxies where they are cached.
	Shared []string `json:"shared,omitempty"`
}

// Response names the candidate with the lowest cost; empty if there were no candidates.
type Response struct {
	Replica string `json:"replica,omitempty"`
}

// Table has the latest loads of each proxy. The zero value is ready to use.
type Table struct {
	mu      sync.Mutex
	proxies map[string]*proxyLoads
}

// proxyLoads has the loads reported by one run of a proxy.
type proxyLoads struct {
	run        string
	number     uint64
	receivedAt time.Time
	replica    map[string]Load
}

// Assign records a proxy's loads and returns the best candidate. The request counts as in flight there from then on.
func (t *Table) Assign(request Request) Response {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	own := t.update(request, now)
	best, least, bestFull := -1, int64(0), false
	for i, candidate := range request.Candidates {
		total := t.total(candidate.Replica, now)
		full := total.Running >= candidate.Slots
		cost := candidate.CostMs + total.PrefillMs - own.replica[candidate.Replica].PrefillMs
		if best < 0 || bestFull && !full || full == bestFull && cost < least {
			best, least, bestFull = i, cost, full
		}
	}
	if best < 0 {
		return Response{}
	}
	chosen := request.Candidates[best]
	load := own.replica[chosen.Replica]
	load.Running++
	load.PrefillMs += chosen.WorkMs
	own.replica[chosen.Replica] = load
	return Response{Replica: chosen.Replica}
}

// update replaces a proxy's loads, unless a later message of the same run was received before. The caller holds t.mu.
func (t *Table) update(request Request, now time.Time) *proxyLoads {
	loads := t.proxies[request.Proxy]
	if loads != nil && loads.run == request.Run && loads.number >= request.Number {
		return loads
	}
	if t.proxies == nil {
		t.proxies = map[string]*proxyLoads{}
	}
	loads = &proxyLoads{run: request.Run, number: request.Number, receivedAt: now, replica: request.Loads}
	if loads.replica == nil {
		loads.replica = map[string]Load{}
	}
	t.proxies[request.Proxy] = loads
	return loads
}

// total returns the sum of a replica's loads over all proxies, and deletes the proxies whose last message is older than retention. The caller
// holds t.mu.
func (t *Table) total(replica string, now time.Time) (sum Load) {
	for name, loads := range t.proxies {
		if now.Sub(loads.receivedAt) > retention {
			delete(t.proxies, name)
			continue
		}
		load := loads.replica[replica]
		sum.Running += load.Running
		sum.PrefillMs += load.PrefillMs
	}
	return sum
}
