package controlplane

import (
	"context"
	"sync"
	"time"

	"asterridge/config"
	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/rpc"
)

// lostDisks are the incarnations of disks that are proven lost. A proof is never withdrawn: a disk that has lost its incarnation gets another.
//
// A hello that arrives is only a reason to ask, since it may be late and come from a life before the member's. The proof is another
// incarnation in the answer to a question that this core has sent to the member's own address after it had met the member on a list: an
// address belongs to one machine at a time, so the answer is from a life after the member's.
type lostDisks struct {
	mu     sync.Mutex
	proven map[string]bool
	asking bool
}

// among returns the IDs of the members whose disks are proven lost.
func (l *lostDisks) among(members []config.Member) map[uint32]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lost := map[uint32]bool{}
	for _, m := range members {
		if l.proven[m.Incarnation] {
			lost[m.ID] = true
		}
	}
	return lost
}

// record notes an answer from a member's address to a question that was sent while the member was listed.
func (l *lostDisks) record(listed config.Member, answer protocol.Hello) (proven bool) {
	if answer.Role != coreRole || answer.Address != listed.Address || answer.Incarnation == "" || answer.Incarnation == listed.Incarnation {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.proven == nil {
		l.proven = map[string]bool{}
	}
	l.proven[listed.Incarnation] = true
	return true
}

// begin and end keep the questions to one at a time.
func (l *lostDisks) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	begun := !l.asking
	l.asking = true
	return begun
}

func (l *lostDisks) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asking = false
}

// askForLostDisks asks the address of each member for which a joiner has called whether another disk is there, in the background.
func (c *Core) askForLostDisks(ctx context.Context, members []config.Member) {
	proven := c.lostDisks.among(members)
	var suspects []config.Member
	for _, joiner := range c.recentJoiners() {
		if member, ok := joiner.LostDisk(members, time.Now()); ok && !proven[member.ID] {
			suspects = append(suspects, member)
		}
	}
	if len(suspects) == 0 || !c.lostDisks.begin() {
		return
	}
	go func() {
		defer c.lostDisks.end()
		for _, member := range suspects {
			c.askForLostDisk(ctx, member)
		}
	}()
}

// askForLostDisk asks one member's address. No answer is no proof.
func (c *Core) askForLostDisk(ctx context.Context, member config.Member) {
	ctx, cancel := context.WithTimeout(ctx, protocol.HelloTimeout)
	defer cancel()
	answer, err := rpc.Call[protocol.Hello](ctx, c.rpc, member.Address, "/core/hello", protocol.Hello{})
	if err != nil || !c.lostDisks.record(member, answer) {
		return
	}
	c.host.Log.Warn().Str("member", member.Name).Str("incarnation", member.Incarnation).Msg("disk of a member is lost")
	c.wake()
}

// recentJoiners returns the cores that ask to be admitted.
func (c *Core) recentJoiners() (joiners []membership.Joiner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, joiner := range c.joiners {
		joiners = append(joiners, joiner)
	}
	return joiners
}
