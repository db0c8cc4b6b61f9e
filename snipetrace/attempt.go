package snipetrace

import (
	"fmt"
	"strings"
	"time"
)

// Evidence is what a front knows of an attempt.
type Evidence string

// Evidence of attempts.
const (
	// EvidenceNone means that nothing shows whether the target ran the request.
	EvidenceNone Evidence = ""
	// EvidenceNotSent means that nothing was written to a connection.
	EvidenceNotSent Evidence = "notSent"
	// EvidenceStated means that a response states that the target has not run it.
	EvidenceStated Evidence = "stated"
	// EvidenceMisaddressed means that a response states that another target has the address.
	EvidenceMisaddressed Evidence = "misaddressed"
	// EvidenceAnswered means that the target's response was passed on to the caller.
	EvidenceAnswered Evidence = "answered"
)

// Attempt is one attempt of a front to have a request run.
type Attempt struct {
	// Front is the name of the front's log.
	Front string
	// Number is the number of the attempt among those of its offer, from 1.
	Number int
	// Target is the ID of the target that was asked, and Address where. Address is empty
	// if it is not known.
	Target, Address string
	// Evidence is what the front knows of the attempt.
	Evidence Evidence
	// Status is the status of the response that refused it, or zero.
	Status int
	// Responder is the ID that this response states for the target that sent it, or empty.
	Responder string
	// Unnamed means that this response does not name the request.
	Unnamed bool
	// Connection is the local address of the connection, or empty if it is not known.
	Connection string
	// EarlierRequests is the number of requests that were sent over the connection before, or
	// -1 if that is not known.
	EarlierRequests int
	// Began and Ended are when the attempt began and when its end was known. They are zero
	// if that is not known.
	Began, Ended time.Time
}

// refused reports whether a response refused the attempt.
func (a *Attempt) refused() bool {
	return a.Evidence == EvidenceStated || a.Evidence == EvidenceMisaddressed
}

// evidenceOfRetry returns the evidence for an attempt after which a front sent the request
// once more for the given reason.
func evidenceOfRetry(reason string) Evidence {
	switch {
	case reason == "targetRefused":
		return EvidenceStated
	case reason == "targetUnreachable", isWithdrawal(reason):
		return EvidenceNotSent
	default:
		return EvidenceNone
	}
}

// isWithdrawal reports whether the reason of a retry is that the attempt was withdrawn before
// anything was sent.
func isWithdrawal(reason string) bool { return reason == "targetLeft" || reason == "targetsResting" }

// clockFormat is the form of the times in a verdict.
const clockFormat = "15:04:05.000000"

// String returns the attempt as one line.
func (a *Attempt) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "attempt %d: target %s", a.Number, orUnknown(a.Target))
	if a.Address != "" {
		fmt.Fprintf(&b, " at %s", a.Address)
	}
	if a.Evidence == EvidenceNone {
		b.WriteString(", no evidence")
	} else {
		fmt.Fprintf(&b, ", %s", a.Evidence)
	}
	if a.Status != 0 {
		fmt.Fprintf(&b, " with %d", a.Status)
	}
	if a.Responder != "" {
		fmt.Fprintf(&b, " by %s", a.Responder)
	}
	if a.Unnamed {
		b.WriteString(" in a response that does not name the request")
	}
	if !a.Ended.IsZero() {
		fmt.Fprintf(&b, ", known at %s", a.Ended.UTC().Format(clockFormat))
	}
	if a.Connection != "" {
		fmt.Fprintf(&b, ", connection %s", a.Connection)
		if a.EarlierRequests >= 0 {
			fmt.Fprintf(&b, " (%d earlier requests)", a.EarlierRequests)
		}
	}
	return b.String()
}

// orUnknown returns text, or "(not known)" if it is empty.
func orUnknown(text string) string {
	if text == "" {
		return "(not known)"
	}
	return text
}
