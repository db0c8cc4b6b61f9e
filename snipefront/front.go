package snipefront

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/snipemoor/snipemoor/platform"
	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipegate"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipesync"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// metricsPath is where metrics are served.
	metricsPath = "/metrics"
	// sweepEvery is the time between two sweeps of idle connections.
	sweepEvery = 2 * time.Second
	// memoryShare is the part of the process's memory at which the garbage
	// collector works harder.
	memoryShare = 0.6
	// bodyMemoryShare is the part that the bodies of requests and answers share.
	bodyMemoryShare = 0.25
	// defaultMemory is the memory of the process, in bytes, where the settings state
	// none.
	defaultMemory = 256 << 20
	// maxSmallHead bounds the heads of requests to the directory, readiness and
	// metrics, and smallTimeout the time in which such a request is read and its
	// answer taken.
	maxSmallHead = 16 << 10
	smallTimeout = 10 * time.Second
)

// Front is one process between callers and targets.
type Front struct {
	settings atomic.Pointer[platform.Settings]
	load     Loader
	metrics  string
	store    *platform.Store
	decoder  *platform.Decoder
	log      *zap.Logger
	registry *prometheus.Registry

	timers  *snipetime.Service
	fleet   *snipefleet.Registry
	tables  *snipetable.Holder
	pools   *snipeconn.Pools
	chooser *snipeplacement.Chooser
	gate    *snipegate.Gate
	// node is for calls between fronts; it is nil where the settings give no
	// address for them.
	node     *snipepeer.Node
	follower *snipesync.Follower
	announce *snipesync.Announcer
	book     *book
}

// New returns a front that is not running yet, but listens for other fronts.
// load reads its settings, and metrics is the address on which metrics are
// served, or empty. Lines about single requests go to requests, all others to
// log. An error is that of load or of listening.
func New(load Loader, metrics string, log, requests *zap.Logger) (*Front, error) {
	s, err := load()
	if err != nil {
		return nil, err
	}
	memory := newBodyMemory(s.MemoryBytes)
	f := &Front{
		load: load, metrics: metrics, log: log, registry: prometheus.NewRegistry(),
		store: platform.NewStore(s.Store), decoder: platform.NewDecoder(s.Regions),
		timers: snipetime.New(), fleet: snipefleet.New(), tables: &snipetable.Holder{},
		pools:   snipeconn.New(snipeconn.Settings{Memory: memory}),
		chooser: snipeplacement.New(s.Name, s.Place),
	}
	self := snipefleet.Member{Name: s.Name, Address: s.Callers, Peer: s.Peers, Place: s.Place}
	f.settings.Store(s)
	if err := f.follow(s, self); err != nil {
		return nil, err
	}
	f.announce = snipesync.NewAnnouncer(f.store, self, f.follower, log)
	f.book = &book{self: self, fleet: f.fleet, ttl: func() time.Duration { return f.settings.Load().Bounds.AddressTTL }}
	f.gate = snipegate.New(snipegate.Dependencies{
		Dialect: platform.Headers{}, Tables: f.tables, Fleet: f.fleet, Chooser: f.chooser,
		Sender: f.pools, Clock: f.timers, Metrics: snipegate.NewMetrics(f.registry), Log: requests,
		Memory: memory,
		Budget: func() sniperetry.BudgetSettings {
			return budget(f.settings.Load().Bounds, len(f.fleet.View().Members()))
		},
	})
	f.registerConnections()
	return f, nil
}

// follow assembles what keeps the front in step with the store.
func (f *Front) follow(s *platform.Settings, self snipefleet.Member) error {
	d := snipesync.Dependencies{
		Own: self.Name, Timing: snipesync.NewTiming(s.Bounds.Stability, s.Bounds.Drain, s.Bounds.Config, s.Bounds.Evacuation),
		Store: f.store, Plan: snipefeed.NewPlan(self, nil), Items: snipefeed.NewLog(), Decoder: f.decoder,
		Registry: f.fleet, Tables: f.tables, Clock: f.timers, Log: f.log,
	}
	if s.Peers != "" {
		node, err := newNode(s, d.Items, f.chooser, f.timers, f.log)
		if err != nil {
			return err
		}
		f.node = node
		f.registry.MustRegister(node.Collectors()...)
		d.Plan, d.Peers = snipefeed.NewPlan(self, s.Seeds), snipefeed.NewPeers(node, f.chooser, f.timers)
	}
	f.follower = snipesync.NewFollower(d)
	return nil
}

// newBodyMemory returns the memory for the bodies of requests and answers of a
// process that may use the given number of bytes, or zero if that is not known.
func newBodyMemory(process int64) *semaphore.Weighted {
	if process == 0 {
		process = defaultMemory
	}
	return semaphore.NewWeighted(int64(bodyMemoryShare * float64(process)))
}

func (f *Front) registerConnections() {
	opened := func() float64 { n, _ := f.pools.Counts(); return float64(n) }
	reused := func() float64 { _, n := f.pools.Counts(); return float64(n) }
	f.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "snipemoor_target_connections_opened_total", Help: "Connections opened to targets.",
		}, opened),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "snipemoor_target_connections_reused_total", Help: "Requests sent over a kept connection.",
		}, reused),
	)
}

const (
	// retryRatioShare is the part of the platform's retry ratio that each front
	// spends on its own requests. The rest is room for requests that are counted in
	// other windows.
	retryRatioShare = 0.9
	// retryMinimumShare is the part of the minimum that all fronts spend together.
	retryMinimumShare = 0.5
	// minFronts is the number of fronts among which the minimum is divided at
	// least, since a front that has just started may not know all others.
	minFronts = 10
)

// budget returns the retry budget of a service on one of a number of fronts.
func budget(b platform.Bounds, fronts int) sniperetry.BudgetSettings {
	share := b.RetryMinimum * retryMinimumShare / float64(max(fronts, minFronts))
	return sniperetry.BudgetSettings{
		Ratio:            b.RetryRatio * retryRatioShare,
		MinimumPerSecond: share / max(b.RetryWindow.Seconds(), 1),
		Cap:              max(share, 1),
		Initial:          max(share, 1),
	}
}

// Run serves until ctx ends and the graceful stop is done, or a part fails.
func (f *Front) Run(ctx context.Context) error {
	defer f.timers.Close()
	settings := f.settings.Load()
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	}
	f.log.Info("start", zap.String("front", settings.Name), zap.String("domain", settings.Place.Domain),
		zap.String("callers", settings.Callers), zap.String("store", settings.Store), zap.String("metrics", f.metrics))
	f.timers.Every(sweepEvery, func(snipetime.Instant) { f.sweep() })

	var g run.Group
	stopped := make(chan struct{})
	g.Add(f.untilStopped(ctx, stopped))
	if f.node != nil {
		g.Add(f.servePeers())
	}
	g.Add(background(f.follower.Run))
	g.Add(background(f.watchSettings))
	g.Add(f.serveCallers(ctx, stopped))
	for name, part := range map[string]struct {
		address string
		handler http.Handler
	}{
		"directory": {settings.Directory, platform.DirectoryHandler(f.book)},
		"readiness": {settings.Readiness, platform.ReadinessHandler(f.book.open.Load)},
		"metrics":   {f.metrics, f.metricsHandler()},
	} {
		if part.address != "" {
			g.Add(f.serve(name, part.address, part.handler))
		}
	}
	err := g.Run()
	f.log.Info("stop", zap.Error(err))
	if errors.Is(err, errStopped) {
		return nil
	}
	return err //nolint:wrapcheck // the actors wrap their errors
}

func (f *Front) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}))
	return mux
}

func (f *Front) sweep() {
	v := f.fleet.View()
	addresses, ids := v.Known()
	f.pools.Sweep(time.Now(), func(address string) bool { return addresses[address] })
	f.chooser.Forget(func(id string) bool { return ids[id] })
}

// background turns a function that runs until its context ends into an actor.
func background(work func(context.Context)) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	return func() error { work(ctx); return nil }, func(error) { cancel() }
}

// serve returns an actor that serves one of the small interfaces.
func (f *Front) serve(name, address string, h http.Handler) (execute func() error, interrupt func(error)) {
	server := &http.Server{
		Handler: h, MaxHeaderBytes: maxSmallHead, ReadHeaderTimeout: headerTimeout, ReadTimeout: smallTimeout,
		WriteTimeout: smallTimeout, IdleTimeout: idleTimeout, ErrorLog: zap.NewStdLog(f.log),
	}
	return func() error {
			l, err := net.Listen("tcp4", address)
			if err != nil {
				return fmt.Errorf("listen for %s: %w", name, err)
			}
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", name, err)
			}
			return nil
		}, func(error) {
			// The process ends; nothing depends on a clean close here.
			_ = server.Close()
		}
}
