package router

import (
	"sync/atomic"
	"time"
)

// load is what this router knows of a replica's load; it is carried over from view to view.
type load struct {
	// bad counts consecutive failures and rejections of requests of all tenants; the replica is ejected until coolUntil.
	bad       atomic.Int64
	coolUntil atomic.Pointer[time.Time]
	// running counts this router's requests in flight, sent those sent since the last report.
	running atomic.Int64
	sent    atomic.Int64
	// pending is the uncached size of this router's requests whose first chunks are outstanding, in the prompts' units.
	pending atomic.Int64
	// rateBits is the observed prefill rate, a float64 in units per millisecond; zero: not observed yet.
	rateBits atomic.Uint64
	// report is the last report, occupancy the last load received in a response, seenVersion the highest model version
	// received in one.
	report      atomic.Pointer[report]
	occupancy   atomic.Pointer[Occupancy]
	seenVersion atomic.Uint64
}

// Occupancy is a replica's load as it reports it in a response.
type Occupancy struct {
	Running, Waiting, Slots int
	at                      time.Time
}

// newLoad returns a load of which nothing is known.
func newLoad() *load {
	l := &load{}
	l.coolUntil.Store(&time.Time{})
	return l
}

// Report is a replica's report on itself. Number increases with each report of a run of the process.
type Report struct {
	Run     string  `json:"run"`
	Number  uint64  `json:"number"`
	Weights string  `json:"weights"`
	Running int     `json:"running"`
	Warm    bool    `json:"warm"`
	Rate    float64 `json:"rate"` // bytes of uncached prompt prefilled per ms
	// Fetch has, by source, the bytes of prompt that this replica has fetched per ms; a source that it has not tried is absent.
	Fetch map[string]float64 `json:"fetch,omitempty"`
	AdapterReport
}

// report is a replica's last report and the time at which it was received.
type report struct {
	Report
	at time.Time
}
