package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rendezvous"
)

const (
	// membershipVersionFile holds the version of the newest list that is known to be committed.
	membershipVersionFile = "members"
	// membershipFile holds that list's content.
	membershipFile = "list"
	// membershipWait is how long a message under a newer list waits for this core to learn of that list.
	membershipWait = 500 * time.Millisecond
)

// activeMembership is the list of members that this core acts on (docs/design.md §2.8).
type activeMembership struct {
	// version is the register's version; zero for a core that only follows a list which others told it.
	version uint64
	members []config.Member
	// self is this core's own entry; nil while it is no member.
	self *config.Member
	// record is the register's content that the list is read from; nil if this core does not know it.
	record *membership.Record
}

func (a activeMembership) has(name, address string) bool {
	return slices.ContainsFunc(a.members, func(m config.Member) bool { return m.Name == name && m.Address == address })
}

func (a activeMembership) hasIncarnation(incarnation string) bool {
	return membership.HasIncarnation(a.members, incarnation)
}

// addressOf gives a member's address; empty if there is no such member.
func (a activeMembership) addressOf(name string) string {
	for _, m := range a.members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}

// Membership is the list of members that a core acts on, for observers.
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

func (c *Core) membership() activeMembership {
	if now := c.members.Load(); now != nil {
		return *now
	}
	return activeMembership{}
}

// hasQuorum reports whether this core is a member and hears a majority of the members. One that does not takes no part in what a single
// core does for all: it would pick itself for everything.
func (c *Core) hasQuorum() bool {
	now := c.membership()
	return now.self != nil && c.hasMajorityOf(now.members)
}

// hasMajorityOf reports whether this core hears a majority of these members.
func (c *Core) hasMajorityOf(members []config.Member) bool {
	return len(c.live()) >= membership.Majority(len(members))
}

// isAssigned reports whether this core is the one that looks after a key, by rendezvous hash over the live members.
func (c *Core) isAssigned(key string) bool {
	return c.hasQuorum() && rendezvous.Pick(key, c.live()) == c.host.Name
}

// live names the members heard within membership.LivenessTimeout, this core included.
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

// applyMembers acts on the list in the members' register. A list counts once it is committed; until then the one before it does.
func (c *Core) applyMembers() {
	c.membershipMu.Lock()
	defer c.membershipMu.Unlock()
	record := c.acceptor.Read(config.MembersKey)
	if record.Revision.Version == 0 {
		return
	}
	list := membership.Decode(record.Fields)
	now := activeMembership{version: record.Revision.Version, members: list.Members}
	switch {
	case record.IsCommitted():
		now.record = &membership.Record{Revision: record.Revision, Fields: record.Fields}
	case c.recordedVersion() < now.version:
		now.version--
		if list.Previous != nil {
			now.members = list.Previous
		}
		now.record = c.recordedMembership(now.version)
	default: // known to be committed before this process started: the others are to learn it from here
		c.acceptor.Commit(config.MembersKey, record.Revision)
	}
	before := c.membership()
	if now.version < before.version || now.version == before.version && before.self != nil {
		return
	}
	for i := range now.members {
		if now.members[i].Incarnation == c.incarnation {
			now.self = &now.members[i]
			c.memberID.Store(now.self.ID)
		}
	}
	if record.IsCommitted() {
		go c.recordMembership(now) // for the time after a restart only: neither a slow nor a failing disk holds anything up here
	}
	c.members.Store(&now)
	c.mu.Lock()
	maps.DeleteFunc(c.joiners, func(_ string, j membership.Joiner) bool { return now.hasIncarnation(j.Incarnation) })
	close(c.membershipChanged)
	c.membershipChanged = make(chan struct{})
	c.mu.Unlock()
	c.host.Log.Info().Uint64("version", now.version).Int("members", len(now.members)).Bool("member", now.self != nil).Msg("membership changed")
}

// recordMembership writes down which list is committed. Without it this core has to learn that from others after a restart.
func (c *Core) recordMembership(now activeMembership) {
	raw, _ := json.Marshal(now.record) // plain maps always encode
	err := errors.Join(c.disk.Put(protocol.IdentityFolder, membershipFile, raw),
		c.disk.Put(protocol.IdentityFolder, membershipVersionFile, []byte(strconv.FormatUint(now.version, 10))))
	if err != nil {
		c.host.Log.Warn().Uint64("version", now.version).Err(err).Msg("membership not recorded on disk")
	}
}

// recordedVersion gives the version of the newest list that was written down as committed; zero if none was.
func (c *Core) recordedVersion() uint64 {
	raw, err := c.disk.Get(protocol.IdentityFolder, membershipVersionFile)
	if err != nil {
		return 0 // none, or a torn one: no list is known to be committed
	}
	version, _ := strconv.ParseUint(string(raw), 10, 64) // one that cannot be read counts as none
	return version
}

// recordedMembership gives the content of the list of that version if this core wrote it down, else nil.
func (c *Core) recordedMembership(version uint64) *membership.Record {
	raw, err := c.disk.Get(protocol.IdentityFolder, membershipFile)
	var record membership.Record
	if err != nil || json.Unmarshal(raw, &record) != nil || record.Revision.Version != version {
		return nil
	}
	return &record
}

// adoptMembership takes over a committed list that another core knows, if it is newer and names this core. A core that is not on the list
// does not need it: it follows the members that hellos name.
func (c *Core) adoptMembership(record *membership.Record) {
	if record == nil || record.Revision.Version <= c.membership().version {
		return
	}
	if !membership.HasIncarnation(membership.Decode(record.Fields).Members, c.incarnation) {
		return
	}
	if err := c.acceptor.Adopt(config.MembersKey, record.Revision, record.Fields); err != nil {
		c.host.Log.Error().Uint64("version", record.Revision.Version).Err(err).Msg("membership not adopted")
		return
	}
	c.applyMembers()
}

// observeMembers has this core follow members that another core named, unless it has become one of them meanwhile.
func (c *Core) observeMembers(members []config.Member) {
	c.membershipMu.Lock()
	defer c.membershipMu.Unlock()
	if c.membership().self == nil {
		c.members.Store(&activeMembership{members: members})
		c.wake()
	}
}

// memberAcceptors gives the acceptors of all members, under the list that this core acts on now.
func (c *Core) memberAcceptors() (register.Peers, error) {
	now := c.membership()
	if now.self == nil {
		return nil, apierror.New(apierror.NoMember, "%s is no member", c.host.Name)
	}
	client := acceptorClient{core: c, membersVersion: now.version}
	var all register.Peers
	for _, m := range now.members {
		if m.Incarnation == c.incarnation {
			all = append(all, localAcceptor{client})
		} else {
			all = append(all, remoteAcceptor{acceptorClient: client, address: m.Address})
		}
	}
	return all, nil
}

// awaitMembership waits up to membershipWait until this core acts on a list of that version or a later one, and gives the list.
func (c *Core) awaitMembership(version uint64) activeMembership {
	timer := time.NewTimer(membershipWait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		changed := c.membershipChanged
		c.mu.Unlock()
		now := c.membership()
		if now.version >= version {
			return now
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.membership()
		}
	}
}

// membershipView is what this core knows of the others now, for the rules of package membership.
func (c *Core) membershipView() membership.View {
	live := c.live()
	c.mu.Lock()
	defer c.mu.Unlock()
	return membership.View{Live: live, Liveness: c.liveness, Joiners: maps.Clone(c.joiners), Tolerance: c.options.Tolerance}
}

// applyMembershipChange changes the list by one member, under the guards of package membership.
func (c *Core) applyMembershipChange(ctx context.Context, change membership.Change) (Accepted, error) {
	revision, err := c.owner.Change(ctx, config.MembersKey, func(fields register.Fields, _ uint64) (register.Fields, error) {
		return change.Apply(fields, c.membershipView(), time.Now())
	})
	c.logOutcome("membership change", config.MembersKey, revision, err)
	return Accepted{Version: revision.Version}, err
}

// reconcileMembership asks for the change of members that is due, one at a time. Only the member that the register is assigned to tries;
// the guards of the change itself stand all the same.
func (c *Core) reconcileMembership(ctx context.Context) {
	record := c.acceptor.Read(config.MembersKey)
	transferring := record.Fields[membership.PreviousField] != nil
	if transferring || !record.IsCommitted() || rendezvous.Pick(config.MembersKey, c.live()) != c.host.Name {
		return
	}
	members := membership.Decode(record.Fields).Members
	proposal, due := c.membershipView().Next(members, time.Now())
	if !due || !c.reconcileMu.TryLock() {
		return
	}
	go func() {
		defer c.reconcileMu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, protocol.OperationTimeout)
		defer cancel()
		if !c.isConfirmed(ctx, proposal, members) {
			return
		}
		if _, err := c.applyMembershipChange(ctx, proposal.Change); err == nil { // a failure is logged there, and the next tick looks again
			c.wake()
		}
	}()
}
