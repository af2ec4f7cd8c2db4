package membership

import (
	"slices"
	"time"

	"asterridge/config"
)

const (
	// LivenessTimeout is the age of its last answer at which a core no longer counts as live: it is not picked as an owner.
	LivenessTimeout = time.Second
	// ReplacementTimeout is how long a member is unresponsive before it is removed in favour of one that replaces it.
	ReplacementTimeout = 3 * time.Second
	// RemovalTimeout is how long a member without a replacement is unresponsive before it is removed, if the rest does better without it.
	RemovalTimeout = 5 * time.Second
	// RemovalTimeoutAfterRestart is what is left of RemovalTimeout for a member that was unresponsive before this core restarted.
	RemovalTimeoutAfterRestart = 2 * time.Second
	// StableQuorumTime is how long a majority must have been heard without a break before any unresponsiveness counts.
	StableQuorumTime = time.Second
)

// Tracker measures how long each member has been unresponsive. It is not safe for concurrent use; a copy is a snapshot that later
// observations do not change.
type Tracker struct {
	// MaxStep is the most that one observation adds to any time. A core that was frozen itself has heard nobody meanwhile, and that
	// says nothing of the others.
	MaxStep time.Duration
	// Recorded are the members that were unresponsive before this process started, or at the last call of Recordable that the caller
	// kept: incarnation by name.
	Recorded map[string]string

	members      map[string]memberLiveness // by name; replaced as a whole by each observation
	lastObserved time.Time
	stableFor    time.Duration // how long a majority has been heard without a break
}

type memberLiveness struct {
	incarnation     string
	lastHeard       time.Time
	unresponsiveFor time.Duration
	listedFor       time.Duration // how long it is known to be on the list
}

// Observe takes a look at all members. lastHeard gives the time of a member's last answer, zero if there was none.
func (t *Tracker) Observe(now time.Time, members []config.Member, lastHeard func(config.Member) time.Time, hasQuorum bool) {
	step := min(now.Sub(t.lastObserved), t.MaxStep)
	t.lastObserved = now
	t.stableFor += step
	if !hasQuorum {
		t.stableFor = 0
	}
	before := t.members
	t.members = map[string]memberLiveness{}
	for _, m := range members {
		state, known := before[m.Name]
		switch {
		case known && state.incarnation == m.Incarnation:
			state.unresponsiveFor += step
			state.listedFor += step
		case t.Recorded[m.Name] == m.Incarnation:
			state = memberLiveness{incarnation: m.Incarnation, unresponsiveFor: RemovalTimeout - RemovalTimeoutAfterRestart}
		default:
			state = memberLiveness{incarnation: m.Incarnation}
		}
		if heard := lastHeard(m); heard.After(state.lastHeard) {
			state.lastHeard, state.unresponsiveFor = heard, 0
		}
		t.members[m.Name] = state
	}
}

// Stable reports whether a majority has been heard for StableQuorumTime.
func (t *Tracker) Stable() bool { return t.stableFor >= StableQuorumTime }

// UnresponsiveFor is how long a member has not been heard; zero for one that was not observed.
func (t *Tracker) UnresponsiveFor(m config.Member) time.Duration {
	if state := t.members[m.Name]; state.incarnation == m.Incarnation {
		return state.unresponsiveFor
	}
	return 0
}

// CountUnresponsive is how many of these members have been unresponsive for at least that long.
func (t *Tracker) CountUnresponsive(members []config.Member, atLeast time.Duration) (count int) {
	for _, m := range members {
		if t.UnresponsiveFor(m) >= atLeast {
			count++
		}
	}
	return count
}

// Replaced reports whether a newer member of its zone is live that was admitted after an unresponsive one was last heard, or less than
// ReplacementTimeout before: a replacement in order is admitted first.
func (t *Tracker) Replaced(m config.Member, members []config.Member) bool {
	return slices.ContainsFunc(members, func(newer config.Member) bool {
		return newer.ID > m.ID && newer.Zone == m.Zone && t.UnresponsiveFor(newer) < LivenessTimeout &&
			t.members[newer.Name].listedFor <= t.UnresponsiveFor(m)+ReplacementTimeout
	})
}

// Recordable lists the members that have been unresponsive for so long that a restarted core is to know it: incarnation by name.
func (t *Tracker) Recordable() map[string]string {
	incarnations := map[string]string{}
	for name, state := range t.members {
		if state.unresponsiveFor >= RemovalTimeout-RemovalTimeoutAfterRestart {
			incarnations[name] = state.incarnation
		}
	}
	return incarnations
}
