package snipegate

import (
	"net/http"
	"time"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipeplacement"
)

// Call holds the fields of a caller's request headers that the gate evaluates.
type Call struct {
	// ID identifies the attempt of the caller. A request without one is refused.
	ID string
	// Wait is the caller's timeout, or zero if the headers state none.
	Wait time.Duration
	// Object is the affinity key, or empty.
	Object string
}

// Statement holds the fields of a target's response headers that the gate
// evaluates.
type Statement struct {
	// NotRun means that the target has not run the request and never will.
	NotRun bool
	// Misaddressed means that the address now belongs to another target. It implies
	// NotRun.
	Misaddressed bool
	// Signed means that the response carries the target's signature.
	Signed bool
	// Load is the load that the target reports, or nil.
	Load *snipeplacement.Load
}

// Dialect translates between the headers of the users' platform and the fields that
// the gate evaluates. Its methods are called concurrently.
type Dialect interface {
	// Call reads the headers of a request.
	Call(h http.Header) Call
	// Outbound returns the headers that are set on a request to the target with the
	// given ID. left is the time until the deadline of the request.
	Outbound(left time.Duration, target string) []snipeconn.Field
	// IDHeader returns the name of the header that carries Call.ID, and that
	// responses echo.
	IDHeader() string
	// Statement reads the status and the headers of a response.
	Statement(status int, h http.Header) Statement
}
