package membership

import (
	"slices"
	"time"

	"asterridge/config"
)

const (
	// LivenessTimeout is how long after its last answer a core counts as live. A core that is not live is not picked as an owner.
	LivenessTimeout = time.Second
	// ReplacementTimeout is how long a member is unresponsive before it is removed if another one has replaced it.
	ReplacementTimeout = 3 * time.Second
	// RemovalTimeout is how long a member without a replacement is unresponsive before it is removed, if the remaining list can take at
	// least as many losses as required, or more than before.
	RemovalTimeout = 5 * time.Second
	// RemovalTimeoutAfterRestart is the part of RemovalTimeout that is left for a member that was unresponsive before this core restarted.
	RemovalTimeoutAfterRestart = 2 * time.Second
	// StableQuorumTime is how long a majority must have been reachable without interruption before unresponsive members are removed.
	StableQuorumTime = time.Second
)

// Tracker measures how long each member has been unresponsive. It is not safe for concurrent use. A copy is a snapshot that later
// observations do not change.
type Tracker struct {
	// MaxStep is the most that one observation adds to any duration. A core that was itself suspended has heard nobody meanwhile, which
	// says nothing about the other members.
	MaxStep time.Duration
	// Recorded has the members that were unresponsive before this process started, or at the last result of Recordable that the caller
	// stored: incarnation by name.
	Recorded map[string]string

	members      map[string]memberLiveness // by name; replaced as a whole by each observation
	lastObserved time.Time
	stableFor    time.Duration // how long a majority has been reachable without interruption
}

type memberLiveness struct {
	incarnation     string
	lastHeard       time.Time
	unresponsiveFor time.Duration
	listedFor       time.Duration // how long this core has seen it on the list
}

// Observe updates the state of all members. lastHeard returns the time of a member's last answer, zero if there was none.
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

// Stable reports whether a majority has been reachable for StableQuorumTime.
func (t *Tracker) Stable() bool { return t.stableFor >= StableQuorumTime }

// UnresponsiveFor returns how long a member has been unresponsive; zero for one that was not observed.
func (t *Tracker) UnresponsiveFor(m config.Member) time.Duration {
	if state := t.members[m.Name]; state.incarnation == m.Incarnation {
		return state.unresponsiveFor
	}
	return 0
}

// CountUnresponsive returns how many of the members have been unresponsive for at least that long.
func (t *Tracker) CountUnresponsive(members []config.Member, atLeast time.Duration) (count int) {
	for _, m := range members {
		if t.UnresponsiveFor(m) >= atLeast {
			count++
		}
	}
	return count
}

// Replaced reports whether a newer member of the same zone is live that was admitted after the unresponsive one was last heard, or less
// than ReplacementTimeout before that: in a planned replacement the new member is admitted first.
func (t *Tracker) Replaced(m config.Member, members []config.Member) bool {
	return slices.ContainsFunc(members, func(newer config.Member) bool {
		return newer.ID > m.ID && newer.Zone == m.Zone && t.UnresponsiveFor(newer) < LivenessTimeout &&
			t.members[newer.Name].listedFor <= t.UnresponsiveFor(m)+ReplacementTimeout
	})
}

// Recordable returns the members whose unresponsiveness has to be known after a restart of this core: incarnation by name.
func (t *Tracker) Recordable() map[string]string {
	incarnations := map[string]string{}
	for name, state := range t.members {
		if state.unresponsiveFor >= RemovalTimeout-RemovalTimeoutAfterRestart {
			incarnations[name] = state.incarnation
		}
	}
	return incarnations
}
