package snipeforward

import (
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipetime"
)

// request is an accepted request.
type request struct {
	service Service
	// class is the class of the service, or Safe for GET and HEAD.
	class sniperetry.Class
	id    snipeonce.RequestID
	// idReceived is set if the identifier came with the request, so that an
	// earlier request may have the same one.
	idReceived     bool
	idempotencyKey string
	method         string
	// uri is the escaped path and query after the service name.
	uri      string
	header   http.Header
	body     *body
	client   netip.Addr
	home     string
	deadline snipetime.Instant
	// excluded holds the targets at which an attempt of this request failed.
	excluded []string
	// relayedBy holds the incarnations of the instances that relayed a request of
	// class once.
	relayedBy []string
	// currentTarget is the target of the latest attempt, which a hedge avoids.
	currentTarget *atomic.Pointer[string]
}

// failure describes an attempt that ended without a response.
type failure struct {
	kind   sniperetry.AttemptState
	reason string
	reply  errorReply
	target string
	// permanent is set if another attempt would fail in the same way or must not be
	// made.
	permanent bool
	// otherTarget is the target of the other one of two concurrent attempts, which
	// failed too, or "".
	otherTarget string
}

// exclude adds a target to the excluded ones, unless it is empty.
func (q *request) exclude(target string) {
	if target != "" {
		q.excluded = append(q.excluded, target)
	}
}
