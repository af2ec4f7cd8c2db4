package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rendezvous"
)

const (
	// membershipVersionFile holds the version of the newest list known to be committed.
	membershipVersionFile = "members"
	// membershipFile holds that list's content.
	membershipFile = "list"
	// membershipWait is how long a request sent under a newer list waits for this core to learn of that list.
	membershipWait = 500 * time.Millisecond
)

// activeMembership is the membership that this core acts on (docs/design.md §2.8).
type activeMembership struct {
	// version is the version of the members' register; zero on a core that follows a list that others named without its record.
	version uint64
	members []config.Member
	// self is this core's own entry; nil if it is not a member.
	self *config.Member
	// record is the register content that the list was decoded from; nil if this core does not have it.
	record *membership.Record
}

func (a activeMembership) has(name, address string) bool {
	return slices.ContainsFunc(a.members, func(m config.Member) bool { return m.Name == name && m.Address == address })
}

func (a activeMembership) hasIncarnation(incarnation string) bool {
	return membership.HasIncarnation(a.members, incarnation)
}

// addressOf returns a member's address, or "" if there is no such member.
func (a activeMembership) addressOf(name string) string {
	for _, m := range a.members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}

// Membership is the membership that a core acts on, for observers.
type Membership struct {
	Version uint64
	Members []config.Member
	Member  bool // whether this core is a member and votes
}

// Membership returns the membership that this core acts on.
func (c *Core) Membership() Membership {
	current := c.membership()
	return Membership{Version: current.version, Members: slices.Clone(current.members), Member: current.self != nil}
}

func (c *Core) membership() activeMembership {
	if current := c.members.Load(); current != nil {
		return *current
	}
	return activeMembership{}
}

// isAssigned reports whether a key is assigned to this core by rendezvous hashing over the members that are able to act.
func (c *Core) isAssigned(key string) bool {
	return c.hasQuorum() && rendezvous.Pick(key, c.able()) == c.host.Name
}

// live returns the names of the members heard from within membership.LivenessTimeout, including this core.
func (c *Core) live() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, m := range c.membership().members {
		peer := c.peers[m.Name]
		if m.Incarnation == c.incarnation || peer != nil && time.Since(peer.FreshAsOf(m.Incarnation)) < membership.LivenessTimeout {
			names = append(names, m.Name)
		}
	}
	return names
}

// applyMembers applies the list in the members' register. A list takes effect once it is committed; until then the previous one
// applies.
func (c *Core) applyMembers() {
	c.membershipMu.Lock()
	defer c.membershipMu.Unlock()
	record := c.acceptor.Read(config.MembersKey)
	if record.Revision.Version == 0 {
		return
	}
	list := membership.Decode(record.Fields)
	current := activeMembership{version: record.Revision.Version, members: list.Members}
	switch {
	case record.IsCommitted():
		current.record = &membership.Record{Revision: record.Revision, Fields: record.Fields}
	case c.recordedVersion() < current.version:
		current.version--
		if list.Previous != nil {
			current.members = list.Previous
		}
		current.record = c.recordedMembership(current.version)
	default: // recorded as committed before this process started: mark it as committed so that peers see it
		current.record = &membership.Record{Revision: record.Revision, Fields: record.Fields}
		c.acceptor.Commit(config.MembersKey, record.Revision)
	}
	previous := c.membership()
	if current.version < previous.version || current.version == previous.version && previous.self != nil {
		return
	}
	for i := range current.members {
		if current.members[i].Incarnation == c.incarnation {
			current.self = &current.members[i]
			c.memberID.Store(current.self.ID)
		}
	}
	if record.IsCommitted() {
		go c.recordMembership(current) // only needed after a restart, so a slow or failing disk must not block
	}
	c.members.Store(&current)
	c.mu.Lock()
	maps.DeleteFunc(c.joiners, func(_ string, j membership.Joiner) bool { return current.hasIncarnation(j.Incarnation) })
	close(c.membershipChanged)
	c.membershipChanged = make(chan struct{})
	c.mu.Unlock()
	c.host.Log.Info().Uint64("version", current.version).Int("members", len(current.members)).Bool("member", current.self != nil).
		Msg("membership changed")
}

// recordMembership stores which list is committed, so that this core need not learn it from other cores after a restart.
func (c *Core) recordMembership(current activeMembership) {
	raw, _ := json.Marshal(current.record) // plain maps always encode
	err := errors.Join(c.disk.Put(protocol.IdentityFolder, membershipFile, raw),
		c.disk.Put(protocol.IdentityFolder, membershipVersionFile, []byte(strconv.FormatUint(current.version, 10))))
	if err != nil {
		c.host.Log.Warn().Uint64("version", current.version).Err(err).Msg("membership not recorded on disk")
	}
}

// recordedVersion returns the version of the newest list recorded as committed; zero if none was.
func (c *Core) recordedVersion() uint64 {
	raw, err := c.disk.Get(protocol.IdentityFolder, membershipVersionFile)
	if err != nil {
		return 0 // missing or torn: no list is known to be committed
	}
	version, _ := strconv.ParseUint(string(raw), 10, 64) // an unreadable version counts as none
	return version
}

// recordedMembership returns the recorded list if it has that version, else nil.
func (c *Core) recordedMembership(version uint64) *membership.Record {
	raw, err := c.disk.Get(protocol.IdentityFolder, membershipFile)
	var record membership.Record
	if err != nil || json.Unmarshal(raw, &record) != nil || record.Revision.Version != version {
		return nil
	}
	return &record
}

// adoptMembership adopts a committed list that another core sent, if it is newer and this core is on it or is to learn that it was
// removed. A core that is no member does not need the register: it follows the members named in hello responses.
func (c *Core) adoptMembership(record *membership.Record) {
	current := c.membership()
	if record == nil || record.Revision.Version <= current.version {
		return
	}
	if current.self == nil && !membership.HasIncarnation(membership.Decode(record.Fields).Members, c.incarnation) {
		return
	}
	if err := c.acceptor.Adopt(config.MembersKey, record.Revision, record.Fields); err != nil {
		if _, logged := c.loggedFailures.LoadOrStore(record.Revision, true); !logged { // log once: a full disk fails at every message
			c.host.Log.Error().Uint64("version", record.Revision.Version).Err(err).Msg("membership not adopted")
		}
		return
	}
	c.applyMembers()
}

// observeMembers makes this core follow the members that a hello names, unless it is a member itself or knows a newer list. The lists of
// earlier builds may come without their record, and so without a version.
func (c *Core) observeMembers(hello protocol.Hello) {
	c.membershipMu.Lock()
	defer c.membershipMu.Unlock()
	named := activeMembership{version: hello.MembersRecord.Version(), members: hello.Members, record: hello.MembersRecord}
	if current := c.membership(); len(named.members) > 0 && current.self == nil && named.version >= current.version {
		c.members.Store(&named)
		c.wake()
	}
}

// awaitMembership waits up to membershipWait until this core acts on a list of at least that version, and returns the current list.
func (c *Core) awaitMembership(version uint64) activeMembership {
	timer := time.NewTimer(membershipWait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		changed := c.membershipChanged
		c.mu.Unlock()
		current := c.membership()
		if current.version >= version {
			return current
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.membership()
		}
	}
}

// membershipView returns what this core knows about the other cores, as input for the rules of package membership.
func (c *Core) membershipView() membership.View {
	live := c.live()
	c.mu.Lock()
	defer c.mu.Unlock()
	return membership.View{Live: live, Liveness: c.liveness, Joiners: maps.Clone(c.joiners), Tolerance: c.options.Tolerance}
}

// applyMembershipChange adds or removes one member, subject to the checks of package membership.
func (c *Core) applyMembershipChange(ctx context.Context, change membership.Change) (Accepted, error) {
	revision, err := c.owner.Change(ctx, config.MembersKey, func(fields register.Fields, _ uint64) (register.Fields, error) {
		return change.Apply(fields, c.membershipView(), time.Now())
	})
	c.logOutcome("membership change", config.MembersKey, revision, err)
	return Accepted{Version: revision.Version}, err
}

// reconcileMembership proposes the next membership change that is due, one at a time. Only the member that the register is assigned to
// proposes changes, and the next one if it does not; the checks in the change itself apply regardless.
func (c *Core) reconcileMembership(ctx context.Context) {
	record := c.acceptor.Read(config.MembersKey)
	transferring := record.Fields[membership.PreviousField] != nil
	var members []config.Member
	var proposal membership.Proposal
	due := !transferring && record.IsCommitted()
	if due {
		members = membership.Decode(record.Fields).Members
		proposal, due = c.membershipView().Next(members, time.Now())
	}
	dueFor := c.reconcileAge.observe(due, time.Now())
	if !due || coreForTask(config.MembersKey, c.able(), dueFor) != c.host.Name || !c.reconcileMu.TryLock() {
		return
	}
	go func() {
		defer c.reconcileMu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, protocol.OperationTimeout)
		defer cancel()
		if !c.isConfirmed(ctx, proposal, members) {
			return
		}
		if _, err := c.applyMembershipChange(ctx, proposal.Change); err == nil { // a failure is logged and retried at the next tick
			c.wake()
		}
	}()
}
