package snipegate

import (
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipequota"
)

// Statements of targets in metrics.
const (
	statementLeaving        = "leaving"
	statementRest           = "rest"
	statementRestUnreadable = "restUnreadable"
)

// recordStatements records what a response states about its target. A response that
// another target sent from the address states nothing about t.
func (q *request) recordStatements(t *snipefleet.Target, h ResponseHeaders) {
	if h.WrongTarget {
		return
	}
	q.recordLimit(t, h)
	q.recordLeaving(t, h)
	q.recordRest(t, h)
	q.recordUnreadableSlowness(t, h)
}

// recordUnreadableSlowness logs the first statement of a target about its slowness that
// cannot be read.
func (q *request) recordUnreadableSlowness(t *snipefleet.Target, h ResponseHeaders) {
	if h.SlownessErr == nil || !q.gate.Chooser.RecordUnreadableSlowness(t) {
		return
	}
	q.gate.Log.Warn("target slowness not readable", zap.String("target", t.ID), zap.String("request", q.call.ID), zap.Error(h.SlownessErr))
}

// recordLeaving records that a target leaves, and logs it once.
func (q *request) recordLeaving(t *snipefleet.Target, h ResponseHeaders) {
	if !h.Leaving {
		return
	}
	q.gate.Metrics.countStatement(statementLeaving)
	if !q.gate.Fleet.MarkLeaving(t) {
		return
	}
	q.gate.Log.Info("target leaving", zap.String("target", t.ID), zap.String("service", t.Service), zap.String("request", q.call.ID))
}

// recordRest records that a target wants no requests from this front for some time. It
// logs the beginning, and the first statement that cannot be read.
func (q *request) recordRest(t *snipefleet.Target, h ResponseHeaders) {
	q.recordUnreadableRest(t, h)
	if h.Rest == 0 {
		return
	}
	q.gate.Metrics.countStatement(statementRest)
	if !q.gate.Chooser.RecordRest(q.gate.Clock.Now(), t, h.Rest) {
		return
	}
	q.gate.Log.Info("target rests", zap.String("target", t.ID), zap.String("service", t.Service),
		zap.Duration("rest", h.Rest), zap.String("request", q.call.ID))
}

// recordUnreadableRest records that a statement of a target about its rest, or a part of
// it, cannot be read.
func (q *request) recordUnreadableRest(t *snipefleet.Target, h ResponseHeaders) {
	if h.RestErr == nil {
		return
	}
	q.gate.Metrics.countStatement(statementRestUnreadable)
	if q.gate.Chooser.RecordUnreadableRest(t) {
		q.gate.Log.Warn("target rest not readable", zap.String("target", t.ID), zap.String("request", q.call.ID), zap.Error(h.RestErr))
	}
}

// recordLimit records and logs what a response states about the rate limit of its
// target. A statement that cannot be read leaves the limit before it in force.
func (q *request) recordLimit(t *snipefleet.Target, h ResponseHeaders) {
	if h.LimitErr != nil {
		if q.gate.Limits.RecordUnreadable(t) {
			q.gate.Log.Warn("target limit not readable", zap.String("target", t.ID), zap.String("request", q.call.ID), zap.Error(h.LimitErr))
		}
		return
	}
	s := snipequota.Statement{At: q.gate.Clock.Now()}
	switch {
	case h.Limit != nil:
		s.Limited, s.PerSecond = true, *h.Limit
	case !h.ownStatement():
		return
	}
	if before, changed := q.gate.Limits.Record(t, s); changed {
		q.gate.Log.Info("target limit", zap.String("target", t.ID), zap.String("service", t.Service),
			zap.Bool("limited", s.Limited), zap.Float64("perSecond", s.PerSecond),
			zap.Bool("limitedBefore", before.Limited), zap.Float64("perSecondBefore", before.PerSecond),
			zap.String("request", q.call.ID))
	}
}
