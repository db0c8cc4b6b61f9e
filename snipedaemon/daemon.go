package snipedaemon

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipelookup"
	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipestore"
	"github.com/snipemoor/snipemoor/snipetarget"
	"github.com/snipemoor/snipemoor/snipetime"
)

// storeMaxBackoff bounds the pause before a watch is opened again. A watcher
// that waits longer after an outage of the store learns of the next change too
// late for the 3 s in which it must be in force.
const storeMaxBackoff = time.Second

// Dependencies are what a daemon needs from its process.
type Dependencies struct {
	// Log receives one line for each event.
	Log *zap.Logger
	// Registry receives the metrics and serves them.
	Registry *prometheus.Registry
	// Dialer opens all connections; a plain net.Dialer if nil.
	Dialer Dialer
	// Incarnation identifies the process; a new one if empty.
	Incarnation string
}

// Daemon is one entry instance.
type Daemon struct {
	settings *Settings
	log      *zap.Logger
	clock    *snipetime.Service
	self     identity
	metrics  *metrics

	node      *snipepeer.Node
	store     *snipestore.Client
	pools     *snipetarget.Pools
	config    *configuration
	members   *membership
	positions *positions
	limits    *limits
	probes    *probes
	slots     *slots
	planning  *planning
	records   *records
	lookup    *lookups
	forward   *forwarding

	callerListener, adminListener net.Listener
	callerServer, adminServer     *http.Server

	stopping  atomic.Bool
	reconcile chan struct{}
	regionMu  sync.RWMutex
	regionOf  string
	built     uint64
	cancels   []func()
}

// New opens the listeners and builds the parts. It starts nothing. The caller
// must call Run, which also closes what New opened.
func New(settings *Settings, deps Dependencies) (*Daemon, error) {
	if deps.Dialer == nil {
		deps.Dialer = &net.Dialer{Timeout: settings.pingTimeout}
	}
	d := &Daemon{
		settings: settings, clock: snipetime.New(), self: newIdentity(settings, deps.Incarnation),
		metrics: newMetrics(deps.Registry), reconcile: make(chan struct{}, 1),
	}
	d.log = deps.Log.With(zap.String("instance", d.self.address))
	peerListener, err := d.listen()
	if err != nil {
		d.clock.Close()
		return nil, err
	}
	d.build(deps, peerListener)
	d.buildForwarding(deps.Registry)
	d.adminServer = &http.Server{Handler: newAdmin(d, deps.Registry), ReadHeaderTimeout: adminHeaderTimeout, ErrorLog: d.serverLog()}
	return d, nil
}

// serverLog returns the log of an HTTP server, which reports panics and broken
// connections there.
func (d *Daemon) serverLog() *log.Logger {
	l, err := zap.NewStdLogAt(d.log, zap.WarnLevel)
	if err != nil {
		return nil
	}
	return l
}

func newIdentity(settings *Settings, incarnation string) identity {
	address := settings.listen.String()
	seed := settings.seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if incarnation == "" {
		random := rand.New(rand.NewPCG(rand.Uint64(), xxhash.Sum64String(address)))
		incarnation = snipemember.NewIncarnation(time.Now().Unix(), random)
	}
	return identity{
		address: address, peerAddress: settings.peerListen.String(), place: settings.place,
		domain: settings.failureDomain, incarnation: incarnation, seed: seed ^ xxhash.Sum64String(address),
	}
}

func (d *Daemon) listen() (peer net.Listener, err error) {
	peer, err = net.Listen("tcp", d.settings.peerListen.String())
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	d.callerListener, err = net.Listen("tcp", d.settings.listen.String())
	if err != nil {
		_ = peer.Close()
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	d.adminListener, err = net.Listen("tcp", d.settings.adminListen.String())
	if err != nil {
		_ = peer.Close()
		_ = d.callerListener.Close()
		return nil, fmt.Errorf("listen for administration: %w", err)
	}
	return peer, nil
}

func (d *Daemon) build(deps Dependencies, peerListener net.Listener) {
	s := d.settings
	d.node = snipepeer.New(snipepeer.Settings{
		Address: d.self.peerAddress, Incarnation: d.self.incarnation, Place: d.self.place,
		PingInterval: s.pingInterval, PingTimeout: s.pingTimeout, HandshakeTimeout: s.connectTimeout,
	}, peerListener, deps.Dialer, d.log)
	d.store = snipestore.New(snipestore.Settings{
		Addresses: addressStrings(s.store), CallTimeout: s.storeTimeout, CallsPerSecond: s.storeCalls,
		CallBurst: int(2 * s.storeCalls), MaxBackoff: storeMaxBackoff, DialContext: deps.Dialer.DialContext, Observer: storeObserver{d.metrics},
	})
	d.config = newConfiguration(d.log, d.node, d.store, d.metrics)
	d.members = newMembership(d.log, d.clock, d.node, d.store, d.self, s, deps.Dialer)
	d.positions = newPositions(d.log, d.clock, d.node, d.store, d.self)
	d.limits = newLimits(d.clock, d.node, d.self)
	d.pools = snipetarget.New(snipetarget.Settings{DialTimeout: s.connectTimeout}, deps.Dialer)
	d.probes = newProbes(d.clock, deps.Dialer)
	d.slots = newSlots(d.log, d.clock, d.node, d.self, d.probes)
	d.planning = newPlanning(d.clock, d.self.seed)
	d.records = newRecords(d.log, d.clock, d.node, d.store, d.self, s.recordBytes, d.members.view.Snapshot)
	d.lookup = newLookups(d.records.minter)
	for _, c := range d.node.Collectors() {
		deps.Registry.MustRegister(c)
	}
	d.connect()
}

// connect sets the callbacks between the parts.
func (d *Daemon) connect() {
	d.config.peers = d.peerAddresses
	d.members.news = d.news
	d.members.fill = d.fillHeartbeat
	d.members.heard = d.heard
	d.members.changed = func(snipetime.Instant) { d.trigger() }
	d.positions.changed = d.applyPositions
	d.slots.draining = func(g groupConfig, t snipeconfig.Target) bool {
		snapshot := d.config.current()
		return d.members.targetLeaving(t.Address().String()) ||
			snapshot != nil && snapshot.TargetDraining(g.team, t, time.Now())
	}
}

// storeObserver counts the calls to the store.
type storeObserver struct{ metrics *metrics }

// ObserveCall implements snipestore.Observer.
func (o storeObserver) ObserveCall(call snipestore.Call, result snipestore.Result, _ time.Duration) {
	o.metrics.storeCalls.WithLabelValues(call.String(), result.String()).Inc()
}

func addressStrings(addresses []netip.AddrPort) []string {
	out := make([]string, len(addresses))
	for i, a := range addresses {
		out[i] = a.String()
	}
	return out
}

// Ready reports whether the instance accepts calls.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.config.current() != nil && d.region() != ""
}

// Address returns the address of the callers' interface.
func (d *Daemon) Address() string { return d.self.address }

// Incarnation returns the identifier of the process.
func (d *Daemon) Incarnation() string { return d.self.incarnation }

// Generation returns the configuration generation in force, 0 for none.
func (d *Daemon) Generation() uint64 { return d.config.generation() }

// Run runs the instance until ctx ends, then stops it gracefully: no request in
// flight is cut. It returns an error if a listener fails.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.closeAll()
	d.node.Start()
	d.members.start()
	work, endWork := context.WithCancel(context.Background())
	defer endWork()
	d.subscribe(work)
	var g run.Group
	g.Add(func() error { return serve(d.callerServer, d.callerListener) }, func(error) { _ = d.callerServer.Close() })
	g.Add(func() error { return serve(d.adminServer, d.adminListener) }, func(error) { _ = d.adminServer.Close() })
	addLoop(&g, d.config.bootstrap)
	addLoop(&g, d.reconcileLoop)
	addLoop(&g, d.followConfiguration)
	addLoop(&g, func(ctx context.Context) {
		every(ctx, d.settings.listInterval, func() { d.members.pollList(d.clock.Now()) })
	})
	addLoop(&g, func(ctx context.Context) { every(ctx, instanceLease/3, func() { d.members.keepLease(ctx) }) })
	addLoop(&g, func(ctx context.Context) {
		every(ctx, claimSweepPeriod, func() {
			if d.config.watching() {
				d.records.sweep(ctx)
			}
		})
	})
	addLoop(&g, func(ctx context.Context) {
		every(ctx, leaseScanPeriod, func() {
			if d.config.watching() || d.config.current() == nil {
				d.members.scanLeases(ctx)
			}
		})
	})
	stopped := make(chan struct{})
	g.Add(func() error {
		select {
		case <-ctx.Done():
			d.stop()
		case <-stopped:
		}
		return nil
	}, func(error) { close(stopped) })
	d.log.Info("instance started", zap.String("incarnation", d.self.incarnation), zap.String("place", d.self.place))
	err := g.Run()
	d.log.Info("instance stopped", zap.Error(err))
	if err != nil {
		return fmt.Errorf("run instance %s: %w", d.self.address, err)
	}
	return nil
}

// addLoop runs f as an actor that ends with the group.
func addLoop(g *run.Group, f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		f(ctx)
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
}

// every calls f at once and then once per period until ctx ends.
func every(ctx context.Context, period time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		sleep(ctx, period)
	}
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", listener.Addr(), err)
}

// subscribe adds the periodic work of the decision packages.
func (d *Daemon) subscribe(ctx context.Context) {
	add := func(period time.Duration, f func(snipetime.Instant)) {
		d.cancels = append(d.cancels, d.clock.Every(period, func(now snipetime.Instant) {
			if ctx.Err() == nil {
				f(now)
			}
		}))
	}
	add(snipemember.Period/2, d.members.tick)
	add(positionPeriod, d.positions.tick)
	add(limitPeriod, d.limits.tick)
	add(slotPeriod, d.slots.tick)
	add(renewPeriod, d.slots.renew)
	add(loadPeriod, d.reportLoads)
	add(recordPeriod, d.records.tick)
	add(time.Second, func(now snipetime.Instant) {
		d.trigger()
		d.measure(now)
	})
}

// closeAll releases everything that New opened.
func (d *Daemon) closeAll() {
	for _, cancel := range d.cancels {
		cancel()
	}
	_ = d.callerListener.Close()
	_ = d.adminListener.Close()
	if d.callerServer != nil {
		_ = d.callerServer.Close()
	}
	if d.adminServer != nil {
		_ = d.adminServer.Close()
	}
	d.config.close()
	d.clock.Close()
	d.probes.close()
	d.node.Close()
	d.pools.Close()
	d.store.Close()
}

func (d *Daemon) region() string {
	d.regionMu.RLock()
	defer d.regionMu.RUnlock()
	return d.regionOf
}

var errUnknownPlace = errors.New("place is not in the fleet document")

// lookupPlaces returns the places of a fleet in a fixed order.
func lookupPlaces(fleet *snipeconfig.Fleet) []snipelookup.Place {
	places := make([]snipelookup.Place, 0, len(fleet.Places()))
	for _, p := range fleet.Places() {
		places = append(places, snipelookup.Place{Name: p.Name(), Domain: p.Domain().Name(), Region: p.Region().Name()})
	}
	return places
}
