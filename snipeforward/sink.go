package snipeforward

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/snipemoor/snipemoor/snipeonce"
)

// end is how a request ended without a response of a target.
type end struct {
	outcome    string
	reason     string
	detail     string
	retryAfter time.Duration
}

func notRun(reason string) end { return end{outcome: outcomeNotRun, reason: reason} }

func unknown(reason string) end { return end{outcome: outcomeUnknown, reason: reason} }

func (r *Refusal) end() end {
	return end{outcome: outcomeNotRun, reason: r.Reason, retryAfter: r.RetryAfter}
}

// sink takes the response of one request. Begin is followed by writes and one
// of Complete and Abort; Refuse stands alone.
type sink interface {
	Begin(status int, header http.Header, length int64) error
	Write(p []byte) (int, error)
	// Complete ends a whole response.
	Complete() error
	// Abort ends a response that was cut short.
	Abort()
	// Refuse answers without a response of a target.
	Refuse(e end)
}

// httpSink answers a caller.
type httpSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	method  string
	aborted bool
}

func newHTTPSink(w http.ResponseWriter, method string) *httpSink {
	return &httpSink{w: w, control: http.NewResponseController(w), method: method}
}

// Begin implements sink.
func (s *httpSink) Begin(status int, header http.Header, length int64) error {
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if _, ok := h["Content-Type"]; !ok {
		// A nil value keeps net/http from guessing a type.
		h["Content-Type"] = nil
	}
	h.Set(headerOutcome, outcomeDone)
	s.w.WriteHeader(status)
	return nil
}

// Write implements sink and sends each part on at once.
func (s *httpSink) Write(p []byte) (int, error) {
	n, err := s.w.Write(p)
	if err != nil {
		return n, fmt.Errorf("write to the caller: %w", err)
	}
	if err := s.control.Flush(); err != nil {
		return n, fmt.Errorf("flush to the caller: %w", err)
	}
	return n, nil
}

// Complete implements sink.
func (s *httpSink) Complete() error { return nil }

// Abort implements sink. The handler panics with http.ErrAbortHandler later.
func (s *httpSink) Abort() { s.aborted = true }

// problem is a response of application/problem+json (RFC 9457).
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Reason string `json:"reason"`
}

// Refuse implements sink.
func (s *httpSink) Refuse(e end) {
	status := statusOf(e.reason)
	h := s.w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(headerOutcome, e.outcome)
	h.Set(headerReason, e.reason)
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((e.retryAfter+time.Second-1)/time.Second)))
	}
	if status == http.StatusRequestEntityTooLarge || status == http.StatusBadRequest {
		h.Set("Connection", "close")
	}
	s.w.WriteHeader(status)
	if s.method == http.MethodHead {
		return
	}
	// The caller can be gone, in which case nobody reads the problem.
	_ = json.NewEncoder(s.w).Encode(problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: e.detail, Reason: e.reason,
	})
}

// recorder passes a response on and keeps it, up to a bound. A caller that goes
// away does not end it, because the record serves those that join later.
type recorder struct {
	next   sink
	limit  int
	answer snipeonce.Answer
	large  bool
	gone   bool
	ended  bool
	result snipeonce.Result
}

// Begin implements sink.
func (r *recorder) Begin(status int, header http.Header, length int64) error {
	r.answer.Status = uint32(status)
	r.answer.Headers = headerToRecord(header)
	if err := r.next.Begin(status, header, length); err != nil {
		r.gone = true
	}
	return nil
}

// Write implements sink.
func (r *recorder) Write(p []byte) (int, error) {
	if !r.large && len(r.answer.Body)+len(p) <= r.limit {
		r.answer.Body = append(r.answer.Body, p...)
	} else {
		r.large = true
		r.answer.Body = nil
	}
	if !r.gone {
		if _, err := r.next.Write(p); err != nil {
			r.gone = true
		}
	}
	return len(p), nil
}

// Complete implements sink.
func (r *recorder) Complete() error {
	r.ended = true
	r.result = snipeonce.Result{Outcome: snipeonce.OutcomeDone}
	if !r.large {
		r.result.Answer = &r.answer
	}
	if !r.gone {
		if err := r.next.Complete(); err != nil {
			r.gone = true
		}
	}
	return nil
}

// Abort implements sink. The target ran the request, but its response is lost.
func (r *recorder) Abort() {
	r.ended = true
	r.result = snipeonce.Result{Outcome: snipeonce.OutcomeUnknown, Reason: reasonTargetFailed}
	r.next.Abort()
}

// Refuse implements sink.
func (r *recorder) Refuse(e end) {
	r.ended = true
	r.result = snipeonce.Result{Outcome: recordOutcome(e.outcome), Reason: snipeonce.Reason(e.reason)}
	if !r.gone {
		r.next.Refuse(e)
	}
}

// replay answers with a stored result.
func replay(s sink, result snipeonce.Result) {
	switch {
	case result.Outcome != snipeonce.OutcomeDone:
		e := end{outcome: result.Outcome.String(), reason: string(result.Reason)}
		if result.Reason == snipeonce.ReasonStopping || result.Reason == snipeonce.ReasonRecordsFull {
			e.retryAfter = time.Second
		}
		s.Refuse(e)
	case result.Answer == nil:
		s.Refuse(end{
			outcome: outcomeDone, reason: "answerNotKept",
			detail: "the request ran and was answered; its response was too large to keep",
		})
	default:
		a := result.Answer
		if s.Begin(int(a.Status), headerFromRecord(a.Headers), int64(len(a.Body))) != nil {
			return
		}
		if len(a.Body) > 0 {
			if _, err := s.Write(a.Body); err != nil {
				s.Abort()
				return
			}
		}
		if s.Complete() != nil {
			s.Abort()
		}
	}
}

func recordOutcome(outcome string) snipeonce.Outcome {
	switch outcome {
	case outcomeDone:
		return snipeonce.OutcomeDone
	case outcomeNotRun:
		return snipeonce.OutcomeNotRun
	default:
		return snipeonce.OutcomeUnknown
	}
}
