package snipelease

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// BenchmarkStoreCalls measures the store calls per second of one region in
// steady state, by the numbers of positions and members. The store answers
// without delay.
func BenchmarkStoreCalls(b *testing.B) {
	const warmUp, measured = time.Minute, 5 * time.Minute
	for _, size := range []struct{ positions, members int }{
		{4, 12}, {4, 77}, {8, 77}, {12, 12}, {12, 36}, {12, 77},
	} {
		b.Run(fmt.Sprintf("positions=%d/members=%d", size.positions, size.members), func(b *testing.B) {
			for b.Loop() {
				r := newFaultFreeRegion(size.positions, size.members)
				r.run(0, warmUp)
				r.reads, r.writes, r.conflicts, r.holderChanges = 0, 0, 0, 0
				r.run(warmUp, warmUp+measured)
				b.ReportMetric(float64(r.reads)/measured.Seconds(), "reads/s")
				b.ReportMetric(float64(r.writes)/measured.Seconds(), "writes/s")
				b.ReportMetric(float64(r.conflicts)/measured.Seconds(), "conflicts/s")
				b.ReportMetric(float64(r.holderChanges)/measured.Seconds(), "changes/s")
			}
		})
	}
}

// faultFreeRegion runs the managers of a region without faults and counts their
// store calls.
type faultFreeRegion struct {
	managers      map[string]*Manager
	addresses     []string
	store         []StoreResult
	version       uint64
	reads, writes int
	conflicts     int
	holders       map[int]string
	holderChanges int
}

func newFaultFreeRegion(positions, members int) *faultFreeRegion {
	r := &faultFreeRegion{managers: make(map[string]*Manager), holders: make(map[int]string), store: make([]StoreResult, positions)}
	for i := range members {
		r.addresses = append(r.addresses, fmt.Sprintf("10.0.0.%d:7", i))
	}
	for i, a := range r.addresses {
		m := New(Config{Address: a, Incarnation: fmt.Sprint("inc", i), Positions: positions, Seed: uint64(i)}, 0)
		m.SetMembers(0, r.addresses)
		r.managers[a] = m
	}
	return r
}

// run calls Tick of every manager each 200 ms.
func (r *faultFreeRegion) run(from, until time.Duration) {
	for at := from; at < until; at += 200 * time.Millisecond {
		now := snipetime.Instant(at)
		for _, a := range r.addresses {
			r.perform(now, a, r.managers[a].Tick(now))
		}
	}
}

// perform carries out the actions of the manager at address from.
func (r *faultFreeRegion) perform(now snipetime.Instant, from string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			r.perform(now, a.To, r.managers[a.To].HandleMessage(now, from, a.Message))
		case ReadRecord:
			r.reads++
			result := r.store[a.Index]
			result.RequestID, result.Outcome, result.Revision = a.RequestID, OutcomeRead, r.version
			r.perform(now, from, r.managers[from].HandleStoreResult(now, result))
		case WriteRecord:
			r.writes++
			result := StoreResult{RequestID: a.RequestID, Outcome: OutcomeConflict}
			if r.store[a.Index].Version != a.IfVersion {
				r.conflicts++
			} else if r.holders[a.Index] != a.Record.Address {
				r.holders[a.Index] = a.Record.Address
				r.holderChanges++
			}
			if r.store[a.Index].Version == a.IfVersion {
				r.version++
				r.store[a.Index] = StoreResult{Record: a.Record, Version: r.version}
				result.Outcome, result.Version = OutcomeWritten, r.version
			}
			r.perform(now, from, r.managers[from].HandleStoreResult(now, result))
		}
	}
}
