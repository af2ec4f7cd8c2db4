package membership

import (
	"time"

	"asterridge/apierror"
	"asterridge/config"
)

// View is what one core knows about the others at one moment.
type View struct {
	// Live has the names of the members heard within LivenessTimeout, including the core itself.
	Live      []string
	Liveness  Tracker
	Joiners   map[string]Joiner // by name
	Tolerance Tolerance
}

// newMember returns the member entry for a joiner that has caught up; an empty incarnation matches any.
func (v View) newMember(name, incarnation string, list List, now time.Time) (config.Member, error) {
	joiner, ok := v.Joiners[name]
	switch {
	case !ok || now.Sub(joiner.HeardAt) > JoinerTimeout || incarnation != "" && incarnation != joiner.Incarnation:
		return config.Member{}, apierror.New(apierror.NotFound, "no core %q calls on us to be admitted", name)
	case !joiner.CaughtUp:
		return config.Member{}, apierror.New(apierror.Behind, "core %s has not yet received all keys", name)
	case len(list.Members) >= maxMembers || list.HighestID == maxID:
		return config.Member{}, apierror.New(apierror.OutOfRange, "no more members can be admitted: there are %d, or all IDs are used", len(list.Members))
	}
	for _, m := range list.Members {
		if m.Name == name || m.Address == joiner.Address {
			return config.Member{}, apierror.New(apierror.Exists, "member %s has the same name or address: retire it first", m.Name)
		}
	}
	return config.Member{ID: list.HighestID + 1, Name: name, Address: joiner.Address, Zone: joiner.Zone, Incarnation: joiner.Incarnation}, nil
}

// MayLeave reports whether a live member may leave the list: the remaining list can still take the tolerated losses, or can at least take
// more losses than the present list with this member unresponsive.
func (v View) MayLeave(members []config.Member, name string) bool {
	rest := without(members, name)
	unresponsive := v.Liveness.CountUnresponsive(rest, LivenessTimeout)
	spare := SpareLosses(len(rest), unresponsive)
	return len(rest) >= minMembers && spare >= 0 &&
		(spare >= v.Tolerance.Losses(rest) || spare > SpareLosses(len(members), unresponsive+1))
}

// Proposal is a membership change that one core considers due.
type Proposal struct {
	Change
	// UnresponsiveFor is how long the member to be removed must have been unresponsive for a majority of the other members; 0: they need
	// not be asked.
	UnresponsiveFor time.Duration
	Member          config.Member // to be removed because it is unresponsive
}

// Next returns the membership change that is due, if any: the removal of a member whose name or address a joiner with another disk uses, the
// admission of a joiner that has caught up, or the removal of a lost member.
func (v View) Next(members []config.Member, now time.Time) (Proposal, bool) {
	for _, joiner := range v.Joiners {
		if now.Sub(joiner.HeardAt) > JoinerTimeout/3 || HasIncarnation(members, joiner.Incarnation) {
			continue
		}
		if conflicting, ok := memberAt(members, joiner); ok {
			return Proposal{Change: Change{Action: Remove, Name: conflicting.Name, MemberID: conflicting.ID, ReplacedBy: joiner.Incarnation}}, true
		}
		if joiner.CaughtUp {
			return Proposal{Change: Change{Action: Admit, Name: joiner.Name, Incarnation: joiner.Incarnation}}, true
		}
	}
	if !v.Liveness.Stable() {
		return Proposal{}, false
	}
	for _, m := range members {
		if timeout, lost := v.isLost(m, members); lost {
			return Proposal{Change: Change{Action: Remove, Name: m.Name, MemberID: m.ID}, UnresponsiveFor: timeout, Member: m}, true
		}
	}
	return Proposal{}, false
}

// IsMissed reports whether enough members find another one unresponsive for it to be removed. It takes a majority of all the others, so that
// one broken link is not enough.
func IsMissed(reports, members int) bool { return reports >= Majority(members-1) }

// memberAt returns the member that has the joiner's name or address.
func memberAt(members []config.Member, joiner Joiner) (config.Member, bool) {
	for _, m := range members {
		if m.Name == joiner.Name || m.Address == joiner.Address {
			return m, true
		}
	}
	return config.Member{}, false
}

// isLost reports whether an unresponsive member is to be removed, and which timeout applies. A member is removed after ReplacementTimeout if
// it was replaced. Otherwise it is removed after RemovalTimeout if the remaining list can take the tolerated losses, or if the list can take
// more losses once all members that are overdue in the same way are removed.
func (v View) isLost(m config.Member, members []config.Member) (timeout time.Duration, lost bool) {
	unresponsiveFor := v.Liveness.UnresponsiveFor(m)
	if unresponsiveFor < ReplacementTimeout {
		return 0, false
	}
	if v.Liveness.Replaced(m, members) {
		return ReplacementTimeout, true
	}
	if unresponsiveFor < RemovalTimeout {
		return 0, false
	}
	rest := without(members, m.Name)
	if len(rest) < minMembers {
		return 0, false
	}
	unresponsive := v.Liveness.CountUnresponsive(members, LivenessTimeout)
	removed := min(v.Liveness.CountUnresponsive(members, RemovalTimeout), len(members)-minMembers)
	return RemovalTimeout, SpareLosses(len(rest), unresponsive-1) >= v.Tolerance.Losses(rest) ||
		SpareLosses(len(members)-removed, unresponsive-removed) > SpareLosses(len(members), unresponsive)
}
