package protocol

import (
	"asterridge/config"
	"asterridge/membership"
)

// Hello is the message by which processes introduce themselves before they know the membership (docs/design.md §2.6). The response is a
// Hello too. From a core that is not a member it is also a request to be admitted.
type Hello struct {
	Name    string `json:"name"`
	Role    string `json:"role"` // "core" or "agent"; empty from a process that only asks for the members
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Incarnation identifies a core's disk: a disk that was emptied gets a new incarnation, whatever the core's address.
	Incarnation string `json:"incarnation"`
	// BootstrapContacts are the cores that this core had contact with before the fleet was bootstrapped: incarnation by address.
	BootstrapContacts map[string]string `json:"met,omitempty"`
	// MayBootstrap is true if the core's disk was created at the fleet's first start.
	MayBootstrap bool            `json:"may_found,omitempty"`
	Members      []config.Member `json:"members,omitempty"`
	// MembersRecord is the newest committed value of the members register; nil if the core knows none.
	MembersRecord *membership.Record `json:"list,omitempty"`
	// CaughtUp is true if the core has everything that a majority had committed at its last tick. Only then may it be admitted.
	CaughtUp bool `json:"image,omitempty"`
}
