package daemon

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metricsPrefix is the prefix of all metric names.
const metricsPrefix = "asterridge_"

// Gauge is one value of a Prometheus gauge.
type Gauge struct {
	Name  string // without the prefix
	Value float64
	// Label is the name and the value of the gauge's only label; both are empty if it has none.
	Label [2]string
}

// Gauges returns the current values when it is called.
type Gauges func() []Gauge

var _ prometheus.Collector = Gauges(nil)

// Describe implements prometheus.Collector. It sends no descriptors, because the set of metrics changes at run time.
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

// HandleMetrics adds GET /metrics, which serves the gauges in the Prometheus text format.
func HandleMetrics(mux *http.ServeMux, gauges Gauges) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(gauges)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
}

// BoolValue converts a bool to a gauge value: 1 for true, 0 for false.
func BoolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
