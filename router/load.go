package router

import (
	"encoding/json"
	"sync/atomic"
	"time"
)

type load struct {
	bad         atomic.Int64 // refusals of everyone and failures in a row
	coolUntil   atomic.Pointer[time.Time]
	running     atomic.Int64 // sent by this proxy and not ended
	sent        atomic.Int64 // by this proxy since the report
	report      atomic.Pointer[report]
	pending     atomic.Int64  // of prompts sent by this proxy, what the replica has to read before their first pieces
	rateBits    atomic.Uint64 // learned: units of prompt read per ms
	seen        atomic.Pointer[Occupancy]
	seenVersion atomic.Uint64
}

// Occupancy is what a replica tells of its load: in an answer, or to the core that asks it for all.
type Occupancy struct {
	Running, Waiting, Slots int
	Free                    int // units of prompts that fit beside what runs; 0: not told
	at                      time.Time
}

// Taken is the part of it that is told to all, as one field.
func (o Occupancy) Taken() json.RawMessage {
	raw, _ := json.Marshal([]int{o.Running, o.Waiting, o.Free}) // whole numbers always encode
	return raw
}

func newLoad() *load {
	l := &load{}
	l.coolUntil.Store(&time.Time{})
	return l
}

// Report is what a replica says of itself; Number rises with each within a run.
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

type report struct {
	Report
	at time.Time
}
