package snipecaller

import (
	"context"
	"net"
	"net/http"
	"time"
)

// connKey is the context key under which the context of a request holds its *conn.
type connKey struct{}

// Context returns the context for the requests of a connection. It is for the
// field ConnContext of an http.Server whose listener is from Listen. The context is
// cancelled when the caller disconnects.
func Context(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*conn)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	c.ctx = context.WithValue(ctx, connKey{}, c)
	return c.ctx
}

// connOf returns the connection of a request, or nil if the server does not use
// Listen and Context.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// BeginServing marks the start of serving a request; each handler calls it once
// and EndServing afterwards. It returns the time at which the head of the
// request arrived, or now if that is not known, and the handler that delivers
// its response if an EarlyStarter has started one, or nil.
func BeginServing(r *http.Request) (arrived time.Time, deliver http.Handler) {
	now := time.Now()
	c := connOf(r)
	if c == nil {
		return now, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	if len(c.unserved) == 0 {
		return now, nil
	}
	next := c.unserved[0]
	c.unserved = c.unserved[1:]
	next.served = true
	if next.early != nil && next.early.matches(r) {
		deliver = next.early.deliver
	}
	return next.arrived, deliver
}

// EndServing marks the end of serving a request.
func EndServing(r *http.Request) {
	if c := connOf(r); c != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.serving = false
	}
}

// HasEarlyResponses reports whether responses to requests after r on its
// connection have started early, so that the connection must stay open to
// deliver them.
func HasEarlyResponses(r *http.Request) bool {
	c := connOf(r)
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.earlyResponses() > 0
}
