package snipegate

import (
	"net/http"
	"strconv"
	"time"
)

// Outcome is how a request ended, as logs and metrics name it.
type Outcome string

// Outcomes of requests. The reasons of snipeplacement are outcomes too.
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
	OutcomeLost            Outcome = "answerLost"
	OutcomeMalformed       Outcome = "answerMalformed"
	OutcomeTooLong         Outcome = "answerTooLong"
	OutcomeCut             Outcome = "answerCut"
	OutcomeUnsigned        Outcome = "answerUnsigned"
)

// status returns the status code of an outcome that the front answers itself.
// begun says whether a target can have begun the request.
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

// refuse writes an answer of the front's own.
func refuse(w http.ResponseWriter, o Outcome, begun bool, retryAfter time.Duration) int {
	status := o.status(begun)
	h := w.Header()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	body := []byte(string(o) + "\n")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_, _ = w.Write(body)
	return status
}

// minRetryAfter keeps refused callers from returning at once.
const minRetryAfter = 20 * time.Millisecond
