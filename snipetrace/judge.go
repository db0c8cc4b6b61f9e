package snipetrace

import (
	"fmt"
	"time"
)

// Verdict returns the verdict on a request. The logs of all fronts have to be read before.
func (t *Tracer) Verdict(request string) *Verdict {
	v := &Verdict{request: request, records: t.records[request], responses: t.responses[request], offers: t.sortedOffers(request)}
	for _, r := range v.responses {
		if r.Names != "" && r.Names != request {
			return v.decide(CallerSide, "the caller received the response to request %s", r.Names)
		}
	}
	if len(v.offers) == 0 {
		return v.decide(NotInLogs, "no line about it; fronts dropped %d lines, %d lines cannot be read", t.dropped, t.unreadable)
	}
	if promises, _ := t.told(request); promises > 0 && !v.promised() {
		if t.dropped > 0 || t.unreadable > 0 {
			return v.decide(NotInLogs, "no line about its refusal; fronts dropped %d lines, %d lines cannot be read", t.dropped, t.unreadable)
		}
		return v.decide(CallerSide, "no front has logged its refusal")
	}
	runs := t.unaccountedRuns(v)
	if len(runs) == 0 {
		return v.decide(NoneFits, "no target recorded a run that is not accounted for by a response")
	}
	for _, run := range runs {
		t.judge(v, run)
	}
	return v
}

// decide adds a reason, and sets the hypothesis unless an earlier run has set it.
func (v *Verdict) decide(h Hypothesis, format string, args ...any) *Verdict {
	if v.hypothesis == "" {
		v.hypothesis = h
	}
	v.reasons = append(v.reasons, fmt.Sprintf(format, args...))
	return v
}

// promised reports whether a front refused the request with a promise.
func (v *Verdict) promised() bool {
	for _, o := range v.offers {
		if o.promised() {
			return true
		}
	}
	return false
}

// gaps returns the number of attempts without evidence of offers that ended with a promise.
func (v *Verdict) gaps() int {
	n := 0
	for _, o := range v.offers {
		n += o.gaps()
	}
	return n
}

// unaccountedRuns returns the runs of which no caller was told that they took or may have
// taken place.
func (t *Tracer) unaccountedRuns(v *Verdict) []Record {
	runs := t.runs(v.request)
	for _, a := range v.accountedAttempts() {
		nearest := -1
		for i := range runs {
			if t.isAt(a, &runs[i]) && (nearest < 0 || distance(runs[i].At, a.Ended) < distance(runs[nearest].At, a.Ended)) {
				nearest = i
			}
		}
		if nearest >= 0 {
			runs = append(runs[:nearest], runs[nearest+1:]...)
		}
	}
	return runs
}

// distance returns the time between a and b, in whatever order.
func distance(a, b time.Time) time.Duration { return a.Sub(b).Abs() }

// accountedAttempts returns the attempts of which a caller was told that they ran or may
// have run.
func (v *Verdict) accountedAttempts() []*Attempt { return v.selectAttempts(true) }

// doubtfulAttempts returns the other attempts, in order.
func (v *Verdict) doubtfulAttempts() []*Attempt { return v.selectAttempts(false) }

// selectAttempts returns the attempts that are accounted for, or the others.
func (v *Verdict) selectAttempts(accounted bool) []*Attempt {
	var selected []*Attempt
	for _, o := range v.offers {
		for i := range o.attempts {
			if o.accountsFor(&o.attempts[i]) == accounted {
				selected = append(selected, &o.attempts[i])
			}
		}
	}
	return selected
}

// isAt reports whether an attempt was made at the target of a run, or at its address.
func (t *Tracer) isAt(a *Attempt, run *Record) bool {
	if a.Target == run.Target || a.Responder == run.Target {
		return true
	}
	at, ran := t.address(a.Target, a.Address), t.address(run.Target, run.Address)
	return at != "" && at == ran
}

// address returns the address that was stated, or else the one that records state for the
// target.
func (t *Tracer) address(target, stated string) string {
	if stated != "" {
		return stated
	}
	return t.addresses[target]
}

// attemptOf returns the index of the attempt by which a run came, or -1 if there is none: the
// attempt over the connection of the run, else the last one at its target that had begun.
func (t *Tracer) attemptOf(attempts []*Attempt, run *Record) int {
	found := -1
	for i, a := range attempts {
		if run.Peer != "" && a.Connection == run.Peer {
			found = i
		}
	}
	if found >= 0 {
		return found
	}
	latest := run.At
	for i, a := range attempts {
		if !t.isAt(a, run) {
			continue
		}
		if found < 0 {
			// The second attempt may seem to begin a little after its run.
			found, latest = i, run.At.Add(t.tolerance)
			continue
		}
		if !a.Began.After(latest) {
			found = i
		}
		latest = run.At
	}
	return found
}

// judge decides by which hypothesis a run came.
func (t *Tracer) judge(v *Verdict, run Record) {
	attempts := v.doubtfulAttempts()
	i := t.attemptOf(attempts, &run)
	gaps := v.gaps()
	if i < 0 && gaps == 0 {
		v.decide(NoneFits, "target %s ran it, which no attempt names", run.Target)
		return
	}
	if i < 0 {
		v.decide(NoEvidence, "target %s ran it; %d attempts have no evidence", run.Target, gaps)
		return
	}
	a := attempts[i]
	if a.Evidence == EvidenceNone {
		v.decide(NoEvidence, "attempt %d of %s ran and has no evidence", a.Number, a.Front)
		return
	}
	if t.judgeCopy(v, attempts[:i], a, &run) {
		return
	}
	t.judgeRefusal(v, a, &run, gaps)
}

// judgeCopy decides for a copy if an earlier attempt was refused where the attempt a ran, and
// returns false otherwise. It is no copy if the target recorded as many refusals as fronts
// received.
func (t *Tracer) judgeCopy(v *Verdict, earlier []*Attempt, a *Attempt, run *Record) bool {
	var source *Attempt
	received := 1
	for _, e := range earlier {
		if !e.refused() || !t.isAt(e, run) {
			continue
		}
		received++
		if source == nil || !sameConnection(source, a) {
			source = e
		}
	}
	if source == nil || !a.refused() || t.refusals(run) >= received {
		return false
	}
	if sameConnection(source, a) {
		v.decide(CopySameConnection, "attempt %d of %s ran%s; its connection is that of %s",
			a.Number, a.Front, relativeTo(a, run), refusalOf(source))
		return true
	}
	v.decide(CopyOtherConnection, "attempt %d of %s ran%s; its target or address is that of %s",
		a.Number, a.Front, relativeTo(a, run), refusalOf(source))
	return true
}

// refusalOf returns an attempt that was refused and when, in words.
func refusalOf(a *Attempt) string {
	text := fmt.Sprintf("attempt %d of %s, which was refused", a.Number, a.Front)
	if a.Ended.IsZero() {
		return text
	}
	return text + " at " + a.Ended.UTC().Format(clockFormat)
}

// refusals returns how often the target of a run, or its address, recorded a refusal of the
// same request.
func (t *Tracer) refusals(run *Record) int {
	n := 0
	for _, r := range t.records[run.Request] {
		if r.Status != 0 && t.isAt(&Attempt{Target: r.Target, Address: r.Address}, run) {
			n++
		}
	}
	return n
}

// sameConnection reports whether two attempts went over one connection.
func sameConnection(a, b *Attempt) bool {
	otherAddress := a.Address != "" && b.Address != "" && a.Address != b.Address
	return a.Front == b.Front && a.Connection != "" && a.Connection == b.Connection && !otherAddress
}

// judgeRefusal decides on a run by an attempt that no copy explains.
func (t *Tracer) judgeRefusal(v *Verdict, a *Attempt, run *Record, gaps int) {
	switch {
	case gaps > 0:
		v.decide(NoEvidence, "attempt %d of %s ran%s; %d attempts have no evidence", a.Number, a.Front, relativeTo(a, run), gaps)
	case a.Evidence == EvidenceNotSent:
		v.decide(AnotherWay, "attempt %d of %s was not sent, and ran%s", a.Number, a.Front, relativeTo(a, run))
	case !a.Ended.IsZero() && run.At.Sub(a.Ended) > t.tolerance:
		v.decide(AnotherWay, "attempt %d of %s was refused once, and ran%s", a.Number, a.Front, relativeTo(a, run))
	default:
		v.decide(NoneFits, "target %s ran attempt %d of %s%s and refused it; no earlier attempt went there",
			run.Target, a.Number, a.Front, relativeTo(a, run))
	}
}

// relativeTo returns when an attempt ran, compared with its end, in words that follow a verb.
func relativeTo(a *Attempt, run *Record) string {
	switch d := run.At.Sub(a.Ended).Round(time.Microsecond); {
	case a.Ended.IsZero():
		return ""
	case d < 0:
		return fmt.Sprintf(" %v before the refusal was known", -d)
	default:
		return fmt.Sprintf(" %v after the refusal was known", d)
	}
}
