package snipetrace

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Events of the lines that a Tracer reads.
const (
	eventRequest = "request"
	eventRetry   = "retry"
	eventDropped = "log lines dropped"
)

// requestLine is the line about a request that ended.
type requestLine struct {
	request, outcome, target string
	status                   int
	// ended is when the request ended, and took the time since its arrival.
	ended time.Time
	took  time.Duration
	// offered is the number of attempts. If it comes from the field attempts, it leaves out
	// those that were withdrawn.
	offered            int
	leavesOutWithdrawn bool
	// notRun are the attempts of which the front knows that they have not run.
	notRun []Attempt
	// caller is the address of the caller's connection, or empty if the line is of an older
	// front.
	caller string
}

// retryLine is the line about an attempt after which the request is sent once more.
type retryLine struct {
	request, reason, target string
	at                      time.Time
}

// maxAttempts bounds the number of attempts that a line can state.
const maxAttempts = 1000

// parseRequestLine parses the fields of a request line, of the newest or an older form.
func parseRequestLine(p pairs) (*requestLine, error) {
	l := &requestLine{request: p["request"], outcome: p["outcome"], target: p["target"], caller: p["caller"]}
	var err error
	if l.ended, err = p.time("time"); err != nil {
		return nil, err
	}
	if l.took, _, err = p.duration("took"); err != nil {
		return nil, err
	}
	if l.status, _, err = p.integer("status"); err != nil {
		return nil, err
	}
	if l.offered, err = offeredAttempts(p); err != nil {
		return nil, err
	}
	_, exact := p["offered"]
	l.leavesOutWithdrawn = !exact
	list, found := p["notRun"]
	if !found {
		return l, nil
	}
	if l.notRun, err = parseNotRun(list, l.ended.Add(-l.took)); err != nil {
		return nil, fmt.Errorf("field notRun: %w", err)
	}
	return l, nil
}

// offeredAttempts returns the number of attempts. Older fronts, and lines without a promise,
// state it as attempts only.
func offeredAttempts(p pairs) (int, error) {
	n, found, err := p.integer("offered")
	if !found && err == nil {
		n, _, err = p.integer("attempts")
	}
	if err == nil && (n < 0 || n > maxAttempts) {
		err = fmt.Errorf("%d attempts, want 0 to %d", n, maxAttempts)
	}
	return n, err
}

// parseRetryLine parses the fields of a retry line.
func parseRetryLine(p pairs) (*retryLine, error) {
	at, err := p.time("time")
	if err != nil {
		return nil, err
	}
	return &retryLine{request: p["request"], reason: p["reason"], target: p["target"], at: at}, nil
}

// The list of attempts has the form in which package fmt prints a slice of maps.
const (
	entryStart     = "map["
	entrySeparator = "] " + entryStart
)

// parseNotRun parses the list of attempts of a request that arrived at the given time.
func parseNotRun(text string, arrived time.Time) ([]Attempt, error) {
	if text == "[]" {
		return nil, nil
	}
	inner, isList := strings.CutPrefix(text, "["+entryStart)
	inner, isClosed := strings.CutSuffix(inner, "]]")
	if !isList || !isClosed {
		return nil, fmt.Errorf("%q is no list of attempts", text)
	}
	var attempts []Attempt
	for entry := range strings.SplitSeq(inner, entrySeparator) {
		a, err := parseAttempt(parseMap(entry), len(attempts)+1, arrived)
		if err != nil {
			return nil, fmt.Errorf("entry %q: %w", entry, err)
		}
		attempts = append(attempts, a)
	}
	return attempts, nil
}

// attemptKeys returns the keys of an entry of notRun.
func attemptKeys() []string {
	return []string{
		"address", "after", "attempt", "connection", "connectionAge", "earlierRequests", "named", "reason", "responder", "status", "target",
	}
}

// parseMap parses "key:value key:value". A word that does not begin with one of attemptKeys
// belongs to the value before it.
func parseMap(text string) pairs {
	p, key := make(pairs), ""
	for word := range strings.SplitSeq(text, " ") {
		next, value, found := strings.Cut(word, ":")
		if found && slices.Contains(attemptKeys(), next) {
			key = next
			p[key] = value
			continue
		}
		p[key] += " " + word
	}
	return p
}

// parseAttempt returns the attempt that an entry of notRun describes. Entries of the oldest
// fronts state no number and have that of their position.
func parseAttempt(p pairs, position int, arrived time.Time) (Attempt, error) {
	a := Attempt{
		Target: p["target"], Address: p["address"], Evidence: Evidence(p["reason"]), Responder: p["responder"],
		Connection: p["connection"], Unnamed: p["named"] == "false",
	}
	var found bool
	var err error
	if a.Number, found, err = p.integer("attempt"); err != nil {
		return Attempt{}, err
	}
	if !found {
		a.Number = position
	}
	if a.Number < 1 || a.Number > maxAttempts {
		return Attempt{}, fmt.Errorf("attempt %d, want 1 to %d", a.Number, maxAttempts)
	}
	if a.Status, _, err = p.integer("status"); err != nil {
		return Attempt{}, err
	}
	if a.EarlierRequests, found, err = p.integer("earlierRequests"); err != nil {
		return Attempt{}, err
	}
	if !found && a.Connection != "" {
		a.EarlierRequests = -1
	}
	after, found, err := p.duration("after")
	if err != nil {
		return Attempt{}, err
	}
	if found {
		a.Ended = arrived.Add(after)
	}
	return a, nil
}
