package snipecaller

import (
	"bytes"
	"time"
)

const (
	// headEnd ends the head of a request.
	headEnd = "\r\n\r\n"
	// maxHead bounds the heads that are told apart.
	maxHead = 8 << 10
	// maxWaiting bounds the requests of a connection whose arrival is kept.
	maxWaiting = 64
)

// arrival is a request whose head is complete.
type arrival struct {
	at   time.Time
	head []byte
	// begun is the answer that was begun ahead of its turn, or nil.
	begun *ahead
	// taken says that its turn has come.
	taken bool
}

// splitter divides the bytes of a connection into the heads of requests. It gives
// up for good at the first request with a body, because bytes of a body must not
// be taken for a request.
type splitter struct {
	head    []byte
	matched int
	lost    bool
}

// split returns the requests whose heads data completes.
func (s *splitter) split(data []byte) []*arrival {
	var out []*arrival
	for !s.lost && len(data) > 0 {
		n, complete := s.scan(data)
		s.head = append(s.head, data[:n]...)
		data = data[n:]
		if len(s.head) > maxHead {
			s.lost, s.head = true, nil
			break
		}
		if complete {
			out = append(out, &arrival{at: time.Now(), head: s.head})
			s.lost = mayHaveBody(s.head)
			s.head, s.matched = nil, 0
		}
	}
	return out
}

// scan returns how many bytes of data belong to the head that is being read, and
// whether they complete it.
func (s *splitter) scan(data []byte) (n int, complete bool) {
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

// mayHaveBody reports whether a head names what can be followed by other bytes
// than a further head.
func mayHaveBody(head []byte) bool {
	lower := bytes.ToLower(head)
	for _, name := range []string{"content-length", "transfer-encoding", "upgrade", "expect"} {
		if bytes.Contains(lower, []byte("\n"+name)) {
			return true
		}
	}
	return false
}
