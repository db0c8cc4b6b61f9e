package snipedaemon

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the counters and gauges of this package. The other packages
// register their own.
type metrics struct {
	storeBehind     prometheus.Counter
	digestConflicts prometheus.Counter
	generation      prometheus.Gauge
	members         *prometheus.GaugeVec
	positions       prometheus.Gauge
	limitUsed       *prometheus.GaugeVec
	storeCalls      *prometheus.CounterVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		storeBehind: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "snipemoor_config_store_behind_total",
			Help: "Reads of the store that showed a generation below the one in force.",
		}),
		digestConflicts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "snipemoor_config_digest_conflicts_total",
			Help: "Peers seen with the generation in force and another digest.",
		}),
		generation: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "snipemoor_config_generation",
			Help: "Generation in force; 0 without configuration.",
		}),
		members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "snipemoor_members",
			Help: "Known entry instances by state.",
		}, []string{"state"}),
		positions: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "snipemoor_positions_held",
			Help: "Positions of the region that this instance holds.",
		}),
		limitUsed: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "snipemoor_limit_used_per_second",
			Help: "Recent spending of this instance by limit, in bits or requests per second.",
		}, []string{"limit"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipemoor_store_calls_total",
			Help: "Calls to the store by kind and result.",
		}, []string{"call", "result"}),
	}
	registry.MustRegister(m.storeBehind, m.digestConflicts, m.generation, m.members, m.positions, m.limitUsed, m.storeCalls)
	return m
}
