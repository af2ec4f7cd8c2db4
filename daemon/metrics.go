package daemon

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
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
