package snipeconfig

import "time"

// Class states how often a request of a service may run.
type Class int

// The service classes. A safe request may be retried and hedged, an idempotent
// request may be retried, and a once request runs at most once.
const (
	ClassSafe Class = iota + 1
	ClassIdempotent
	ClassOnce
)

// String returns the name of the class as written in documents.
func (c Class) String() string {
	switch c {
	case ClassSafe:
		return "safe"
	case ClassIdempotent:
		return "idempotent"
	case ClassOnce:
		return "once"
	default:
		return "unknown"
	}
}

func parseClass(text string) Class {
	switch text {
	case "safe":
		return ClassSafe
	case "idempotent":
		return ClassIdempotent
	default:
		return ClassOnce
	}
}

// Template holds the properties that all services of a kind share. It is
// immutable.
type Template struct {
	wire  templateWire
	class Class
}

// Name returns the name of the template.
func (t *Template) Name() string { return t.wire.Name }

// Class returns the service class.
func (t *Template) Class() Class { return t.class }

// SlotsPerTarget returns the number of requests that a target runs at once.
func (t *Template) SlotsPerTarget() int { return t.wire.SlotsPerTarget }

// ConnectionsPerTarget returns the number of connections that a target accepts.
func (t *Template) ConnectionsPerTarget() int { return t.wire.ConnectionsPerTarget }

// ConnectCost returns the time that a new connection costs the target.
func (t *Template) ConnectCost() time.Duration { return t.wire.ConnectCost }

// ProbeCost returns the time that a probe costs the target, zero if unknown.
func (t *Template) ProbeCost() time.Duration { return t.wire.ProbeCost }

// ProbeInterval returns the time between probes of a target.
func (t *Template) ProbeInterval() time.Duration { return t.wire.ProbeInterval }

// DefaultTimeout returns the time limit of a request that states none.
func (t *Template) DefaultTimeout() time.Duration { return t.wire.DefaultTimeout }

// MaxTimeout returns the longest time limit of a request.
func (t *Template) MaxTimeout() time.Duration { return t.wire.MaxTimeout }

// MaxBodyBytes returns the size of the largest accepted request body.
func (t *Template) MaxBodyBytes() int64 { return t.wire.MaxBodyBytes }

// MaxHeaderBytes returns the size of the largest accepted request header.
func (t *Template) MaxHeaderBytes() int64 { return t.wire.MaxHeaderBytes }

// RequestBytes returns the estimated size of a request.
func (t *Template) RequestBytes() int64 { return t.wire.RequestBytes }

// AnswerBytes returns the estimated size of an answer.
func (t *Template) AnswerBytes() int64 { return t.wire.AnswerBytes }

// SlowStart returns the time over which the weight of a cold target rises.
func (t *Template) SlowStart() time.Duration { return t.wire.SlowStart }
