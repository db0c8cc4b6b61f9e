package snipeforward

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/snipemoor/snipemoor/snipeonce"
)

// errorReply is the reply to a request that ended without a response of a target:
// a refusal, an unknown outcome, or the outcome done with a response that was not
// kept.
type errorReply struct {
	outcome    string
	reason     string
	detail     string
	retryAfter time.Duration
}

// notRun returns a reply with the outcome not-run.
func notRun(reason string) errorReply { return errorReply{outcome: outcomeNotRun, reason: reason} }

// unknown returns a reply with the outcome unknown.
func unknown(reason string) errorReply { return errorReply{outcome: outcomeUnknown, reason: reason} }

// errorReply returns the reply to a request that ends with the refusal.
func (r *Refusal) errorReply() errorReply {
	return errorReply{outcome: outcomeNotRun, reason: r.Reason, retryAfter: r.RetryAfter}
}

// sink receives the response of one request: either Begin, any number of writes
// and one of Complete and Abort, or Refuse alone.
type sink interface {
	// Begin writes the status and the headers. length is -1 if it is unknown.
	Begin(status int, header http.Header, length int64) error
	Write(p []byte) (int, error)
	// Complete ends a complete response.
	Complete() error
	// Abort ends a truncated response.
	Abort()
	// Refuse writes the reply to a request without a response of a target.
	Refuse(e errorReply)
}

// httpSink writes a response to a caller.
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
		// A nil value prevents net/http from detecting a type.
		h["Content-Type"] = nil
	}
	h.Set(headerOutcome, outcomeDone)
	s.w.WriteHeader(status)
	return nil
}

// Write implements sink and flushes each write at once.
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

// closeTruncated resets the connection of a caller of HTTP/1.0, which would take its
// orderly end for the end of a complete response.
func (s *httpSink) closeTruncated(r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := s.control.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// This fails only if the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// problem is the body of an application/problem+json response (RFC 9457).
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Reason string `json:"reason"`
}

// Refuse implements sink.
func (s *httpSink) Refuse(e errorReply) {
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
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(s.w).Encode(problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: e.detail, Reason: e.reason,
	})
}

// recorder is a sink that writes a response to the next sink and records it. A
// body of more than limit bytes is not recorded. Errors of the next sink are not
// returned: the recording continues for requests that join later.
type recorder struct {
	next     sink
	limit    int
	response snipeonce.Response
	// tooLarge is set once the body has exceeded limit.
	tooLarge bool
	// nextFailed is set after an error of next.
	nextFailed bool
	ended      bool
	result     snipeonce.Result
}

// Begin implements sink.
func (r *recorder) Begin(status int, header http.Header, length int64) error {
	r.response.Status = uint32(status)
	r.response.Headers = headerToRecord(header)
	if err := r.next.Begin(status, header, length); err != nil {
		r.nextFailed = true
	}
	return nil
}

// Write implements sink.
func (r *recorder) Write(p []byte) (int, error) {
	if !r.tooLarge && len(r.response.Body)+len(p) <= r.limit {
		r.response.Body = append(r.response.Body, p...)
	} else {
		r.tooLarge = true
		r.response.Body = nil
	}
	if !r.nextFailed {
		if _, err := r.next.Write(p); err != nil {
			r.nextFailed = true
		}
	}
	return len(p), nil
}

// Complete implements sink.
func (r *recorder) Complete() error {
	r.ended = true
	r.result = snipeonce.Result{Outcome: snipeonce.OutcomeDone}
	if !r.tooLarge {
		r.result.Response = &r.response
	}
	if !r.nextFailed {
		if err := r.next.Complete(); err != nil {
			r.nextFailed = true
		}
	}
	return nil
}

// Abort implements sink. The target ran the request, but its response was lost.
func (r *recorder) Abort() {
	r.ended = true
	r.result = snipeonce.Result{Outcome: snipeonce.OutcomeUnknown, Reason: reasonTargetFailed}
	r.next.Abort()
}

// Refuse implements sink.
func (r *recorder) Refuse(e errorReply) {
	r.ended = true
	r.result = snipeonce.Result{Outcome: parseOutcome(e.outcome), Reason: snipeonce.Reason(e.reason)}
	if !r.nextFailed {
		r.next.Refuse(e)
	}
}

// replay writes a stored result to the sink.
func replay(s sink, result snipeonce.Result) {
	switch {
	case result.Outcome != snipeonce.OutcomeDone:
		e := errorReply{outcome: result.Outcome.String(), reason: string(result.Reason)}
		if result.Reason == snipeonce.ReasonStopping || result.Reason == snipeonce.ReasonRecordsFull {
			e.retryAfter = time.Second
		}
		s.Refuse(e)
	case result.Response == nil:
		s.Refuse(errorReply{
			outcome: outcomeDone, reason: "answerNotKept",
			detail: "the request ran and was answered; its response was too large to keep",
		})
	default:
		a := result.Response
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

// parseOutcome returns the outcome for a value of the header Snipemoor-Outcome.
func parseOutcome(outcome string) snipeonce.Outcome {
	switch outcome {
	case outcomeDone:
		return snipeonce.OutcomeDone
	case outcomeNotRun:
		return snipeonce.OutcomeNotRun
	default:
		return snipeonce.OutcomeUnknown
	}
}
