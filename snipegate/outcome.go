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
	// OutcomeUnauthorized means that the request has no key, several, or one that the
	// configuration does not contain.
	OutcomeUnauthorized Outcome = "unauthorized"
	// OutcomeRouteDisabled and OutcomeTenantDisabled mean that the configuration has an
	// entry for the request that cannot be used.
	OutcomeRouteDisabled  Outcome = "routeDisabled"
	OutcomeTenantDisabled Outcome = "tenantDisabled"
	// OutcomeConfigurationStale means that the key may have been removed without this front
	// knowing it.
	OutcomeConfigurationStale Outcome = "configurationStale"
	// OutcomeOverQuota means that the quota of the tenant is used up.
	OutcomeOverQuota Outcome = "overQuota"
)

// status returns the status code of a response that the front itself generates. p is the
// promise that the request has not run, or nil if a target may have begun it.
func (o Outcome) status(p *promise) int {
	switch o {
	case OutcomeNoRoute:
		return http.StatusNotFound
	case OutcomeNoID, OutcomeBodyBroken:
		return http.StatusBadRequest
	case OutcomeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case OutcomeUnauthorized:
		return http.StatusUnauthorized
	default:
	}
	switch {
	case p != nil:
		return p.status(o)
	case o == OutcomeTimeout, o == OutcomeBodyTimeout:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// writeRefusal writes a response of the front itself and returns its status code. A
// 429 or 503 has a Retry-After header in seconds with three decimals.
func writeRefusal(w http.ResponseWriter, o Outcome, p *promise, retryAfter time.Duration) int {
	status := o.status(p)
	h := w.Header()
	if statesRetryAfter(status) {
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

// statesRetryAfter reports whether a refusal with the status tells the caller when to retry.
func statesRetryAfter(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// minRetryAfter is the least Retry-After, so that refused callers do not retry at
// once.
const minRetryAfter = 20 * time.Millisecond
