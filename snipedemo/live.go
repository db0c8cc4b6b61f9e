package snipedemo

import (
	"context"
	"fmt"
	"math"
	"time"

	"golang.org/x/sys/unix"

	"github.com/snipemoor/snipemoor/snipeload"
)

// liveInterval is the time between rows of the live table.
const liveInterval = time.Second

// writeLiveTable writes a row every liveInterval until ctx ends, and a last one
// then.
func (d *demo) writeLiveTable(ctx context.Context, streams []*stream) {
	d.printLivef("%6s %9s %9s %9s %9s %9s %10s %10s %6s\n",
		"time", "sent", "done", "not run", "unknown", "failed", "free slots", "generation", "up")
	ticker := time.NewTicker(liveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.writeLiveRow(streams)
		case <-ctx.Done():
			d.writeLiveRow(streams)
			return
		}
	}
}

// writeLiveRow writes the counts so far, the lowest share of free slots of a
// region, the lowest generation of a running instance, and the number of running
// instances.
func (d *demo) writeLiveRow(streams []*stream) {
	var sent int64
	for _, s := range streams {
		sent += s.generator.Progress().Sent()
	}
	outcomes := d.testbed.resultLog.outcomes()
	free, up, generation := math.Inf(1), 0, uint64(math.MaxUint64)
	for _, f := range d.testbed.freeSlotFractions() {
		free = min(free, f)
	}
	for _, i := range d.testbed.instances {
		if i.running() {
			up++
			generation = min(generation, i.daemon.Generation())
		}
	}
	d.printLivef("%6s %9d %9d %9d %9d %9d %9.0f%% %10d %6d\n",
		time.Since(d.loadStart).Round(time.Second), sent, outcomes[snipeload.Done], outcomes[snipeload.NotRun],
		outcomes[snipeload.Unknown], outcomes[snipeload.Failed], 100*free, generation, up)
}

// printLivef writes to the live table. It ignores write errors: the demo continues
// if, for example, the reader of a pipe has closed it.
func (d *demo) printLivef(format string, args ...any) {
	_, _ = fmt.Fprintf(d.settings.Progress, format, args...)
}

// outcomes returns the number of requests with each outcome so far.
func (l *resultLog) outcomes() map[snipeload.Outcome]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[snipeload.Outcome]int)
	for _, r := range l.results {
		counts[r.outcome]++
	}
	return counts
}

// cpuMeter measures the CPU time that the process uses between start and stop.
type cpuMeter struct {
	began, ended          time.Time
	usedBefore, usedAfter time.Duration
}

func (m *cpuMeter) start() { m.began, m.usedBefore = time.Now(), processTime() }
func (m *cpuMeter) stop()  { m.ended, m.usedAfter = time.Now(), processTime() }

// cores returns the mean number of cores in use between start and stop.
func (m *cpuMeter) cores() float64 {
	elapsed := m.ended.Sub(m.began)
	if elapsed <= 0 {
		return 0
	}
	return float64(m.usedAfter-m.usedBefore) / float64(elapsed)
}

// processTime returns the user and system CPU time of the process so far, or 0 if
// the operating system does not report it.
func processTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
