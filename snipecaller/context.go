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
	c.gone = cancel
	c.mu.Unlock()
	return context.WithValue(ctx, key{}, c)
}

// Begin returns when the head of a request that a handler takes in hand arrived,
// or now if that is not known.
func Begin(r *http.Request) time.Time {
	now := time.Now()
	c, ok := r.Context().Value(key{}).(*conn)
	if !ok {
		return now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if at := c.arrivals.begin(r.ContentLength != 0); !at.IsZero() {
		return at
	}
	return now
}

// BodyRead notes that a handler has read the whole body of its request.
func BodyRead(ctx context.Context) {
	if c, ok := ctx.Value(key{}).(*conn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.arrivals.bodyRead()
	}
}
