package snipeconn

import (
	"hash/maphash"
	"net/http"
	"slices"
)

// maxRequestsPerConn is the number of requests after which a connection is closed. It
// bounds the memory and the search time of sentRequests.
const maxRequestsPerConn = 1024

// hashedID is the hash of the identifier of a request. The zero value stands for a
// request without an identifier.
type hashedID uint64

// idHasher hashes identifiers with a random seed, so that callers cannot choose
// identifiers whose hashes are equal.
type idHasher struct{ seed maphash.Seed }

func newIDHasher() idHasher { return idHasher{maphash.MakeSeed()} }

func (h idHasher) hash(id string) hashedID {
	if id == "" {
		return 0
	}
	return hashedID(max(maphash.String(h.seed, id), 1))
}

// requestKey is the part of a request that tells the responses to it from others.
type requestKey struct {
	id hashedID
	// head means that the method is HEAD, so that responses have no body.
	head bool
}

// key returns the key of r.
func (h idHasher) key(r *Request) requestKey {
	return requestKey{h.hash(r.ID), r.Method == http.MethodHead}
}

// sentRequests are the requests that were sent over a connection.
//
// A target may send a response once more at any later time, where the next response over
// the connection is expected. Only the identifier tells such a copy from the response to
// another request, so that no identifier may be sent twice over one connection. The copy
// is skipped, which requires that it is known whether it has a body.
type sentRequests struct {
	ids  []hashedID
	head bool
}

// add records a request. After final reports true, there must be no further one.
func (s *sentRequests) add(k requestKey) {
	s.ids = append(s.ids, k.id)
	s.head = k.head
}

// count returns the number of requests.
func (s *sentRequests) count() int { return len(s.ids) }

// allow reports whether a request may be sent too, because no copy of a response to an
// earlier one can be taken for the response to it. It can be false for a request that
// might be sent, if two identifiers have the same hash.
func (s *sentRequests) allow(k requestKey) bool {
	if len(s.ids) == 0 {
		return true
	}
	return k.id != 0 && k.head == s.head && !slices.Contains(s.ids, k.id)
}

// final reports whether no further request may be sent.
func (s *sentRequests) final() bool {
	return len(s.ids) >= maxRequestsPerConn || slices.Contains(s.ids, 0)
}
