package snipedemo

import (
	"context"
	"fmt"
	"math"
	"time"

	"golang.org/x/sys/unix"

	"github.com/snipemoor/snipemoor/snipeload"
)

// liveInterval is the time between lines of the live table.
const liveInterval = time.Second

// showLive writes a line a second until ctx ends.
func (d *demo) showLive(ctx context.Context, streams []*stream) {
	d.livef("%6s %9s %9s %9s %9s %9s %10s %10s %6s\n",
		"time", "sent", "done", "not run", "unknown", "failed", "free slots", "generation", "up")
	ticker := time.NewTicker(liveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			d.showLine(streams)
		case <-ctx.Done():
			d.showLine(streams)
			return
		}
	}
}

func (d *demo) showLine(streams []*stream) {
	var sent int64
	for _, s := range streams {
		sent += s.generator.Progress().Sent()
	}
	outcomes := d.world.ledger.outcomes()
	free, up, generation := math.Inf(1), 0, uint64(math.MaxUint64)
	for _, f := range d.world.freeSlots() {
		free = min(free, f)
	}
	for _, i := range d.world.instances {
		if i.running() {
			up++
			generation = min(generation, i.daemon.Generation())
		}
	}
	d.livef("%6s %9d %9d %9d %9d %9d %9.0f%% %10d %6d\n",
		time.Since(d.loadStart).Round(time.Second), sent, outcomes[snipeload.Done], outcomes[snipeload.NotRun],
		outcomes[snipeload.Unknown], outcomes[snipeload.Failed], 100*free, generation, up)
}

// livef writes to the live table. A reader that is gone does not end the demo.
func (d *demo) livef(format string, args ...any) {
	_, _ = fmt.Fprintf(d.settings.Live, format, args...)
}

// outcomes returns the number of requests by outcome so far.
func (l *ledger) outcomes() map[snipeload.Outcome]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[snipeload.Outcome]int)
	for _, t := range l.told {
		counts[t.outcome]++
	}
	return counts
}

// cpuMeter measures the processor time of the process.
type cpuMeter struct {
	began, ended         time.Time
	usedBefore, usedThen time.Duration
}

func (m *cpuMeter) start() { m.began, m.usedBefore = time.Now(), processTime() }
func (m *cpuMeter) stop()  { m.ended, m.usedThen = time.Now(), processTime() }

// cores returns the mean number of cores in use.
func (m *cpuMeter) cores() float64 {
	elapsed := m.ended.Sub(m.began)
	if elapsed <= 0 {
		return 0
	}
	return float64(m.usedThen-m.usedBefore) / float64(elapsed)
}

// processTime returns the processor time used so far, or 0 if it is not known.
func processTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
