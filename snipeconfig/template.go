package snipeconfig

import "time"

// Class states whether a request of a service may run more than once.
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

// parseClass returns the class that a template document names. The decoder
// accepts no other text than the three names.
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

// Template holds the properties that several services share. It is immutable. The
// check tags of templateWire state the ranges of the values.
type Template struct {
	wire  templateWire
	class Class
}

// Name returns the name of the template.
func (t *Template) Name() string { return t.wire.Name }

// Class returns the class of the services that use the template.
func (t *Template) Class() Class { return t.class }

// SlotsPerTarget returns the concurrency limit of a target: the number of requests
// that it runs at once.
func (t *Template) SlotsPerTarget() int { return t.wire.SlotsPerTarget }

// ConnectionsPerTarget returns the number of connections that a target accepts.
func (t *Template) ConnectionsPerTarget() int { return t.wire.ConnectionsPerTarget }

// ConnectCost returns the processing time that a new connection costs the target,
// zero if the document does not set it.
func (t *Template) ConnectCost() time.Duration { return t.wire.ConnectCost }

// ProbeCost returns the processing time that a health probe costs the target, zero
// if unknown.
func (t *Template) ProbeCost() time.Duration { return t.wire.ProbeCost }

// ProbeInterval returns the time between health probes of a target.
func (t *Template) ProbeInterval() time.Duration { return t.wire.ProbeInterval }

// DefaultTimeout returns the timeout of a request that states none. It is at most
// MaxTimeout.
func (t *Template) DefaultTimeout() time.Duration { return t.wire.DefaultTimeout }

// MaxTimeout returns the longest timeout of a request.
func (t *Template) MaxTimeout() time.Duration { return t.wire.MaxTimeout }

// MaxBodyBytes returns the size of the largest accepted request body in bytes.
func (t *Template) MaxBodyBytes() int64 { return t.wire.MaxBodyBytes }

// MaxHeaderBytes returns the size of the largest accepted request header in bytes.
func (t *Template) MaxHeaderBytes() int64 { return t.wire.MaxHeaderBytes }

// RequestBytes returns the estimated size of a request in bytes. It is at most
// MaxBodyBytes.
func (t *Template) RequestBytes() int64 { return t.wire.RequestBytes }

// AnswerBytes returns the estimated size of a response in bytes.
func (t *Template) AnswerBytes() int64 { return t.wire.AnswerBytes }

// SlowStart returns the time over which the weight of a cold target rises to that
// of a warm one. Zero means the default of sniperoute.
func (t *Template) SlowStart() time.Duration { return t.wire.SlowStart }
