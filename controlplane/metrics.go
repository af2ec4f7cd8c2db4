package controlplane

import (
	"asterridge/config"
	"asterridge/daemon"
	"asterridge/protocol"
)

// gauges returns the current values for GET /metrics; docs/operators.md describes each gauge.
func (c *Core) gauges() []daemon.Gauge {
	current := c.membership()
	uncommitted := 0
	for _, key := range c.acceptor.Keys() {
		if c.acceptor.Uncommitted(key) {
			uncommitted++
		}
	}
	all := []daemon.Gauge{
		{Name: "core_is_member", Value: daemon.BoolValue(current.self != nil)},
		{Name: "core_members", Value: float64(len(current.members))},
		{Name: "core_members_live", Value: float64(len(c.live()))},
		{Name: "core_keys_owned", Value: float64(len(c.owner.OwnedKeys()))},
		{Name: "core_holds", Value: float64(len(c.throttles.All()))},
		{Name: "core_blueprint_version", Value: float64(c.acceptor.Revision(config.Key).Version)},
		{Name: "core_keys_unsettled", Value: float64(uncommitted)},
	}
	for _, state := range c.agentUpdates.ClientStates(protocol.ProxyTimeout) {
		all = append(all, daemon.Gauge{Name: "core_agent_behind", Value: float64(state.Lag), Label: [2]string{"agent", state.Name}})
	}
	sent, suspected := c.detector.Stats()
	return append(all,
		daemon.Gauge{Name: "ring_messages_sent", Value: float64(sent)},
		daemon.Gauge{Name: "ring_alarms", Value: float64(suspected)})
}
