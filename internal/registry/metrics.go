package registry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are a replica's metrics for GET /metrics, on a Prometheus registry of their own.
type metrics struct {
	registry      *prometheus.Registry
	writeSeconds  *prometheus.HistogramVec // from a write's arrival to its answer, by result
	rejectedCalls prometheus.Counter
}

func newMetrics(r *Replica) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		writeSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "hitchvale_registry_write_seconds",
			Help:    "Time from a write's arrival at the leader to its answer, by result (ok, refused, failed).",
			Buckets: prometheus.ExponentialBuckets(0.0005, 4, 9),
		}, []string{"result"}),
		rejectedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hitchvale_registry_shed_total",
			Help: "Calls answered 503 at once for being over max_calls.",
		}),
	}
	m.registry.MustRegister(m.writeSeconds, m.rejectedCalls)
	m.gauge("hitchvale_registry_revision", "Revision of the list this replica has applied.", r.revision)
	m.gauge("hitchvale_registry_members", "Members in the list.", r.memberCount)
	m.gauge("hitchvale_registry_leader", "1 while this replica leads and may read.", r.readyLeader)
	m.gauge("hitchvale_registry_watches", "Watches waiting now.", func() float64 {
		return float64(r.openWatches.Load())
	})
	return m
}

// gauge registers a gauge that is read at each scrape.
func (m *metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// observeWrite records a write that has been answered.
func (m *metrics) observeWrite(received time.Time, result string) {
	m.writeSeconds.WithLabelValues(result).Observe(time.Since(received).Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Timeout: time.Second})
}

func (r *Replica) revision() float64 {
	var revision int64
	r.fsm.read(func(s *State) { revision = s.Revision })
	return float64(revision)
}

func (r *Replica) memberCount() float64 {
	var count int
	r.fsm.read(func(s *State) { count = len(s.members.Records) })
	return float64(count)
}

func (r *Replica) readyLeader() float64 {
	if r.IsLeader() && r.canServeReads() {
		return 1
	}
	return 0
}
