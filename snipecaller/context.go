package snipecaller

import (
	"context"
	"net"
	"net/http"
	"time"
)

// key is the key of a connection in the context of its requests.
type key struct{}

// Context returns the context for the requests of a connection; it is a
// ConnContext of an http.Server. It ends when the caller leaves.
func Context(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gone = cancel
	c.ctx = context.WithValue(ctx, key{}, c)
	return c.ctx
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(key{}).(*conn)
	return c
}

// Take tells that the turn of a request has come. It returns when its head
// arrived, or now if that is not known, and the handler that delivers its answer
// if that was begun ahead, or nil. End must be called when the request is served.
func Take(r *http.Request) (arrived time.Time, deliver http.Handler) {
	now := time.Now()
	c := connOf(r)
	if c == nil {
		return now, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	if len(c.waiting) == 0 {
		return now, nil
	}
	a := c.waiting[0]
	c.waiting = c.waiting[1:]
	a.taken = true
	if a.begun != nil && a.begun.answers(r) {
		deliver = a.begun.deliver
	}
	return a.at, deliver
}

// End tells that a request is served.
func End(r *http.Request) {
	if c := connOf(r); c != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.busy = false
	}
}

// Behind reports whether answers to requests behind r on its connection were
// begun, so that the connection has to stay open.
func Behind(r *http.Request) bool {
	c := connOf(r)
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun() > 0
}
