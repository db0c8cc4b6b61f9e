package snipecaller

import "time"

const (
	// headEnd ends the head of a request.
	headEnd = "\r\n\r\n"
	// maxArrivals bounds the requests whose arrival is kept.
	maxArrivals = 64
)

// arrivals keeps when the heads of requests on a connection were complete, in the
// order of the requests.
type arrivals struct {
	times []time.Time
	// matched is how much of headEnd the bytes so far end with.
	matched int
	// inBody says that bytes belong to the body of the request in hand, or that
	// its handler has not read the body.
	inBody bool
}

// note takes bytes as they arrive.
func (a *arrivals) note(data []byte) {
	if a.inBody {
		return
	}
	for _, b := range data {
		switch {
		case b == headEnd[a.matched]:
			a.matched++
		case b == headEnd[0]:
			a.matched = 1
		default:
			a.matched = 0
		}
		if a.matched == len(headEnd) {
			a.matched = 0
			if len(a.times) < maxArrivals {
				a.times = append(a.times, time.Now())
			}
		}
	}
}

// begin returns when the request that is taken in hand arrived, or the zero time
// if that is not known. What follows a body in the same bytes is not known.
func (a *arrivals) begin(hasBody bool) time.Time {
	var at time.Time
	if !a.inBody && len(a.times) > 0 {
		at = a.times[0]
		a.times = a.times[1:]
	}
	if hasBody || a.inBody {
		a.times, a.matched = nil, 0
	}
	a.inBody = hasBody
	return at
}

// bodyRead notes that the body of the request in hand was read.
func (a *arrivals) bodyRead() { a.inBody = false }
