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
	class  sniperetry.Class
	id     snipeonce.RequestID
	named  bool
	key    string
	method string
	// uri is the escaped path and query after the service name.
	uri      string
	header   http.Header
	body     *body
	client   netip.Addr
	home     string
	deadline snipetime.Instant
	// excluded holds targets that failed an attempt of this request.
	excluded []string
	// passedBy names the instances that passed a request of class once on.
	passedBy []string
	// running is the target of the latest attempt, for a hedge to avoid.
	running *atomic.Pointer[string]
}

// failure is an attempt without a response.
type failure struct {
	kind   sniperetry.Failure
	reason string
	end    end
	target string
	// final is set if another attempt would fail in the same way.
	final bool
	// began is set if an attempt beside this one can have begun.
	began bool
	// beside is the target of that attempt.
	beside string
}

func (q *request) exclude(target string) {
	if target != "" {
		q.excluded = append(q.excluded, target)
	}
}
