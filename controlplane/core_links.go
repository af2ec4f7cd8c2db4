package controlplane

import (
	"context"
	"encoding/json"
	"time"

	"asterridge/config"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/rpc"
	"asterridge/watch"
)

// live names the members heard lately, this one included.
func (c *Core) live() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, m := range c.membership().members {
		f := c.peers[m.Name]
		if m.Incarnation == c.incarnation || f != nil && time.Since(f.FreshAsOf(m.Incarnation)) < protocol.LivenessTimeout {
			names = append(names, m.Name)
		}
	}
	return names
}

// tick looks after links, catching up, unsettled keys, claims and the list of proxies.
func (c *Core) tick(ctx context.Context) {
	now := c.membership()
	c.mu.Lock()
	for name, f := range c.peers {
		if !now.has(name, f.Options.Address) {
			f.Stop()
			delete(c.peers, name)
		}
	}
	for _, m := range now.members {
		if m.Incarnation != c.incarnation && c.peers[m.Name] == nil {
			f := watch.NewClient(watch.ClientOptions{
				RPC: c.rpc, Address: m.Address, Path: "/core/whole", Wait: c.watchWait(),
				OnUpdate: func(f *watch.Client, answer watch.Response) {
					protocol.MergeThrottles(c.throttles, answer)
					c.applyStoreUpdates(answer)
					if answer.Snapshot {
						c.wake() // there is much to catch up on
					}
				},
				Request: func() watch.Request { return watch.Request{Name: c.host.Name, Role: "core"} },
			})
			c.peers[m.Name] = f
			go f.Run(ctx)
		}
	}
	peers := make([]*watch.Client, 0, len(c.peers))
	for _, f := range c.peers {
		peers = append(peers, f)
	}
	c.mu.Unlock()
	failed, fresh := 0, 0
	for _, f := range peers {
		failed += c.catchUp(f)
		if time.Since(f.FreshAt()) < protocol.LivenessTimeout {
			fresh++
		}
	}
	if c.isDamaged.Load() {
		c.isDamaged.Store(c.acceptor.IsDamaged())
	}
	hasSnapshot := failed == 0 && fresh > len(now.members)/2
	news := c.caughtUp.Swap(hasSnapshot) != hasSnapshot
	c.observeLiveness(now.members)
	if now.self == nil {
		if hasSnapshot && news && !c.isLeaving.Load() {
			go c.announce(ctx, now)
		}
		return // a joiner follows, and has no other part
	}
	c.commitOverdue(ctx)
	c.transferKeys(ctx)
	if c.options.AutoMembership {
		c.reconcileMembership(ctx)
	}
	c.publishProxies()
	c.throttles.Prune(time.Hour)
}

// commitOverdue asks the owner to settle keys that stay undecided here (§2.3).
func (c *Core) commitOverdue(ctx context.Context) {
	for _, key := range c.acceptor.Keys() {
		overdue := false
		c.mu.Lock()
		if !c.acceptor.Uncommitted(key) {
			delete(c.uncommittedSince, key)
		} else if since, ok := c.uncommittedSince[key]; !ok {
			c.uncommittedSince[key] = time.Now()
		} else {
			overdue = time.Since(since) >= tickInterval
		}
		c.mu.Unlock()
		if overdue {
			owner := register.Pick(key, c.live())
			go func() {
				short, stop := context.WithTimeout(ctx, protocol.QuorumTimeout)
				defer stop()
				_, _ = rpc.Call[CommitResponse](short, c.rpc, c.addressOf(owner), "/own/settle", CommitRequest{Key: key, Accepted: c.acceptor.Revision(key)})
			}()
		}
	}
}

// publishProxies tells the agents which proxies share the replicas (§5.3).
func (c *Core) publishProxies() {
	fields := register.Fields{}
	for _, s := range c.agentUpdates.ClientStates(protocol.ProxyTimeout) {
		var status protocol.AgentStatus
		if s.Role == "agent" && json.Unmarshal(s.Status, &status) == nil && status.Proxy != nil && !status.Proxy.Stop {
			fields[status.Proxy.Proxy] = json.RawMessage(`true`)
		}
	}
	c.mu.Lock()
	change := config.Delta(c.proxies, fields)
	c.proxies = fields
	c.mu.Unlock()
	if len(change) > 0 {
		c.agentUpdates.Publish(router.ProxiesKey, register.Revision{}, register.Revision{}, change, false)
	}
}
