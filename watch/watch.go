// Package watch carries state from one process to others: a Server publishes keys with fields, each Client keeps a copy.
//
// Every change gets an offset of the server, and the server keeps for each field only the newest one. A client asks, again and again, what has
// changed after its offset; the request is held open for a while if nothing has. So each request acknowledges all up to its offset, changes
// that pile up for a slow client merge by themselves, and one response is one consistent cut of the server's state. A client from another run
// of the server, or one that is behind deleted fields which the server no longer remembers, gets a snapshot.
//
// Keys are registers, with the revision that was accepted and the one that is known to be committed, or hints without a revision, which
// bear the age of each field instead (docs/design.md §3.1).
//
// A response shows the server as it was after the request was sent. A copy is therefore as fresh as the time when the last answered request
// was sent, on the client's own clock; neither clocks of other machines nor a freeze of any part can make it look fresher.
package watch

import (
	"encoding/json"

	"asterridge/register"
)

// Request asks for what has changed after an offset.
type Request struct {
	// Name and Role are the client's; a server keeps one state for each name.
	Name string `json:"name"`
	Role string `json:"role"`
	// RunID and After are those of the client's last response; it has everything of that run up to After.
	RunID string `json:"run"`
	After uint64 `json:"from"`
	// WaitMs is how long the request may be held open while there is no change.
	WaitMs int64 `json:"wait_ms"`
	// Applied are the revisions that the client acts on, by key.
	Applied map[string]register.Revision `json:"applied,omitempty"`
	// Status is what the client reports of itself; its form depends on Role.
	Status json.RawMessage `json:"status,omitempty"`
}

// Response is a consistent cut of a server's state, or of what has changed in it.
type Response struct {
	RunID string `json:"run"`
	// Incarnation identifies whose state this is; empty if the server's answers do not count for now.
	Incarnation string `json:"who,omitempty"`
	// Offset is that of the newest change in the cut.
	Offset uint64 `json:"number"`
	// Snapshot: Updates are the whole state, and what the client had is void.
	Snapshot bool        `json:"image,omitempty"`
	Updates  []KeyUpdate `json:"entries,omitempty"`
	// ValidForMs is how much longer the server vouches for its state, from the time when the request was sent; zero if it does not say.
	ValidForMs int64 `json:"remaining_ms,omitempty"`
}

// KeyUpdate is what has changed of a key. A null field was deleted.
type KeyUpdate struct {
	Key       string            `json:"key"`
	Revision  register.Revision `json:"stamp"`
	Committed register.Revision `json:"settled"`
	Fields    register.Fields   `json:"fields,omitempty"`
	// AgesMs is how long ago each field was published, if the key has no revision.
	AgesMs map[string]int64 `json:"ages_ms,omitempty"`
}
