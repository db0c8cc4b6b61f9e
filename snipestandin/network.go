package snipestandin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// ErrNetworkClosed is returned for a dial through a closed network.
var ErrNetworkClosed = errors.New("network is closed")

// NetworkSettings are the settings of a network.
type NetworkSettings struct {
	// PlaceOf returns the place of an address, or the empty string for an
	// address without a place.
	PlaceOf func(address netip.AddrPort) string
	// Delay returns the one-way delay between two places. Either may be empty.
	Delay func(from, to string) time.Duration
}

// Network simulates the network between places: it dials connections that have
// delays and that can be partitioned ("cut") or made unresponsive. It keeps the
// order of bytes and loses none: data held back by a cut arrives after Heal,
// because TCP would retransmit it. It is safe for concurrent use.
type Network struct {
	settings NetworkSettings

	mu     sync.Mutex
	closed bool
	cuts   map[placePair]bool
	conns  map[*networkConn]struct{}
	// changed is closed and replaced on each change of cuts or of the silent
	// flag of a connection, and by Close.
	changed chan struct{}
	wg      sync.WaitGroup
}

// placePair is an unordered pair of places with a <= b.
type placePair struct{ a, b string }

func pairOf(a, b string) placePair { return placePair{min(a, b), max(a, b)} }

// NewNetwork returns a network without cuts and without connections.
func NewNetwork(settings NetworkSettings) *Network {
	return &Network{
		settings: settings,
		cuts:     map[placePair]bool{},
		conns:    map[*networkConn]struct{}{},
		changed:  make(chan struct{}),
	}
}

// Close closes all connections, drops the data in flight and waits until the
// goroutines of the connections have ended. Later dials fail with
// ErrNetworkClosed.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.notifyChange()
	conns := make([]*networkConn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.abort()
	}
	n.wg.Wait()
}

// Cut stops all traffic between each place of a and each place of b. Open
// connections hang, and a dial waits until the cut ends or its context does.
func (n *Network) Cut(a, b []string) { n.setCut(a, b, true) }

// Heal ends the cuts between each place of a and each place of b.
func (n *Network) Heal(a, b []string) { n.setCut(a, b, false) }

func (n *Network) setCut(a, b []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			if cut {
				n.cuts[pairOf(x, y)] = true
			} else {
				delete(n.cuts, pairOf(x, y))
			}
		}
	}
	n.notifyChange()
}

// SilenceConnections makes the open connections between two places hang until
// Restore, while new connections work. It returns the number of connections that
// it changed.
func (n *Network) SilenceConnections(a, b string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.pair == pairOf(a, b) && !c.silent {
			c.silent = true
			count++
		}
	}
	n.notifyChange()
	return count
}

// Restore ends all cuts and makes all silent connections work again.
func (n *Network) Restore() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	for c := range n.conns {
		c.silent = false
	}
	n.notifyChange()
}

// OpenConnections returns the number of open connections.
func (n *Network) OpenConnections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// DialFunc opens a connection. It has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that dials from a place, with a local address that
// the operating system selects.
func (n *Network) Dialer(from string) DialFunc { return n.DialerFrom(from, netip.Addr{}) }

// DialerFrom returns a function that dials from a place and a local address, so
// that the server sees a client of a certain address block. If the address is
// invalid, the operating system selects one.
func (n *Network) DialerFrom(from string, local netip.Addr) DialFunc {
	var dialer net.Dialer
	if local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		return n.dial(ctx, &dialer, from, network, address)
	}
}

func (n *Network) dial(ctx context.Context, dialer *net.Dialer, from, network, address string) (net.Conn, error) {
	to := ""
	if ap, err := netip.ParseAddrPort(address); err == nil {
		to = n.settings.PlaceOf(ap)
	}
	pair := pairOf(from, to)
	delay := n.settings.Delay(from, to)
	if err := n.waitForPath(ctx, pair); err != nil {
		return nil, fmt.Errorf("dial %s from %s: %w", address, from, err)
	}
	// Opening a connection takes a round trip.
	if !sleepWallClock(ctx, 2*delay) {
		return nil, fmt.Errorf("dial %s from %s: %w", address, from, ctx.Err())
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial from %s: %w", from, err)
	}
	return n.wrap(conn, pair, delay)
}

// waitForPath waits while the pair of places is cut. It fails if the network is
// closed or ctx ends.
func (n *Network) waitForPath(ctx context.Context, pair placePair) error {
	for {
		n.mu.Lock()
		cut, closed, changed := n.cuts[pair], n.closed, n.changed
		n.mu.Unlock()
		if closed {
			return ErrNetworkClosed
		}
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("the two places are cut off from each other: %w", ctx.Err())
		}
	}
}

// sleepWallClock waits for d of real time and reports false if ctx ends first.
func sleepWallClock(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
