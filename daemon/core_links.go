package daemon

import (
	"context"
	"encoding/json"
	"time"

	"asterridge/config"
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
		f := c.followers[m.Name]
		if m.Incarnation == c.incarnation || f != nil && time.Since(f.FreshAsOf(m.Incarnation)) < liveTime {
			names = append(names, m.Name)
		}
	}
	return names
}

// beat looks after links, catching up, unsettled keys, claims and the list of proxies.
func (c *Core) beat(ctx context.Context) {
	now := c.membership()
	c.mu.Lock()
	for name, f := range c.followers {
		if !now.has(name, f.Options.Address) {
			f.Stop()
			delete(c.followers, name)
		}
	}
	for _, m := range now.members {
		if m.Incarnation != c.incarnation && c.followers[m.Name] == nil {
			f := watch.NewClient(watch.ClientOptions{
				RPC: c.wire, Address: m.Address, Path: "/core/whole", Wait: c.linkWait(),
				OnUpdate: func(f *watch.Client, answer watch.Response) {
					takeHolds(c.table)(f, answer)
					c.takeShared(answer)
					if answer.Snapshot {
						c.nudge() // there is much to catch up on
					}
				},
				Request: func() watch.Request { return watch.Request{Name: c.host.Name, Role: "core"} },
			})
			c.followers[m.Name] = f
			go f.Run(ctx)
		}
	}
	peers := make([]*watch.Client, 0, len(c.followers))
	for _, f := range c.followers {
		peers = append(peers, f)
	}
	c.mu.Unlock()
	failed, fresh := 0, 0
	for _, f := range peers {
		failed += c.catchUp(f)
		if time.Since(f.FreshAt()) < liveTime {
			fresh++
		}
	}
	if c.isDamaged.Load() {
		c.isDamaged.Store(c.acceptor.IsDamaged())
	}
	hasSnapshot := failed == 0 && fresh > len(now.members)/2
	news := c.hasSnapshot.Swap(hasSnapshot) != hasSnapshot
	c.watchSilence(now.members)
	if now.self == nil {
		if hasSnapshot && news && !c.isLeaving.Load() {
			go c.callOnMembers(ctx, now)
		}
		return // a joiner follows, and has no other part
	}
	c.settleLate(ctx)
	c.carry(ctx)
	if c.options.SelfAdmitting {
		c.tendMembers(ctx)
	}
	c.listProxies()
	c.table.Prune(time.Hour)
}

// settleLate asks the owner to settle keys that stay undecided here (§2.3).
func (c *Core) settleLate(ctx context.Context) {
	for _, key := range c.acceptor.Keys() {
		late := false
		c.mu.Lock()
		if !c.acceptor.Uncommitted(key) {
			delete(c.unsettled, key)
		} else if since, ok := c.unsettled[key]; !ok {
			c.unsettled[key] = time.Now()
		} else {
			late = time.Since(since) >= beatTime
		}
		c.mu.Unlock()
		if late {
			owner := register.Pick(key, c.live())
			go func() {
				short, stop := context.WithTimeout(ctx, majorityWait)
				defer stop()
				_, _ = rpc.Call[SettleAnswer](short, c.wire, c.addressOf(owner), "/own/settle", SettleOrder{Key: key, Has: c.acceptor.Revision(key)})
			}()
		}
	}
}

// listProxies tells the agents which proxies share the replicas (§5.3).
func (c *Core) listProxies() {
	fields := register.Fields{}
	for _, s := range c.data.ClientStates(proxyTime) {
		var status AgentStatus
		if s.Role == "agent" && json.Unmarshal(s.Status, &status) == nil && status.Proxy != nil && !status.Proxy.Stop {
			fields[status.Proxy.Proxy] = json.RawMessage(`true`)
		}
	}
	c.mu.Lock()
	change := config.Delta(c.proxies, fields)
	c.proxies = fields
	c.mu.Unlock()
	if len(change) > 0 {
		c.data.Publish(router.ProxiesKey, register.Revision{}, register.Revision{}, change, false)
	}
}

// AgentStatus is what an agent tells the cores of itself and its proxy.
type AgentStatus struct {
	Address string         `json:"address"`
	Zone    string         `json:"zone"`
	Current bool           `json:"current"`
	Why     string         `json:"why,omitempty"`
	Proxy   *router.Status `json:"proxy,omitempty"`
}
