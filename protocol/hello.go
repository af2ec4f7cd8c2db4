package protocol

import (
	"asterridge/config"
	"asterridge/membership"
)

// Hello is the message by which processes introduce themselves before they know the members (docs/design.md §2.6). The answer to a hello is
// a hello. From a core that is no member it is also the request to be admitted.
type Hello struct {
	Name    string `json:"name"`
	Role    string `json:"role"` // "core" or "agent"; empty from one that only asks
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Incarnation identifies a core's disk: an emptied disk is a new incarnation, at whatever address.
	Incarnation string `json:"incarnation"`
	// BootstrapContacts are the cores that this one has met before the fleet was founded: incarnation by address.
	BootstrapContacts map[string]string `json:"met,omitempty"`
	// MayBootstrap is true if the core's disk dates from the fleet's first start.
	MayBootstrap bool            `json:"may_found,omitempty"`
	Members      []config.Member `json:"members,omitempty"`
	// MembersRecord is the newest committed content of the members' register; nil if the core knows none.
	MembersRecord *membership.Record `json:"list,omitempty"`
	// CaughtUp is true if the core has all that a majority had committed at its last tick. Only then may it be admitted.
	CaughtUp bool `json:"image,omitempty"`
}
