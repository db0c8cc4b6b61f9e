package snipelease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Guards against two valid leases for one position under any sequence of outages,
// pauses, restarts, network partitions and wrong lists of members.
func TestSingleHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 6).Draw(t, "instances"), 0)
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		s.maxDelay = rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond, 4 * time.Second}).Draw(t, "delay")
		gaps := []time.Duration{tickInterval, time.Second, 5 * time.Second, 11 * time.Second, 24 * time.Second}
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			if err := s.run(rapid.SampledFrom(gaps).Draw(t, "gap")); err != nil {
				t.Fatal(err)
			}
			s.injectFault(rapid.IntRange(0, 9).Draw(t, "fault"), rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node"))
		}
		if err := s.run(30 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

// injectFault applies one of ten kinds of faults and changes to node i or to the
// store. Some kinds end the fault of the same kind.
func (s *simulation) injectFault(kind, i int) {
	n := s.nodes[i]
	switch kind {
	case 0:
		s.storeDown = !s.storeDown
	case 1:
		n.pausedUntil = s.now + time.Duration(s.rng.Int64N(int64(30*time.Second)))
	case 2:
		s.restart(i, false)
	case 3:
		s.restart(i, true)
	case 4:
		n.partitioned = !n.partitioned
	case 5, 6:
		n.storePartitioned = !n.storePartitioned
	case 7:
		// The platform's list omits instances that still run.
		for _, o := range s.nodes {
			o.manager.SetMembers(s.localTime(o), []string{n.address})
		}
	case 8:
		s.setMembers()
	case 9:
		n.manager.Release(s.localTime(n))
	}
}

// Guards against a check that cannot fail: each variant omits one rule, and with
// some seed the check must find two holders.
func TestCheckCatchesViolations(t *testing.T) {
	variants := map[string]func(*simulation){
		"no drift margin": func(s *simulation) { s.margin = 1 },
		"no wait for vouchers": func(s *simulation) {
			s.modifyManager = func(m *Manager) {
				for i := range m.positions {
					m.positions[i].vouchedUntil = 0
					m.positions[i].acquiredAt = 0
				}
			}
		},
	}
	for name, apply := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				s := newSimulation(seed, 4, 0)
				apply(s)
				for i := range s.nodes {
					s.restart(i, false)
				}
				if err := runIsolatedHolder(s); err != nil {
					t.Log(err)
					return
				}
			}
			t.Error("no violation in 200 seeds")
		})
	}
}

// runIsolatedHolder partitions one holder from the store, then also from its
// peers, so that the others take over its positions.
func runIsolatedHolder(s *simulation) error {
	if err := s.run(20 * time.Second); err != nil {
		return err
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	n.storePartitioned = true
	for _, o := range s.nodes {
		var others []string
		for _, a := range s.nodes {
			if a != n {
				others = append(others, a.address)
			}
		}
		o.manager.SetMembers(s.localTime(o), others)
	}
	if err := s.run(12 * time.Second); err != nil {
		return err
	}
	n.partitioned = true
	return s.run(40 * time.Second)
}

// Guards against two holders, and against positions without a holder, when a
// holder is partitioned first from the store and then from its peers. These are
// the runs in which TestCheckCatchesViolations finds two holders without the
// drift margin or without the wait for vouchers.
func TestIsolatedHolder(t *testing.T) {
	for seed := range uint64(200) {
		s := newSimulation(seed, 4, 0)
		if err := runIsolatedHolder(s); err != nil {
			t.Fatal(err)
		}
		if total, each := s.heldCounts(); total != testPositions {
			t.Fatalf("seed %d: the instances hold %v positions after the takeover, want %d in total", seed, each, testPositions)
		}
	}
}

// Guards against the expiry of the lease of a live holder during a long outage of
// the store.
func TestHourWithoutStore(t *testing.T) {
	s := newSimulation(7, 6, 0)
	if err := s.run(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	s.storeDown = true
	s.loss = 0.05
	for range 3600 {
		if err := s.run(time.Second); err != nil {
			t.Fatal(err)
		}
		if total, each := s.heldCounts(); total != testPositions {
			t.Fatalf("at %v the instances hold %v positions, not all of them", s.now, each)
		}
	}
}

// Guards against positions that stay without a holder after a start, a restart,
// the loss of instances or the release by an instance.
func TestRecovery(t *testing.T) {
	s := newSimulation(3, 4, 0)
	expect := func(what string, after time.Duration) {
		t.Helper()
		if err := s.run(after); err != nil {
			t.Fatal(err)
		}
		if total, each := s.heldCounts(); total != testPositions {
			t.Errorf("%s: after %v the instances hold %v positions, not all of them", what, after, each)
		}
	}
	expect("start", 3*time.Second)
	s.restart(1, false)
	expect("restart at the same address", time.Second)
	s.nodes[2].stopped = true
	s.nodes[3].stopped = true
	s.setMembers()
	expect("half of the instances lost at once", 30*time.Second)
	s.nodes[0].manager.Release(s.localTime(s.nodes[0]))
	s.nodes[0].manager.LoansEnded(s.localTime(s.nodes[0]))
	s.setMembers()
	if err := s.run(2 * time.Second); err != nil {
		t.Fatal(err)
	}
	if !s.nodes[0].manager.Released() {
		t.Error("positions are not freed 2 s after the loans have ended")
	}
}

// Guards against positions with no holder or with two when 30 % of the instances
// of a region restart together at the same addresses.
func TestThirtyPercentRestart(t *testing.T) {
	for seed := range uint64(50) {
		s := newSimulation(seed, 10, 0)
		s.loss = 0.02
		if err := s.run(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		for _, i := range s.rng.Perm(len(s.nodes))[:3] {
			s.restart(i, false)
		}
		if err := s.run(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		if total, each := s.heldCounts(); total != testPositions {
			t.Errorf("seed %d: 10 s after the restart the instances hold %v positions, not all of them", seed, each)
		}
	}
}

// Guards against a voucher that counts a position whose predecessor can have
// consented to the end of the epoch. The voucher may count the position only if
// the record was read after the acquisition of the position.
func TestVoucherNeedsLaterRead(t *testing.T) {
	s := newSimulation(5, 4, 0)
	if err := s.run(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	held, _ := s.heldCounts()
	if held != testPositions {
		t.Fatalf("the instances hold %d positions after the start, not all of them", held)
	}
	m, now := s.nodes[0].manager, s.localTime(s.nodes[0])
	own := m.Held(now)[0].Index
	other := (own + 1) % testPositions
	request := VouchRequest{Index: other, Epoch: m.positions[other].record.Epoch}
	m.positions[own].acquiredAt = m.positions[other].readSent + 1
	if r := m.handleVouchRequest(request, now); r.Granted {
		t.Error("voucher granted for a record read before the acquisition")
	}
	m.positions[own].acquiredAt--
	if r := m.handleVouchRequest(request, now); !r.Granted {
		t.Error("voucher refused for a record read after the acquisition")
	}
	m.handleConsentRequest(ConsentRequest{Index: other, OldEpoch: request.Epoch, NewEpoch: request.Epoch + 1}, now)
	if r := m.handleVouchRequest(request, now); r.Granted {
		t.Error("voucher granted after consent")
	}
}

// Guards against quorums that do not share a position.
func TestQuorums(t *testing.T) {
	for n := 1; n <= 24; n++ {
		if VoucherQuorum(n)+ConsentQuorum(n) <= n {
			t.Errorf("quorums of %d and %d of %d positions can be disjoint", VoucherQuorum(n), ConsentQuorum(n), n)
		}
	}
}

func ExampleManager() {
	m := New(Config{Address: "10.0.0.1:7", Incarnation: "a1", Positions: 1}, 0)
	m.SetMembers(0, nil)
	read := m.Tick(0)[0].(ReadRecord)
	m.HandleStoreResult(0, StoreResult{RequestID: read.RequestID, Outcome: OutcomeRead})
	sent := snipetime.Instant(time.Second)
	write := m.Tick(sent)[0].(WriteRecord)
	fmt.Println(write.IfVersion, write.Record.Epoch, m.Valid(0, sent))
	m.HandleStoreResult(sent+5, StoreResult{RequestID: write.RequestID, Outcome: OutcomeWritten, Version: 1})
	fmt.Println(m.Held(sent + 5)[0].LeaseEnd.Sub(sent))
	// Output:
	// 0 1 false
	// 10s
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{4, 12, 80} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			m := New(Config{Address: "10.0.0.0:7", Incarnation: "a1", Positions: 12}, 0)
			var members []string
			for i := range n {
				members = append(members, fmt.Sprintf("10.0.0.%d:7", i))
			}
			m.SetMembers(0, members)
			now := snipetime.Instant(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(tickInterval)
				m.Tick(now)
			}
		})
	}
}
