package node

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"hitchvale/balance"
)

// statusNames are the label values of the attempts' statuses, as WIRE-hitchvale.md names them, in the order of
// balance.Status.
var statusNames = [balance.StatusNotSent + 1]string{
	"delivered",
	"app_error",
	"shed",
	"expired",
	"dial_failed",
	"dropped",
	"revoked",
	"unused",
}

// scrapeTimeout bounds the answer to a scrape.
const scrapeTimeout = time.Second

// metrics is the node's collector for Prometheus. It reads the counters at each scrape; they have a form and names of
// their own on /admin/stats.
type metrics struct {
	counters       *counters
	guard          *guard
	discoveryCalls *prometheus.HistogramVec // duration in seconds, by result
	listRevision   prometheus.Gauge
	registry       *prometheus.Registry
}

var (
	requestsDesc = newDesc("glencart_requests_total",
		"Requests ended, by class and outcome (completed, rejected, failed).", "class", "outcome")
	attemptsDesc = newDesc("glencart_attempts_total", "Attempts at backends ended, by status.", "status")
	upstreamDesc = newDesc("glencart_upstream_requests_total", "Attempts written whole to backends.")
	pendingDesc  = newDesc("glencart_pending_requests", "Requests taken and not ended.")
	membersDesc  = newDesc("glencart_members", "Backends in the list, draining ones too.")
	usableDesc   = newDesc("glencart_members_usable", "Backends that may get requests now.")
	retriesDesc  = newDesc("glencart_retries_total", "Attempts sent for a request that had one before.")
	closesDesc   = newDesc("glencart_connections_closed_total",
		"Connections that the node ended itself, by reason.", "reason")
	violationsDesc = newDesc("glencart_invariant_violations_total",
		"Rules on sending and closing that were about to be broken, or were: a fault of the program.", "rule")
)

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

// newMetrics registers the node's collectors on a registry of its own: the library's process and runtime
// collectors are left out, since a node may run where reading /proc is refused.
func newMetrics(counters *counters) *metrics {
	m := &metrics{
		counters: counters,
		guard:    newGuard(balance.Config{}, slog.New(slog.DiscardHandler)),
		registry: prometheus.NewRegistry(),
		discoveryCalls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "glencart_discovery_call_seconds",
			Help:    "Time a call of discovery took, by result (ok, failed).",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 9), // 1 ms to 65 s
		}, []string{"result"}),
		listRevision: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "glencart_list_revision",
			Help: "Revision of the list held.",
		}),
	}
	m.registry.MustRegister(m, m.discoveryCalls, m.listRevision)
	return m
}

// Describe is part of prometheus.Collector.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(m, ch) }

// Collect is part of prometheus.Collector.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	c := m.counters
	for i, class := range c.classNames {
		outcomes := &c.outcomes[i]
		ch <- counterMetric(requestsDesc, outcomes.completed.Load(), class, "completed")
		ch <- counterMetric(requestsDesc, outcomes.rejected.Load(), class, "rejected")
		ch <- counterMetric(requestsDesc, outcomes.failed.Load(), class, "failed")
	}
	for status, name := range statusNames {
		ch <- counterMetric(attemptsDesc, c.attempts[status].Load(), name)
	}
	ch <- counterMetric(retriesDesc, c.retries.Load())
	for reason, name := range closeReasonNames {
		ch <- counterMetric(closesDesc, c.closes[reason].Load(), name)
	}
	for rule, name := range invariantNames {
		ch <- counterMetric(violationsDesc, m.guard.violations[rule].Load(), name)
	}
	listed := c.listedEndpoints.Load()
	ch <- counterMetric(upstreamDesc, c.attemptsWritten.Load())
	ch <- gaugeMetric(pendingDesc, c.pendingRequests.Load())
	ch <- gaugeMetric(membersDesc, listed)
	ch <- gaugeMetric(usableDesc, listed-c.unavailableEndpoints.Load())
}

func counterMetric(desc *prometheus.Desc, value int64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
}

func gaugeMetric(desc *prometheus.Desc, value int64) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value))
}

// observeDiscoveryCall takes in the duration and the result of a call to discovery.
func (m *metrics) observeDiscoveryCall(took time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.discoveryCalls.WithLabelValues(result).Observe(took.Seconds())
}

// handler serves a scrape.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Timeout: scrapeTimeout})
}
