package daemon

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsPrefix begins the names of all figures.
const metricsPrefix = "asterridge_"

// Gauge is one figure.
type Gauge struct {
	Name  string // without the prefix
	Value float64
	// Label is the name and the value of its only label; empty if it has none.
	Label [2]string
}

// Gauges gives the figures of the moment when it is called.
type Gauges func() []Gauge

var _ prometheus.Collector = Gauges(nil)

// Describe implements prometheus.Collector. It sends nothing: which figures there are depends on what has happened.
func (Gauges) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (g Gauges) Collect(out chan<- prometheus.Metric) {
	for _, gauge := range g() {
		var names, values []string
		if gauge.Label[0] != "" {
			names, values = []string{gauge.Label[0]}, []string{gauge.Label[1]}
		}
		desc := prometheus.NewDesc(metricsPrefix+gauge.Name, "", names, nil)
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, gauge.Value, values...)
	}
}

// HandleMetrics answers GET /metrics in the text format of Prometheus.
func HandleMetrics(mux *http.ServeMux, gauges Gauges) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(gauges)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}

// BoolValue is 1 for true and 0 for false.
func BoolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
