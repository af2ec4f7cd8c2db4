// Package watch replicates state from one process to others by long polling: a Server publishes keys with fields, and each Client maintains
// a copy.
//
// The server assigns an offset to every change and keeps only the newest change of each field. A client repeatedly requests the changes
// after its offset; if there are none, the server holds the request open for a while. Each request thus acknowledges all changes up to its
// offset, changes that accumulate for a slow client are merged, and each response is a consistent cut of the server's state. A client gets
// a snapshot if its offset is from another run of the server, or older than a tombstone that the server has dropped.
//
// A key is either a register, with its accepted and its committed revision, or a hint, which has no revision but the age of each field
// (docs/design.md §3.1).
//
// A response shows the server's state at some time after the request was sent. A copy is therefore at least as fresh as the send time of
// the last answered request, by the client's own clock; neither other machines' clocks nor a frozen process can make it look fresher.
package watch

import (
	"encoding/json"

	"asterridge/register"
)

// Request asks for the changes after an offset.
type Request struct {
	// Name and Role identify the client; a server keeps one ClientState for each name.
	Name string `json:"name"`
	Role string `json:"role"`
	// RunID and After are the run and the offset of the client's last response; the client has all changes of that run up to After.
	RunID string `json:"run"`
	After uint64 `json:"from"`
	// WaitMs is how long the request may be held open while there is no change.
	WaitMs int64 `json:"wait_ms"`
	// Applied holds the revisions that the client acts on, by key.
	Applied map[string]register.Revision `json:"applied,omitempty"`
	// Status is the client's own status; its format depends on Role.
	Status json.RawMessage `json:"status,omitempty"`
}

// Response is a consistent cut of a server's state (a snapshot) or of its changes after an offset.
type Response struct {
	RunID string `json:"run"`
	// Incarnation identifies the server's incarnation; empty if the response must not count as fresh.
	Incarnation string `json:"who,omitempty"`
	// Offset is the server's offset when the response was made.
	Offset uint64 `json:"number"`
	// Snapshot is set if Updates is the complete state, which replaces the client's copy.
	Snapshot bool        `json:"image,omitempty"`
	Updates  []KeyUpdate `json:"entries,omitempty"`
	// ValidForMs is for how long clients may act on the state, counted from when the request was sent; zero if the server sets no time.
	ValidForMs int64 `json:"remaining_ms,omitempty"`
}

// KeyUpdate is the change of one key. A null field was deleted.
type KeyUpdate struct {
	Key       string            `json:"key"`
	Revision  register.Revision `json:"stamp"`
	Committed register.Revision `json:"settled"`
	Fields    register.Fields   `json:"fields,omitempty"`
	// AgesMs is the time since each field was published, for keys without a revision.
	AgesMs map[string]int64 `json:"ages_ms,omitempty"`
}
