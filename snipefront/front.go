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

	"github.com/snipemoor/snipemoor/platform"
	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipegate"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/snipequota"
	"github.com/snipemoor/snipemoor/sniperetry"
	"github.com/snipemoor/snipemoor/snipesync"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// metricsPath is the path of the metrics.
	metricsPath = "/metrics"
	// sweepInterval is the time between two removals of idle connections and of state
	// of targets.
	sweepInterval = 2 * time.Second
	// memoryLimitShare is the fraction of the memory of the process that is set as
	// the soft limit of the garbage collector.
	memoryLimitShare = 0.6
	// maxAuxiliaryHeaderBytes bounds the headers of requests to the directory,
	// readiness and metrics. auxiliaryTimeout bounds the time to read such a request,
	// and the time to write its response.
	maxAuxiliaryHeaderBytes = 16 << 10
	auxiliaryTimeout        = 10 * time.Second
)

// Front is the process between callers and targets.
type Front struct {
	settings       atomic.Pointer[platform.Settings]
	loadSettings   SettingsLoader
	metricsAddress string
	store          *platform.Store
	items          *snipefeed.Log
	decoder        *platform.Decoder
	log            *zap.Logger
	registry       *prometheus.Registry

	clock   *snipetime.Service
	fleet   *snipefleet.Registry
	tables  *snipetable.Holder
	pools   *snipeconn.Pools
	chooser *snipeplacement.Chooser
	quotas  *snipequota.Table
	tenants *snipequota.TenantQuotas
	gate    *snipegate.Gate
	// node makes and serves calls between fronts. It is nil if the settings contain no
	// address for them.
	node      *snipepeer.Node
	follower  *snipesync.Follower
	announcer *snipesync.Announcer
	book      *addressBook
	// revocation bounds the age of the configuration; monitor logs and counts it.
	revocation *snipesync.Revocation
	monitor    *revocationMonitor
	// serving is set when the front begins to accept callers, and stays set.
	serving atomic.Bool
}

// New returns a front. It listens for other fronts at once; everything else starts
// with Run. load reads the settings, and metrics is the address on which metrics are
// served, or empty for none. Log lines about single requests go to requests, all
// others to log. An error is that of load or of listening for other fronts.
func New(load SettingsLoader, metrics string, log, requests *zap.Logger) (*Front, error) {
	s, err := load()
	if err != nil {
		return nil, err
	}
	memory := newBodyMemory(s.MemoryBytes)
	responseMemory := newMemoryShare(memory, s.MemoryBytes)
	f := &Front{
		loadSettings: load, metricsAddress: metrics, log: log, registry: prometheus.NewRegistry(),
		store: platform.NewStore(s.Store), items: snipefeed.NewLog(), decoder: platform.NewDecoder(s.Regions),
		clock: snipetime.New(), fleet: snipefleet.New(), tables: &snipetable.Holder{},
		pools: snipeconn.New(snipeconn.Settings{Memory: responseMemory}),
	}
	self := snipefleet.Member{Name: s.Name, Address: s.CallerListen, Peer: s.PeerListen, Place: s.Place, Cores: s.Cores}
	f.quotas = snipequota.New(self, f.fleet, log)
	f.tenants = snipequota.NewTenantQuotas(self, f.fleet, tenantsInForce{f.tables}, log)
	f.chooser = snipeplacement.New(s.Name, s.Place, f.quotas)
	f.settings.Store(s)
	f.revocation = snipesync.NewRevocation(revocationBound(s.Bounds))
	f.monitor = &revocationMonitor{revocation: f.revocation, serving: f.serving.Load, log: log}
	if err := f.setUpFollower(s, self); err != nil {
		return nil, err
	}
	f.announcer = snipesync.NewAnnouncer(f.store, self, f.follower, log)
	f.book = &addressBook{self: self, fleet: f.fleet, ttl: func() time.Duration { return f.settings.Load().Bounds.AddressTTL }}
	f.gate = snipegate.New(snipegate.Dependencies{
		HeaderCodec: platform.Headers{}, Tables: f.tables, Fleet: f.fleet, Chooser: f.chooser,
		Limits: f.quotas, Sender: f.pools, Clock: f.clock, Metrics: snipegate.NewMetrics(f.registry), Log: requests,
		BodyMemory: memory, ResponseMemory: responseMemory, Revocation: f.revocation, Quotas: f.tenants,
		RetryBudget: func() sniperetry.BudgetSettings {
			return retryBudget(f.settings.Load().Bounds, len(f.fleet.View().Members()))
		},
	})
	f.registerConnectionMetrics()
	f.registerStateMetrics()
	f.monitor.register(f.registry, f.clock)
	return f, nil
}

// setUpFollower creates the follower, which applies the changes of the store, and the
// node for calls between fronts if the settings contain an address for it.
func (f *Front) setUpFollower(s *platform.Settings, self snipefleet.Member) error {
	d := snipesync.Dependencies{
		OwnName: self.Name, Timing: snipesync.NewTiming(s.Bounds.Stability, s.Bounds.Drain, s.Bounds.Config, s.Bounds.Evacuation),
		Store: f.store, Selector: snipefeed.NewSourceSelector(self, nil), Items: f.items, Decoder: f.decoder,
		Registry: f.fleet, Tables: f.tables, Revocation: f.revocation, Clock: f.clock, Log: f.log,
	}
	if s.PeerListen != "" {
		node, err := newNode(s, d.Items, f.chooser, f.quotas, f.tenants, f.clock, f.log)
		if err != nil {
			return err
		}
		f.node = node
		f.registry.MustRegister(node.Collectors()...)
		d.Selector, d.Peers = snipefeed.NewSourceSelector(self, s.Seeds), snipefeed.NewPeerSources(node, f.chooser, f.quotas, f.tenants, f.clock)
	}
	f.follower = snipesync.NewFollower(d)
	return nil
}

// registerStateMetrics registers gauges of what the front believes.
func (f *Front) registerStateMetrics() {
	for _, g := range []struct {
		name, help string
		value      func() float64
	}{
		{"snipemoor_limited_targets", "Targets that state a rate limit.", func() float64 { return float64(f.quotas.NumLimited()) }},
		{"snipemoor_resting_targets", "Targets that want no requests from this front.", func() float64 { return float64(f.chooser.NumResting(f.clock.Now())) }},
		{"snipemoor_tenants_over_quota", "Tenants of which this front lately refused requests above the quota.", func() float64 { return float64(f.tenants.NumOver()) }},
		{"snipemoor_store_epoch", "Restorations of the store, as it states them.", func() float64 { return float64(f.items.Position().Epoch) }},
		{"snipemoor_store_revision", "Revision of the store up to which changes are applied.", func() float64 { return float64(f.items.Position().Revision) }},
		{"snipemoor_configuration_version", "Version of the configuration in force, 0 before the first one.", f.configurationVersion},
		{"snipemoor_configuration_problems", "Entries, or parts of them, of the configuration in force that cannot be used.", f.configurationProblems},
	} {
		f.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: g.name, Help: g.help}, g.value))
	}
}

// configurationProblems returns the number of problems of the configuration in force.
func (f *Front) configurationProblems() float64 {
	if table := f.tables.Current(); table != nil {
		return float64(len(table.Problems()))
	}
	return 0
}

// configurationVersion returns the version of the configuration in force, or 0 if there
// is none.
func (f *Front) configurationVersion() float64 {
	table := f.tables.Current()
	if table == nil {
		return 0
	}
	return float64(table.Version())
}

// registerConnectionMetrics registers the counters of opened and reused connections
// to targets.
func (f *Front) registerConnectionMetrics() {
	opened := func() float64 { n, _ := f.pools.Counts(); return float64(n) }
	reused := func() float64 { _, n := f.pools.Counts(); return float64(n) }
	f.registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "snipemoor_quota_refusals_total", Help: "Requests above the quotas of their tenants.",
		}, func() float64 { return float64(f.tenants.Refusals()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "snipemoor_target_connections_opened_total", Help: "Connections opened to targets.",
		}, opened),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "snipemoor_target_connections_reused_total", Help: "Requests sent over a kept connection.",
		}, reused),
	)
}

const (
	// retryRatioShare is the fraction of the platform's retry ratio that a front uses.
	// The rest is a margin for requests that the platform counts in another window
	// than the front.
	retryRatioShare = 0.9
	// retryMinimumShare is the fraction of the platform's minimum number of retries
	// that all fronts use together.
	retryMinimumShare = 0.5
	// minAssumedFronts is the least number of fronts by which the minimum is divided,
	// since a front that has just started may not know all others yet.
	minAssumedFronts = 10
)

// retryBudget returns the settings of a service's retry budget on one front. The
// minimum, which holds over all fronts, is divided by the number of fronts.
func retryBudget(b platform.Bounds, fronts int) sniperetry.BudgetSettings {
	share := b.RetryMinimum * retryMinimumShare / float64(max(fronts, minAssumedFronts))
	return sniperetry.BudgetSettings{
		Ratio:            b.RetryRatio * retryRatioShare,
		MinimumPerSecond: share / max(b.RetryWindow.Seconds(), 1),
		Cap:              max(share, 1),
		Initial:          max(share, 1),
	}
}

// Run serves until ctx ends and the graceful stop is done, and then returns nil. If
// a component fails, Run stops all others and returns the error. Run must be called
// only once.
func (f *Front) Run(ctx context.Context) error {
	defer f.clock.Close()
	settings := f.settings.Load()
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryBytes)))
	}
	f.log.Info("start", zap.String("front", settings.Name), zap.String("domain", settings.Place.Domain),
		zap.String("callers", settings.CallerListen), zap.String("store", settings.Store), zap.String("metrics", f.metricsAddress))
	f.clock.Every(sweepInterval, f.removeStale)
	f.clock.Every(limitInterval, f.divideLimits)
	f.clock.Every(revocationInterval, f.monitor.observe)

	var g run.Group
	stopped := make(chan struct{})
	g.Add(f.stopActor(ctx, stopped))
	if f.node != nil {
		g.Add(f.peersActor())
	}
	g.Add(backgroundActor(f.follower.Run))
	g.Add(backgroundActor(f.watchSettings))
	g.Add(f.callersActor(ctx, stopped))
	for name, part := range map[string]struct {
		address string
		handler http.Handler
	}{
		"directory": {settings.DirectoryListen, platform.DirectoryHandler(f.book)},
		"readiness": {settings.ReadinessListen, platform.ReadinessHandler(f.book.accepting.Load)},
		"metrics":   {f.metricsAddress, f.metricsHandler()},
	} {
		if part.address != "" {
			g.Add(f.auxiliaryActor(name, part.address, part.handler))
		}
	}
	err := g.Run()
	f.log.Info("stop", zap.Error(err))
	if errors.Is(err, errStopped) {
		return nil
	}
	return err //nolint:wrapcheck // the actors wrap their errors
}

// metricsHandler returns the handler of the metrics.
func (f *Front) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+metricsPath, promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}))
	return mux
}

// removeStale closes idle connections that are too old or lead to unknown targets,
// and deletes the state of unknown targets.
func (f *Front) removeStale(now snipetime.Instant) {
	v := f.fleet.View()
	addresses, ids := v.UsableAddressesAndIDs()
	f.pools.CloseExpired(time.Now(), func(address string) bool { return addresses[address] })
	known := func(id string) bool { return ids[id] }
	f.chooser.Forget(now, known)
	f.quotas.Forget(now, known)
}

// backgroundActor returns an actor that runs work until it is interrupted.
func backgroundActor(work func(context.Context)) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	return func() error { work(ctx); return nil }, func(error) { cancel() }
}

// auxiliaryActor returns an actor that serves the directory, readiness or metrics on
// an address. Errors contain the name.
func (f *Front) auxiliaryActor(name, address string, h http.Handler) (execute func() error, interrupt func(error)) {
	server := &http.Server{
		Handler: h, MaxHeaderBytes: maxAuxiliaryHeaderBytes, ReadHeaderTimeout: defaultHeaderTimeout, ReadTimeout: auxiliaryTimeout,
		WriteTimeout: auxiliaryTimeout, IdleTimeout: defaultIdleTimeout, ErrorLog: zap.NewStdLog(f.log),
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
			// The process ends, so that an error of Close has no effect.
			_ = server.Close()
		}
}
