package snipedemo

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipeload"
	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipestore"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// readyTimeout limits the wait for the first configuration to be written and
	// for all instances to become ready.
	readyTimeout = 15 * time.Second
	// stopTimeout limits the planned stop of an instance.
	stopTimeout = 60 * time.Second
	// drainFraction and stopFraction are the fractions of the load duration after
	// which the drain is announced and the planned stop begins.
	drainFraction = 0.35
	stopFraction  = 0.55
)

// demo holds the state of one run. drained and stopped are nil until the drain
// and the planned stop have taken place.
type demo struct {
	settings Settings
	testbed  *testbed
	sampler  *sampler
	config   *snipeconfig.Snapshot

	drained   *drainRecord
	stopped   *stopRecord
	loadStart time.Time
	cpu       cpuMeter
}

// drainRecord describes the drain of a target. at is an instant just after the
// store accepted it.
type drainRecord struct {
	service *snipeconfig.Service
	address string
	at      snipetime.Instant
}

// stopRecord describes the planned stop of an instance. ended is zero if the
// instance did not stop within stopTimeout, and err says so.
type stopRecord struct {
	address string
	began   time.Time
	ended   time.Time
	err     error
}

// Run runs a demo and returns its report. It returns an error if the settings are
// invalid, ctx ends, or a part of the demo cannot be started, configured or
// closed. A broken guarantee is not an error; Report.Broken lists it.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	settings.setDefaults()
	tb, err := newTestbed(settings)
	if err != nil {
		return nil, err
	}
	d := &demo{settings: settings, testbed: tb, sampler: newSampler(tb)}
	report, err := d.run(ctx)
	if closeErr := tb.close(); closeErr != nil {
		err = errors.Join(err, fmt.Errorf("stop the demo: %w", closeErr))
	}
	return report, err
}

func (d *demo) run(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() { d.sampler.run(ctx) })
	defer background.Wait()
	defer cancel()
	if err := d.configure(ctx); err != nil {
		return nil, err
	}
	streams, err := newStreams(d.settings, d.testbed)
	if err != nil {
		return nil, err
	}
	reports, err := d.runLoad(ctx, streams)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("demo was interrupted: %w", err)
	}
	return d.report(reports), nil
}

// configure writes the first generation to the store and waits until all
// instances are ready with it.
func (d *demo) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	change := snipestore.Change{Operation: "demo-first", Set: d.testbed.deployment.config.Documents()}
	var err error
	if d.config, err = d.testbed.apply(ctx, change); err != nil {
		return err
	}
	d.sampler.recordCommit(d.config.Generation(), time.Now())
	return d.testbed.waitReady(ctx)
}

// runLoad runs all streams together with the drain and the planned stop. It
// returns the load reports by service name.
func (d *demo) runLoad(ctx context.Context, streams []*stream) (map[string]*snipeload.Report, error) {
	reports := make(map[string]*snipeload.Report)
	var mu sync.Mutex
	var load, live sync.WaitGroup
	d.loadStart = time.Now()
	d.cpu.start()
	d.sampler.setLoadRunning(true)
	liveCtx, endLive := context.WithCancel(ctx)
	live.Go(func() { d.writeLiveTable(liveCtx, streams) })
	for _, s := range streams {
		load.Go(func() {
			defer s.caller.Close()
			report := s.generator.Run(ctx)
			mu.Lock()
			defer mu.Unlock()
			if reports[s.service.Name()] == nil {
				reports[s.service.Name()] = snipeload.NewReport()
			}
			reports[s.service.Name()].Merge(report)
		})
	}
	err := d.runEvents(ctx)
	load.Wait()
	d.cpu.stop()
	d.sampler.setLoadRunning(false)
	endLive()
	live.Wait()
	return reports, err
}

// runEvents drains a target and stops an instance, each after its fraction of the
// load duration.
func (d *demo) runEvents(ctx context.Context) error {
	total := float64(d.settings.Duration)
	if !waitUntil(ctx, d.loadStart.Add(time.Duration(total*drainFraction))) {
		return nil
	}
	if err := d.drainBusiest(ctx); err != nil {
		return err
	}
	if !waitUntil(ctx, d.loadStart.Add(time.Duration(total*stopFraction))) {
		return nil
	}
	return d.stopInstance(ctx)
}

// busiestTarget returns the target that has executed the most requests so far.
func (d *demo) busiestTarget() (service *snipeconfig.Service, target netip.AddrPort) {
	most := -1
	for _, team := range d.config.Teams() {
		for _, s := range team.Services() {
			for _, t := range s.Targets() {
				standin, ok := d.testbed.standins.Target(t.Address().String())
				if !ok {
					continue
				}
				if n := int(standin.Stats().Executed); n > most {
					most, service, target = n, s, t.Address()
				}
			}
		}
	}
	return service, target
}

// drainBusiest adds a drain of the busiest target to the configuration.
func (d *demo) drainBusiest(ctx context.Context) error {
	service, target := d.busiestTarget()
	document, err := drainDocument(target)
	if err != nil {
		return err
	}
	change := snipestore.Change{Operation: "demo-drain", Base: d.config, Set: []*snipeconfig.Document{document}}
	if d.config, err = d.testbed.apply(ctx, change); err != nil {
		return err
	}
	d.sampler.recordCommit(d.config.Generation(), time.Now())
	d.drained = &drainRecord{service: service, address: target.String(), at: d.testbed.clock.Now()}
	return nil
}

// positionHolder returns the last instance that holds a position, a share of the
// limits of a region, so that its stop includes a hand-over. It returns the last
// instance if none holds a position.
func (tb *testbed) positionHolder() *instance {
	for _, i := range slices.Backward(tb.instances) {
		if gaugeValue(i.registry, positionsMetric) > 0 {
			return i
		}
	}
	return tb.instances[len(tb.instances)-1]
}

// stopInstance stops an instance as planned: the platform's instance list shows
// it as leaving before its context is cancelled.
func (d *demo) stopInstance(ctx context.Context) error {
	i := d.testbed.positionHolder()
	record := &stopRecord{address: i.daemon.Address(), began: time.Now()}
	d.testbed.standins.InstanceList().SetState(i.daemon.Address(), "leaving")
	i.stop()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	select {
	case <-i.done:
		record.ended, record.err = time.Now(), i.err
	case <-ctx.Done():
		record.err = fmt.Errorf("planned stop of instance %s did not finish: %w", record.address, ctx.Err())
	}
	d.stopped = record
	return nil
}

// waitUntil waits until t and reports false if ctx ended first.
func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// executions returns the execution logs of all targets of a service.
func (tb *testbed) executions(service *snipeconfig.Service) []execution {
	var all []execution
	for _, t := range service.Targets() {
		target, ok := tb.standins.Target(t.Address().String())
		if !ok {
			continue
		}
		for _, e := range target.Executions() {
			all = append(all, execution{Execution: e, place: t.Place().Name()})
		}
	}
	return all
}

// execution is one execution of a request, with the place of its target.
type execution struct {
	snipestandin.Execution
	place string
}
