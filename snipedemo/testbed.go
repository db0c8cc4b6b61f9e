package snipedemo

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipedaemon"
	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipestore"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// readyPollInterval is the time between checks whether instances are ready.
	readyPollInterval = 100 * time.Millisecond
	// maxApplyAttempts limits the attempts to apply a change whose base is stale.
	maxApplyAttempts = 5
	// positionsMetric is the gauge of the positions that an instance holds.
	positionsMetric = "snipemoor_positions_held"
)

// instance is a running entry instance.
type instance struct {
	daemon   *snipedaemon.Daemon
	place    string
	registry *prometheus.Registry
	stop     context.CancelFunc
	// done is closed when Run has returned err.
	done chan struct{}
	err  error
}

// running reports whether Run has not returned yet.
func (i *instance) running() bool {
	select {
	case <-i.done:
		return false
	default:
		return true
	}
}

// testbed holds everything that runs in a demo.
type testbed struct {
	deployment *deployment
	places     *placeIndex
	clock      *snipetime.Service
	standins   *snipestandin.Deployment
	network    *snipestandin.Network
	linkMeter  *linkMeter
	client     *snipestore.Client
	instances  []*instance
	resultLog  *resultLog
	start      time.Time
}

// newTestbed starts the stand-ins and all entry instances.
func newTestbed(s Settings) (*testbed, error) {
	d, err := readDeployment(s.Files, s.Deployment)
	if err != nil {
		return nil, err
	}
	tb := &testbed{
		deployment: d, places: newPlaceIndex(d), clock: snipetime.New(), resultLog: &resultLog{}, start: time.Now(),
	}
	tb.linkMeter = newLinkMeter(tb.start)
	tb.network = snipestandin.NewNetwork(snipestandin.NetworkSettings{PlaceOf: tb.places.place, Delay: tb.places.delay})
	tb.client = snipestore.New(snipestore.Settings{Addresses: []string{d.standins.Store}})
	tb.standins, err = snipestandin.NewDeployment(d.standins, d.config, tb.clock, s.Seed)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start stand-ins: %w", err), tb.close())
	}
	for _, settings := range d.instances {
		if err := tb.startInstance(s, settings); err != nil {
			return nil, errors.Join(err, tb.close())
		}
	}
	return tb, nil
}

// startInstance starts an entry instance whose connections are delayed by the
// network and counted by the link meter.
func (tb *testbed) startInstance(s Settings, settings *snipedaemon.Settings) error {
	registry := prometheus.NewRegistry()
	dialer := &meteredDialer{
		dial: tb.network.Dialer(settings.Place()), from: settings.Region(), places: tb.places, meter: tb.linkMeter,
	}
	daemon, err := snipedaemon.New(settings, snipedaemon.Dependencies{Log: s.Log, Registry: registry, Dialer: dialer})
	if err != nil {
		return fmt.Errorf("start instance %s: %w", settings.Listen(), err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{
		daemon: daemon, place: settings.Place(), registry: registry, stop: cancel, done: make(chan struct{}),
	}
	go func() {
		defer close(i.done)
		i.err = daemon.Run(ctx)
	}()
	tb.instances = append(tb.instances, i)
	return nil
}

// close stops the instances and then the stand-ins, and returns their errors.
func (tb *testbed) close() error {
	var errs []error
	for _, i := range tb.instances {
		i.stop()
	}
	for _, i := range tb.instances {
		<-i.done
		if i.err != nil {
			errs = append(errs, i.err)
		}
	}
	tb.client.Close()
	tb.network.Close()
	if tb.standins != nil {
		errs = append(errs, tb.standins.Close())
	}
	tb.clock.Close()
	return errors.Join(errs...)
}

// apply changes the configuration and returns the new snapshot. An operator may
// change the configuration of a running demo too, so a change whose base is stale
// is applied again to the newer base.
func (tb *testbed) apply(ctx context.Context, change snipestore.Change) (*snipeconfig.Snapshot, error) {
	for range maxApplyAttempts {
		report, err := snipestore.NewWriter(tb.client).Apply(ctx, change)
		if err != nil {
			return nil, fmt.Errorf("apply configuration: %w", err)
		}
		if report.Outcome() != snipestore.Committed && report.Outcome() != snipestore.Stale {
			return nil, fmt.Errorf("apply configuration: outcome %s", report.Outcome())
		}
		snapshot, err := snipestore.NewReader(tb.client).Load(ctx, nil)
		if err != nil {
			return nil, fmt.Errorf("read configuration: %w", err)
		}
		if report.Outcome() == snipestore.Committed {
			return snapshot, nil
		}
		change.Base = snapshot
	}
	return nil, fmt.Errorf("apply configuration: base is still stale after %d attempts", maxApplyAttempts)
}

// drainDocument returns the document that drains a target.
func drainDocument(target netip.AddrPort) (*snipeconfig.Document, error) {
	text := fmt.Sprintf(`{"kind": "drain", "name": "demo", "target": %q}`, target)
	document, err := snipeconfig.ParseDocument("drain", []byte(text))
	if err != nil {
		return nil, fmt.Errorf("parse drain document: %w", err)
	}
	return document, nil
}

// waitReady waits until all instances are ready and all positions are held. Calls
// that arrive earlier are refused, because no instance owns the slots yet.
func (tb *testbed) waitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	fleet := tb.deployment.config.Fleet()
	for {
		ready, held := 0, 0
		for _, i := range tb.instances {
			if !i.running() {
				return fmt.Errorf("instance %s has ended: %w", i.daemon.Address(), i.err)
			}
			if i.daemon.Ready() {
				ready++
			}
			held += gaugeValue(i.registry, positionsMetric)
		}
		all := len(fleet.Regions()) * fleet.PositionsPerRegion()
		if ready == len(tb.instances) && held >= all {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d of %d instances are ready and %d of %d positions held: %w",
				ready, len(tb.instances), held, all, ctx.Err())
		}
	}
}

// gaugeValue returns the value of a gauge without labels, or 0 if it does not
// exist or the metrics cannot be gathered.
func gaugeValue(registry prometheus.Gatherer, name string) int {
	families, err := registry.Gather()
	if err != nil {
		return 0
	}
	for _, family := range families {
		if family.GetName() == name && len(family.GetMetric()) > 0 {
			return int(family.GetMetric()[0].GetGauge().GetValue())
		}
	}
	return 0
}
