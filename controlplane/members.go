package controlplane

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
)

// committedMembership is the list of members that this core acts on, with its version (§2.8).
type committedMembership struct {
	version uint64
	members []config.Member
	self    *config.Member          // nil while this core is no member
	record  *protocol.MembersRecord // the register's content that the list is read from; nil if this core does not know it
}

func (c committedMembership) has(name, address string) bool {
	for _, m := range c.members {
		if m.Name == name && m.Address == address {
			return true
		}
	}
	return false
}

func (c committedMembership) hasIncarnation(incarnation string) bool {
	return slices.ContainsFunc(c.members, func(m config.Member) bool { return m.Incarnation == incarnation })
}

// joiner is a core that is no member, as it last said of itself.
type joiner struct {
	protocol.Hello
	heardAt time.Time
}

const (
	membershipVersionFile = "members" // the version of the newest list that is known to be settled
	membershipFile        = "list"    // that list's content

	minMembers          = 3
	minMembersAfterLoss = 2 // where a disk is gone for sure: the list is the weaker for it already
	maxMembers          = 15
	maxMemberID         = 1<<register.MemberBits - 1 // that a member can have: 16 million in the life of a fleet
	joinerTimeout       = 3 * time.Second
	membershipWait      = 500 * time.Millisecond
)

func (c *Core) membership() committedMembership {
	if now := c.members.Load(); now != nil {
		return *now
	}
	return committedMembership{}
}

// applyMembers takes the members from the register. A list counts once it is settled; until then the one before it does.
func (c *Core) applyMembers() {
	c.membershipMu.Lock()
	defer c.membershipMu.Unlock()
	record := c.acceptor.Read(config.MembersKey)
	if record.Revision.Version == 0 {
		return
	}
	members, prior, _ := protocol.ReadMembers(record.Fields)
	now := committedMembership{version: record.Revision.Version, members: members}
	if record.IsCommitted() {
		now.record = &protocol.MembersRecord{Revision: record.Revision, Fields: record.Fields}
	} else {
		raw, _ := c.disk.Get(protocol.IdentityFolder, membershipVersionFile) // none, or a torn one: no list is known to be settled
		if settled, _ := strconv.ParseUint(string(raw), 10, 64); settled < now.version {
			now.version--
			if prior != nil {
				now.members = prior
			}
			now.record = c.recordedMembership(now.version)
		} else {
			c.acceptor.Commit(config.MembersKey, record.Revision) // known before this life: the others are to learn it from here
		}
	}
	old := c.membership()
	if now.version < old.version || now.version == old.version && old.self != nil {
		return
	}
	for i := range now.members {
		if now.members[i].Incarnation == c.incarnation {
			now.self = &now.members[i]
			c.memberID.Store(now.self.ID)
		}
	}
	if record.IsCommitted() {
		go c.recordMembership(now) // after a restart only: neither a slow nor a failing disk holds anything up here
	}
	c.members.Store(&now)
	c.mu.Lock()
	maps.DeleteFunc(c.joiners, func(_ string, s joiner) bool { return now.hasIncarnation(s.Incarnation) }) // should it leave again, it calls no more
	close(c.membershipChanged)
	c.membershipChanged = make(chan struct{})
	c.mu.Unlock()
	c.host.Log.Info().Str("event", "members").Uint64("version", now.version).Int("members", len(now.members)).Bool("is_member", now.self != nil).Msg("")
}

// recordMembership writes down which list is settled. Without it this core has to learn that from others after a restart.
func (c *Core) recordMembership(now committedMembership) {
	raw, _ := json.Marshal(now.record) // plain maps always encode
	if err := c.disk.Put(protocol.IdentityFolder, membershipFile, raw); err != nil {
		c.host.Log.Warn().Str("event", "list_not_recorded").Err(err).Msg("")
	}
	_ = c.disk.Put(protocol.IdentityFolder, membershipVersionFile, []byte(strconv.FormatUint(now.version, 10))) // as above: it only spares a question
}

// recordedMembership gives the content of the list of that version if this core wrote it down, else nil.
func (c *Core) recordedMembership(version uint64) *protocol.MembersRecord {
	raw, err := c.disk.Get(protocol.IdentityFolder, membershipFile)
	var list protocol.MembersRecord
	if err != nil || json.Unmarshal(raw, &list) != nil || list.Revision.Version != version {
		return nil
	}
	return &list
}

// adoptMembership takes over a settled list that another core knows, if it is newer and names this core. Who is not on it learns no content of
// registers by it: a core that only follows the members takes that from their links.
func (c *Core) adoptMembership(list *protocol.MembersRecord) {
	if list == nil || list.Revision.Version <= c.membership().version {
		return
	}
	members, _, _ := protocol.ReadMembers(list.Fields)
	if !slices.ContainsFunc(members, func(m config.Member) bool { return m.Incarnation == c.incarnation }) {
		return
	}
	if err := c.acceptor.Adopt(config.MembersKey, list.Revision, list.Fields); err != nil {
		c.host.Log.Error().Str("event", "list_not_adopted").Err(err).Msg("")
		return
	}
	c.applyMembers()
}

// memberAcceptors is the owner's view: all members' acceptors as of the present list.
func (c *Core) memberAcceptors() (register.Peers, error) {
	now := c.membership()
	if now.self == nil {
		return nil, apierror.New(apierror.NoMember, "%s is no member", c.host.Name)
	}
	var all register.Peers
	for _, m := range now.members {
		if m.Incarnation == c.incarnation {
			all = append(all, localAcceptor{c, now.version})
		} else {
			all = append(all, remoteAcceptor{c, m.Address, now.version})
		}
	}
	return all, nil
}

// awaitMembership waits a short while until this core acts on a list of that version.
func (c *Core) awaitMembership(version uint64) committedMembership {
	timer := time.NewTimer(membershipWait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		news := c.membershipChanged
		c.mu.Unlock()
		now := c.membership()
		if now.version >= version {
			return now
		}
		select {
		case <-news:
		case <-timer.C:
			return c.membership()
		}
	}
}

// The changes of the list of members.
const (
	admitMember  = "admit"
	removeMember = "retire"
	leaveMember  = "leave"
)

// MembershipChange admits a core that calls on the members, or retires a member.
type MembershipChange struct {
	Do   string `json:"do"` // "admit", "retire", or "leave" by the member itself
	Name string `json:"name"`
	Lost string `json:"lost,omitempty"` // the incarnation that stands at the member's place now: its disk is gone for sure
}

// applyMembershipChange changes the list by one, under its guards.
func (c *Core) applyMembershipChange(ctx context.Context, o MembershipChange) (Accepted, error) {
	revision, err := c.owner.Change(ctx, config.MembersKey, func(now register.Fields, _ uint64) (register.Fields, error) {
		members, prior, highest := protocol.ReadMembers(now)
		if prior != nil {
			return nil, apierror.New(apierror.Conflict, "the change of members before is not carried through yet")
		}
		change := register.Fields{}
		switch o.Do {
		case admitMember:
			made, err := c.newMember(o.Name, members, highest)
			if err != nil {
				return nil, err
			}
			change = config.Field(o.Name, made)
			change[protocol.HighestIDField] = json.RawMessage(strconv.Itoa(int(made.ID)))
		case removeMember:
			if now[o.Name] == nil {
				return nil, apierror.New(apierror.NotFound, "no member %q", o.Name)
			}
			live := 0
			for _, name := range c.live() {
				if name != o.Name {
					live++
				}
			}
			least := minMembers
			if o.Lost != "" {
				least = minMembersAfterLoss
			}
			if left := len(members) - 1; left < least || live < membership.Majority(left) {
				return nil, apierror.New(apierror.OutOfRange, "%d members would be left, %d of them live: too few", left, live)
			}
			change[o.Name] = nil
			change[protocol.HighestIDField] = json.RawMessage(strconv.Itoa(int(highest)))
		case leaveMember:
			if now[o.Name] == nil {
				return nil, apierror.New(apierror.NotFound, "no member %q", o.Name)
			}
			if !c.mayLeave(members, o.Name) {
				return nil, apierror.New(apierror.OutOfRange, "%d members would be left: too few", len(members)-1)
			}
			change[o.Name] = nil
			change[protocol.HighestIDField] = json.RawMessage(strconv.Itoa(int(highest)))
		default:
			return nil, apierror.New(apierror.OutOfRange, "%q is none of admit, retire and leave", o.Do)
		}
		change[protocol.PreviousMembersField], _ = json.Marshal(members) // plain structs always encode
		return change, nil
	})
	c.logOutcome("members", config.MembersKey, revision, err)
	return Accepted{revision.Version}, err
}

// newMember makes a member of a joiner that calls on us and has caught up.
func (c *Core) newMember(name string, members []config.Member, highest uint32) (config.Member, error) {
	c.mu.Lock()
	s, ok := c.joiners[name]
	c.mu.Unlock()
	switch {
	case !ok || time.Since(s.heardAt) > joinerTimeout:
		return config.Member{}, apierror.New(apierror.NotFound, "no core %q calls on us to be admitted", name)
	case !s.CaughtUp:
		return config.Member{}, apierror.New(apierror.Behind, "%s has no full snapshot of the keys yet", name)
	case len(members) >= maxMembers || highest == maxMemberID:
		return config.Member{}, apierror.New(apierror.OutOfRange, "there are %d members", len(members))
	}
	for _, m := range members {
		if m.Name == name || m.Address == s.Address {
			return config.Member{}, apierror.New(apierror.Exists, "member %s has this name or address: retire it first", m.Name)
		}
	}
	return config.Member{ID: highest + 1, Name: name, Address: s.Address, Zone: s.Zone, Incarnation: s.Incarnation}, nil
}
