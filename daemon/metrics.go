package daemon

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"asterridge/config"
	"asterridge/router"
)

// gauge is one figure; label is a name and a value, or empty.
type gauge struct {
	name  string
	value float64
	label [2]string
}

// gauges collects figures when they are asked for.
type gauges func() []gauge

// Describe sends nothing: which figures there are depends on what has happened.
func (gauges) Describe(chan<- *prometheus.Desc) {}

// Collect gives the figures of this moment.
func (g gauges) Collect(out chan<- prometheus.Metric) {
	for _, one := range g() {
		var names, values []string
		if one.label[0] != "" {
			names, values = []string{one.label[0]}, []string{one.label[1]}
		}
		out <- prometheus.MustNewConstMetric(prometheus.NewDesc("asterridge_"+one.name, "", names, nil), prometheus.GaugeValue, one.value, values...)
	}
}

// serveMetrics answers GET /metrics in the published text format.
func serveMetrics(mux *http.ServeMux, figures gauges) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(figures)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}

func truth(so bool) float64 {
	if so {
		return 1
	}
	return 0
}

func (c *Core) figures() []gauge {
	now := c.membership()
	all := []gauge{
		{name: "core_is_member", value: truth(now.self != nil)},
		{name: "core_members", value: float64(len(now.members))},
		{name: "core_members_live", value: float64(len(c.live()))},
		{name: "core_keys_owned", value: float64(len(c.owner.OwnedKeys()))},
		{name: "core_holds", value: float64(len(c.table.All()))},
		{name: "core_blueprint_version", value: float64(c.acceptor.Revision(config.Key).Version)},
	}
	unsettled := 0
	for _, key := range c.acceptor.Keys() {
		if c.acceptor.Uncommitted(key) {
			unsettled++
		}
	}
	all = append(all, gauge{name: "core_keys_unsettled", value: float64(unsettled)})
	for _, s := range c.data.ClientStates(proxyTime) {
		all = append(all, gauge{name: "core_agent_behind", value: float64(s.Lag), label: [2]string{"agent", s.Name}})
	}
	sent, alarms := c.ring.Stats()
	return append(all, gauge{name: "ring_messages_sent", value: float64(sent)}, gauge{name: "ring_alarms", value: float64(alarms)})
}

func (a *Agent) figures() []gauge {
	all := []gauge{{name: "agent_current_ms", value: float64(max(0, a.remaining()).Milliseconds())}, {name: "agent_holds", value: float64(len(a.table.All()))}}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.members {
		age := -1.0
		if f := a.links[m.Address]; f != nil && !f.FreshAsOf(m.Incarnation).IsZero() {
			age = float64(time.Since(f.FreshAsOf(m.Incarnation)).Milliseconds())
		}
		all = append(all, gauge{name: "agent_link_age_ms", value: age, label: [2]string{"core", m.Name}})
	}
	return all
}

func proxyFigures(r *router.Router) gauges {
	return func() []gauge {
		all := []gauge{{name: "proxy_is_current", value: truth(r.IsCurrent())}, {name: "proxy_is_ready", value: truth(r.IsReady())}}
		for name, n := range r.Counts() {
			all = append(all, gauge{name: "proxy_count", value: float64(n), label: [2]string{"what", name}})
		}
		for tenant, n := range r.Waiting() {
			all = append(all, gauge{name: "proxy_waiting", value: float64(n), label: [2]string{"tenant", tenant}})
		}
		return all
	}
}
