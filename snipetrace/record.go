package snipetrace

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Record is what a target recorded when it ran or refused a request.
type Record struct {
	// Request is the ID of the request, and Target that of the target.
	Request, Target string
	// Address is where fronts reach the target, or empty if it is not known.
	Address string
	// Peer is the address of the other end of the connection, or empty if it is not known.
	Peer string
	// At is when the target ran or refused the request.
	At time.Time
	// Status is the status with which the target refused it, or zero if the target ran it.
	Status int
}

// Response is a response that a caller received.
type Response struct {
	// Request is the ID of the request that the caller sent.
	Request string
	// Status is the status of the response, or zero if no whole response arrived.
	Status int
	// Names is the ID of the request that the response names, or empty if that is not known.
	Names string
}

// PromisesNotRun reports whether a status promises that the request has not run and never
// will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// Events of the lines of a file with records.
const (
	eventRan      = "ran"
	eventRefused  = "refused"
	eventResponse = "response"
)

// WriteRecords writes records and responses as lines that ReadRecords reads.
func WriteRecords(w io.Writer, records []Record, responses []Response) error {
	for _, r := range records {
		event := eventRan
		if r.Status != 0 {
			event = eventRefused
		}
		if _, err := fmt.Fprintf(w, "time=%s event=%s request=%q target=%q address=%q peer=%q status=%d\n",
			r.At.UTC().Format(time.RFC3339Nano), event, r.Request, r.Target, r.Address, r.Peer, r.Status); err != nil {
			return fmt.Errorf("write record: %w", err)
		}
	}
	for _, r := range responses {
		if _, err := fmt.Fprintf(w, "event=%s request=%q status=%d names=%q\n", eventResponse, r.Request, r.Status, r.Names); err != nil {
			return fmt.Errorf("write response: %w", err)
		}
	}
	return nil
}

// ReadRecords reads lines of key=value pairs. Lines with event=ran or event=refused are
// records, those with event=response are responses. Empty lines are skipped. An error names
// the number of the line.
func ReadRecords(r io.Reader) (records []Record, responses []Response, err error) {
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		p, err := parsePairs(lines.Text())
		if err != nil {
			return nil, nil, fmt.Errorf("line %d: %w", number, err)
		}
		if p["event"] == eventResponse {
			var response Response
			response, err = parseResponse(p)
			responses = append(responses, response)
		} else {
			var record Record
			record, err = parseRecord(p)
			records = append(records, record)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("line %d: %w", number, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, nil, fmt.Errorf("read records: %w", err)
	}
	return records, responses, nil
}

// parseResponse parses the fields of a response.
func parseResponse(p pairs) (Response, error) {
	r := Response{Request: p["request"], Names: p["names"]}
	if r.Request == "" {
		return r, fmt.Errorf("request: %w", errNoField)
	}
	status, err := strconv.Atoi(p["status"])
	if err != nil {
		return r, fmt.Errorf("field status: %w", err)
	}
	r.Status = status
	return r, nil
}

// parseRecord parses the fields of a record.
func parseRecord(p pairs) (Record, error) {
	r := Record{Request: p["request"], Target: p["target"], Address: p["address"], Peer: p["peer"]}
	if r.Request == "" || r.Target == "" {
		return r, fmt.Errorf("request or target: %w", errNoField)
	}
	var err error
	if r.At, err = p.time("time"); err != nil {
		return r, err
	}
	if r.Status, _, err = p.integer("status"); err != nil {
		return r, err
	}
	if event := p["event"]; event != eventRan && event != eventRefused || (event == eventRan) != (r.Status == 0) {
		return r, fmt.Errorf("event %q with status %d, want ran without or refused with a status", event, r.Status)
	}
	return r, nil
}
