package snipedemo

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipestandin"
)

// clientPrefix precedes the name of a place to denote the callers near that place.
// Their delay to any place includes the client delay of the fleet.
const clientPrefix = "clients/"

// placeIndex maps the addresses of a deployment to the names of their places.
type placeIndex struct {
	fleet     *snipeconfig.Fleet
	byAddress map[netip.AddrPort]string
}

func newPlaceIndex(d *deployment) *placeIndex {
	p := &placeIndex{fleet: d.config.Fleet(), byAddress: make(map[netip.AddrPort]string)}
	for _, i := range d.instances {
		p.byAddress[i.Listen()] = i.Place()
		p.byAddress[i.PeerListen()] = i.Place()
	}
	for _, team := range d.config.Teams() {
		for _, service := range team.Services() {
			for _, t := range service.Targets() {
				p.byAddress[t.Address()] = t.Place().Name()
			}
		}
	}
	// The store and the instance list are put into the place of the first entry
	// instance, because section 1.5 of the design requires them in its region.
	for _, address := range []string{d.standins.Store, d.standins.InstanceList} {
		if parsed, err := netip.ParseAddrPort(address); err == nil && len(d.standins.Instances) > 0 {
			p.byAddress[parsed] = d.standins.Instances[0].Place
		}
	}
	return p
}

// place returns the name of the place of an address, or "" if it is unknown.
func (p *placeIndex) place(address netip.AddrPort) string { return p.byAddress[address] }

// delay returns the one-way delay between two places, where from may have
// clientPrefix, or 0 if a place is unknown.
func (p *placeIndex) delay(from, to string) time.Duration {
	from, isClient := strings.CutPrefix(from, clientPrefix)
	a, knownA := p.fleet.Place(from)
	b, knownB := p.fleet.Place(to)
	if !knownA || !knownB {
		return 0
	}
	d := p.fleet.Delay(a, b)
	if isClient {
		d += p.fleet.ClientDelay()
	}
	return d
}

// region returns the name of the region of a place, or "" if it is unknown.
func (p *placeIndex) region(place string) string {
	found, ok := p.fleet.Place(place)
	if !ok {
		return ""
	}
	return found.Region().Name()
}

// direction is one direction of the link between two regions.
type direction struct{ from, to string }

// linkMeter counts the bytes between regions in each second since start.
type linkMeter struct {
	start time.Time
	mu    sync.Mutex
	bytes map[direction][]int64
}

func newLinkMeter(start time.Time) *linkMeter {
	return &linkMeter{start: start, bytes: make(map[direction][]int64)}
}

func (m *linkMeter) add(d direction, n int) {
	second := int(time.Since(m.start) / time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	buckets := m.bytes[d]
	for len(buckets) <= second {
		buckets = append(buckets, 0)
	}
	buckets[second] += int64(n)
	m.bytes[d] = buckets
}

// bitsPerSecond returns the bits sent in a direction in each second since start.
func (m *linkMeter) bitsPerSecond(d direction) []float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var bits []float64
	for _, n := range m.bytes[d] {
		bits = append(bits, float64(n)*8)
	}
	return bits
}

// meteredDialer dials from a place in the region from and counts the bytes of
// connections to other regions.
type meteredDialer struct {
	dial   snipestandin.DialFunc
	from   string
	places *placeIndex
	meter  *linkMeter
}

// DialContext opens a connection and counts its bytes if address is in another
// region.
func (d *meteredDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	to := ""
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		to = d.places.region(d.places.place(parsed))
	}
	if to == "" || to == d.from {
		return conn, nil
	}
	return &meteredConn{Conn: conn, meter: d.meter, out: direction{d.from, to}, in: direction{to, d.from}}, nil
}

// meteredConn counts the bytes of a connection between regions.
type meteredConn struct {
	net.Conn
	meter   *linkMeter
	out, in direction
}

// Read counts the bytes of the incoming direction.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.add(c.in, n)
	//nolint:wrapcheck // users of connections compare these errors
	return n, err
}

// Write counts the bytes of the outgoing direction.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.add(c.out, n)
	//nolint:wrapcheck // users of connections compare these errors
	return n, err
}
