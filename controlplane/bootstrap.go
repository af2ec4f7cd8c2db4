package controlplane

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"asterridge/apierror"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rpc"
)

const coreRole = "core"

// The revision of the first list, under which all bootstrap peers write the same content: the first one if all their disks date from the
// first start, else the second, since one that has lost its disk may have written another list under the first and told agents of it.
var (
	bootstrapRevision       = register.Revision{Epoch: 1, Version: 1}
	secondBootstrapRevision = register.Revision{Epoch: 2, Version: 1}
)

func (c *Core) helloMessage() protocol.Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.membership()
	return protocol.Hello{
		Name: c.host.Name, Role: coreRole, Address: c.host.Address, Zone: c.host.Zone, Incarnation: c.incarnation,
		BootstrapContacts: maps.Clone(c.bootstrapContacts), MayBootstrap: c.mayBootstrap,
		Members: now.members, MembersRecord: now.record, CaughtUp: c.caughtUp.Load(),
	}
}

// handleHello answers with who this core is. A core that is no member is noted as a joiner.
func (c *Core) handleHello(_ context.Context, h protocol.Hello) (protocol.Hello, error) {
	if now := c.membership(); h.Role == coreRole && now.self != nil && !now.hasIncarnation(h.Incarnation) {
		joiner := membership.Joiner{Name: h.Name, Address: h.Address, Zone: h.Zone, Incarnation: h.Incarnation, CaughtUp: h.CaughtUp, HeardAt: time.Now()}
		c.mu.Lock()
		before := c.joiners[h.Name]
		c.joiners[h.Name] = joiner
		c.mu.Unlock()
		if before.Incarnation != joiner.Incarnation || before.CaughtUp != joiner.CaughtUp {
			c.wake()
		}
	}
	return c.helloMessage(), nil
}

// runBootstrap finds the members, or makes the first list with the other bootstrap peers. As long as this core knows members and is none,
// it asks them to admit it.
func (c *Core) runBootstrap(ctx context.Context) {
	logged := false
	rpc.Every(ctx, protocol.HelloInterval, func() {
		now := c.membership()
		switch {
		case len(now.members) == 0:
			c.bootstrap(ctx)
		case now.self == nil && !c.leaving.Load():
			if !logged {
				c.host.Log.Warn().Str("incarnation", c.incarnation).Str("hint", "asterridgectl admit core "+c.host.Name).Msg("this core is not a member")
			}
			logged = true
			c.announce(ctx, now)
		}
	})
}

// bootstrap introduces this core to the bootstrap peers. Once all of them tell of the same (address, incarnation) pairs and none knows a
// list, each whose disk dates from the first start writes the same first list (docs/design.md §2.6). A majority of them have to be such:
// one that has lost its disk since is told the list by the others, and nothing was accepted under a list that neither of them knows.
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
				c.adoptBootstrapMembers(h.Members, bootstrapRevision)
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
	founders := 1
	for _, h := range hellos[1:] {
		if !maps.Equal(h.BootstrapContacts, contacts) {
			return
		}
		if h.MayBootstrap {
			founders++
		}
	}
	if founders < membership.Majority(len(peers)) {
		return
	}
	revision := bootstrapRevision
	if founders < len(peers) {
		revision = secondBootstrapRevision
	}
	members := firstMembers(hellos)
	c.host.Log.Info().Int("members", len(members)).Msg("fleet bootstrapped")
	c.adoptBootstrapMembers(members, revision)
}

// firstMembers numbers the bootstrap peers by their addresses, so that all of them make the same list.
func firstMembers(hellos []protocol.Hello) (members []config.Member) {
	sort.Slice(hellos, func(i, j int) bool { return hellos[i].Address < hellos[j].Address })
	for i, h := range hellos {
		members = append(members, config.Member{ID: uint32(i + 1), Name: h.Name, Address: h.Address, Zone: h.Zone, Incarnation: h.Incarnation})
	}
	return members
}

// adoptBootstrapMembers stores the first list under a revision if this core is on it; else it only notes where the members are.
func (c *Core) adoptBootstrapMembers(members []config.Member, revision register.Revision) {
	if !membership.HasIncarnation(members, c.incarnation) {
		c.observeMembers(members)
		return
	}
	fields := register.Fields{}
	for _, m := range members {
		fields[m.Name], _ = json.Marshal(m) // a plain struct always encodes
	}
	if err := c.acceptor.Adopt(config.MembersKey, revision, fields); err != nil {
		c.host.Log.Error().Err(apierror.Wrap(err, apierror.DiskFailed, "members")).Msg("first members not stored")
		return
	}
	c.applyMembers()
}

// contactSeeds says hello to the bootstrap peers, the seeds and every node that gossip has told of, at once.
func (c *Core) contactSeeds(ctx context.Context, peers []string) <-chan protocol.Hello {
	addresses := slices.Concat(peers, c.host.Seeds)
	for _, node := range c.detector.Nodes()[1:] {
		addresses = append(addresses, node.Address)
	}
	slices.Sort(addresses)
	return c.broadcastHello(ctx, slices.Compact(addresses), protocol.Hello{})
}

// announce introduces this core to the members, as a joiner if it is none of them, and takes over the list that they tell.
func (c *Core) announce(ctx context.Context, now activeMembership) {
	var addresses []string
	for _, m := range now.members {
		addresses = append(addresses, m.Address)
	}
	for h := range c.broadcastHello(ctx, addresses, c.helloMessage()) {
		c.adoptMembership(h.MembersRecord)
		if len(h.Members) > 0 {
			c.observeMembers(h.Members)
		}
	}
}

// broadcastHello says hello to all addresses but this core's own, at once. The channel closes after the last answer.
func (c *Core) broadcastHello(ctx context.Context, addresses []string, hello protocol.Hello) <-chan protocol.Hello {
	answers := make(chan protocol.Hello, len(addresses))
	var pending sync.WaitGroup
	for _, address := range addresses {
		if address == c.host.Address {
			continue
		}
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, protocol.HelloTimeout)
			defer cancel()
			if h, err := rpc.Call[protocol.Hello](ctx, c.rpc, address, "/core/hello", hello); err == nil {
				answers <- h
			}
		})
	}
	go func() {
		pending.Wait()
		close(answers)
	}()
	return answers
}
