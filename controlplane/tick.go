package controlplane

import (
	"context"
	"time"

	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/rendezvous"
	"asterridge/rpc"
	"asterridge/watch"
)

const (
	// tickInterval is the time between two ticks, minTickInterval the least time between a tick and one that is asked for.
	tickInterval    = 300 * time.Millisecond
	minTickInterval = 20 * time.Millisecond
)

// runTicks ticks at each interval, and at once when something has changed that the next tick would act upon.
func (c *Core) runTicks(ctx context.Context) {
	go rpc.Every(ctx, tickInterval, c.wake)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wakeups:
		}
		c.tick(ctx)
		if rpc.Sleep(ctx, minTickInterval) != nil {
			return
		}
	}
}

// wake asks for a tick soon.
func (c *Core) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default: // one is asked for already
	}
}

// tick brings this core up to the members' state and does what it owes the others: it watches all members, catches up with them, and, as a
// member, has overdue changes committed, transfers keys, reconciles the members and tells agents of the proxies.
func (c *Core) tick(ctx context.Context) {
	now := c.membership()
	peers := c.watchPeers(ctx, now)
	failures, fresh := 0, 0
	for _, peer := range peers {
		failures += c.catchUp(peer)
		if time.Since(peer.FreshAt()) < membership.LivenessTimeout {
			fresh++
		}
	}
	if c.damaged.Load() {
		c.damaged.Store(c.acceptor.IsDamaged())
	}
	caughtUp := failures == 0 && fresh > len(now.members)/2 // the peers do not contain this core, even if it is a member
	changed := c.caughtUp.Swap(caughtUp) != caughtUp
	c.observeLiveness(now.members)
	if now.self == nil {
		if caughtUp && changed && !c.leaving.Load() {
			go c.announce(ctx, now)
		}
		return // a joiner follows, and has no other part
	}
	c.commitOverdue(ctx)
	c.transferKeys(ctx)
	if c.options.AutoMembership {
		c.reconcileMembership(ctx)
	}
	c.recordSuperseded(ctx)
	c.publishProxies()
	c.throttles.Prune()
}

// watchPeers keeps one watch for each other member, and gives all of them.
func (c *Core) watchPeers(ctx context.Context, now activeMembership) []*watch.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, peer := range c.peers {
		if !now.has(name, peer.Options.Address) {
			peer.Stop()
			delete(c.peers, name)
		}
	}
	for _, m := range now.members {
		if m.Incarnation != c.incarnation && c.peers[m.Name] == nil {
			peer := c.newPeerWatch(m.Address)
			c.peers[m.Name] = peer
			go peer.Run(ctx)
		}
	}
	peers := make([]*watch.Client, 0, len(c.peers))
	for _, peer := range c.peers {
		peers = append(peers, peer)
	}
	return peers
}

func (c *Core) newPeerWatch(address string) *watch.Client {
	return watch.NewClient(watch.ClientOptions{
		RPC:     c.rpc,
		Address: address,
		Path:    "/core/whole",
		Wait:    c.watchWait(),
		Request: func() watch.Request { return watch.Request{Name: c.host.Name, Role: coreRole} },
		OnUpdate: func(_ *watch.Client, response watch.Response) {
			protocol.MergeThrottles(c.throttles, response)
			c.applySharedBlocks(response)
			if response.Snapshot {
				c.wake() // there is much to catch up on
			}
		},
	})
}

func (c *Core) watchWait() time.Duration {
	if c.options.WatchWait > 0 {
		return c.options.WatchWait
	}
	return protocol.DefaultWatchWait
}

// commitOverdue asks the owners to commit registers whose change has been uncommitted here for longer than a tick (docs/design.md §2.3).
func (c *Core) commitOverdue(ctx context.Context) {
	for _, key := range c.acceptor.Keys() {
		if c.isOverdue(key) {
			owner := rendezvous.Pick(key, c.live())
			go c.requestCommit(ctx, owner, key)
		}
	}
}

// isOverdue reports whether a register has had an uncommitted change for longer than a tick.
func (c *Core) isOverdue(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptor.Uncommitted(key) {
		delete(c.uncommittedSince, key)
		return false
	}
	since, known := c.uncommittedSince[key]
	if !known {
		c.uncommittedSince[key] = time.Now()
		return false
	}
	return time.Since(since) >= tickInterval
}

// requestCommit asks an owner to commit a register. A failure is not reported: the next tick asks again.
func (c *Core) requestCommit(ctx context.Context, owner, key string) {
	ctx, cancel := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer cancel()
	request := CommitRequest{Key: key, Accepted: c.acceptor.Revision(key)}
	_, _ = rpc.Call[CommitResponse](ctx, c.rpc, c.membership().addressOf(owner), "/own/settle", request) // see above
}
