// Package register keeps the control state: a set of registers, each with a key, replicated on a majority of the members' disks. There is no
// common log; each register is agreed on by itself, as in Paxos with a stable proposer (docs/design.md §2).
//
// An Acceptor is what one disk has promised and accepted. An Owner changes registers: it first prepares an epoch above all that it has met,
// which a majority promises and answers with what it has accepted; it adopts the highest accepted revision, and from then on has each
// change accepted by a majority under its epoch, without preparing again, until somebody else prepares a higher one. The low bits of an
// epoch are the owner's member ID, so no two owners share an epoch.
//
// Content is a map of fields, and a change is a set of fields (deltas travel and are stored, with a full content now and then). A change is
// committed once a majority has accepted it. One that may or may not have reached a majority is in doubt: it is answered
// apierror.Undecided, never yes and never no, and is settled one way or the other before the next change.
package register

import (
	"encoding/json"
	"maps"
)

// Revision orders the changes of one register. Equal revisions mean equal content: one epoch has one owner, and its versions only rise.
type Revision struct {
	Epoch   uint64 `json:"epoch"`
	Version uint64 `json:"version"`
}

// Less compares the epoch first, then the version.
func (r Revision) Less(other Revision) bool {
	return r.Epoch < other.Epoch || r.Epoch == other.Epoch && r.Version < other.Version
}

// compare is Less for sorting.
func compare(a, b Revision) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}

// Fields are a register's content. In a change a null field deletes.
type Fields map[string]json.RawMessage

// IsDeleted reports whether a change's value deletes its field.
func IsDeleted(value json.RawMessage) bool { return len(value) == 0 || string(value) == "null" }

// Apply lays a change over the fields, in place.
func (f Fields) Apply(change Fields) {
	for name, value := range change {
		if IsDeleted(value) {
			delete(f, name)
		} else {
			f[name] = value
		}
	}
}

// fieldOverhead is the size that each field counts for beside its name and value.
const fieldOverhead = 8

// Size is the size in bytes that the fields count for.
func (f Fields) Size() (size int) {
	for name, value := range f {
		size += len(name) + len(value) + fieldOverhead
	}
	return size
}

// Clone copies the map, not the values, which are never altered.
func (f Fields) Clone() Fields {
	if f == nil {
		return Fields{}
	}
	return maps.Clone(f)
}

// Change is one accept asked of an acceptor. Its JSON is also what a version's file holds.
type Change struct {
	Key string `json:"key"`
	// Base is the revision that Fields are a delta to, Next the one that they make.
	Base Revision `json:"base"`
	Next Revision `json:"next"`
	// Full: Fields are the whole content, whatever the base.
	Full   bool   `json:"whole,omitempty"`
	Fields Fields `json:"fields"`
	// Committed is the newest revision that the owner knew to be committed.
	Committed Revision `json:"settled"`
}

// Record is an acceptor's state of one register.
type Record struct {
	// Promised is the highest epoch promised: nothing is accepted under a lower one.
	Promised uint64 `json:"promised"`
	// Revision is the accepted revision, Fields its content.
	Revision Revision `json:"stamp"`
	// Committed is the newest revision that is known to be on a majority; Revision may be above it.
	Committed Revision `json:"settled"`
	Fields    Fields   `json:"fields,omitempty"`
}

// IsCommitted reports whether the accepted content is known to be on a majority.
func (r Record) IsCommitted() bool { return IsCommitted(r.Revision, r.Committed) }

// IsCommitted reports whether a revision is known to be on a majority from the newest that is known to be. A revision that is committed under
// an earlier epoch with the same version commits it too: whoever wrote under the later epoch had adopted that version, and wrote it again
// unchanged. One that is committed under a later epoch says nothing of content that lost to it.
func IsCommitted(revision, committed Revision) bool {
	return revision == Revision{} || committed.Epoch <= revision.Epoch && committed.Version >= revision.Version
}
