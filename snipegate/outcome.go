package snipegate

import (
	"net/http"
	"strconv"
	"time"
)

// Outcome is the outcome of a request or an attempt in logs, in metrics and in the
// body of a refusal.
type Outcome string

// Outcomes of requests. If no target was available, the outcome is the
// snipeplacement.Reason.
const (
	OutcomeAnswered        Outcome = "answered"
	OutcomeTargetRefused   Outcome = "targetRefused"
	OutcomeTargetFailed    Outcome = "targetFailed"
	OutcomeNoConfiguration Outcome = "noConfiguration"
	OutcomeNoRoute         Outcome = "noRoute"
	OutcomeNoID            Outcome = "noRequestId"
	OutcomeStopping        Outcome = "stopping"
	OutcomeBodyTooLarge    Outcome = "bodyTooLarge"
	OutcomeBodyBroken      Outcome = "bodyBroken"
	OutcomeBodyTimeout     Outcome = "bodyTimeout"
	OutcomeNoMemory        Outcome = "noMemory"
	OutcomeCallerGone      Outcome = "callerGone"
	OutcomeTimeout         Outcome = "timeout"
	OutcomeUnreachable     Outcome = "targetUnreachable"
	OutcomeResponseLost    Outcome = "answerLost"
	OutcomeMalformed       Outcome = "answerMalformed"
	OutcomeTooLong         Outcome = "answerTooLong"
	OutcomeTruncated       Outcome = "answerCut"
	OutcomeUnsigned        Outcome = "answerUnsigned"
)

// status returns the status code of a response that the front itself generates.
// begun states whether a target can have begun the request, which rules out 503.
func (o Outcome) status(begun bool) int {
	switch o {
	case OutcomeNoRoute:
		return http.StatusNotFound
	case OutcomeNoID, OutcomeBodyBroken:
		return http.StatusBadRequest
	case OutcomeBodyTimeout:
		return http.StatusRequestTimeout
	case OutcomeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	default:
	}
	switch {
	case !begun:
		return http.StatusServiceUnavailable
	case o == OutcomeTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// writeRefusal writes a response of the front itself and returns its status code. A
// 503 has a Retry-After header in seconds with three decimals.
func writeRefusal(w http.ResponseWriter, o Outcome, begun bool, retryAfter time.Duration) int {
	status := o.status(begun)
	h := w.Header()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	body := []byte(string(o) + "\n")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
	return status
}

// minRetryAfter is the least Retry-After, so that refused callers do not retry at
// once.
const minRetryAfter = 20 * time.Millisecond
