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

// ErrNetworkClosed is the error of dialling through a closed network.
var ErrNetworkClosed = errors.New("network is closed")

// NetworkSettings are the settings of a network.
type NetworkSettings struct {
	// PlaceOf returns the place of an address. An address without a place has
	// empty text and no delay.
	PlaceOf func(address netip.AddrPort) string
	// Delay returns the one-way delay between two places.
	Delay func(from, to string) time.Duration
}

// Network wraps dialling between places with delays, cuts and unresponsive
// connections. It keeps the order of bytes and loses none: data held back by a
// cut arrives after Heal, as TCP sends it again. It is safe for concurrent use.
type Network struct {
	settings NetworkSettings

	mu     sync.Mutex
	closed bool
	cuts   map[placePair]bool
	conns  map[*networkConn]struct{}
	// changed is closed and replaced on each change of cuts or silences.
	changed chan struct{}
	wg      sync.WaitGroup
}

// placePair is an unordered pair of places with a <= b.
type placePair struct{ a, b string }

func pairOf(a, b string) placePair { return placePair{min(a, b), max(a, b)} }

// NewNetwork returns a network without cuts.
func NewNetwork(settings NetworkSettings) *Network {
	return &Network{
		settings: settings,
		cuts:     map[placePair]bool{},
		conns:    map[*networkConn]struct{}{},
		changed:  make(chan struct{}),
	}
}

// Close closes all connections and waits until no data is under way.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	n.wake()
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

// Cut stops all traffic between each pair of places from a and b. Open
// connections hang and new ones cannot be opened.
func (n *Network) Cut(a, b []string) { n.setCut(a, b, true) }

// Heal ends the cuts between each pair of places from a and b.
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
	n.wake()
}

// Silence makes the open connections between two places hang for good, while
// new ones work. It returns their number.
func (n *Network) Silence(a, b string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for c := range n.conns {
		if c.pair == pairOf(a, b) && !c.silent {
			c.silent = true
			count++
		}
	}
	n.wake()
	return count
}

// HealAll ends all cuts and all silences.
func (n *Network) HealAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	for c := range n.conns {
		c.silent = false
	}
	n.wake()
}

// Open returns the number of open connections.
func (n *Network) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

func (n *Network) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that dials from a place.
func (n *Network) Dialer(from string) DialFunc { return n.DialerFrom(from, netip.Addr{}) }

// DialerFrom returns a function that dials from a place and a local address,
// so that the other end sees a client of a certain address block. An invalid
// address leaves the choice to the system.
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
	if !sleepReal(ctx, 2*delay) {
		return nil, fmt.Errorf("dial %s from %s: %w", address, from, ctx.Err())
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, fmt.Errorf("dial from %s: %w", from, err)
	}
	return n.wrap(conn, pair, delay)
}

// waitForPath waits while the pair is cut.
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
			return fmt.Errorf("no path: %w", ctx.Err())
		}
	}
}

// sleepReal waits for d and reports false if ctx ends first.
func sleepReal(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
