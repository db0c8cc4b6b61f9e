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

// storeMaxBackoff bounds the pause before a watch of the store is reopened. A
// configuration change must be in force within 3 s; with a longer backoff, a
// change made shortly after a store outage would miss that.
const storeMaxBackoff = time.Second

// Dependencies holds the objects that a Daemon gets from its process.
type Dependencies struct {
	// Log receives one line for each event. It is required.
	Log *zap.Logger
	// Registry collects the metrics that the admin interface serves. It is
	// required.
	Registry *prometheus.Registry
	// Dialer opens all outgoing connections. The default is a net.Dialer whose
	// timeout is the setting pingTimeout.
	Dialer Dialer
	// Incarnation identifies this run of the process. The default is a new
	// identifier.
	Incarnation string
}

// Daemon is one entry instance of the fleet.
type Daemon struct {
	settings *Settings
	log      *zap.Logger
	clock    *snipetime.Service
	self     identity
	metrics  *metrics

	node      *snipepeer.Node
	store     *snipestore.Client
	pools     *snipetarget.Pools
	config    *configLoader
	members   *membership
	positions *positions
	limits    *limits
	probes    *probes
	slots     *slots
	planning  *planning
	records   *records
	lookup    *lookups
	forward   *forwardAdapter

	callerListener, adminListener net.Listener
	callerServer, adminServer     *http.Server

	// stopping is set when a planned stop begins.
	stopping atomic.Bool
	// reconcileRequested has room for one request; further ones are merged.
	reconcileRequested chan struct{}
	regionMu           sync.RWMutex
	// currentRegion is the region of the own place, "" before the first
	// configuration. regionMu guards it.
	currentRegion string
	// appliedGeneration is the generation that all components use. Only
	// reconcileNow accesses it.
	appliedGeneration uint64
	// cancelTimers end the periodic callbacks.
	cancelTimers []func()
}

// New opens the listeners for callers, peers and administration and builds the
// components without starting them. The caller must call Run, which also
// releases what New opened. New returns an error if a listener cannot be
// opened.
func New(settings *Settings, deps Dependencies) (*Daemon, error) {
	if deps.Dialer == nil {
		deps.Dialer = &net.Dialer{Timeout: settings.pingTimeout}
	}
	d := &Daemon{
		settings: settings, clock: snipetime.New(), self: newIdentity(settings, deps.Incarnation),
		metrics: newMetrics(deps.Registry), reconcileRequested: make(chan struct{}, 1),
	}
	d.log = deps.Log.With(zap.String("instance", d.self.address))
	peerListener, err := d.openListeners()
	if err != nil {
		d.clock.Close()
		return nil, err
	}
	d.buildComponents(deps, peerListener)
	d.buildForwarding(deps.Registry)
	d.adminServer = &http.Server{Handler: newAdminHandler(d, deps.Registry), ReadHeaderTimeout: adminHeaderTimeout, ErrorLog: d.serverLog()}
	return d, nil
}

// serverLog returns the logger for the errors that net/http reports, such as
// panics of handlers and broken connections.
func (d *Daemon) serverLog() *log.Logger {
	l, err := zap.NewStdLogAt(d.log, zap.WarnLevel)
	if err != nil {
		return nil
	}
	return l
}

// newIdentity returns the identity of this process. A seed of 0 in the settings
// selects a random one, and an empty incarnation a new one.
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

// openListeners opens the three listeners and returns the one for peers. On an
// error it closes those that are open.
func (d *Daemon) openListeners() (peer net.Listener, err error) {
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

// buildComponents creates the components that the request forwarder uses.
func (d *Daemon) buildComponents(deps Dependencies, peerListener net.Listener) {
	s := d.settings
	d.node = snipepeer.New(snipepeer.Settings{
		Address: d.self.peerAddress, Incarnation: d.self.incarnation, Place: d.self.place,
		PingInterval: s.pingInterval, PingTimeout: s.pingTimeout, HandshakeTimeout: s.connectTimeout,
	}, peerListener, deps.Dialer, d.log)
	d.store = snipestore.New(snipestore.Settings{
		Addresses: addressStrings(s.storeAddresses), CallTimeout: s.storeTimeout, CallsPerSecond: s.storeCallsPerSecond,
		CallBurst: int(2 * s.storeCallsPerSecond), MaxBackoff: storeMaxBackoff, DialContext: deps.Dialer.DialContext, Observer: storeObserver{d.metrics},
	})
	d.config = newConfigLoader(d.log, d.node, d.store, d.metrics)
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
	d.setCallbacks()
}

// setCallbacks connects the components by their callbacks.
func (d *Daemon) setCallbacks() {
	d.config.peers = d.peerAddresses
	d.members.selfState = d.selfState
	d.members.fillHeartbeat = d.fillHeartbeat
	d.members.onHeartbeat = d.handleHeartbeat
	d.members.onChange = func(snipetime.Instant) { d.requestReconcile() }
	d.positions.onChange = d.applyPositions
	d.slots.isDraining = func(g groupConfig, t snipeconfig.Target) bool {
		snapshot := d.config.current()
		return d.members.targetLeaving(t.Address().String()) ||
			snapshot != nil && snapshot.TargetDraining(g.team, t, time.Now())
	}
}

// storeObserver counts the calls to the store in the metrics.
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

// Ready reports whether the instance accepts requests of callers: it has found
// its place in a configuration and is not stopping.
func (d *Daemon) Ready() bool {
	return !d.stopping.Load() && d.config.current() != nil && d.region() != ""
}

// Address returns the address, IP:port, at which callers reach the instance.
func (d *Daemon) Address() string { return d.self.address }

// Incarnation returns the identifier of this process.
func (d *Daemon) Incarnation() string { return d.self.incarnation }

// Generation returns the configuration generation in force, 0 if there is none.
func (d *Daemon) Generation() uint64 { return d.config.generation() }

// Run runs the instance until ctx ends and then stops it gracefully: requests
// in flight finish, unless they outlast the setting stopTimeout. It returns an
// error if an HTTP server fails, and nil after a planned stop. A Daemon can be
// run only once.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.closeAll()
	d.node.Start()
	d.members.start()
	timerCtx, cancelTimerCtx := context.WithCancel(context.Background())
	defer cancelTimerCtx()
	d.startTimers(timerCtx)
	var g run.Group
	g.Add(func() error { return serve(d.callerServer, d.callerListener) }, func(error) { _ = d.callerServer.Close() })
	g.Add(func() error { return serve(d.adminServer, d.adminListener) }, func(error) { _ = d.adminServer.Close() })
	addLoop(&g, d.config.bootstrap)
	addLoop(&g, d.reconcileLoop)
	addLoop(&g, d.followConfiguration)
	addLoop(&g, func(ctx context.Context) {
		repeat(ctx, d.settings.listInterval, func() { d.members.pollPlatformList(d.clock.Now()) })
	})
	addLoop(&g, func(ctx context.Context) { repeat(ctx, instanceTTL/3, func() { d.members.renewLease(ctx) }) })
	addLoop(&g, func(ctx context.Context) {
		repeat(ctx, claimSweepPeriod, func() {
			if d.config.watching() {
				d.records.sweepClaims(ctx)
			}
		})
	})
	addLoop(&g, func(ctx context.Context) {
		repeat(ctx, leaseScanPeriod, func() {
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

// addLoop adds f to the group as an actor whose context ends with the group. A
// return of f before that does not end the group.
func addLoop(g *run.Group, f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		f(ctx)
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
}

// repeat calls f at once, and again whenever period has passed since its last
// return, until ctx ends.
func repeat(ctx context.Context, period time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		sleep(ctx, period)
	}
}

// serve runs an HTTP server and returns nil after its planned close.
func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve %s: %w", listener.Addr(), err)
}

// startTimers registers the periodic callbacks of the components with the timer
// service. They do nothing any more once ctx has ended.
func (d *Daemon) startTimers(ctx context.Context) {
	add := func(period time.Duration, f func(snipetime.Instant)) {
		d.cancelTimers = append(d.cancelTimers, d.clock.Every(period, func(now snipetime.Instant) {
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
	add(loadUpdatePeriod, d.updateLoads)
	add(recordPeriod, d.records.tick)
	add(time.Second, func(now snipetime.Instant) {
		d.requestReconcile()
		d.updateGauges(now)
	})
}

// closeAll stops the timers and releases everything that New opened.
func (d *Daemon) closeAll() {
	for _, cancel := range d.cancelTimers {
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

// region returns the region of the own place, "" while it is unknown.
func (d *Daemon) region() string {
	d.regionMu.RLock()
	defer d.regionMu.RUnlock()
	return d.currentRegion
}

// errUnknownPlace means that the configuration in force does not contain the
// place of this instance.
var errUnknownPlace = errors.New("place is not in the fleet document")

// lookupPlaces returns the places of a fleet, sorted by name.
func lookupPlaces(fleet *snipeconfig.Fleet) []snipelookup.Place {
	places := make([]snipelookup.Place, 0, len(fleet.Places()))
	for _, p := range fleet.Places() {
		places = append(places, snipelookup.Place{Name: p.Name(), Domain: p.Domain().Name(), Region: p.Region().Name()})
	}
	return places
}
