package snipeconn

import (
	"hash/maphash"
	"slices"
)

// maxRequestsPerConn is the number of requests after which a connection is closed. It
// bounds the memory and the search time of sentIDs.
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

// sentIDs are the identifiers of all requests that were sent over a connection.
//
// A target may send a response once more at any later time, where the next response over
// the connection is expected. Only the identifier tells such a copy from the response to
// another request, so that no identifier may be sent twice over one connection.
type sentIDs struct{ ids []hashedID }

// add records a request.
func (s *sentIDs) add(id hashedID) { s.ids = append(s.ids, id) }

// count returns the number of requests.
func (s *sentIDs) count() int { return len(s.ids) }

// mayInclude reports whether a response to one of the requests could be taken for that to
// a request with the identifier id. It is false for every identifier if there are none,
// and true if one of two requests has no identifier. It can be true for two
// identifiers that have the same hash.
func (s *sentIDs) mayInclude(id hashedID) bool {
	if id == 0 {
		return len(s.ids) > 0
	}
	return slices.Contains(s.ids, id) || slices.Contains(s.ids, 0)
}

// full reports whether no further request may be sent.
func (s *sentIDs) full() bool { return len(s.ids) >= maxRequestsPerConn }
