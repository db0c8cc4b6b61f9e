package snipetrace

import (
	"fmt"
	"strings"
)

// Hypothesis is a way in which a request can run although it was refused.
type Hypothesis string

// Hypotheses. All but the last two are those of docs/incidents/refused-and-ran.md.
const (
	// CopySameConnection means that a late copy of the response to an earlier attempt came
	// over its connection and passed for the response to the attempt that ran.
	CopySameConnection Hypothesis = "copySameConnection"
	// CopyOtherConnection means the same of a copy over another connection to the target
	// or its address.
	CopyOtherConnection Hypothesis = "copyOtherConnection"
	// NoEvidence means that the front promised without evidence for each attempt.
	NoEvidence Hypothesis = "noEvidence"
	// AnotherWay means that the refusal was true when it was sent and the request ran by
	// another way: later, or by an attempt of which nothing was sent, as the front says.
	AnotherWay Hypothesis = "anotherWay"
	// CallerSide means that the caller received the response to another request, or one
	// that no front has logged.
	CallerSide Hypothesis = "callerSide"
	// NotInLogs means that the logs do not have the request or its refusal.
	NotInLogs Hypothesis = "notInLogs"
	// NoneFits means that the request is in the logs and no hypothesis fits.
	NoneFits Hypothesis = "noneFits"
)

// Meaning returns the hypothesis in words.
func (h Hypothesis) Meaning() string {
	switch h {
	case CopySameConnection:
		return "late copy of a refusal over one connection"
	case CopyOtherConnection:
		return "late copy of a refusal over another connection to one target or address"
	case NoEvidence:
		return "promise without evidence for each attempt"
	case AnotherWay:
		return "the request ran by another way than the refused attempt"
	case CallerSide:
		return "the response belongs to another request, or no front has logged it"
	case NotInLogs:
		return "not in the logs"
	default:
		return "no hypothesis fits"
	}
}

// Verdict is what is known of a request that ran.
type Verdict struct {
	request    string
	hypothesis Hypothesis
	reasons    []string
	offers     []*offer
	records    []Record
	responses  []Response
}

// Request returns the ID of the request.
func (v *Verdict) Request() string { return v.request }

// Hypothesis returns the hypothesis that fits.
func (v *Verdict) Hypothesis() Hypothesis { return v.hypothesis }

// Reasons returns what the hypothesis rests on, one sentence for each run.
func (v *Verdict) Reasons() []string { return v.reasons }

// Attempts returns the attempts of all fronts, in order.
func (v *Verdict) Attempts() []Attempt {
	var attempts []Attempt
	for _, o := range v.offers {
		attempts = append(attempts, o.attempts...)
	}
	return attempts
}

// String returns the verdict as lines: the hypothesis, what it rests on, and what fronts,
// targets and callers recorded.
func (v *Verdict) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s (%s)", v.request, v.hypothesis, v.hypothesis.Meaning())
	for _, reason := range v.reasons {
		b.WriteString("\n  " + reason)
	}
	for _, o := range v.offers {
		fmt.Fprintf(&b, "\n  %v", o)
		for _, a := range o.attempts {
			fmt.Fprintf(&b, "\n    %v", &a)
		}
	}
	for _, r := range v.records {
		fmt.Fprintf(&b, "\n  %v", r)
	}
	for _, r := range v.responses {
		fmt.Fprintf(&b, "\n  %v", r)
	}
	return b.String()
}

// String returns the record as one line.
func (r Record) String() string {
	text := fmt.Sprintf("target %s ran it at %s", r.Target, r.At.UTC().Format(clockFormat))
	if r.Status != 0 {
		text = fmt.Sprintf("target %s refused it with %d at %s", r.Target, r.Status, r.At.UTC().Format(clockFormat))
	}
	if r.Address != "" {
		text += ", address " + r.Address
	}
	if r.Peer != "" {
		text += ", connection from " + r.Peer
	}
	return text
}

// String returns the response as one line.
func (r Response) String() string {
	switch {
	case r.Status == 0:
		return "caller received no whole response"
	case r.Names == "":
		return fmt.Sprintf("caller received status %d", r.Status)
	default:
		return fmt.Sprintf("caller received status %d for request %s", r.Status, r.Names)
	}
}
