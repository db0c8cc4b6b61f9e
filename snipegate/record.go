package snipegate

import (
	"time"

	"go.uber.org/zap"
)

// recordRequest logs and counts a request that has ended.
func (g *Gate) recordRequest(q *request) {
	elapsed := time.Since(q.arrived)
	kind := "none"
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
		kind = q.route.Kind.String()
		fields = append(fields, zap.String("route", q.route.Name), zap.String("service", q.service),
			zap.Uint64("version", q.table.Version()), zap.String("object", q.call.Object))
	}
	if n := len(q.tried); n > 0 {
		last := q.tried[n-1]
		fields = append(fields, zap.String("target", last.ID), zap.Float64("load", q.chosen.Load), zap.Duration("loadAge", q.chosen.LoadAge),
			zap.Bool("begun", q.attempts.promise() == nil), zap.Bool("reusedConnection", q.reused))
		if s, share := g.Limits.Current(last); s.Limited {
			fields = append(fields, zap.Float64("limit", s.PerSecond), zap.Duration("limitAge", g.Clock.Now().Sub(s.At)), zap.Float64("share", share))
		}
	}
	if q.tenant != nil {
		fields = append(fields, zap.String("tenant", q.tenant.Name))
	}
	if statesRetryAfter(q.status) {
		fields = append(fields, zap.Duration("retryAfter", q.retryAfter))
	}
	if impliesNotRun(q.status) && q.route != nil {
		fields = append(fields, zap.String("kind", kind),
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
	g.Log.Info("request", fields...)
	if impliesNotRun(q.status) {
		g.Metrics.countPromise(q.attempts.promise())
	}
	g.Metrics.observe(kind, q.outcome, elapsed)
}
