package snipelimit

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

func ExampleLedger() {
	l := New(Config{Incarnation: "a1", Positions: 4}, 0)
	l.Configure(0, []Limit{{ID: "link", PerSecond: 1e6, Fraction: 1, ReservePercent: 20}})
	l.SetHoldings(0, []Holding{{Index: 2, LeaseEnd: snipetime.Instant(10 * time.Second)}})
	b, _ := l.Bucket("link")
	// A fourth of 800,000/s fills a burst of 20 ms with 4,000.
	now := snipetime.Instant(time.Second)
	_, err := b.Spend(now, 5000)
	fmt.Println(err)
	wait, err := b.Spend(now, 1000)
	fmt.Println(wait, err)
	_, err = b.Spend(snipetime.Instant(10*time.Second), 1)
	fmt.Println(err)
	// Output:
	// <nil>
	// 10ms snipelimit: cap reached
	// snipelimit: no valid lease or loan
}

// Guards against spending after the end of a lease or a loan, and against the use
// of units that a previous incarnation can still have lent.
func TestUnitsOverTime(t *testing.T) {
	at := func(d time.Duration) snipetime.Instant { return snipetime.Instant(d) }
	l := New(Config{Incarnation: "a1", Positions: 4}, 0)
	limit := Limit{ID: "x", PerSecond: 1000, Fraction: 0.5}
	l.Configure(0, []Limit{limit})
	l.SetHoldings(0, []Holding{{Index: 0, LeaseEnd: at(10 * time.Second)}, {Index: 1, LeaseEnd: at(20 * time.Second), Inherited: true}})
	check := func(d time.Duration, want int) {
		t.Helper()
		if got := l.Status(at(d))[0].Units; got != want {
			t.Errorf("at %v: %d units, want %d", d, got, want)
		}
	}
	check(4*time.Second, 125_000)
	check(4200*time.Millisecond, 250_000)
	r := l.HandleLoanRequest(at(5*time.Second), "b", LoanRequest{LoanID: "b1/1#1", Limit: "x", Units: 100_000, Duration: time.Hour})
	if r.Units != 100_000 || r.Duration != 4*time.Second {
		t.Errorf("loan of %d units for %v, want 100000 for 4s", r.Units, r.Duration)
	}
	check(9*time.Second, 150_000)
	limit.Fraction = 1
	l.Configure(at(9*time.Second), []Limit{limit})
	check(9200*time.Millisecond, 250_000)
	check(10*time.Second, 125_000)
	l.SetHoldings(at(11*time.Second), []Holding{{Index: 1, LeaseEnd: at(40 * time.Second)}})
	check(23900*time.Millisecond, 125_000)
	check(24*time.Second, 250_000)
	check(40*time.Second, 0)
}

// Guards against a planned stop shortly after a restart that releases an
// inherited position while loans of the previous process are in use.
func TestInheritedLoansOutstanding(t *testing.T) {
	at := func(d time.Duration) snipetime.Instant { return snipetime.Instant(d) }
	l := New(Config{Incarnation: "a2", Positions: 4}, 0)
	l.Configure(0, []Limit{{ID: "x", PerSecond: 1000, Fraction: 1}})
	l.SetHoldings(at(time.Second), []Holding{{LeaseEnd: never, AcquiredAt: at(time.Second), Inherited: true}})
	l.SetHoldings(at(2*time.Second), nil)
	if got, want := l.OutstandingLoansEnd(at(2*time.Second)), at(5140*time.Millisecond); got != want {
		t.Errorf("outstanding loans end at %v, want %v", got, want)
	}
}

// Guards against an admitted rate that grows faster than Limit.MaxGrowth, at the
// start and after a pause.
func TestGrowth(t *testing.T) {
	l := New(Config{Incarnation: "a1", Positions: 1}, 0)
	l.Configure(0, []Limit{{ID: "x", PerSecond: 1000, Fraction: 1, MaxGrowth: 50}})
	l.SetHoldings(0, []Holding{{LeaseEnd: never}})
	b, _ := l.Bucket("x")
	start := snipetime.Instant(0)
	for range 2 {
		for second := range 10 {
			spent := 0
			for ms := range 1000 {
				if _, err := b.Spend(start.Add(time.Duration(second*1000+ms)*time.Millisecond), 1); err == nil {
					spent++
				}
			}
			// The ceiling is at most (second + 1) × growth, plus one amount of debt.
			if limit := 50*(second+1) + 1; spent > limit || spent < 50*second {
				t.Errorf("second %d admits %d, want %d to %d", second, spent, 50*second, limit)
			}
		}
		start = start.Add(time.Minute)
	}
}

// Guards against an amount above the burst that is never admitted or leaves no
// debt, and against a removed limit that still admits spending.
func TestDebt(t *testing.T) {
	l := New(Config{Incarnation: "a1", Positions: 1}, 0)
	l.Configure(0, []Limit{{ID: "x", PerSecond: 1000, Fraction: 1}})
	l.SetHoldings(0, []Holding{{LeaseEnd: never}})
	b, _ := l.Bucket("x")
	now := snipetime.Instant(time.Second)
	if _, err := b.Spend(now, 950); err != nil {
		t.Fatal(err)
	}
	wait, err := b.Spend(now, 950)
	if !errors.Is(err, ErrCapReached) || wait != time.Second {
		t.Errorf("spending into a debt of a second: wait %v, error %v", wait, err)
	}
	if b.Ready(now.Add(wait-time.Millisecond), 950) || !b.Ready(now.Add(wait), 950) {
		t.Error("the estimated wait does not match")
	}
	b.Correct(now.Add(wait), 19)
	if got := b.Wait(now.Add(wait), 950); got.Round(time.Microsecond) != 20*time.Millisecond {
		t.Errorf("wait after a correction is %v, want 20ms", got)
	}
	l.Configure(now.Add(time.Minute), nil)
	if _, err := b.Spend(now.Add(time.Minute), 1); err == nil {
		t.Error("a removed limit admits spending")
	}
}

func BenchmarkSpend(b *testing.B) {
	l := New(Config{Incarnation: "a1", Positions: 4}, 0)
	l.Configure(0, []Limit{{ID: "x", PerSecond: 1e9, Fraction: 1}})
	l.SetHoldings(0, []Holding{{LeaseEnd: never}})
	bucket, _ := l.Bucket("x")
	now := snipetime.Instant(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		now += 1000
		_, _ = bucket.Spend(now, 1)
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{4, 12, 80} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			l := New(Config{Incarnation: "a1", Positions: 12}, 0)
			var limits []Limit
			for i := range 20 {
				limits = append(limits, Limit{ID: fmt.Sprint("limit", i), PerSecond: 1000, Fraction: 1})
			}
			l.Configure(0, limits)
			l.SetHoldings(0, []Holding{{LeaseEnd: never}})
			var peers []Peer
			for i := range n {
				peers = append(peers, Peer{Address: fmt.Sprint("peer", i), SameRegion: true, Positions: 1})
			}
			l.SetPeers(peers)
			bucket, _ := l.Bucket("limit0")
			now := snipetime.Instant(0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(200 * time.Millisecond)
				for range 50 {
					_, _ = bucket.Spend(now, 10)
				}
				l.Tick(now)
			}
		})
	}
}

// Guards against tokens spent twice by concurrent callers.
func TestConcurrentSpend(t *testing.T) {
	l := New(Config{Incarnation: "a1", Positions: 1}, 0)
	l.Configure(0, []Limit{{ID: "x", PerSecond: 1000, Fraction: 1, Burst: Burst{Duration: time.Second}}})
	l.SetHoldings(0, []Holding{{LeaseEnd: never}})
	b, _ := l.Bucket("x")
	var spent atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 500 {
				if _, err := b.Spend(snipetime.Instant(time.Second), 1); err == nil {
					spent.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if spent.Load() != 950 {
		t.Errorf("%d spent, want 950", spent.Load())
	}
}
