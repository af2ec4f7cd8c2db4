package daemon

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"asterridge/config"
)

const (
	silentFile  = "silent"
	replaceTime = 3 * time.Second // a member that is silent for so long gives way to one that replaces it
	lostTime    = 5 * time.Second // and without one, where the rest does better without it
	resumeTime  = 2 * time.Second // what is left of lostTime after a restart, for a member that was silent before it
	steadyTime  = time.Second     // a majority has been heard for so long before any silence counts
)

// silence tracks for how long each member of the list has not been heard (§2.8). The members that are silent are noted on the disk, so
// that a restart of all cores does not begin the count anew.
type silence struct {
	members  map[string]silentMember // by name
	noted    map[string]string       // on the disk: name → incarnation
	observed time.Time
	steady   time.Duration // for how long a majority has been heard without a break
}

type silentMember struct {
	incarnation string
	heard       time.Time
	quiet       time.Duration
	listed      time.Duration // for how long it is known to be on the list
}

// observe takes a look at all members. A step counts for two beats at most: a core that was frozen itself has heard nobody meanwhile, and
// that says nothing of the others.
func (s *silence) observe(now time.Time, members []config.Member, heardOf func(config.Member) time.Time, hasMajority bool) {
	step := min(now.Sub(s.observed), 2*tickInterval)
	s.observed = now
	if s.steady += step; !hasMajority {
		s.steady = 0
	}
	before := s.members
	s.members = map[string]silentMember{}
	for _, m := range members {
		state, ok := before[m.Name]
		switch {
		case ok && state.incarnation == m.Incarnation:
			state.quiet += step
			state.listed += step
		case s.noted[m.Name] == m.Incarnation:
			state = silentMember{incarnation: m.Incarnation, quiet: lostTime - resumeTime}
		default:
			state = silentMember{incarnation: m.Incarnation}
		}
		if heard := heardOf(m); heard.After(state.heard) {
			state.heard, state.quiet = heard, 0
		}
		s.members[m.Name] = state
	}
}

// of is for how long a member has not been heard.
func (s *silence) of(m config.Member) time.Duration {
	if known := s.members[m.Name]; known.incarnation == m.Incarnation {
		return known.quiet
	}
	return 0
}

// count is how many of these members have been silent for so long.
func (s *silence) count(members []config.Member, atLeast time.Duration) (sum int) {
	for _, m := range members {
		if s.of(m) >= atLeast {
			sum++
		}
	}
	return sum
}

// isReplaced says whether a newer member of its zone runs that was admitted after a silent one was last heard, or shortly before: one that
// replaces another in order comes first.
func (s *silence) isReplaced(m config.Member, members []config.Member) bool {
	return slices.ContainsFunc(members, func(newer config.Member) bool {
		return newer.ID > m.ID && newer.Zone == m.Zone && s.of(newer) < LivenessTimeout && s.members[newer.Name].listed <= s.of(m)+replaceTime
	})
}

// longSilent lists the members whose silence is worth a note on the disk.
func (s *silence) longSilent() map[string]string {
	names := map[string]string{}
	for name, m := range s.members {
		if m.quiet >= lostTime-resumeTime {
			names[name] = m.incarnation
		}
	}
	return names
}

// watchSilence observes the members at each beat.
func (c *Core) watchSilence(members []config.Member) {
	hasMajority := len(c.live()) >= majorityOf(len(members))
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
	if long := c.liveness.longSilent(); !maps.Equal(long, c.liveness.noted) {
		c.liveness.noted = long
		go c.noteSilent()
	}
}

// noteSilent writes down who is silent; the disk is not waited for by anything else.
func (c *Core) noteSilent() {
	c.recordingSlot <- struct{}{}
	defer func() { <-c.recordingSlot }()
	c.mu.Lock()
	raw, _ := json.Marshal(c.liveness.noted) // a map of strings always encodes
	c.mu.Unlock()
	if err := c.disk.Put(IdentityFolder, silentFile, raw); err != nil {
		c.host.Log.Warn().Str("event", "silence_not_noted").Err(err).Msg("")
	}
}

// recallSilent reads who was silent before this life. Without the note, or with a torn one, the count begins at zero.
func (c *Core) recallSilent() {
	raw, err := c.disk.Get(IdentityFolder, silentFile)
	if err == nil {
		err = json.Unmarshal(raw, &c.liveness.noted)
	}
	if err != nil {
		c.liveness.noted = nil
	}
}
