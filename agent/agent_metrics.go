package agent

import (
	"time"

	"asterridge/daemon"
)

func (a *Agent) gauges() []daemon.Gauge {
	all := []daemon.Gauge{{Name: "agent_current_ms", Value: float64(max(0, a.remaining()).Milliseconds())}, {Name: "agent_holds", Value: float64(len(a.throttles.All()))}}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.members {
		age := -1.0
		if f := a.cores[m.Address]; f != nil && !f.FreshAsOf(m.Incarnation).IsZero() {
			age = float64(time.Since(f.FreshAsOf(m.Incarnation)).Milliseconds())
		}
		all = append(all, daemon.Gauge{Name: "agent_link_age_ms", Value: age, Label: [2]string{"core", m.Name}})
	}
	return all
}
