package membership

import (
	"encoding/json"
	"slices"
	"sort"

	"asterridge/config"
	"asterridge/register"
)

// Record is a committed content of the members' register. A core keeps the newest one next to a later change that is not committed yet, in
// memory and on disk, and sends it to others: a member that is behind may not know any list that contains it, and the others cannot commit
// the change without that member (docs/control.md §3).
type Record struct {
	Revision register.Revision `json:"stamp"`
	Fields   register.Fields   `json:"fields"`
}

// Version returns the version of the list; 0 if r is nil.
func (r *Record) Version() uint64 {
	if r == nil {
		return 0
	}
	return r.Revision.Version
}

// Fields of the members' register that are not members. A member's name cannot begin with a tilde.
const (
	// PreviousField holds the previous list from a change until a majority of the new list has every key.
	PreviousField = "~carry"
	// HighestIDField holds the highest ID that was ever assigned. IDs are never reused.
	HighestIDField = "~next"
)

// List is the decoded content of the members' register.
type List struct {
	// Members is sorted by ID.
	Members []config.Member
	// Previous is the previous list while keys are being transferred from it; otherwise nil.
	Previous []config.Member
	// HighestID is the highest ID that was ever assigned.
	HighestID uint32
	// Unreadable names a field other than the members that cannot be decoded; empty if there is none. Such a list must not be changed.
	Unreadable string
}

// Decode decodes the fields of the members' register. A member that cannot be decoded counts as absent.
func Decode(fields register.Fields) (l List) {
	for name, raw := range fields {
		var m config.Member
		switch {
		case name == PreviousField:
			if json.Unmarshal(raw, &l.Previous) != nil {
				l.Unreadable = name
			}
		case name == HighestIDField:
			if json.Unmarshal(raw, &l.HighestID) != nil {
				l.Unreadable = name
			}
		case json.Unmarshal(raw, &m) == nil:
			l.Members = append(l.Members, m)
		}
	}
	sort.Slice(l.Members, func(i, j int) bool { return l.Members[i].ID < l.Members[j].ID })
	for _, m := range l.Members {
		l.HighestID = max(l.HighestID, m.ID)
	}
	return l
}

// HasIncarnation reports whether one of the members has this incarnation.
func HasIncarnation(members []config.Member, incarnation string) bool {
	return slices.ContainsFunc(members, func(m config.Member) bool { return m.Incarnation == incarnation })
}

// without returns the members except the one of that name.
func without(members []config.Member, name string) []config.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m config.Member) bool { return m.Name == name })
}
