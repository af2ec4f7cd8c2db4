package daemon

import (
	"context"
	"encoding/json"
	"maps"
	"sort"
	"time"

	"asterridge/blueprint"
	"asterridge/fail"
	"asterridge/link"
	"asterridge/register"
)

// Hello is what daemons tell each other before they know more (§2.6).
type Hello struct {
	Name        string             `json:"name"`
	Role        string             `json:"role"`
	Address     string             `json:"address"`
	Zone        string             `json:"zone"`
	Incarnation string             `json:"incarnation"`
	Met         map[string]string  `json:"met,omitempty"` // founding: address → incarnation
	Members     []blueprint.Member `json:"members,omitempty"`
	HasImage    bool               `json:"image,omitempty"` // of a stranger: it has all that a majority has settled
}

const helloTime = 200 * time.Millisecond

func (c *Core) ownHello() Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Hello{
		Name: c.place.Name, Role: "core", Address: c.place.Address, Zone: c.place.Zone, Incarnation: c.incarnation,
		Met: maps.Clone(c.met), Members: c.council().members, HasImage: c.hasImage.Load(),
	}
}

// hello answers with who this core is, and notes a stranger that would be a member.
func (c *Core) hello(_ context.Context, h Hello) (Hello, error) {
	if h.Role == "core" && c.council().self != nil {
		c.mu.Lock()
		c.strangers[h.Name] = stranger{h, time.Now()}
		c.mu.Unlock()
	}
	return c.ownHello(), nil
}

// found makes the first list of members, once all four founders tell the same (§2.6).
func (c *Core) found(ctx context.Context) {
	isTold := false
	every(ctx, helloTime, func() {
		if now := c.council(); len(now.members) > 0 {
			if now.self == nil {
				if !isTold {
					c.place.Log.Warn().Str("event", "not_a_member").Str("incarnation", c.incarnation).
						Str("hint", "shell: admit core "+c.place.Name).Msg("")
				}
				isTold = true
				c.callOnMembers(ctx, now)
			}
			return
		}
		met := map[string]string{c.place.Address: c.incarnation}
		hellos := []Hello{{Name: c.place.Name, Address: c.place.Address, Zone: c.place.Zone, Incarnation: c.incarnation}}
		for _, seed := range c.place.Seeds {
			short, stop := context.WithTimeout(ctx, time.Second)
			h, err := link.Call[Hello](short, c.wire, seed, "/core/hello", Hello{})
			stop()
			if err != nil {
				continue
			}
			if len(h.Members) > 0 {
				c.adoptMembers(h.Members)
				return
			}
			if h.Role == "core" {
				met[h.Address] = h.Incarnation
				hellos = append(hellos, h)
			}
		}
		c.mu.Lock()
		c.met = met
		c.mu.Unlock()
		if len(met) != len(c.place.Seeds)+1 {
			return
		}
		for _, h := range hellos[1:] {
			if !maps.Equal(h.Met, met) {
				return
			}
		}
		sort.Slice(hellos, func(i, j int) bool { return hellos[i].Address < hellos[j].Address })
		var members []blueprint.Member
		for i, h := range hellos {
			members = append(members, blueprint.Member{ID: uint8(i + 1), Name: h.Name, Address: h.Address, Zone: h.Zone, Incarnation: h.Incarnation})
		}
		c.place.Log.Info().Str("event", "founded").Int("members", len(members)).Msg("")
		c.adoptMembers(members)
	})
}

// firstStamp is the stamp of the founders' list; all founders write the same content under it.
var firstStamp = register.Stamp{Epoch: 1, Version: 1}

// adoptMembers keeps the founders' list if this core is on it; else it only notes where the members are.
func (c *Core) adoptMembers(members []blueprint.Member) {
	fields := register.Fields{}
	isListed := false
	for _, m := range members {
		raw, _ := json.Marshal(m) // a plain struct always encodes
		fields[m.Name] = raw
		isListed = isListed || m.Incarnation == c.incarnation
	}
	if !isListed {
		c.members.Store(&council{members: members})
		return
	}
	err := c.keeper.Adopt(blueprint.MembersKey, firstStamp, fields)
	if err != nil {
		c.place.Log.Error().Str("event", "founding_failed").Err(fail.Wrap(err, fail.DiskFailed, "members")).Msg("")
		return
	}
	c.learnMembers()
}

// callOnMembers makes this core known as a stranger that would be a member, and follows the list that they tell.
func (c *Core) callOnMembers(ctx context.Context, now council) {
	for _, m := range now.members {
		short, stop := context.WithTimeout(ctx, time.Second)
		h, err := link.Call[Hello](short, c.wire, m.Address, "/core/hello", c.ownHello())
		stop()
		if err == nil && len(h.Members) > 0 && c.council().self == nil {
			c.members.Store(&council{members: h.Members})
		}
	}
}
