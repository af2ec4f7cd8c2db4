package controlplane

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rpc"
)

const coreRole = "core"

// The revision of the first list, under which all bootstrap peers write the same content. It is the first revision if all their disks
// date from the fleet's first start, else the second, since a peer that has lost its disk may have written another list under the first
// revision and published it to agents.
var (
	bootstrapRevision       = register.Revision{Epoch: 1, Version: 1}
	secondBootstrapRevision = register.Revision{Epoch: 2, Version: 1}
)

func (c *Core) helloMessage() protocol.Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.membership()
	return protocol.Hello{
		Name: c.host.Name, Role: coreRole, Address: c.host.Address, Zone: c.host.Zone, Incarnation: c.incarnation,
		BootstrapContacts: maps.Clone(c.bootstrapContacts), MayBootstrap: c.mayBootstrap,
		Members: current.members, MembersRecord: current.record, CaughtUp: c.caughtUp.Load(),
	}
}

// handleHello responds with this core's own hello. A sender that is a core but not a member is recorded as a joiner.
func (c *Core) handleHello(_ context.Context, h protocol.Hello) (protocol.Hello, error) {
	if current := c.membership(); h.Role == coreRole && current.self != nil && !current.hasIncarnation(h.Incarnation) {
		joiner := membership.Joiner{Name: h.Name, Address: h.Address, Zone: h.Zone, Incarnation: h.Incarnation, CaughtUp: h.CaughtUp, HeardAt: time.Now()}
		c.mu.Lock()
		previous := c.joiners[h.Name]
		c.joiners[h.Name] = joiner
		c.mu.Unlock()
		if previous.Incarnation != joiner.Incarnation || previous.CaughtUp != joiner.CaughtUp {
			c.wake()
		}
	}
	return c.helloMessage(), nil
}

// runBootstrap finds the members, or creates the first list together with the other bootstrap peers. While this core knows the members
// and is not one of them, it asks to be admitted. While it is in contact with no majority of the members that it knows, it also searches
// for a newer list.
func (c *Core) runBootstrap(ctx context.Context) {
	logged := false
	search := memberSearch{core: c}
	rpc.Every(ctx, protocol.HelloInterval, func() {
		current := c.membership()
		if len(current.members) == 0 {
			c.bootstrap(ctx)
			return
		}
		search.step(ctx, current)
		if current.self == nil && !c.leaving.Load() {
			if !logged {
				c.host.Log.Warn().Str("incarnation", c.incarnation).Str("hint", "asterridgectl admit core "+c.host.Name).Msg("this core is not a member")
			}
			logged = true
			c.announce(ctx, current)
		}
	})
}

// bootstrap sends hellos to the bootstrap peers. Once all of them report the same (address, incarnation) pairs and none knows a list,
// each peer whose disk dates from the first start writes the same first list (docs/design.md §2.6). A majority of the peers must have
// such disks: a peer that has lost its disk learns the list from the others, and no majority can have accepted anything under a list
// that none of them knows.
func (c *Core) bootstrap(ctx context.Context) {
	peers := c.host.BootstrapPeers
	if peers == nil {
		peers = append([]string{c.host.Address}, c.host.Seeds...)
	}
	contacts := map[string]string{c.host.Address: c.incarnation}
	hellos := []protocol.Hello{{Name: c.host.Name, Address: c.host.Address, Zone: c.host.Zone, Incarnation: c.incarnation}}
	for h := range c.contactSeeds(ctx, peers) {
		if len(h.Members) > 0 {
			c.adoptMembership(h.MembersRecord)
			if c.membership().self == nil {
				c.adoptBootstrapMembers(h, bootstrapRevision)
			}
			return
		}
		if h.Role == coreRole && slices.Contains(peers, h.Address) {
			contacts[h.Address] = h.Incarnation
			hellos = append(hellos, h)
		}
	}
	c.mu.Lock()
	c.bootstrapContacts = contacts
	c.mu.Unlock()
	if !c.mayBootstrap || !slices.Contains(peers, c.host.Address) || len(contacts) != len(peers) {
		return
	}
	eligible := 1
	for _, h := range hellos[1:] {
		if !maps.Equal(h.BootstrapContacts, contacts) {
			return
		}
		if h.MayBootstrap {
			eligible++
		}
	}
	if eligible < membership.Majority(len(peers)) {
		return
	}
	revision := bootstrapRevision
	if eligible < len(peers) {
		revision = secondBootstrapRevision
	}
	members := firstMembers(hellos)
	c.host.Log.Info().Int("members", len(members)).Msg("fleet bootstrapped")
	c.adoptBootstrapMembers(protocol.Hello{Members: members}, revision)
}

// firstMembers assigns member IDs in order of address, so that all bootstrap peers produce the same list.
func firstMembers(hellos []protocol.Hello) (members []config.Member) {
	sort.Slice(hellos, func(i, j int) bool { return hellos[i].Address < hellos[j].Address })
	for i, h := range hellos {
		members = append(members, config.Member{ID: uint32(i + 1), Name: h.Name, Address: h.Address, Zone: h.Zone, Incarnation: h.Incarnation})
	}
	return members
}

// adoptBootstrapMembers stores the first list, which a hello names, under a revision if this core is on it; otherwise it only follows the
// members.
func (c *Core) adoptBootstrapMembers(hello protocol.Hello, revision register.Revision) {
	if !membership.HasIncarnation(hello.Members, c.incarnation) {
		c.observeMembers(hello)
		return
	}
	fields := register.Fields{}
	for _, m := range hello.Members {
		fields[m.Name], _ = json.Marshal(m) // a plain struct always encodes
	}
	if err := c.acceptor.Adopt(config.MembersKey, revision, fields); err != nil {
		c.host.Log.Error().Err(apierror.Wrap(err, apierror.DiskFailed, "members")).Msg("first members not stored")
		return
	}
	c.applyMembers()
}

// contactSeeds sends hellos concurrently to the bootstrap peers, the seeds and every node known through gossip.
func (c *Core) contactSeeds(ctx context.Context, peers []string) <-chan protocol.Hello {
	addresses := slices.Concat(peers, c.host.Seeds)
	for _, node := range c.detector.Nodes()[1:] {
		addresses = append(addresses, node.Address)
	}
	slices.Sort(addresses)
	return c.broadcastHello(ctx, slices.Compact(addresses), protocol.Hello{})
}

// announce sends this core's hello to the members, which record it as a joiner if it is not a member, and adopts the list in their
// responses.
func (c *Core) announce(ctx context.Context, current activeMembership) {
	var addresses []string
	for _, m := range current.members {
		addresses = append(addresses, m.Address)
	}
	for h := range c.broadcastHello(ctx, addresses, c.helloMessage()) {
		c.adoptMembership(h.MembersRecord)
		c.observeMembers(h)
	}
}

// broadcastHello sends a hello concurrently to all addresses except this core's own. The channel is closed after the last response.
func (c *Core) broadcastHello(ctx context.Context, addresses []string, hello protocol.Hello) <-chan protocol.Hello {
	others := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return address == c.host.Address })
	return rpc.CallAll[protocol.Hello](ctx, c.rpc, others, "/core/hello", hello, protocol.HelloTimeout)
}
