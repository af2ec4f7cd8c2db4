package daemon

import (
	"encoding/json"
	"sort"

	"asterridge/config"
	"asterridge/register"
)

// MembersRecord is a settled content of the members' register. A core keeps it beside a newer change that is not settled yet, in memory and
// on its disk, and hands it on: a member that lags may know of no list that names it, and the others cannot settle the change without it.
type MembersRecord struct {
	Revision register.Revision `json:"stamp"`
	Fields   register.Fields   `json:"fields"`
}

const previousMembersField = "~carry" // the list before, until every key is on a majority of the new one

const highestIDField = "~next" // the highest number that a member ever had

// ReadMembers takes apart the members' register.
func ReadMembers(fields register.Fields) (members, prior []config.Member, highest uint32) {
	for name, raw := range fields {
		var m config.Member
		switch {
		case name == previousMembersField:
			_ = json.Unmarshal(raw, &prior) // a broken one is as none: the members are then all there is
		case name == highestIDField:
			_ = json.Unmarshal(raw, &highest)
		case json.Unmarshal(raw, &m) == nil:
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	for _, m := range members {
		highest = max(highest, m.ID)
	}
	return members, prior, highest
}
