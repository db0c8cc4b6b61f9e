package snipecaller

import (
	"bufio"
	"bytes"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Begin may begin to answer a request that waits behind others on its connection.
// It returns the handler that delivers the answer when the turn of the request has
// come, or nil. The context of the request ends when its caller leaves. It must
// return at once.
type Begin func(r *http.Request, arrived time.Time) http.Handler

// maxBegun bounds the answers that are begun ahead of their turn on a connection.
const maxBegun = 4

// ahead is an answer that was begun ahead of its turn.
type ahead struct {
	request *http.Request
	deliver http.Handler
}

// begin begins the answers to requests that wait, unless their turn has come.
func (c *conn) begin(waiting []*arrival) {
	for _, a := range waiting {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(a.head)))
		if err != nil || mayHaveBody(a.head) || r.Close {
			return // net/http answers it in its turn, and what follows too
		}
		c.beginOne(a, r)
	}
}

func (c *conn) beginOne(a *arrival, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.taken || c.begun() == maxBegun {
		return
	}
	r = r.WithContext(c.ctx)
	r.RemoteAddr = c.RemoteAddr().String()
	if deliver := c.beginAhead(r, a.at); deliver != nil {
		a.begun = &ahead{request: r, deliver: deliver}
	}
}

// begun counts the answers that are begun and whose turn has not come. It needs
// the lock.
func (c *conn) begun() int {
	n := 0
	for _, a := range c.waiting {
		if a.begun != nil {
			n++
		}
	}
	return n
}

// answers reports whether the answer is one to r.
func (a *ahead) answers(r *http.Request) bool {
	return a.request.Method == r.Method && a.request.RequestURI == r.RequestURI && a.request.Host == r.Host &&
		maps.EqualFunc(a.request.Header, r.Header, slices.Equal[[]string])
}
