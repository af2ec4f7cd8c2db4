package membership

import (
	"encoding/json"
	"slices"
	"sort"

	"asterridge/config"
	"asterridge/register"
)

// Record is a committed content of the members' register. A core keeps the newest one beside a later change that is not committed yet, in
// memory and on its disk, and hands it on: a member that lags may know of no list that names it, and the others cannot commit the change
// without it (docs/control.md §3).
type Record struct {
	Revision register.Revision `json:"stamp"`
	Fields   register.Fields   `json:"fields"`
}

// Fields of the members' register that are not members. Names of members cannot begin with a tilde.
const (
	// PreviousField holds the list before, from a change until every key is on a majority of the new list.
	PreviousField = "~carry"
	// HighestIDField holds the highest ID that any member ever had. IDs are never given again.
	HighestIDField = "~next"
)

// List is the decoded content of the members' register.
type List struct {
	// Members are in the order of their IDs.
	Members []config.Member
	// Previous is the list before, while keys are still transferred from it; else nil.
	Previous []config.Member
	// HighestID is the highest ID that any member ever had.
	HighestID uint32
	// Unreadable names a field besides the members that cannot be read; empty if all can. Such a list is not changed.
	Unreadable string
}

// Decode reads the fields of the members' register. A field that cannot be read counts as absent.
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

// HasIncarnation reports whether one of the members is this incarnation of a disk.
func HasIncarnation(members []config.Member, incarnation string) bool {
	return slices.ContainsFunc(members, func(m config.Member) bool { return m.Incarnation == incarnation })
}

// without gives the members but the one of that name.
func without(members []config.Member, name string) []config.Member {
	return slices.DeleteFunc(slices.Clone(members), func(m config.Member) bool { return m.Name == name })
}
