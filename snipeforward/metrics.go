package snipeforward

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/snipemoor/snipemoor/snipetime"
)

// metrics holds the metrics of a Forwarder.
type metrics struct {
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	passedOver *prometheus.CounterVec
	panics     prometheus.Counter
	latency    *prometheus.HistogramVec
}

func newMetrics(registry prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	}
	m := &metrics{
		requests:   counter("snipemoor_requests_total", "Requests by outcome.", "team", "service", "outcome"),
		refusals:   counter("snipemoor_refusals_total", "Refusals by reason and outcome.", "team", "service", "reason", "outcome"),
		retries:    counter("snipemoor_retries_total", "Retries and hedges by reason.", "team", "service", "reason"),
		attempts:   counter("snipemoor_attempts_total", "Attempts sent to targets or relayed.", "team", "service", "kind"),
		passedOver: counter("snipemoor_passed_over_total", "Places passed over by reason.", "team", "service", "reason"),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "snipemoor_relay_panics_total", Help: "Relayed requests that ended by a panic.",
		}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "snipemoor_request_seconds", Help: "Time from the headers of a request to the end of its response.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"team", "service"}),
	}
	registry.MustRegister(m.requests, m.refusals, m.retries, m.attempts, m.passedOver, m.panics, m.latency)
	return m
}

// countRefusal counts a request that ended without a response of a target.
func (m *metrics) countRefusal(s Service, e errorReply) {
	m.requests.WithLabelValues(s.Team, s.Name, e.outcome).Inc()
	m.refusals.WithLabelValues(s.Team, s.Name, e.reason, e.outcome).Inc()
}

// meteredSink is a sink that counts the outcome and the latency of a request.
type meteredSink struct {
	sink
	metrics *metrics
	service Service
	clock   Clock
	started snipetime.Instant
}

// Begin implements sink.
func (o *meteredSink) Begin(status int, header http.Header, length int64) error {
	o.metrics.requests.WithLabelValues(o.service.Team, o.service.Name, outcomeDone).Inc()
	return o.sink.Begin(status, header, length) //nolint:wrapcheck // returns the error of the sink unchanged
}

// Complete implements sink.
func (o *meteredSink) Complete() error {
	o.metrics.latency.WithLabelValues(o.service.Team, o.service.Name).Observe(o.clock.Now().Sub(o.started).Seconds())
	return o.sink.Complete() //nolint:wrapcheck // returns the error of the sink unchanged
}

// Refuse implements sink.
func (o *meteredSink) Refuse(e errorReply) {
	o.metrics.countRefusal(o.service, e)
	o.sink.Refuse(e)
}
