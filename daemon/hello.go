package daemon

import (
	"time"

	"asterridge/config"
)

// Hello is what daemons tell each other before they know more (§2.6).
type Hello struct {
	Name              string            `json:"name"`
	Role              string            `json:"role"`
	Address           string            `json:"address"`
	Zone              string            `json:"zone"`
	Incarnation       string            `json:"incarnation"`
	BootstrapContacts map[string]string `json:"met,omitempty"`       // founding: address → incarnation
	MayBootstrap      bool              `json:"may_found,omitempty"` // its disk is from the fleet's very first start
	Members           []config.Member   `json:"members,omitempty"`
	MembersRecord     *MembersRecord    `json:"list,omitempty"`  // the members as they stand in their register
	CaughtUp          bool              `json:"image,omitempty"` // of a joiner: it has all that a majority has settled
}

const HelloInterval = 200 * time.Millisecond
