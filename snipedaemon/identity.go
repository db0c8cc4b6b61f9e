package snipedaemon

import (
	"context"
	"net"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Dialer opens connections to peers, targets, the store and the platform.
// *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// timer is the part of snipetime.Service that this package uses.
type timer interface {
	Now() snipetime.Instant
	Every(period time.Duration, f func(snipetime.Instant)) (cancel func())
	After(delay time.Duration, f func(snipetime.Instant)) (cancel func())
}

// identity holds what distinguishes this process from the other instances: its
// addresses, its location and its incarnation.
type identity struct {
	address     string
	peerAddress string
	place       string
	domain      string
	incarnation string
	// seed makes random choices repeatable; instances have different ones.
	seed uint64
}
