package protocol

import (
	"encoding/json"
	"sort"

	"asterridge/config"
	"asterridge/register"
)

// MembersRecord is a committed content of the members' register. A core keeps the newest one beside a later change that is not committed
// yet, in memory and on its disk, and hands it on: a member that lags may know of no list that names it, and the others cannot commit the
// change without it (docs/control.md §3).
type MembersRecord struct {
	Revision register.Revision `json:"stamp"`
	Fields   register.Fields   `json:"fields"`
}

// Fields of the members' register that are not members. Members' names cannot begin with a tilde.
const (
	// PreviousMembersField holds the list before, from a change of members until every key is on a majority of the new list.
	PreviousMembersField = "~carry"
	// HighestIDField holds the highest ID that any member ever had. IDs are never given again.
	HighestIDField = "~next"
)

// ReadMembers decodes the members' register: the members in the order of their IDs, the list before while keys are still transferred from
// it, and the highest ID ever given.
func ReadMembers(fields register.Fields) (members, previous []config.Member, highestID uint32) {
	for name, raw := range fields {
		var m config.Member
		switch {
		case name == PreviousMembersField:
			_ = json.Unmarshal(raw, &previous) // a field that cannot be read counts as none: the members are then all there is
		case name == HighestIDField:
			_ = json.Unmarshal(raw, &highestID) // the members' own IDs count below in any case
		case json.Unmarshal(raw, &m) == nil:
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	for _, m := range members {
		highestID = max(highestID, m.ID)
	}
	return members, previous, highestID
}
