package agent

import (
	"time"

	"asterridge/daemon"
)

// unknownAge is the reported age for a core that has never answered.
const unknownAge = -1

// gauges returns the current values for GET /metrics; docs/operators.md describes them.
func (a *Agent) gauges() []daemon.Gauge {
	all := []daemon.Gauge{
		{Name: "agent_current_ms", Value: float64(max(0, a.remaining()).Milliseconds())},
		{Name: "agent_holds", Value: float64(len(a.throttles.All()))},
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	all = append(all, a.diagnosisGauges(time.Now())...)
	for _, m := range a.members {
		age := float64(unknownAge)
		if at := a.freshAsOf(m); !at.IsZero() {
			age = float64(time.Since(at).Milliseconds())
		}
		all = append(all, daemon.Gauge{Name: "agent_link_age_ms", Value: age, Label: [2]string{"core", m.Name}})
	}
	return all
}
