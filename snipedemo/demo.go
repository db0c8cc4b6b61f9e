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
	// readyTimeout bounds the time until all instances are ready.
	readyTimeout = 15 * time.Second
	// stopTimeout bounds the planned stop of the demo's instance.
	stopTimeout = 60 * time.Second
	// drainAt and stopAt are the parts of the duration after which the drain is
	// announced and the planned stop begins.
	drainAt = 0.35
	stopAt  = 0.55
)

// demo is a running demo.
type demo struct {
	settings Settings
	world    *world
	sampler  *sampler
	config   *snipeconfig.Snapshot

	drained   *drainRecord
	stopped   *stopRecord
	loadStart time.Time
	cpu       cpuMeter
}

// drainRecord is the announced drain of a target.
type drainRecord struct {
	service *snipeconfig.Service
	address string
	at      snipetime.Instant
}

// stopRecord is the planned stop of an instance.
type stopRecord struct {
	address string
	began   time.Time
	ended   time.Time
	err     error
}

// Run runs a demo and returns its report. The error says why the demo could not
// run to its end; a broken guarantee is no error, but part of the report.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	settings.setDefaults()
	w, err := newWorld(settings)
	if err != nil {
		return nil, err
	}
	d := &demo{settings: settings, world: w, sampler: newSampler(w)}
	report, err := d.run(ctx)
	if closeErr := w.close(); closeErr != nil {
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
	streams, err := newStreams(d.settings, d.world)
	if err != nil {
		return nil, err
	}
	reports, err := d.offer(ctx, streams)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("demo was interrupted: %w", err)
	}
	return d.report(reports), nil
}

// configure writes the first generation and waits until all instances have it.
func (d *demo) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	change := snipestore.Change{Operation: "demo-first", Set: d.world.deployment.config.Documents()}
	var err error
	if d.config, err = d.world.apply(ctx, change); err != nil {
		return err
	}
	d.sampler.committed(d.config.Generation(), time.Now())
	return d.world.waitReady(ctx)
}

// offer runs all streams, and the events of the demo meanwhile.
func (d *demo) offer(ctx context.Context, streams []*stream) (map[string]*snipeload.Report, error) {
	reports := make(map[string]*snipeload.Report)
	var mu sync.Mutex
	var load, live sync.WaitGroup
	d.loadStart = time.Now()
	d.cpu.start()
	d.sampler.setUnderWay(true)
	liveCtx, endLive := context.WithCancel(ctx)
	live.Go(func() { d.showLive(liveCtx, streams) })
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
	err := d.events(ctx)
	load.Wait()
	d.cpu.stop()
	d.sampler.setUnderWay(false)
	endLive()
	live.Wait()
	return reports, err
}

// events announces the drain and stops an instance.
func (d *demo) events(ctx context.Context) error {
	total := float64(d.settings.Duration)
	if !waitUntil(ctx, d.loadStart.Add(time.Duration(total*drainAt))) {
		return nil
	}
	if err := d.drain(ctx); err != nil {
		return err
	}
	if !waitUntil(ctx, d.loadStart.Add(time.Duration(total*stopAt))) {
		return nil
	}
	return d.stopOne(ctx)
}

// busiest returns the target that has run the most requests so far.
func (d *demo) busiest() (service *snipeconfig.Service, target netip.AddrPort) {
	most := -1
	for _, team := range d.config.Teams() {
		for _, s := range team.Services() {
			for _, t := range s.Targets() {
				standin, ok := d.world.standins.Target(t.Address().String())
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

// drain announces the drain of the busiest target.
func (d *demo) drain(ctx context.Context) error {
	service, target := d.busiest()
	document, err := drainDocument(target)
	if err != nil {
		return err
	}
	change := snipestore.Change{Operation: "demo-drain", Base: d.config, Set: []*snipeconfig.Document{document}}
	if d.config, err = d.world.apply(ctx, change); err != nil {
		return err
	}
	d.sampler.committed(d.config.Generation(), time.Now())
	d.drained = &drainRecord{service: service, address: target.String(), at: d.world.clock.Now()}
	return nil
}

// holder returns the last instance that holds a position, so that its stop
// includes a hand-over, or the last one if none does.
func (w *world) holder() *instance {
	for _, i := range slices.Backward(w.instances) {
		if gaugeValue(i.registry, positionsMetric) > 0 {
			return i
		}
	}
	return w.instances[len(w.instances)-1]
}

// stopOne stops an instance as planned, which the platform's list shows.
func (d *demo) stopOne(ctx context.Context) error {
	i := d.world.holder()
	record := &stopRecord{address: i.daemon.Address(), began: time.Now()}
	d.world.standins.InstanceList().SetState(i.daemon.Address(), "leaving")
	i.stop()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	select {
	case <-i.done:
		record.ended, record.err = time.Now(), i.err
	case <-ctx.Done():
		record.err = fmt.Errorf("instance %s has not stopped: %w", record.address, ctx.Err())
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

// executions returns the log of every target.
func (w *world) executions(service *snipeconfig.Service) []execution {
	var all []execution
	for _, t := range service.Targets() {
		target, ok := w.standins.Target(t.Address().String())
		if !ok {
			continue
		}
		for _, e := range target.Executions() {
			all = append(all, execution{Execution: e, place: t.Place().Name()})
		}
	}
	return all
}

// execution is a run of a request at a target in a place.
type execution struct {
	snipestandin.Execution
	place string
}
