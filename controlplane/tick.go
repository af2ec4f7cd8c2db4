package controlplane

import (
	"context"
	"time"

	"asterridge/membership"
	"asterridge/protocol"
	"asterridge/rpc"
	"asterridge/watch"
)

const (
	// tickInterval is the time between two ticks; minTickInterval is the minimum time between a tick and a requested one.
	tickInterval    = 300 * time.Millisecond
	minTickInterval = 20 * time.Millisecond
)

// runTicks runs a tick at each interval, and as soon as possible when a change has requested one.
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

// wake requests a tick as soon as possible.
func (c *Core) wake() {
	select {
	case c.wakeups <- struct{}{}:
	default: // one is already requested
	}
}

// tick watches all members and catches up with what they have committed. On a member, it also has overdue changes committed, transfers
// registers, reconciles the membership and publishes the running proxies to agents.
func (c *Core) tick(ctx context.Context) {
	current := c.membership()
	peers := c.watchPeers(ctx, current)
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
	caughtUp := failures == 0 && fresh > len(current.members)/2 // peers excludes this core, so a member counts itself in addition
	changed := c.caughtUp.Swap(caughtUp) != caughtUp
	c.observeLiveness(current.members)
	c.observeOutdated(time.Now())
	if current.self == nil {
		if caughtUp && changed && !c.leaving.Load() {
			go c.announce(ctx, current)
		}
		return // a joiner only catches up
	}
	c.askForLostDisks(ctx, current.members)
	c.commitOverdue(ctx)
	c.transferKeys(ctx)
	if c.options.AutoMembership {
		c.reconcileMembership(ctx)
	}
	c.recordSuperseded(ctx)
	c.publishProxies()
	c.throttles.Prune()
}

// watchPeers maintains one watch for each other member, and returns all of them.
func (c *Core) watchPeers(ctx context.Context, current activeMembership) []*watch.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, peer := range c.peers {
		if !current.has(name, peer.Options.Address) {
			peer.Stop()
			delete(c.peers, name)
		}
	}
	for _, m := range current.members {
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
				c.wake() // a snapshot may contain many changes to catch up on
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

// commitOverdue asks the owners to commit registers whose change has been uncommitted on this core for longer than a tick
// (docs/design.md §2.3).
func (c *Core) commitOverdue(ctx context.Context) {
	for _, key := range c.acceptor.Keys() {
		if overdue := c.overdueFor(key); overdue > 0 {
			owner := coreForTask(key, c.able(), overdue)
			go c.requestCommit(ctx, owner, key)
		}
	}
}

// overdueFor returns for how much longer than a tick a register has had an uncommitted change; zero or negative if it is not overdue.
func (c *Core) overdueFor(key string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.acceptor.Uncommitted(key) {
		delete(c.uncommittedSince, key)
		return 0
	}
	since, known := c.uncommittedSince[key]
	if !known {
		c.uncommittedSince[key] = time.Now()
		return 0
	}
	return time.Since(since) - tickInterval
}

// requestCommit asks an owner to commit a register. The error is dropped: the next tick asks again.
func (c *Core) requestCommit(ctx context.Context, owner, key string) {
	ctx, cancel := context.WithTimeout(ctx, protocol.QuorumTimeout)
	defer cancel()
	request := CommitRequest{Key: key, Accepted: c.acceptor.Revision(key)}
	_, _ = rpc.Call[CommitResponse](ctx, c.rpc, c.membership().addressOf(owner), "/own/settle", request) // see above
}
