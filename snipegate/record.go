package snipegate

import (
	"time"

	"go.uber.org/zap"
)

// recordRequest logs and counts a request that has ended.
func (g *Gate) recordRequest(q *request) {
	elapsed := time.Since(q.arrived)
	g.Log.Info("request", q.logFields(elapsed)...)
	if impliesNotRun(q.status) {
		g.Metrics.countPromise(q.attempts.promise())
	}
	g.Metrics.observe(q.kind(), q.outcome, elapsed)
}

// kind returns the kind of the route in logs and metrics, or "none" without a route.
func (q *request) kind() string {
	if q.route == nil {
		return "none"
	}
	return q.route.Kind.String()
}

// logFields returns the fields of the log line of a request that took the given time. They
// contain no key.
func (q *request) logFields(elapsed time.Duration) []zap.Field {
	fields := []zap.Field{
		zap.String("request", q.call.ID), zap.String("outcome", string(q.outcome)), zap.Int("status", q.status),
		zap.Duration("took", elapsed), zap.Int("attempts", len(q.tried)), zap.Duration("wait", q.call.Timeout),
	}
	if q.startedEarly {
		fields = append(fields, zap.Bool("ahead", true))
	}
	if q.pipelineWait > minLoggedWait {
		fields = append(fields, zap.Duration("waited", q.pipelineWait))
	}
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name), zap.String("service", q.service),
			zap.Uint64("version", q.table.Version()), zap.String("object", q.call.Object))
	}
	fields = append(fields, q.lastAttemptFields()...)
	if q.tenant != nil {
		fields = append(fields, zap.String("tenant", q.tenant.Name))
	}
	return append(fields, q.refusalFields()...)
}

// lastAttemptFields returns the fields about the target of the last attempt, if there was one.
func (q *request) lastAttemptFields() []zap.Field {
	if len(q.tried) == 0 {
		return nil
	}
	last := q.tried[len(q.tried)-1]
	fields := []zap.Field{
		zap.String("target", last.ID), zap.Float64("load", q.chosen.Load), zap.Duration("loadAge", q.chosen.LoadAge),
		zap.Bool("begun", q.attempts.promise() == nil), zap.Bool("reusedConnection", q.reused),
	}
	if s, share := q.gate.Limits.Current(last); s.Limited {
		fields = append(fields, zap.Float64("limit", s.PerSecond), zap.Duration("limitAge", q.gate.Clock.Now().Sub(s.At)), zap.Float64("share", share))
	}
	return fields
}

// refusalFields returns the fields that say why a request was refused, and on what the promise
// rests that it has not run.
func (q *request) refusalFields() []zap.Field {
	var fields []zap.Field
	if statesRetryAfter(q.status) {
		fields = append(fields, zap.Duration("retryAfter", q.retryAfter))
	}
	if impliesNotRun(q.status) && q.route != nil {
		fields = append(fields, zap.String("kind", q.kind()),
			zap.Array("notRun", q.attempts), zap.Int("offered", len(q.attempts)), zap.String("caller", q.r.RemoteAddr))
	}
	if q.refusedBefore > 0 {
		fields = append(fields, zap.Int("refusedBefore", q.refusedBefore))
	}
	if q.refusal != nil {
		fields = append(fields, zap.Array("looks", loggedCandidates(q.refusal.Candidates)))
	}
	if q.cause != nil {
		fields = append(fields, zap.Error(q.cause))
	}
	return fields
}
