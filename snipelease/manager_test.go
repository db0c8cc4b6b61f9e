package snipelease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Guards against two valid leases for one position under any mix of faults.
func TestSingleHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 6).Draw(t, "instances"), 0)
		w.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		w.maxDelay = rapid.SampledFrom([]time.Duration{time.Millisecond, 300 * time.Millisecond, 4 * time.Second}).Draw(t, "delay")
		gaps := []time.Duration{step, time.Second, 5 * time.Second, 11 * time.Second, 24 * time.Second}
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			if err := w.run(rapid.SampledFrom(gaps).Draw(t, "gap")); err != nil {
				t.Fatal(err)
			}
			w.fault(rapid.IntRange(0, 9).Draw(t, "fault"), rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node"))
		}
		if err := w.run(30 * time.Second); err != nil {
			t.Fatal(err)
		}
	})
}

func (w *world) fault(kind, i int) {
	n := w.nodes[i]
	switch kind {
	case 0:
		w.storeDown = !w.storeDown
	case 1:
		n.pausedUntil = w.now + time.Duration(w.rng.Int64N(int64(30*time.Second)))
	case 2:
		w.restart(i, false)
	case 3:
		w.restart(i, true)
	case 4:
		n.cut = !n.cut
	case 5, 6:
		n.storeCut = !n.storeCut
	case 7:
		// The platform's list drops an instance that still runs.
		for _, o := range w.nodes {
			o.m.SetMembers(w.local(o), []string{n.address})
		}
	case 8:
		w.setMembers()
	case 9:
		n.m.Release(w.local(n))
	}
}

// Guards against a check that cannot fail: each variant leaves one rule out, and
// some seed must show two holders.
func TestCheckCatchesViolations(t *testing.T) {
	variants := map[string]func(*world){
		"no drift margin": func(w *world) { w.margin = 1 },
		"no wait for vouchers": func(w *world) {
			w.corrupt = func(m *Manager) {
				for i := range m.positions {
					m.positions[i].vouchedUntil = 0
					m.positions[i].since = 0
				}
			}
		},
	}
	for name, apply := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				w := newWorld(seed, 4, 0)
				apply(w)
				for i := range w.nodes {
					w.restart(i, false)
				}
				if err := isolateHolder(w); err != nil {
					t.Log(err)
					return
				}
			}
			t.Error("no violation in 200 seeds")
		})
	}
}

// isolateHolder cuts one holder from the store, then from its peers too.
func isolateHolder(w *world) error {
	if err := w.run(20 * time.Second); err != nil {
		return err
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	n.storeCut = true
	for _, o := range w.nodes {
		var others []string
		for _, a := range w.nodes {
			if a != n {
				others = append(others, a.address)
			}
		}
		o.m.SetMembers(w.local(o), others)
	}
	if err := w.run(12 * time.Second); err != nil {
		return err
	}
	n.cut = true
	return w.run(40 * time.Second)
}

// Guards against a drift margin that is missing only in these conditions: the
// default margin must survive what the variants above do not.
func TestIsolatedHolder(t *testing.T) {
	for seed := range uint64(200) {
		w := newWorld(seed, 4, 0)
		if err := isolateHolder(w); err != nil {
			t.Fatal(err)
		}
		if total, each := w.held(); total != testPositions {
			t.Fatalf("seed %d: %v positions held after the takeover, want %d in all", seed, each, testPositions)
		}
	}
}

// Guards against a live holder that lapses during a long outage of the store.
func TestHourWithoutStore(t *testing.T) {
	w := newWorld(7, 6, 0)
	if err := w.run(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	w.storeDown = true
	w.loss = 0.05
	for range 3600 {
		if err := w.run(time.Second); err != nil {
			t.Fatal(err)
		}
		if total, each := w.held(); total != testPositions {
			t.Fatalf("at %v the instances hold %v", w.now, each)
		}
	}
}

// Guards against positions that stay unused after a start, a lost instance, a
// restart or a change of the members.
func TestRecovery(t *testing.T) {
	w := newWorld(3, 4, 0)
	expect := func(what string, after time.Duration) {
		t.Helper()
		if err := w.run(after); err != nil {
			t.Fatal(err)
		}
		if total, each := w.held(); total != testPositions {
			t.Errorf("%s: after %v the instances hold %v", what, after, each)
		}
	}
	expect("start", 3*time.Second)
	w.restart(1, false)
	expect("restart at the same address", time.Second)
	w.nodes[2].gone = true
	w.nodes[3].gone = true
	w.setMembers()
	expect("half of the instances lost at once", 30*time.Second)
	w.nodes[0].m.Release(w.local(w.nodes[0]))
	w.nodes[0].m.LoansEnded(w.local(w.nodes[0]))
	w.setMembers()
	if err := w.run(2 * time.Second); err != nil {
		t.Fatal(err)
	}
	if !w.nodes[0].m.Released() {
		t.Error("positions are not freed 2 s after the loans have ended")
	}
}

// Guards against positions that stay unused or are held twice when 30 % of the
// instances of a region restart together, at the same addresses.
func TestThirtyPercentRestart(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(seed, 10, 0)
		w.loss = 0.02
		if err := w.run(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		for _, i := range w.rng.Perm(len(w.nodes))[:3] {
			w.restart(i, false)
		}
		if err := w.run(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		if total, each := w.held(); total != testPositions {
			t.Errorf("seed %d: 10 s after the restart the instances hold %v", seed, each)
		}
	}
}

// Guards against a voucher that counts a position whose predecessor can have
// consented to the end of the epoch: the record must be read after the
// acquisition.
func TestVoucherNeedsLaterRead(t *testing.T) {
	w := newWorld(5, 4, 0)
	if err := w.run(20 * time.Second); err != nil {
		t.Fatal(err)
	}
	held, _ := w.held()
	if held != testPositions {
		t.Fatalf("%d positions held after the start", held)
	}
	m, now := w.nodes[0].m, w.local(w.nodes[0])
	own := m.Held(now)[0].Index
	other := (own + 1) % testPositions
	request := VouchRequest{Index: other, Epoch: m.positions[other].record.Epoch}
	m.positions[own].since = m.positions[other].readSent + 1
	if r := m.giveVoucher(request, now); r.Granted {
		t.Error("voucher granted for a record read before the acquisition")
	}
	m.positions[own].since--
	if r := m.giveVoucher(request, now); !r.Granted {
		t.Error("voucher refused for a record read after the acquisition")
	}
	m.giveConsent(ConsentRequest{Index: other, OldEpoch: request.Epoch, NewEpoch: request.Epoch + 1}, now)
	if r := m.giveVoucher(request, now); r.Granted {
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
	m.StoreResult(0, StoreResult{RequestID: read.RequestID, Outcome: OutcomeRead})
	sent := snipetime.Instant(time.Second)
	write := m.Tick(sent)[0].(WriteRecord)
	fmt.Println(write.IfVersion, write.Record.Epoch, m.Valid(0, sent))
	m.StoreResult(sent+5, StoreResult{RequestID: write.RequestID, Outcome: OutcomeWritten, Version: 1})
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
				now = now.Add(step)
				m.Tick(now)
			}
		})
	}
}
