package snipegate

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the counters of requests and retries and the latency histogram.
type Metrics struct {
	requests *prometheus.CounterVec
	retries  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	// statements counts the responses that state that their target leaves or rests.
	statements *prometheus.CounterVec
	// promises counts what promises rest on that a request has not run.
	promises *prometheus.CounterVec
}

// promiseNotOffered is the label of Metrics.promises for a request that was offered to no
// target. The others are the reasons of notRunAttempt.
const promiseNotOffered = "notOffered"

// NewMetrics returns metrics that are registered with r. It panics if metrics of the
// same name are registered already.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipemoor_requests_total", Help: "Requests of callers by kind of route and outcome.",
		}, []string{"kind", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipemoor_retries_total", Help: "Requests sent to a further target, by the outcome at the one before.",
		}, []string{"reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "snipemoor_request_seconds", Help: "Time from reading the headers of a request to its answer, by outcome.",
			Buckets: []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8},
		}, []string{"outcome"}),
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipemoor_target_statements_total", Help: "Responses that state that their target leaves or rests.",
		}, []string{"statement"}),
		promises: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "snipemoor_promises_total", Help: "What refusals rest on that promise that a request has not run, for each attempt.",
		}, []string{"reason"}),
	}
	r.MustRegister(m.requests, m.retries, m.latency, m.statements, m.promises)
	return m
}

// observe records a request that has ended.
func (m *Metrics) observe(kind string, o Outcome, elapsed time.Duration) {
	m.requests.WithLabelValues(kind, string(o)).Inc()
	m.latency.WithLabelValues(string(o)).Observe(elapsed.Seconds())
}

// countStatement counts a statement of a target.
func (m *Metrics) countStatement(statement string) { m.statements.WithLabelValues(statement).Inc() }

// countRetry counts a retry after an attempt with outcome o.
func (m *Metrics) countRetry(o Outcome) { m.retries.WithLabelValues(string(o)).Inc() }

// countPromise counts what a promise rests on, for each attempt.
func (m *Metrics) countPromise(p *promise) {
	if len(p.attempts) == 0 {
		m.promises.WithLabelValues(promiseNotOffered).Inc()
	}
	for _, a := range p.attempts {
		m.promises.WithLabelValues(a.reason).Inc()
	}
}
