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
	"asterridge/daemon"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/rpc"
)

func (c *Core) helloMessage() protocol.Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.membership()
	return protocol.Hello{
		Name: c.host.Name, Role: "core", Address: c.host.Address, Zone: c.host.Zone, Incarnation: c.incarnation,
		BootstrapContacts: maps.Clone(c.bootstrapContacts), MayBootstrap: c.mayBootstrap, Members: now.members, MembersRecord: now.record, CaughtUp: c.caughtUp.Load(),
	}
}

// handleHello answers with who this core is, and notes a joiner that would be a member.
func (c *Core) handleHello(_ context.Context, h protocol.Hello) (protocol.Hello, error) {
	if now := c.membership(); h.Role == "core" && now.self != nil && !now.hasIncarnation(h.Incarnation) {
		c.mu.Lock()
		before := c.joiners[h.Name]
		c.joiners[h.Name] = joiner{h, time.Now()}
		c.mu.Unlock()
		if before.Incarnation != h.Incarnation || before.CaughtUp != h.CaughtUp {
			c.wake()
		}
	}
	return c.helloMessage(), nil
}

// bootstrap makes the first list of members, once all four founders tell the same (§2.6).
func (c *Core) bootstrap(ctx context.Context) {
	logged := false
	daemon.Every(ctx, protocol.HelloInterval, func() {
		if now := c.membership(); len(now.members) > 0 {
			if now.self == nil && !c.isLeaving.Load() {
				if !logged {
					c.host.Log.Warn().Str("event", "not_a_member").Str("incarnation", c.incarnation).
						Str("hint", "shell: admit core "+c.host.Name).Msg("")
				}
				logged = true
				c.announce(ctx, now)
			}
			return
		}
		founders := c.host.BootstrapPeers
		if founders == nil {
			founders = append([]string{c.host.Address}, c.host.Seeds...)
		}
		founder := c.mayBootstrap && slices.Contains(founders, c.host.Address)
		contacts := map[string]string{c.host.Address: c.incarnation}
		hellos := []protocol.Hello{{Name: c.host.Name, Address: c.host.Address, Zone: c.host.Zone, Incarnation: c.incarnation}}
		for h := range c.contactSeeds(ctx, founders) {
			if len(h.Members) > 0 {
				c.adoptBootstrapMembers(h.Members)
				return
			}
			if h.Role == "core" && slices.Contains(founders, h.Address) {
				contacts[h.Address] = h.Incarnation
				hellos = append(hellos, h)
			}
		}
		c.mu.Lock()
		c.bootstrapContacts = contacts
		c.mu.Unlock()
		if !founder || len(contacts) != len(founders) {
			return
		}
		for _, h := range hellos[1:] {
			if !h.MayBootstrap || !maps.Equal(h.BootstrapContacts, contacts) {
				return
			}
		}
		sort.Slice(hellos, func(i, j int) bool { return hellos[i].Address < hellos[j].Address })
		var members []config.Member
		for i, h := range hellos {
			members = append(members, config.Member{ID: uint32(i + 1), Name: h.Name, Address: h.Address, Zone: h.Zone, Incarnation: h.Incarnation})
		}
		c.host.Log.Info().Str("event", "founded").Int("members", len(members)).Msg("")
		c.adoptBootstrapMembers(members)
	})
}

// bootstrapRevision is the revision of the founders' list; all founders write the same content under it.
var bootstrapRevision = register.Revision{Epoch: 1, Version: 1}

// adoptBootstrapMembers keeps the founders' list if this core is on it; else it only notes where the members are.
func (c *Core) adoptBootstrapMembers(members []config.Member) {
	fields := register.Fields{}
	listed := false
	for _, m := range members {
		raw, _ := json.Marshal(m) // a plain struct always encodes
		fields[m.Name] = raw
		listed = listed || m.Incarnation == c.incarnation
	}
	if !listed {
		c.observeMembers(members)
		return
	}
	err := c.acceptor.Adopt(config.MembersKey, bootstrapRevision, fields)
	if err != nil {
		c.host.Log.Error().Str("event", "founding_failed").Err(apierror.Wrap(err, apierror.DiskFailed, "members")).Msg("")
		return
	}
	c.applyMembers()
}

// observeMembers has this core follow members that were told to it, unless it has become one of them meanwhile.
func (c *Core) observeMembers(members []config.Member) {
	c.membershipMu.Lock()
	defer c.membershipMu.Unlock()
	if c.membership().self == nil {
		c.members.Store(&committedMembership{members: members})
		c.wake()
	}
}

// contactSeeds says hello to the founders, the seeds and all that the ring has heard of, at once; who is silent holds up nobody for longer
// than a second.
func (c *Core) contactSeeds(ctx context.Context, founders []string) <-chan protocol.Hello {
	asked := slices.Concat(founders, c.host.Seeds)
	for _, d := range c.detector.Nodes()[1:] {
		asked = append(asked, d.Address)
	}
	slices.Sort(asked)
	return c.broadcastHello(ctx, slices.Compact(asked), protocol.Hello{})
}

// broadcastHello says hello to all at once; the channel closes after the last answer.
func (c *Core) broadcastHello(ctx context.Context, addresses []string, own protocol.Hello) <-chan protocol.Hello {
	answers := make(chan protocol.Hello, len(addresses))
	var all sync.WaitGroup
	for _, address := range addresses {
		if address == c.host.Address {
			continue
		}
		all.Go(func() {
			short, stop := context.WithTimeout(ctx, time.Second)
			defer stop()
			if h, err := rpc.Call[protocol.Hello](short, c.rpc, address, "/core/hello", own); err == nil {
				answers <- h
			}
		})
	}
	go func() { all.Wait(); close(answers) }()
	return answers
}

// announce makes this core known to the members, as a joiner if it is none, and takes over the list that they tell.
func (c *Core) announce(ctx context.Context, now committedMembership) {
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
