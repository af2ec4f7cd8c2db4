package router

import (
	"maps"
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
	// report is the last report, occupancy the last load received in a response.
	report    atomic.Pointer[report]
	occupancy atomic.Pointer[Occupancy]
	// modelVersions has the highest version of each model that the replica is known to have had. The map is never modified, only replaced.
	modelVersions atomic.Pointer[map[string]uint64]
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

// observeModelVersion records that the replica has a version of a model. Each model has versions of its own.
func (l *load) observeModelVersion(model string, version uint64) {
	for {
		known := l.modelVersions.Load()
		if version <= l.modelVersion(model) {
			return
		}
		next := map[string]uint64{}
		if known != nil {
			maps.Copy(next, *known)
		}
		next[model] = version
		if l.modelVersions.CompareAndSwap(known, &next) {
			return
		}
	}
}

// modelVersion returns the highest version of a model that the replica is known to have had; 0 if none is known.
func (l *load) modelVersion(model string) uint64 {
	if known := l.modelVersions.Load(); known != nil {
		return (*known)[model]
	}
	return 0
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
