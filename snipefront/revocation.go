package snipefront

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/platform"
	"github.com/snipemoor/snipemoor/snipesync"
	"github.com/snipemoor/snipemoor/snipetime"
)

// revocationInterval is the time between two looks at the age of the configuration, for
// logs and metrics. The gate looks at each request itself.
const revocationInterval = 100 * time.Millisecond

// revocationBound returns the time within which keys have to be revoked, or 0 if
// revocation is not strict.
func revocationBound(b platform.Bounds) time.Duration {
	if !b.StrictRevocation {
		return 0
	}
	return b.Revoke
}

// maxConfirmationWait bounds how long a front with strict revocation waits after its first
// listing for a confirmation before it accepts callers. It is longer than a call to the store
// usually takes. A front that gets no confirmation serves public routes.
const maxConfirmationWait = 2 * time.Second

// awaitConfirmation waits until the configuration is confirmed, if revocation is strict. The
// first listing of a front is stale, so that it would refuse all requests with keys until its
// next call to the store has ended.
func (f *Front) awaitConfirmation(ctx context.Context) {
	if !f.revocation.Strict() {
		return
	}
	timeout := time.NewTimer(maxConfirmationWait)
	defer timeout.Stop()
	select {
	case <-f.revocation.Confirmed():
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// revocationMonitor logs and counts when the front begins and ceases to refuse requests
// with keys because its configuration is not confirmed.
type revocationMonitor struct {
	revocation *snipesync.Revocation
	// serving reports whether the front has begun to accept callers.
	serving func() bool
	log     *zap.Logger
	// refusing is the result of the last look.
	refusing bool
	changes  atomic.Uint64
}

// observe looks at the age of the configuration at now. Calls must not overlap.
func (m *revocationMonitor) observe(now snipetime.Instant) {
	age, source, known := m.revocation.Age(now)
	refusing := m.serving() && !m.revocation.Recent(now)
	if refusing == m.refusing {
		return
	}
	m.refusing = refusing
	m.changes.Add(1)
	fields := []zap.Field{zap.Bool("everConfirmed", known), zap.String("source", source), zap.Duration("age", age)}
	if refusing {
		m.log.Warn("configuration not confirmed, requests with keys are refused", fields...)
		return
	}
	m.log.Info("configuration confirmed again, requests with keys are served", fields...)
}

// register registers the metrics of the age of the configuration.
func (m *revocationMonitor) register(registry *prometheus.Registry, clock *snipetime.Service) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "snipemoor_configuration_age_seconds",
			Help: "Time since the start of the store call that last confirmed the configuration in force; NaN before the first.",
		}, func() float64 {
			age, _, known := m.revocation.Age(clock.Now())
			if !known {
				return math.NaN()
			}
			return age.Seconds()
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "snipemoor_configuration_recency_changes_total",
			Help: "Changes between refusing and serving requests with keys because of the age of the configuration.",
		}, func() float64 { return float64(m.changes.Load()) }),
	)
}
