package controlplane

import (
	"asterridge/config"
	"asterridge/daemon"
	"asterridge/protocol"
)

func (c *Core) gauges() []daemon.Gauge {
	now := c.membership()
	all := []daemon.Gauge{
		{Name: "core_is_member", Value: daemon.BoolValue(now.self != nil)},
		{Name: "core_members", Value: float64(len(now.members))},
		{Name: "core_members_live", Value: float64(len(c.live()))},
		{Name: "core_keys_owned", Value: float64(len(c.owner.OwnedKeys()))},
		{Name: "core_holds", Value: float64(len(c.throttles.All()))},
		{Name: "core_blueprint_version", Value: float64(c.acceptor.Revision(config.Key).Version)},
	}
	unsettled := 0
	for _, key := range c.acceptor.Keys() {
		if c.acceptor.Uncommitted(key) {
			unsettled++
		}
	}
	all = append(all, daemon.Gauge{Name: "core_keys_unsettled", Value: float64(unsettled)})
	for _, s := range c.agentUpdates.ClientStates(protocol.ProxyTimeout) {
		all = append(all, daemon.Gauge{Name: "core_agent_behind", Value: float64(s.Lag), Label: [2]string{"agent", s.Name}})
	}
	sent, alarms := c.detector.Stats()
	return append(all, daemon.Gauge{Name: "ring_messages_sent", Value: float64(sent)}, daemon.Gauge{Name: "ring_alarms", Value: float64(alarms)})
}
