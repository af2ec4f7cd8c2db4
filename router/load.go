package router

import (
	"sync/atomic"
	"time"
)

// load is what this router knows of a replica's load; it lives on from view to view.
type load struct {
	// bad counts failures and rejections of everyone in a row; the replica is left alone until coolUntil.
	bad       atomic.Int64
	coolUntil atomic.Pointer[time.Time]
	// running are the requests that this router has sent and that have not ended, sent those since the last report.
	running atomic.Int64
	sent    atomic.Int64
	// pending is what the replica has to prefill of this router's requests before their first chunks, in the prompts' units.
	pending atomic.Int64
	// rateBits is the observed prefill rate, a float64 in units per millisecond; zero: not observed.
	rateBits atomic.Uint64
	// report is the last report, seen the last load that an answer told, seenVersion the highest model version that one told.
	report      atomic.Pointer[report]
	seen        atomic.Pointer[Occupancy]
	seenVersion atomic.Uint64
}

// Occupancy is what a replica tells of its load in an answer.
type Occupancy struct {
	Running, Waiting, Slots int
	at                      time.Time
}

// newLoad makes a load of which nothing is known.
func newLoad() *load {
	l := &load{}
	l.coolUntil.Store(&time.Time{})
	return l
}

// Report is what a replica reports of itself. Number rises with each report of a run.
type Report struct {
	Run     string  `json:"run"`
	Number  uint64  `json:"number"`
	Weights string  `json:"weights"`
	Running int     `json:"running"`
	Warm    bool    `json:"warm"`
	Rate    float64 `json:"rate"` // bytes of prompt read anew per ms
	// Fetch has, by source, the bytes of prompt that this replica has got per ms; a source that it has not tried is not there.
	Fetch map[string]float64 `json:"fetch,omitempty"`
	AdapterReport
}

// report is a replica's last report, and when it came.
type report struct {
	Report
	at time.Time
}
