// Package register stores the control state as a set of registers, each identified by a key and replicated on the disks of the members.
// There is no common log: consensus is reached for each register separately, as in Paxos with a stable proposer (docs/design.md §2).
//
// An Acceptor holds what one disk has promised and accepted. An Owner changes registers. It first prepares an epoch higher than all that it
// has seen. A majority of acceptors promises the epoch and returns what it has accepted, and the owner adopts the highest accepted revision.
// From then on it has each change accepted by a majority under this epoch, without preparing again, until another owner prepares a higher
// one. The low bits of an epoch are the owner's member ID, so no two owners share an epoch.
//
// The content of a register is a map of fields, and a change is a set of fields. Changes are sent and stored as deltas, and from time to
// time as the full content. A change is committed once a majority has accepted it. A change that may or may not have reached a majority is
// in doubt: the caller gets apierror.Undecided, neither a success nor a rejection, and the owner resolves it before the next change.
package register

import (
	"encoding/json"
	"maps"
)

// Revision orders the changes of one register. Equal revisions mean equal content: an epoch has one owner, which only increases the version.
type Revision struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
}

// Less reports whether r is older than other. The epoch is compared first, then the version.
func (r Revision) Less(other Revision) bool {
	return r.Epoch < other.Epoch || r.Epoch == other.Epoch && r.Version < other.Version
}

// compare is the three-way comparison of revisions that sorting needs.
func compare(a, b Revision) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}

// Fields are the content of a register, or of a change to it. In a change, a null value deletes the field.
type Fields map[string]json.RawMessage

// IsDeleted reports whether a value in a change deletes its field.
func IsDeleted(value json.RawMessage) bool { return len(value) == 0 || string(value) == "null" }

// Apply applies a change to the fields in place.
func (f Fields) Apply(change Fields) {
	for name, value := range change {
		if IsDeleted(value) {
			delete(f, name)
		} else {
			f[name] = value
		}
	}
}

// fieldOverhead is the number of bytes that Size adds for each field beside its name and value.
const fieldOverhead = 8

// Size returns the approximate size of the fields in bytes.
func (f Fields) Size() (size int) {
	for name, value := range f {
		size += len(name) + len(value) + fieldOverhead
	}
	return size
}

// Clone copies the map. The values are shared, because they are never modified. The result is never nil.
func (f Fields) Clone() Fields {
	if f == nil {
		return Fields{}
	}
	return maps.Clone(f)
}

// Change is the content of one accept request. Its JSON encoding is also the content of a version file.
type Change struct {
	Key string `json:"key"`
	// Base is the revision that Fields are a delta to. Next is the revision after the change.
	Base Revision `json:"base"`
	Next Revision `json:"next"`
	// Full means that Fields are the full content, regardless of Base.
	Full   bool   `json:"whole,omitempty"`
	Fields Fields `json:"fields"`
	// Committed is the newest revision that the owner knew to be committed when it sent the change.
	Committed Revision `json:"settled"`
}

// Record is the state of one register at an acceptor.
type Record struct {
	// Promised is the highest promised epoch. Nothing is accepted under a lower one.
	Promised uint64 `json:"promised"`
	// Revision is the accepted revision, and Fields is its content.
	Revision Revision `json:"stamp"`
	// Committed is the newest revision known to be on a majority. Revision may be newer.
	Committed Revision `json:"settled"`
	Fields    Fields   `json:"fields,omitempty"`
}

// IsCommitted reports whether the accepted content is known to be on a majority.
func (r Record) IsCommitted() bool { return IsCommitted(r.Revision, r.Committed) }

// IsCommitted reports whether a revision is on a majority, given the newest revision known to be committed. A version committed under an
// earlier epoch also commits the same version under a later epoch: the later owner adopted that version and wrote it again unchanged. A
// revision committed under a later epoch proves nothing about an earlier one, which may have lost to it.
func IsCommitted(revision, committed Revision) bool {
	return revision == Revision{} || committed.Epoch <= revision.Epoch && committed.Version >= revision.Version
}
