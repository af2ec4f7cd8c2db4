package controlplane

import (
	"context"
	"slices"
	"time"

	"asterridge/membership"
	"asterridge/protocol"
)

// memberSearch looks for a newer list of members while this core is in contact with no majority of the list that it knows. All members of
// that list may have been replaced while this core was down, frozen or partitioned; the others do not know its address then, and only its
// seeds and the nodes known through gossip can tell it the present list (docs/control.md §3).
//
// A majority of an outdated list cannot be in contact without one of them knowing the next list, so a core that has a majority need not
// search.
type memberSearch struct {
	core *Core
	// lostAt is when the majority was first found missing; zero while there is one.
	lostAt time.Time
	// searchedAt is when the last search began.
	searchedAt time.Time
}

// step searches if no majority has been in contact for membership.LivenessTimeout, and once in protocol.SearchInterval.
func (s *memberSearch) step(ctx context.Context, current activeMembership) {
	now := time.Now()
	if s.core.hasMajorityOf(current.members) {
		s.lostAt = time.Time{}
		return
	}
	if s.lostAt.IsZero() {
		s.lostAt = now
	}
	if now.Sub(s.lostAt) < membership.LivenessTimeout || now.Sub(s.searchedAt) < protocol.SearchInterval {
		return
	}
	s.searchedAt = now
	s.core.searchMembers(ctx)
}

// searchMembers asks the seeds, the bootstrap peers and some of the nodes known through gossip for a newer list. The hello is empty: this
// core asks to be admitted only once it follows the present members.
func (c *Core) searchMembers(ctx context.Context) {
	addresses := slices.Concat(c.host.Seeds, c.host.BootstrapPeers, c.detector.SampleAddresses(protocol.SearchSample))
	slices.Sort(addresses)
	before := c.membership().version
	for h := range c.broadcastHello(ctx, slices.Compact(addresses), protocol.Hello{}) {
		c.adoptMembership(h.MembersRecord)
		c.observeMembers(h)
	}
	if after := c.membership(); after.version > before {
		c.host.Log.Warn().Uint64("known_version", before).Uint64("version", after.version).Bool("member", after.self != nil).
			Msg("members were replaced while this core was away")
	}
}
