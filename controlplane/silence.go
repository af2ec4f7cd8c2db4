package controlplane

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
)

const (
	unresponsiveFile           = "silent"
	replacementTimeout         = 3 * time.Second // a member that is silent for so long gives way to one that replaces it
	removalTimeout             = 5 * time.Second // and without one, where the rest does better without it
	removalTimeoutAfterRestart = 2 * time.Second // what is left of lostTime after a restart, for a member that was silent before it
	stableQuorumTime           = time.Second     // a majority has been heard for so long before any silence counts
)

// livenessTracker tracks for how long each member of the list has not been heard (§2.8). The members that are silent are noted on the disk, so
// that a restart of all cores does not begin the count anew.
type livenessTracker struct {
	members      map[string]memberLiveness // by name
	recorded     map[string]string         // on the disk: name → incarnation
	lastObserved time.Time
	quorumSince  time.Duration // for how long a majority has been heard without a break
}

type memberLiveness struct {
	incarnation     string
	lastHeard       time.Time
	unresponsiveFor time.Duration
	listedFor       time.Duration // for how long it is known to be on the list
}

// observe takes a look at all members. A step counts for two beats at most: a core that was frozen itself has heard nobody meanwhile, and
// that says nothing of the others.
func (s *livenessTracker) observe(now time.Time, members []config.Member, heardOf func(config.Member) time.Time, hasMajority bool) {
	step := min(now.Sub(s.lastObserved), 2*tickInterval)
	s.lastObserved = now
	if s.quorumSince += step; !hasMajority {
		s.quorumSince = 0
	}
	before := s.members
	s.members = map[string]memberLiveness{}
	for _, m := range members {
		state, ok := before[m.Name]
		switch {
		case ok && state.incarnation == m.Incarnation:
			state.unresponsiveFor += step
			state.listedFor += step
		case s.recorded[m.Name] == m.Incarnation:
			state = memberLiveness{incarnation: m.Incarnation, unresponsiveFor: removalTimeout - removalTimeoutAfterRestart}
		default:
			state = memberLiveness{incarnation: m.Incarnation}
		}
		if heard := heardOf(m); heard.After(state.lastHeard) {
			state.lastHeard, state.unresponsiveFor = heard, 0
		}
		s.members[m.Name] = state
	}
}

// unresponsiveFor is for how long a member has not been heard.
func (s *livenessTracker) unresponsiveFor(m config.Member) time.Duration {
	if known := s.members[m.Name]; known.incarnation == m.Incarnation {
		return known.unresponsiveFor
	}
	return 0
}

// countUnresponsive is how many of these members have been silent for so long.
func (s *livenessTracker) countUnresponsive(members []config.Member, atLeast time.Duration) (sum int) {
	for _, m := range members {
		if s.unresponsiveFor(m) >= atLeast {
			sum++
		}
	}
	return sum
}

// isReplaced says whether a newer member of its zone runs that was admitted after a silent one was last heard, or shortly before: one that
// replaces another in order comes first.
func (s *livenessTracker) isReplaced(m config.Member, members []config.Member) bool {
	return slices.ContainsFunc(members, func(newer config.Member) bool {
		return newer.ID > m.ID && newer.Zone == m.Zone && s.unresponsiveFor(newer) < protocol.LivenessTimeout && s.members[newer.Name].listedFor <= s.unresponsiveFor(m)+replacementTimeout
	})
}

// recordable lists the members whose silence is worth a note on the disk.
func (s *livenessTracker) recordable() map[string]string {
	names := map[string]string{}
	for name, m := range s.members {
		if m.unresponsiveFor >= removalTimeout-removalTimeoutAfterRestart {
			names[name] = m.incarnation
		}
	}
	return names
}

// observeLiveness observes the members at each beat.
func (c *Core) observeLiveness(members []config.Member) {
	hasMajority := len(c.live()) >= membership.Majority(len(members))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.liveness.observe(time.Now(), members, func(m config.Member) time.Time {
		if m.Incarnation == c.incarnation {
			return time.Now()
		}
		if f := c.peers[m.Name]; f != nil {
			return f.FreshAsOf(m.Incarnation)
		}
		return time.Time{}
	}, hasMajority)
	if long := c.liveness.recordable(); !maps.Equal(long, c.liveness.recorded) {
		c.liveness.recorded = long
		go c.recordUnresponsive()
	}
}

// recordUnresponsive writes down who is silent; the disk is not waited for by anything else.
func (c *Core) recordUnresponsive() {
	c.recordingSlot <- struct{}{}
	defer func() { <-c.recordingSlot }()
	c.mu.Lock()
	raw, _ := json.Marshal(c.liveness.recorded) // a map of strings always encodes
	c.mu.Unlock()
	if err := c.disk.Put(protocol.IdentityFolder, unresponsiveFile, raw); err != nil {
		c.host.Log.Warn().Str("event", "silence_not_noted").Err(err).Msg("")
	}
}

// loadUnresponsive reads who was silent before this life. Without the note, or with a torn one, the count begins at zero.
func (c *Core) loadUnresponsive() {
	raw, err := c.disk.Get(protocol.IdentityFolder, unresponsiveFile)
	if err == nil {
		err = json.Unmarshal(raw, &c.liveness.recorded)
	}
	if err != nil {
		c.liveness.recorded = nil
	}
}
