package snipeforward

import "net/http"

// Reasons of refusals that this package decides. Other packages return further
// reasons, which are passed on unchanged, and some of these with the same values.
const (
	reasonNoConfiguration   = "noConfiguration"
	reasonUnknownService    = "unknownService"
	reasonUnknownTeam       = "unknownTeam"
	reasonBadRequestID      = "badRequestId"
	reasonBadTimeout        = "badTimeout"
	reasonBadLookup         = "badLookup"
	reasonHeaderTooLarge    = "headerTooLarge"
	reasonBodyTooLarge      = "bodyTooLarge"
	reasonBodyCut           = "bodyCut"
	reasonBadPath           = "badPath"
	reasonNoConnection      = "noConnection"
	reasonStopping          = "stopping"
	reasonNoTarget          = "noTarget"
	reasonNoSlot            = "noSlot"
	reasonRelayFailed       = "relayFailed"
	reasonIssuerUnreachable = "issuerUnreachable"
	reasonDeadline          = "deadline"
	reasonTargetFailed      = "targetFailed"
	reasonCallerGone        = "callerGone"
)

// statusOf returns the HTTP status of a refusal.
func statusOf(reason string) int {
	switch reason {
	case reasonUnknownTeam, reasonUnknownService:
		return http.StatusNotFound
	case reasonBadRequestID, reasonBadTimeout, reasonBadLookup, reasonBodyCut, reasonBadPath:
		return http.StatusBadRequest
	case reasonHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case reasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case reasonDeadline:
		return http.StatusGatewayTimeout
	case reasonTargetFailed, reasonRelayFailed, reasonIssuerUnreachable, "connectionLost", "dialFailed":
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// Values of the header Snipemoor-Outcome.
const (
	outcomeDone    = "done"
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"
)
