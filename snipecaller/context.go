package snipecaller

import (
	"context"
	"net"
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

// Begin returns when the request that a handler takes in hand arrived, which is
// now for one that waited behind no other. ctx is the context of the request.
func Begin(ctx context.Context) time.Time {
	now := time.Now()
	if c, ok := ctx.Value(key{}).(*conn); ok {
		if at := c.begin(); !at.IsZero() {
			return at
		}
	}
	return now
}

// BodyRead notes that a handler has read the whole body of its request.
func BodyRead(ctx context.Context) {
	if c, ok := ctx.Value(key{}).(*conn); ok {
		c.bodyRead()
	}
}
