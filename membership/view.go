package membership

import (
	"time"

	"asterridge/apierror"
	"asterridge/config"
)

// View is what one core knows of the others at one moment.
type View struct {
	// Live names the members heard within LivenessTimeout, the core itself included.
	Live      []string
	Liveness  Tracker
	Joiners   map[string]Joiner // by name
	Tolerance Tolerance
}

// newMember makes a member of a joiner that has caught up; an empty incarnation is any.
func (v View) newMember(name, incarnation string, list List, now time.Time) (config.Member, error) {
	joiner, ok := v.Joiners[name]
	switch {
	case !ok || now.Sub(joiner.HeardAt) > JoinerTimeout || incarnation != "" && incarnation != joiner.Incarnation:
		return config.Member{}, apierror.New(apierror.NotFound, "no core %q calls on us to be admitted", name)
	case !joiner.CaughtUp:
		return config.Member{}, apierror.New(apierror.Behind, "%s has no full snapshot of the keys yet", name)
	case len(list.Members) >= maxMembers || list.HighestID == maxID:
		return config.Member{}, apierror.New(apierror.OutOfRange, "there are %d members", len(list.Members))
	}
	for _, m := range list.Members {
		if m.Name == name || m.Address == joiner.Address {
			return config.Member{}, apierror.New(apierror.Exists, "member %s has this name or address: retire it first", m.Name)
		}
	}
	return config.Member{ID: list.HighestID + 1, Name: name, Address: joiner.Address, Zone: joiner.Zone, Incarnation: joiner.Incarnation}, nil
}

// MayLeave reports whether a live member may leave the list: the rest then bears the tolerated losses, or at least more of them than the
// list would with this member unresponsive.
func (v View) MayLeave(members []config.Member, name string) bool {
	rest := without(members, name)
	unresponsive := v.Liveness.CountUnresponsive(rest, LivenessTimeout)
	spare := SpareLosses(len(rest), unresponsive)
	return len(rest) >= minMembers && spare >= 0 &&
		(spare >= v.Tolerance.Losses(rest) || spare > SpareLosses(len(members), unresponsive+1))
}

// Proposal is a change of members that one core holds to be due.
type Proposal struct {
	Change
	// UnresponsiveFor is for how long a majority of the other members must have missed the member that the change removes; 0: they need not be asked.
	UnresponsiveFor time.Duration
	Member          config.Member // that is to be removed for its silence
}

// Next gives the change of members that is due, if any: a member whose place another disk has taken is removed, a joiner that has caught up
// is admitted, and a member that is lost is removed.
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

// IsMissed reports whether so many of the members have missed one that it may be removed for its silence: a majority of all the others, so
// that it takes more than one broken link.
func IsMissed(voices, members int) bool { return voices >= Majority(members-1) }

// memberAt finds a member that has a joiner's name or address.
func memberAt(members []config.Member, joiner Joiner) (config.Member, bool) {
	for _, m := range members {
		if m.Name == joiner.Name || m.Address == joiner.Address {
			return m, true
		}
	}
	return config.Member{}, false
}

// isLost reports whether a member has been unresponsive for so long that it is to be removed, and for how long that is: one that has a
// replacement, or one without whom the others bear the tolerated losses, or more losses than with it once all that are lost like it are
// removed.
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
