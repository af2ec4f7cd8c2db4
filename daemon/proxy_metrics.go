package daemon

import "asterridge/router"

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
