package snipecaller

import (
	"bufio"
	"bytes"
	"maps"
	"net/http"
	"slices"
	"time"

	"golang.org/x/net/http/httpguts"
)

// EarlyStarter may start the response to a pipelined request before net/http
// serves it. It returns the handler that delivers the response once net/http
// serves the request, or nil if it starts none. The context of the request is
// cancelled when its caller disconnects. EarlyStarter must not block, because
// reads of the connection wait for it.
type EarlyStarter func(r *http.Request, arrived time.Time) http.Handler

// maxEarlyResponses bounds the responses of one connection that have started early
// and are not served yet.
const maxEarlyResponses = 4

// earlyResponse is a response that started before net/http served its request.
type earlyResponse struct {
	request *http.Request
	deliver http.Handler
}

// startResponses starts responses to pipelined requests that net/http does not
// serve yet. It stops at the first request that may have a body, is malformed or
// ends the connection.
func (c *conn) startResponses(pipelined []*receivedRequest) {
	for _, p := range pipelined {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(p.head)))
		if err != nil || mayHaveBody(p.head) || r.Close || !serverAccepts(r) {
			return // left to net/http, as are the requests after it
		}
		c.startResponse(p, r)
	}
}

// serverAccepts makes the checks of a request that the server of net/http makes in addition
// to http.ReadRequest, which accepts names with spaces. A target may ignore a space before
// the colon, so that it would accept a header that is not recognized here under its name.
func serverAccepts(r *http.Request) bool {
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		if slices.ContainsFunc(values, func(v string) bool { return !httpguts.ValidHeaderFieldValue(v) }) {
			return false
		}
	}
	return httpguts.ValidHostHeader(r.Host)
}

// startResponse starts the response to one pipelined request, unless net/http
// already serves the request or too many responses have started.
func (c *conn) startResponse(p *receivedRequest, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.served || c.earlyResponses() == maxEarlyResponses {
		return
	}
	r = r.WithContext(c.ctx)
	r.RemoteAddr = c.RemoteAddr().String()
	if deliver := c.startEarly(r, p.arrived); deliver != nil {
		p.early = &earlyResponse{request: r, deliver: deliver}
	}
}

// earlyResponses counts the responses that have started early and whose requests
// net/http does not serve yet. The caller holds c.mu.
func (c *conn) earlyResponses() int {
	n := 0
	for _, p := range c.unserved {
		if p.early != nil {
			n++
		}
	}
	return n
}

// matches reports whether e is the response to r: net/http parses a request again
// when it serves it.
func (e *earlyResponse) matches(r *http.Request) bool {
	return e.request.Method == r.Method && e.request.RequestURI == r.RequestURI && e.request.Host == r.Host &&
		maps.EqualFunc(e.request.Header, r.Header, slices.Equal[[]string])
}
