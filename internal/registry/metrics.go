package registry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are a replica's figures for /metrics, on a registry of its own.
type metrics struct {
	registry      *prometheus.Registry
	writeSeconds  *prometheus.HistogramVec // seconds from a write's arrival to its answer, by result
	rejectedCalls prometheus.Counter
}

func newMetrics(r *Replica) *metrics {
	m := &metrics{registry: prometheus.NewRegistry(),
		writeSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "hitchvale_registry_write_seconds",
			Help:    "Time from a write's arrival at the leader to its answer, by result (ok, refused, failed).",
			Buckets: prometheus.ExponentialBuckets(0.0005, 4, 9)}, []string{"result"}),
		rejectedCalls: prometheus.NewCounter(prometheus.CounterOpts{Name: "hitchvale_registry_shed_total",
			Help: "Calls answered 503 at once for being over max_calls."}),
	}
	gauge := func(name, help string, f func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f)
	}
	m.registry.MustRegister(m.writeSeconds, m.rejectedCalls,
		gauge("hitchvale_registry_revision", "Revision of the list this replica has applied.", func() float64 {
			var rev int64
			r.fsm.read(func(s *State) { rev = s.Revision })
			return float64(rev)
		}),
		gauge("hitchvale_registry_members", "Members in the list.", func() float64 {
			var n int
			r.fsm.read(func(s *State) { n = len(s.members.Records) })
			return float64(n)
		}),
		gauge("hitchvale_registry_leader", "1 while this replica leads and may read.", func() float64 {
			if r.Leader() && r.canServeReads() {
				return 1
			}
			return 0
		}),
		gauge("hitchvale_registry_watches", "Watches waiting now.", func() float64 { return float64(r.openWatches.Load()) }),
	)
	return m
}

func (m *metrics) observeWrite(since time.Time, result string) {
	m.writeSeconds.WithLabelValues(result).Observe(time.Since(since).Seconds())
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{Timeout: time.Second})
}
