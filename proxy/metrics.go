package proxy

import (
	"asterridge/daemon"
	"asterridge/router"
)

// gauges returns the router's current values for GET /metrics; docs/operators.md describes them.
func gauges(r *router.Router) daemon.Gauges {
	return func() []daemon.Gauge {
		all := []daemon.Gauge{
			{Name: "proxy_is_current", Value: daemon.BoolValue(r.IsCurrent())},
			{Name: "proxy_is_ready", Value: daemon.BoolValue(r.IsReady())},
		}
		for name, n := range r.Counts() {
			all = append(all, daemon.Gauge{Name: "proxy_count", Value: float64(n), Label: [2]string{"what", name}})
		}
		for tenant, n := range r.Waiting() {
			all = append(all, daemon.Gauge{Name: "proxy_waiting", Value: float64(n), Label: [2]string{"tenant", tenant}})
		}
		return all
	}
}
