package snipetrace

import "fmt"

// offer is one arrival of a request at a front, with its attempts in order.
type offer struct {
	front string
	// end is the line about its end, or nil if the log has none.
	end      *requestLine
	attempts []Attempt
}

// newOffer returns the offer that the retry lines of a request and the line about its end
// describe. end is nil if the log has none.
func newOffer(front string, retries []*retryLine, end *requestLine) *offer {
	o := &offer{front: front, end: end}
	n := attemptCount(retries, end)
	o.attempts = make([]Attempt, n)
	for i := range o.attempts {
		o.attempts[i] = Attempt{Front: front, Number: i + 1}
	}
	if end != nil {
		o.addEnd()
	}
	// Fewer retry lines mean that some were dropped, and it is not known which.
	if len(retries) >= n-1 {
		o.addRetries(retries)
	}
	if o.promised() {
		o.addEvidence()
	}
	for i := 1; i < n; i++ {
		o.attempts[i].Began = o.attempts[i-1].Ended
	}
	return o
}

// attemptCount returns the number of attempts.
func attemptCount(retries []*retryLine, end *requestLine) int {
	if end == nil {
		return len(retries)
	}
	n := end.offered
	for _, r := range retries {
		if end.leavesOutWithdrawn && isWithdrawal(r.reason) {
			n++
		}
	}
	n = max(n, len(retries))
	for _, a := range end.notRun {
		n = max(n, a.Number)
	}
	return n
}

// addRetries sets what the retry lines tell of the attempts. There is one line after each
// attempt, but not always after the last.
func (o *offer) addRetries(retries []*retryLine) {
	for i, r := range retries {
		a := &o.attempts[i]
		a.Target, a.Ended, a.Evidence = r.target, r.at, evidenceOfRetry(r.reason)
	}
}

// addEnd sets what the line about the end tells of the attempts.
func (o *offer) addEnd() {
	if len(o.attempts) == 0 {
		return
	}
	last := &o.attempts[len(o.attempts)-1]
	last.Target, last.Ended = o.end.target, o.end.ended
	if o.end.outcome == string(EvidenceAnswered) {
		last.Evidence = EvidenceAnswered
	}
	o.attempts[0].Began = o.end.ended.Add(-o.end.took)
}

// addEvidence sets the attempts to the entries of the promise. Attempts without an entry
// have no evidence.
func (o *offer) addEvidence() {
	for i := range o.attempts {
		o.attempts[i].Evidence = EvidenceNone
	}
	for _, entry := range o.end.notRun {
		a := &o.attempts[entry.Number-1]
		entry.Front, entry.Began = o.front, a.Began
		if entry.Ended.IsZero() {
			entry.Ended = a.Ended
		}
		*a = entry
	}
}

// promised reports whether the front refused the request with a promise.
func (o *offer) promised() bool { return o.end != nil && PromisesNotRun(o.end.status) }

// gaps returns the number of attempts without evidence of an offer that was refused with
// a promise.
func (o *offer) gaps() int {
	n := 0
	for _, a := range o.attempts {
		if o.promised() && (a.Evidence == EvidenceNone || a.Unnamed) {
			n++
		}
	}
	return n
}

// accountsFor reports whether the caller was told that the last attempt ran or may have
// run.
func (o *offer) accountsFor(a *Attempt) bool {
	return !o.promised() && a.Number == len(o.attempts) && (a.Evidence == EvidenceAnswered || a.Evidence == EvidenceNone)
}

// String returns the offer without its attempts as one line.
func (o *offer) String() string {
	if o.end == nil {
		return fmt.Sprintf("%s: no line about the end of the request", o.front)
	}
	text := fmt.Sprintf("%s: arrived %s, outcome %s, status %d, offered %d",
		o.front, o.end.ended.Add(-o.end.took).UTC().Format(clockFormat), o.end.outcome, o.end.status, o.end.offered)
	if o.end.caller != "" {
		text += ", caller " + o.end.caller
	}
	return text
}
