package snipeforward

import (
	"net/http"
	"strings"
	"time"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipewire"
)

// Headers of requests and responses of callers.
const (
	headerOutcome        = "Snipemoor-Outcome"
	headerRequestID      = "Snipemoor-Request-Id"
	headerGeneration     = "Snipemoor-Generation"
	headerReason         = "Snipemoor-Reason"
	headerTimeout        = "Snipemoor-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
)

// hopByHop returns the headers that belong to one connection (RFC 9110, section
// 7.6.1), including obsolete ones that clients still send.
func hopByHop() []string {
	return []string{
		"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}
}

// endToEnd returns a copy of h without hop-by-hop headers, including those that
// its Connection header lists.
func endToEnd(h http.Header) http.Header {
	c := h.Clone()
	if c == nil {
		c = make(http.Header)
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop() {
		c.Del(name)
	}
	return c
}

// requestHeader returns the headers of an attempt: the end-to-end headers of the
// request, with the request identifier and the remaining time budget.
func requestHeader(h http.Header, id string, budget time.Duration) http.Header {
	c := endToEnd(h)
	c.Set(headerRequestID, id)
	c.Set(headerTimeout, budget.String())
	return c
}

// responseHeader returns the end-to-end headers of a target's response without
// those that only this system may set.
func responseHeader(h http.Header) http.Header {
	c := endToEnd(h)
	for _, name := range []string{headerOutcome, headerRequestID, headerGeneration, headerReason} {
		c.Del(name)
	}
	return c
}

// headerBytes returns the total size of names and values in bytes.
func headerBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return int64(n)
}

func headerToWire(h http.Header) []*snipewire.Header {
	out := make([]*snipewire.Header, 0, len(h))
	for name, values := range h {
		out = append(out, &snipewire.Header{Name: name, Values: values})
	}
	return out
}

func headerFromWire(headers []*snipewire.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, x := range headers {
		h[http.CanonicalHeaderKey(x.GetName())] = x.GetValues()
	}
	return h
}

func headerToRecord(h http.Header) []snipeonce.Header {
	out := make([]snipeonce.Header, 0, len(h))
	for name, values := range h {
		out = append(out, snipeonce.Header{Name: name, Values: values})
	}
	return out
}

func headerFromRecord(headers []snipeonce.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, x := range headers {
		h[x.Name] = x.Values
	}
	return h
}
