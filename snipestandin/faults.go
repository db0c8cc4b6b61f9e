package snipestandin

import "time"

// Outage is the way in which the store or the instance list is unavailable.
type Outage string

// The kinds of outages.
const (
	// OutageNone means that calls work.
	OutageNone Outage = ""
	// OutageError responds to each call with status 503.
	OutageError Outage = "error"
	// OutageSilent accepts each call and sends no response.
	OutageSilent Outage = "silent"
	// OutageClose closes the connection of each call without a response.
	OutageClose Outage = "close"
)

// StoreFaults are the faults of a store. The zero value has no fault.
type StoreFaults struct {
	// Outage makes all calls fail.
	Outage Outage `check:"oneof=error|silent|close"`
	// Delay is added before each call takes effect.
	Delay time.Duration `check:"max=10m"`
	// LoseAnswers is how many of the next writes take effect but get no response:
	// their connection is closed. Writes are all calls but get, list and watch.
	LoseAnswers int `check:"min=0,max=1000000"`
	// LoseRequests is how many of the next writes have no effect: their
	// connection is closed.
	LoseRequests int `check:"min=0,max=1000000"`
	// LateWrites is how many of the next writes take effect only after their
	// connection was closed, LateBy later.
	LateWrites int           `check:"min=0,max=1000000"`
	LateBy     time.Duration `check:"max=10m"`
	// RefuseFraction is the fraction of calls that fail with status 429, from 0
	// to 1.
	RefuseFraction float64 `check:"min=0,max=1"`
	// OldData makes reads return the data of the moment at which the fault was
	// set, as a stale replica would.
	OldData bool
}
