package registry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the metrics of one replica for GET /metrics. Each replica has its own Prometheus registry.
type metrics struct {
	registry      *prometheus.Registry
	writeSeconds  *prometheus.HistogramVec // time from a write's arrival to its response, by result
	rejectedCalls prometheus.Counter
}

func newMetrics(r *Replica) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		writeSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "hitchvale_registry_write_seconds",
			Help:    "Time from a write's arrival at the leader to its response, by result (ok, refused, failed).",
			Buckets: prometheus.ExponentialBuckets(0.0005, 4, 9),
		}, []string{"result"}),
		rejectedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "hitchvale_registry_shed_total",
			Help: "Calls rejected with 503 because max_calls calls were in flight.",
		}),
	}
	m.registry.MustRegister(m.writeSeconds, m.rejectedCalls)
	m.gauge("hitchvale_registry_revision", "Revision of this replica's state.", r.revision)
	m.gauge("hitchvale_registry_members", "Members in the list.", r.memberCount)
	m.gauge("hitchvale_registry_leader", "1 while this replica is the leader and may serve reads.", r.readyLeader)
	m.gauge("hitchvale_registry_watches", "Watches that are waiting.", func() float64 {
		return float64(r.openWatches.Load())
	})
	return m
}

// gauge registers a gauge whose value is read at each scrape.
func (m *metrics) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// observeWrite records the duration of a write that arrived at the given time and whose response is about to be sent.
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

// readyLeader returns 1 if this replica is the leader and may serve reads, otherwise 0.
func (r *Replica) readyLeader() float64 {
	if r.IsLeader() && r.canServeReads() {
		return 1
	}
	return 0
}
