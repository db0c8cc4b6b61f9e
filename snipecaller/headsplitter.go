package snipecaller

import (
	"bytes"
	"time"
)

const (
	// headEnd ends the head (request line and header fields) of a request.
	headEnd = "\r\n\r\n"
	// maxHeadBytes bounds the size of a head that is detected.
	maxHeadBytes = 8 << 10
	// maxUnserved bounds the requests that a connection records before net/http
	// serves them.
	maxUnserved = 64
)

// receivedRequest is a request whose head has been received completely.
type receivedRequest struct {
	// arrived is the time at which the head was complete.
	arrived time.Time
	head    []byte
	// early is the response that started before net/http served the request, or
	// nil.
	early *earlyResponse
	// served reports that net/http serves the request or has served it.
	served bool
}

// headSplitter splits the bytes of a connection into the heads of requests. It stops
// for good after the first request that may have a body, because bytes of a body
// must not be parsed as a request, and at a head above maxHeadBytes.
type headSplitter struct {
	// head is the beginning of an incomplete head.
	head []byte
	// matched is the number of bytes of headEnd that end head.
	matched int
	stopped bool
}

// split returns the requests whose heads data completes. Heads may be divided
// between calls in any way.
func (s *headSplitter) split(data []byte) []*receivedRequest {
	var out []*receivedRequest
	for !s.stopped && len(data) > 0 {
		n, complete := s.scanHead(data)
		s.head = append(s.head, data[:n]...)
		data = data[n:]
		if len(s.head) > maxHeadBytes {
			s.stopped, s.head = true, nil
			break
		}
		if complete {
			out = append(out, &receivedRequest{arrived: time.Now(), head: s.head})
			s.stopped = mayHaveBody(s.head)
			s.head, s.matched = nil, 0
		}
	}
	return out
}

// scanHead returns how many bytes of data belong to the current head, and whether
// they complete it.
func (s *headSplitter) scanHead(data []byte) (n int, complete bool) {
	for i, b := range data {
		switch b {
		case headEnd[s.matched]:
			s.matched++
		case headEnd[0]:
			s.matched = 1
		default:
			s.matched = 0
		}
		if s.matched == len(headEnd) {
			return i + 1, true
		}
	}
	return len(data), false
}

// mayHaveBody reports whether a head has a header field that allows other bytes
// than the next head to follow it: a body, or another protocol after an upgrade.
func mayHaveBody(head []byte) bool {
	lower := bytes.ToLower(head)
	for _, name := range []string{"content-length", "transfer-encoding", "upgrade", "expect"} {
		if bytes.Contains(lower, []byte("\n"+name)) {
			return true
		}
	}
	return false
}
