package controlplane

import (
	"encoding/json"

	"asterridge/config"
	"asterridge/protocol"
	"asterridge/register"
	"asterridge/router"
	"asterridge/throttle"
)

// publishAccepted publishes what the disk has accepted to peers and agents. It is called with the key's lock held.
func (c *Core) publishAccepted(key string, record register.Record, change register.Fields, full bool) {
	c.peerUpdates.Publish(key, record.Revision, record.Committed, change, full)
	if protocol.IsPublished(key) {
		c.agentUpdates.Publish(key, record.Revision, record.Committed, withoutTexts(change), full)
	}
	if c.acceptor == nil {
		return // still loading
	}
	switch key {
	case config.MembersKey:
		go func() {
			c.applyMembers()
			c.wake()
		}()
	case config.ModelsKey:
		c.publishModelVersions(change)
	}
}

// withoutTexts removes the configuration texts as written by operators, which only operators read.
func withoutTexts(change register.Fields) register.Fields {
	remaining := register.Fields{}
	for field, raw := range change {
		if !config.IsText(field) {
			remaining[field] = raw
		}
	}
	return remaining
}

// publishThrottle publishes a throttle to peers and agents.
func (c *Core) publishThrottle(e throttle.Entry) {
	raw, _ := json.Marshal(e.Notice) // a plain struct always encodes
	fields := register.Fields{e.Scope: raw}
	c.peerUpdates.PublishHint(router.ThrottleKey, fields, false)
	c.agentUpdates.PublishHint(router.ThrottleKey, fields, false)
}

// publishProxies publishes to agents which proxies are running and share the replicas (docs/design.md §5.3).
func (c *Core) publishProxies() {
	running := register.Fields{}
	for _, state := range c.agentUpdates.ClientStates(protocol.ProxyTimeout) {
		if status, ok := agentStatus(state); ok && state.Role == "agent" && status.Proxy != nil && !status.Proxy.Stop {
			running[status.Proxy.Proxy] = json.RawMessage(`true`)
		}
	}
	c.mu.Lock()
	change := config.Delta(c.proxies, running)
	c.proxies = running
	c.mu.Unlock()
	if len(change) > 0 {
		c.agentUpdates.PublishHint(router.ProxiesKey, change, false)
	}
}
