package snipetrace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"time"
)

// Settings configure a Tracer. The zero value is usable.
type Settings struct {
	// ClockTolerance is by how much the clocks of targets and fronts may differ. Zero means
	// 10 ms.
	ClockTolerance time.Duration
	// Requests are the IDs of requests that can be traced without a record or a response.
	Requests []string
}

const defaultClockTolerance = 10 * time.Millisecond

// Tracer finds out why requests ran. It is not safe for concurrent use.
type Tracer struct {
	tolerance time.Duration
	// requests are the IDs of the requests that can be traced.
	requests map[string]bool
	// records, responses and offers are those of each request, by its ID.
	records   map[string][]Record
	responses map[string][]Response
	offers    map[string][]*offer
	// addresses holds the address of each target, as far as records and attempts state it.
	addresses map[string]string
	// dropped is the number of lines that fronts did not write, and unreadable that of
	// lines that cannot be parsed.
	dropped, unreadable int
}

// New returns a Tracer of the requests in records, in responses and in s.Requests.
func New(s Settings, records []Record, responses []Response) *Tracer {
	t := &Tracer{
		tolerance: s.ClockTolerance, requests: make(map[string]bool), records: make(map[string][]Record), responses: make(map[string][]Response),
		offers: make(map[string][]*offer), addresses: make(map[string]string),
	}
	if t.tolerance == 0 {
		t.tolerance = defaultClockTolerance
	}
	for _, id := range s.Requests {
		t.requests[id] = true
	}
	for _, r := range records {
		t.requests[r.Request] = true
		t.records[r.Request] = append(t.records[r.Request], r)
		t.addAddress(r.Target, r.Address)
	}
	for _, r := range responses {
		t.requests[r.Request] = true
		t.responses[r.Request] = append(t.responses[r.Request], r)
	}
	return t
}

// maxLineBytes is the length of the longest line of a log.
const maxLineBytes = 1 << 20

// ReadLog reads the log of a front. Lines about other requests than those of New are
// skipped, and lines that cannot be parsed are counted.
func (t *Tracer) ReadLog(front string, r io.Reader) error {
	retries := make(map[string][]*retryLine)
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if err := t.readLine(front, lines.Text(), retries); err != nil {
			t.unreadable++
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log of %s: %w", front, err)
	}
	for id, r := range retries {
		t.addOffer(id, newOffer(front, r, nil))
	}
	return nil
}

// addOffer adds an offer of a request.
func (t *Tracer) addOffer(id string, o *offer) {
	t.offers[id] = append(t.offers[id], o)
	for _, a := range o.attempts {
		t.addAddress(a.Target, a.Address)
	}
}

// addAddress records the address of a target, unless it is empty or known.
func (t *Tracer) addAddress(target, address string) {
	if address != "" && t.addresses[target] == "" {
		t.addresses[target] = address
	}
}

// readLine adds what one line tells. retries are the retry lines of the requests whose end
// has not been read.
func (t *Tracer) readLine(front, line string, retries map[string][]*retryLine) error {
	p, err := parsePairs(line)
	if err != nil {
		return err
	}
	id := p["request"]
	switch {
	case p["event"] == eventDropped:
		n, _, err := p.integer("count")
		t.dropped += n
		return err
	case !t.requests[id]:
		return nil
	case p["event"] == eventRetry:
		l, err := parseRetryLine(p)
		if err != nil {
			return err
		}
		retries[id] = append(retries[id], l)
	case p["event"] == eventRequest:
		l, err := parseRequestLine(p)
		if err != nil {
			return err
		}
		t.addOffer(id, newOffer(front, retries[id], l))
		delete(retries, id)
	}
	return nil
}

// RefusedAndRan returns the sorted IDs of the requests that were refused with a promise and
// ran more often than other responses to their callers allow. Of a request without a response
// in the records, the lines in the logs count.
func (t *Tracer) RefusedAndRan() []string {
	var ids []string
	for id := range t.records {
		if promises, others := t.told(id); promises > 0 && len(t.runs(id)) > others {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// told returns how often the caller of a request was told that it had not run, and how often
// something else or nothing.
func (t *Tracer) told(id string) (promises, others int) {
	count := func(promised bool) {
		if promised {
			promises++
		} else {
			others++
		}
	}
	for _, r := range t.responses[id] {
		count(PromisesNotRun(r.Status))
	}
	if len(t.responses[id]) > 0 {
		return promises, others
	}
	for _, o := range t.offers[id] {
		count(o.promised())
	}
	return promises, others
}

// runs returns the records of a request that ran, in order of time.
func (t *Tracer) runs(id string) []Record {
	runs := slices.DeleteFunc(slices.Clone(t.records[id]), func(r Record) bool { return r.Status != 0 })
	slices.SortStableFunc(runs, func(a, b Record) int { return a.At.Compare(b.At) })
	return runs
}

// sortedOffers returns the offers of a request in order of time.
func (t *Tracer) sortedOffers(id string) []*offer {
	offers := slices.Clone(t.offers[id])
	slices.SortStableFunc(offers, func(a, b *offer) int { return a.time().Compare(b.time()) })
	return offers
}

// time returns a time within the offer, by which offers of one request can be sorted.
func (o *offer) time() time.Time {
	if o.end != nil {
		return o.end.ended
	}
	return o.attempts[len(o.attempts)-1].Ended
}
