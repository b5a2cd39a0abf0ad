package node

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"hitchvale/balance"
)

// statusNames are the label values of the attempts' statuses, indexed by balance.Status. WIRE-hitchvale.md defines
// them.
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

// scrapeTimeout bounds the time to serve a scrape.
const scrapeTimeout = time.Second

// metrics is the node's Prometheus collector. It reads the counters at each scrape. /admin/stats shows the same
// counters under other names and in another format. It is safe for concurrent use.
type metrics struct {
	counters       *counters
	guard          *guard
	discoveryCalls *prometheus.HistogramVec // durations in seconds, by result
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
	repeatedDesc = newDesc("glencart_requests_repeated_total",
		"Requests not run, because one with the same id was in progress or may have run.")
	closesDesc = newDesc("glencart_connections_closed_total",
		"Connections that the node ended itself, by reason.", "reason")
	unwrittenDesc = newDesc("glencart_responses_unwritten_total",
		"Final responses that could not be written to their client, by cause (timeout, closed).", "cause")
	violationsDesc = newDesc("glencart_invariant_violations_total",
		"Rules on sending and closing that were about to be broken, or were: a fault of the program.", "rule")
)

// newDesc returns the description of a metric.
func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

// newMetrics returns the collector of a node, registered with a Prometheus registry of its own. This registry does not
// have the library's collectors of process and runtime metrics, since a node may run where it may not read /proc.
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

// Describe implements prometheus.Collector.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(m, ch) }

// Collect implements prometheus.Collector.
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
	ch <- counterMetric(repeatedDesc, c.repeated.Load())
	for reason, name := range closeReasonNames {
		ch <- counterMetric(closesDesc, c.closes[reason].Load(), name)
	}
	for rule, name := range invariantNames {
		ch <- counterMetric(violationsDesc, m.guard.violations[rule].Load(), name)
	}
	ch <- counterMetric(unwrittenDesc, c.unwrittenTimeout.Load(), "timeout")
	ch <- counterMetric(unwrittenDesc, c.unwrittenClosed.Load(), "closed")
	listed := c.listedEndpoints.Load()
	ch <- counterMetric(upstreamDesc, c.attemptsWritten.Load())
	ch <- gaugeMetric(pendingDesc, c.pendingRequests.Load())
	ch <- gaugeMetric(membersDesc, listed)
	ch <- gaugeMetric(usableDesc, listed-c.unavailableEndpoints.Load())
}

// counterMetric returns a counter with a value.
func counterMetric(desc *prometheus.Desc, value int64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
}

// gaugeMetric returns a gauge with a value.
func gaugeMetric(desc *prometheus.Desc, value int64) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(value))
}

// observeDiscoveryCall records the duration and the result of a call to discovery.
func (m *metrics) observeDiscoveryCall(took time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.discoveryCalls.WithLabelValues(result).Observe(took.Seconds())
}

// handler returns the HTTP handler for scrapes.
func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Timeout: scrapeTimeout})
}
