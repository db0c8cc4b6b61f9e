package snipegate

import (
	"net/http"
	"time"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/snipetable"
)

// RequestHeaders holds the fields of a caller's request headers that the gate
// evaluates.
type RequestHeaders struct {
	// ID identifies the attempt of the caller. A request without one is refused.
	ID string
	// Timeout is the caller's timeout, or zero if the headers state none.
	Timeout time.Duration
	// Object is the affinity key, or empty.
	Object string
	// Key is the API key, or empty if the headers do not contain exactly one. It must not
	// be logged.
	Key string
}

// TargetContext describes an attempt to the codec that writes its headers.
type TargetContext struct {
	// Target is the ID of the target.
	Target string
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// Tenant is the tenant of the request, or nil if it has none.
	Tenant *snipetable.Tenant
}

// ResponseHeaders holds the fields of a target's response headers that the gate
// evaluates.
type ResponseHeaders struct {
	// NotRun means that the target has not run the request and never will.
	NotRun bool
	// WrongTarget means that the address now belongs to another target. It implies
	// NotRun.
	WrongTarget bool
	// Responder is the ID that the target which sent the response states, or empty.
	Responder string
	// Signed means that the response carries the target's signature.
	Signed bool
	// Load is the load that the target reports, or nil. SlownessErr is set if the target
	// states a slowness that cannot be read; Load is then without it.
	Load        *snipeplacement.Load
	SlownessErr error
	// Limit is the rate limit that the target states, in requests per second over all
	// fronts, or nil if it states none. LimitErr is set if the statement cannot be read.
	Limit    *float64
	LimitErr error
	// Leaving means that the target leaves and takes no further requests.
	Leaving bool
	// Rest is how long the target wants no requests from this front, or 0. RestErr is set
	// if a part of the statement cannot be read, or if Rest is shorter than stated.
	Rest    time.Duration
	RestErr error
}

// ownStatement reports whether the headers show that the response is the target's
// own, so that a limit that they do not state has ended.
func (h ResponseHeaders) ownStatement() bool { return !h.WrongTarget && (h.Signed || h.NotRun) }

// HeaderCodec translates between the headers of the users' platform and the
// fields that the gate evaluates. Its methods are called concurrently.
type HeaderCodec interface {
	// Call reads the headers of a request.
	Call(h http.Header) RequestHeaders
	// TargetHeaders returns the headers that are set on a request to a target.
	TargetHeaders(c TargetContext) []snipeconn.Field
	// TenantHeaders returns the names, in canonical form, of the headers with the key and
	// the tenant. If requests need keys, those of callers are not forwarded.
	TenantHeaders() []string
	// IDHeader returns the name of the header that carries RequestHeaders.ID,
	// and that responses echo.
	IDHeader() string
	// Statement reads the status and the headers of a response.
	Statement(status int, h http.Header) ResponseHeaders
}
