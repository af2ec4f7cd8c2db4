package controlplane

import (
	"asterridge/apierror"
	"asterridge/config"
	"asterridge/membership"
	"asterridge/register"
)

// voters returns the acceptors that decide about a register, for requests under the membership that this core acts on now. A member whose
// disk is proven lost decides nothing about the list of members any more, so that the list can be mended when fewer than a majority of the
// members are left (docs/control.md §3). Every other register has to wait for that.
func (c *Core) voters(key string) (register.Voters, error) {
	current := c.membership()
	if current.self == nil {
		return register.Voters{}, apierror.New(apierror.NoMember, "%s is not a member", c.host.Name)
	}
	lost := map[uint32]bool{}
	if key == config.MembersKey {
		lost = c.lostDisks.among(current.members)
	}
	client := acceptorClient{core: c, membersVersion: current.version}
	voters := register.Voters{Lost: len(lost)}
	for _, m := range current.members {
		switch {
		case lost[m.ID]:
		case m.Incarnation == c.incarnation:
			voters.Peers = append(voters.Peers, localAcceptor{client})
		default:
			voters.Peers = append(voters.Peers, remoteAcceptor{acceptorClient: client, address: m.Address})
		}
	}
	return voters, nil
}

// hasQuorumFor reports whether this core is in contact with as many members as are needed to change a register.
func (c *Core) hasQuorumFor(key string) bool {
	voters, err := c.voters(key)
	return err == nil && len(c.live()) >= voters.Quorum()
}

// hasQuorum reports whether this core is a member and is in contact with a majority of the members. Without a quorum it must not take
// singleton roles: it would consider itself the only live core and assign all of them to itself.
func (c *Core) hasQuorum() bool {
	current := c.membership()
	return current.self != nil && c.hasMajorityOf(current.members)
}

// hasMajorityOf reports whether this core is in contact with a majority of these members.
func (c *Core) hasMajorityOf(members []config.Member) bool {
	return len(c.live()) >= membership.Majority(len(members))
}
