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

// newMember makes a member of a joiner that has caught up.
func (v View) newMember(name string, list List, now time.Time) (config.Member, error) {
	joiner, ok := v.Joiners[name]
	switch {
	case !ok || now.Sub(joiner.HeardAt) > JoinerTimeout:
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

// Next gives the change of members that is due, if any: a member whose place another disk has taken is removed, a joiner that has caught up
// is admitted, and a member that is lost is removed.
func (v View) Next(members []config.Member, now time.Time) (Change, bool) {
	for _, joiner := range v.Joiners {
		if now.Sub(joiner.HeardAt) > JoinerTimeout/3 || HasIncarnation(members, joiner.Incarnation) {
			continue
		}
		if conflicting := memberAt(members, joiner); conflicting != "" {
			return Change{Action: Remove, Name: conflicting, ReplacedBy: joiner.Incarnation}, true
		}
		if joiner.CaughtUp {
			return Change{Action: Admit, Name: joiner.Name}, true
		}
	}
	if !v.Liveness.Stable() {
		return Change{}, false
	}
	for _, m := range members {
		if v.isLost(m, members) {
			return Change{Action: Remove, Name: m.Name}, true
		}
	}
	return Change{}, false
}

// memberAt names the member that has a joiner's name or address; empty if there is none.
func memberAt(members []config.Member, joiner Joiner) (name string) {
	for _, m := range members {
		if m.Name == joiner.Name || m.Address == joiner.Address {
			name = m.Name
		}
	}
	return name
}

// isLost reports whether a member has been unresponsive for so long that it is to be removed: one that has a replacement, or one without
// whom the others bear the tolerated losses, or more losses than with it once all that are lost like it are removed.
func (v View) isLost(m config.Member, members []config.Member) bool {
	unresponsiveFor := v.Liveness.UnresponsiveFor(m)
	if unresponsiveFor < ReplacementTimeout {
		return false
	}
	if v.Liveness.Replaced(m, members) {
		return true
	}
	if unresponsiveFor < RemovalTimeout {
		return false
	}
	rest := without(members, m.Name)
	if len(rest) < minMembers {
		return false
	}
	unresponsive := v.Liveness.CountUnresponsive(members, LivenessTimeout)
	removed := min(v.Liveness.CountUnresponsive(members, RemovalTimeout), len(members)-minMembers)
	return SpareLosses(len(rest), unresponsive-1) >= v.Tolerance.Losses(rest) ||
		SpareLosses(len(members)-removed, unresponsive-removed) > SpareLosses(len(members), unresponsive)
}
