package snipedaemon

import (
	"context"
	"net"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Dialer opens connections to peers, targets and the platform. *net.Dialer
// satisfies it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// timer is the part of the timer service that this package uses.
type timer interface {
	Now() snipetime.Instant
	Every(period time.Duration, f func(snipetime.Instant)) (cancel func())
	After(delay time.Duration, f func(snipetime.Instant)) (cancel func())
}

// identity says which process this is.
type identity struct {
	address     string
	peerAddress string
	place       string
	domain      string
	incarnation string
	seed        uint64
}
