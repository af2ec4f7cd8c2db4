// Package inflight is the table of the requests that all proxies have in flight at the replicas. A proxy sees its own requests only, and a
// replica's queue is made by all of them; a proxy therefore asks the table before it places a request (docs/policy.md).
//
// The table is a hint in memory. It is spread over the cores: each keeps the replicas that rendezvous hashing assigns to it. A message bears
// all that its proxy has in flight there, so that a lost message is made good by the next one and a restarted core by the next of each proxy.
package inflight

import (
	"sync"
	"time"
)

// retention is how long a proxy's loads count without a message of it. A proxy with requests in flight sends one each RefreshInterval.
const retention = 3 * RefreshInterval

// RefreshInterval is the longest time between two messages of a proxy that has requests in flight.
const RefreshInterval = time.Second

// Load is what a proxy has in flight at one replica.
type Load struct {
	// Running are the requests that have been sent there and whose answers have not ended.
	Running int `json:"running"`
	// PrefillMs is the estimated time in milliseconds of the prefills that have not ended.
	PrefillMs int64 `json:"prefill_ms,omitempty"`
}

// Candidate is a replica at which a request may be placed.
type Candidate struct {
	Replica string `json:"replica"`
	// CostMs is what the request costs there for the proxy that asks, its own requests included; WorkMs is the part of it that the request
	// adds to the replica's prefills. Both are in milliseconds.
	CostMs int64 `json:"cost_ms"`
	WorkMs int64 `json:"work_ms"`
	// Slots is how many requests the replica runs at a time.
	Slots int `json:"slots"`
}

// Request tells all that a proxy has in flight at the replicas of one core, and asks for the best of some candidates.
type Request struct {
	// Proxy and Run name the process, Number rises with each of its messages to one core.
	Proxy  string `json:"proxy"`
	Run    string `json:"run"`
	Number uint64 `json:"number"`
	// Loads are by replica.
	Loads map[string]Load `json:"loads,omitempty"`
	// Candidates may be empty: the loads are told only.
	Candidates []Candidate `json:"candidates,omitempty"`
	// Shared are the blocks that the request's prompt may share with others: the cores are to tell all proxies where they are cached.
	Shared []string `json:"shared,omitempty"`
}

// Response names the candidate with the least cost; empty if there was none.
type Response struct {
	Replica string `json:"replica,omitempty"`
}

// Table has the newest loads of each proxy. The zero value is ready to use.
type Table struct {
	mu      sync.Mutex
	proxies map[string]*proxyLoads
}

// proxyLoads are the loads that one run of a proxy has told.
type proxyLoads struct {
	run        string
	number     uint64
	receivedAt time.Time
	replica    map[string]Load
}

// Assign takes a proxy's loads and gives the best candidate, at which the request counts from then on.
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

// update replaces a proxy's loads, unless a later message of the same run came before; t.mu is held.
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

// total sums a replica's loads over the proxies that were heard of late, and forgets the others; t.mu is held.
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
