package snipelimit

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// Guards against a small cap that refuses callers with random arrival times
// although its mean rate is not used up, and against waiting callers that exceed
// the rate. At 85 % of the rate of one instance under a cap of 20 requests/s less
// than 10 % may be refused.
func TestReserve(t *testing.T) {
	const (
		maxWait = 2 * time.Second
		rate    = 20 * 0.95 / 4
		calls   = 2000
	)
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 0))
		l := New(Config{Incarnation: "a", Positions: 4}, 0)
		l.Configure(0, []Limit{{ID: "x", PerSecond: 20, Fraction: 1, Burst: Burst{Minimum: 1}}})
		l.SetHoldings(0, []Holding{{LeaseEnd: never - 1}})
		b, _ := l.Bucket("x")
		var waiting []*Reservation
		var spent []snipetime.Instant
		refused := 0
		arrival := 0.0
		for ms, n := 0, 0; n < calls || len(waiting) > 0; ms++ {
			now := snipetime.Instant(ms) * snipetime.Instant(time.Millisecond)
			// The calls are made in reverse order, so that only the bucket can
			// keep the order of arrival.
			for i, r := range slices.Backward(waiting) {
				wait, err := r.Spend(now)
				if err == nil && wait > 0 {
					continue
				}
				waiting = slices.Delete(waiting, i, i+1)
				if err != nil {
					refused++
					continue
				}
				if i > 0 {
					t.Fatalf("seed %d: caller %d of the queue was served first", seed, i)
				}
				spent = append(spent, now)
			}
			for ; n < calls && arrival <= float64(ms); n++ {
				arrival += random.ExpFloat64() * 1000 / (0.85 * rate)
				switch r, _, err := b.Reserve(now, 1, maxWait); {
				case err != nil:
					refused++
				case r != nil:
					waiting = append(waiting, r)
				default:
					spent = append(spent, now)
				}
			}
		}
		for i := range spent {
			for j := i + 1; j < min(i+20, len(spent)); j++ {
				if allowed := rate*spent[j].Sub(spent[i]).Seconds() + 1; float64(j-i) > allowed+roundingTolerance {
					t.Fatalf("seed %d: %d requests in %v", seed, j-i+1, spent[j].Sub(spent[i]))
				}
			}
		}
		t.Logf("seed %d: %d of %d refused", seed, refused, calls)
		if refused > calls/10 {
			t.Errorf("seed %d: %d of %d refused", seed, refused, calls)
		}
	}
}

// Guards against a reservation that can be spent after the lease has ended, and
// against one that blocks others after it has expired or was cancelled.
func TestReservationEnds(t *testing.T) {
	at := func(d time.Duration) snipetime.Instant { return snipetime.Instant(d) }
	l := New(Config{Incarnation: "a", Positions: 1}, 0)
	l.Configure(0, []Limit{{ID: "x", PerSecond: 10, ReservePercent: 50, Fraction: 1, Burst: Burst{Minimum: 1}}})
	l.SetHoldings(0, []Holding{{LeaseEnd: at(10 * time.Second)}})
	b, _ := l.Bucket("x")
	reserve := func(now, maxWait time.Duration) *Reservation {
		r, _, err := b.Reserve(at(now), 1, maxWait)
		if r == nil || err != nil {
			t.Fatalf("at %v: reservation %v, error %v", now, r, err)
		}
		return r
	}
	reserve(0, 250*time.Millisecond) // not used
	cancelled := reserve(0, time.Second)
	cancelled.Cancel()
	next := reserve(0, time.Second)
	if wait, err := next.Spend(at(200 * time.Millisecond)); wait != 200*time.Millisecond || err != nil {
		t.Errorf("behind another reservation: wait %v, error %v", wait, err)
	}
	if wait, err := next.Spend(at(251 * time.Millisecond)); wait != 0 || err != nil {
		t.Errorf("first in the queue: wait %v, error %v", wait, err)
	}
	if _, err := b.Spend(at(9900*time.Millisecond), 1); err != nil {
		t.Fatal(err)
	}
	afterLease := reserve(9900*time.Millisecond, time.Second)
	if _, err := afterLease.Spend(at(10 * time.Second)); !errors.Is(err, ErrLeaseLapsed) {
		t.Errorf("after the lease: error %v", err)
	}
}
