package snipegate

import (
	"net/http"
	"time"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipeplacement"
)

// Call is what the headers of a request say.
type Call struct {
	// ID names the attempt of the caller.
	ID string
	// Wait is how long the caller waits, or zero if it does not say.
	Wait time.Duration
	// Object is the affinity key, or empty.
	Object string
}

// Statement is what the headers of an answer say.
type Statement struct {
	// NotRun means that the target has not run the request and never will.
	NotRun bool
	// Misaddressed means that another target has the address. It implies NotRun.
	Misaddressed bool
	// Signed means that the answer bears the target's signature.
	Signed bool
	// Load is the target's load, or nil.
	Load *snipeplacement.Load
}

// Dialect translates the headers of requests and answers.
type Dialect interface {
	// Call reads the headers of a request.
	Call(h http.Header) Call
	// Outbound returns the headers that are set on a request to a target.
	Outbound(left time.Duration, target string) []snipeconn.Field
	// IDHeader names the header with the ID of a call, which answers echo.
	IDHeader() string
	// Statement reads the headers of an answer.
	Statement(status int, h http.Header) Statement
}
