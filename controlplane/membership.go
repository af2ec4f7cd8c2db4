package controlplane

import (
	"slices"

	"asterridge/config"
)

// Membership is the list of members that a core acts on (§2.8).
type Membership struct {
	Version uint64
	Members []config.Member
	Member  bool // this core is on it, and votes
}

// Membership gives the list that this core acts on now.
func (c *Core) Membership() Membership {
	now := c.membership()
	return Membership{Version: now.version, Members: slices.Clone(now.members), Member: now.self != nil}
}
