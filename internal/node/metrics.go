package node

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"hitchvale/balance"
)

// statusNames are the attempts' statuses as WIRE-hitchvale.md names them, in the order of balance.Status.
var statusNames = [balance.StatusNotSent + 1]string{"delivered", "app_error", "shed", "expired", "dial_failed", "dropped",
	"revoked", "unused"}

// metrics are the node's figures in Prometheus's form, for /metrics on the second address. The counters are read
// from the figures at each scrape, so the figures keep their own form and names on /admin/stats.
type metrics struct {
	f        *figures
	guard    *guard
	calls    *prometheus.HistogramVec // seconds a call of discovery took, by result
	revision prometheus.Gauge
	reg      *prometheus.Registry
}

var (
	requestsDesc = prometheus.NewDesc("glencart_requests_total", "Requests ended, by class and outcome (completed, rejected, failed).",
		[]string{"class", "outcome"}, nil)
	attemptsDesc   = prometheus.NewDesc("glencart_attempts_total", "Attempts at backends ended, by status.", []string{"status"}, nil)
	upstreamDesc   = prometheus.NewDesc("glencart_upstream_requests_total", "Attempts written whole to backends.", nil, nil)
	pendingDesc    = prometheus.NewDesc("glencart_pending_requests", "Requests taken and not ended.", nil, nil)
	membersDesc    = prometheus.NewDesc("glencart_members", "Backends in the list, draining ones too.", nil, nil)
	retriesDesc    = prometheus.NewDesc("glencart_retries_total", "Attempts sent for a request that had one before.", nil, nil)
	closesDesc     = prometheus.NewDesc("glencart_connections_closed_total", "Connections that the node ended itself, by reason.", []string{"reason"}, nil)
	violationsDesc = prometheus.NewDesc("glencart_invariant_violations_total", "Rules on sending and closing that were about to be broken, or were: a fault of the program.", []string{"rule"}, nil)
	usableDesc     = prometheus.NewDesc("glencart_members_usable", "Backends that may get requests now.", nil, nil)
)

// newMetrics registers the node's collectors on a registry of its own: the library's process and runtime
// collectors are left out, since a node may run where reading /proc is refused.
func newMetrics(f *figures) *metrics {
	m := &metrics{f: f, guard: newGuard(balance.Config{}, slog.New(slog.DiscardHandler)), reg: prometheus.NewRegistry(),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "glencart_discovery_call_seconds",
			Help: "Time a call of discovery took, by result (ok, failed).", Buckets: prometheus.ExponentialBuckets(0.001, 4, 9)},
			[]string{"result"}),
		revision: prometheus.NewGauge(prometheus.GaugeOpts{Name: "glencart_list_revision", Help: "Revision of the list held."}),
	}
	m.reg.MustRegister(m, m.calls, m.revision)
	return m
}

// Describe is part of prometheus.Collector.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(m, ch) }

// Collect is part of prometheus.Collector.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	f := m.f
	for i, class := range f.names {
		e := &f.ends[i]
		for _, o := range []struct {
			name string
			n    int64
		}{{"completed", e.completed.Load()}, {"rejected", e.rejected.Load()}, {"failed", e.failed.Load()}} {
			ch <- prometheus.MustNewConstMetric(requestsDesc, prometheus.CounterValue, float64(o.n), class, o.name)
		}
	}
	for s, name := range statusNames {
		ch <- prometheus.MustNewConstMetric(attemptsDesc, prometheus.CounterValue, float64(f.attempts[s].Load()), name)
	}
	ch <- prometheus.MustNewConstMetric(retriesDesc, prometheus.CounterValue, float64(f.retries.Load()))
	for reason, name := range closeReasonNames {
		ch <- prometheus.MustNewConstMetric(closesDesc, prometheus.CounterValue, float64(f.closes[reason].Load()), name)
	}
	for r, name := range ruleNames {
		ch <- prometheus.MustNewConstMetric(violationsDesc, prometheus.CounterValue, float64(m.guard.violations[r].Load()), name)
	}
	members := f.members.Load()
	ch <- prometheus.MustNewConstMetric(upstreamDesc, prometheus.CounterValue, float64(f.upstream.Load()))
	ch <- prometheus.MustNewConstMetric(pendingDesc, prometheus.GaugeValue, float64(f.pending.Load()))
	ch <- prometheus.MustNewConstMetric(membersDesc, prometheus.GaugeValue, float64(members))
	ch <- prometheus.MustNewConstMetric(usableDesc, prometheus.GaugeValue, float64(members-f.avoided.Load()))
}

// called takes in one call of discovery.
func (m *metrics) called(took time.Duration, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.calls.WithLabelValues(result).Observe(took.Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.reg, promhttp.HandlerOpts{Timeout: time.Second})
}
