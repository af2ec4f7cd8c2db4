package daemon

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"asterridge/config"
	"asterridge/router"
)

// Gauge is one figure; label is a name and a value, or empty.
type Gauge struct {
	Name  string
	Value float64
	Label [2]string
}

// Gauges collects figures when they are asked for.
type Gauges func() []Gauge

// Describe sends nothing: which figures there are depends on what has happened.
func (Gauges) Describe(chan<- *prometheus.Desc) {}

// Collect gives the figures of this moment.
func (g Gauges) Collect(out chan<- prometheus.Metric) {
	for _, one := range g() {
		var names, values []string
		if one.Label[0] != "" {
			names, values = []string{one.Label[0]}, []string{one.Label[1]}
		}
		out <- prometheus.MustNewConstMetric(prometheus.NewDesc("asterridge_"+one.Name, "", names, nil), prometheus.GaugeValue, one.Value, values...)
	}
}

// HandleMetrics answers GET /metrics in the published text format.
func HandleMetrics(mux *http.ServeMux, figures Gauges) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(figures)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}

func BoolValue(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

func (c *Core) gauges() []Gauge {
	now := c.membership()
	all := []Gauge{
		{Name: "core_is_member", Value: BoolValue(now.self != nil)},
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
	all = append(all, Gauge{Name: "core_keys_unsettled", Value: float64(unsettled)})
	for _, s := range c.agentUpdates.ClientStates(ProxyTimeout) {
		all = append(all, Gauge{Name: "core_agent_behind", Value: float64(s.Lag), Label: [2]string{"agent", s.Name}})
	}
	sent, alarms := c.detector.Stats()
	return append(all, Gauge{Name: "ring_messages_sent", Value: float64(sent)}, Gauge{Name: "ring_alarms", Value: float64(alarms)})
}

func (a *Agent) gauges() []Gauge {
	all := []Gauge{{Name: "agent_current_ms", Value: float64(max(0, a.remaining()).Milliseconds())}, {Name: "agent_holds", Value: float64(len(a.throttles.All()))}}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.members {
		age := -1.0
		if f := a.cores[m.Address]; f != nil && !f.FreshAsOf(m.Incarnation).IsZero() {
			age = float64(time.Since(f.FreshAsOf(m.Incarnation)).Milliseconds())
		}
		all = append(all, Gauge{Name: "agent_link_age_ms", Value: age, Label: [2]string{"core", m.Name}})
	}
	return all
}

func proxyGauges(r *router.Router) Gauges {
	return func() []Gauge {
		all := []Gauge{{Name: "proxy_is_current", Value: BoolValue(r.IsCurrent())}, {Name: "proxy_is_ready", Value: BoolValue(r.IsReady())}}
		for name, n := range r.Counts() {
			all = append(all, Gauge{Name: "proxy_count", Value: float64(n), Label: [2]string{"what", name}})
		}
		for tenant, n := range r.Waiting() {
			all = append(all, Gauge{Name: "proxy_waiting", Value: float64(n), Label: [2]string{"tenant", tenant}})
		}
		return all
	}
}
