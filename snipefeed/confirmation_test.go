package snipefeed

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipetime"
)

// TestConfirmationInTransit guards against a confirmation that becomes younger on its
// way between two fronts, whatever the delays of request, handler and reply, the rounding
// and the origins of the two clocks.
func TestConfirmationInTransit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delay := rapid.Int64Range(0, int64(5*time.Second))
		origin := snipetime.Instant(rapid.Int64Range(-1e15, 1e15).Draw(t, "origin of the answering clock"))
		sent := snipetime.Instant(delay.Draw(t, "sent"))
		received := sent + snipetime.Instant(delay.Draw(t, "request in transit"))
		now := received + snipetime.Instant(delay.Draw(t, "handler and reply"))
		began := received + snipetime.Instant(rapid.Int64Range(-int64(10*time.Second), int64(now-received)).Draw(t, "begin of the store call"))

		millis, known := ConfirmedAt(began + origin).SinceReceipt(received + origin)
		got, _ := ConfirmedByPeer(sent, now, millis).At()
		if !known || got > began || got > now {
			t.Fatalf("confirmed at %d, known %v, want at most %d", got, known, began)
		}
		if received-sent == 0 && began-got >= snipetime.Instant(time.Millisecond) {
			t.Fatalf("confirmed at %d, a millisecond or more before %d", got, began)
		}
	})
	if _, known := (Confirmation{}).SinceReceipt(0); known {
		t.Error("the zero confirmation states an instant")
	}
}

// TestLogConfirmation guards against items that count as confirmed because a source that
// is behind them, or a stale listing, was read.
func TestLogConfirmation(t *testing.T) {
	at := func(r Revision, began snipetime.Instant) Batch {
		return Batch{Position: Position{Revision: r}, Confirmed: ConfirmedAt(began)}
	}
	l := NewLog()
	steps := []struct {
		name  string
		apply func()
		want  Confirmation
	}{
		{"stale listing", func() { l.Replace(100, Batch{Position: Position{Revision: 5}}) }, Confirmation{}},
		{"watch of the store", func() { l.Append(100, at(6, 50)) }, ConfirmedAt(50)},
		{"answer that was under way for longer", func() { l.Append(110, at(6, 40)) }, ConfirmedAt(50)},
		{"front that is behind", func() { l.Append(120, at(5, 90)) }, ConfirmedAt(50)},
		{"front without a confirmation", func() { l.Append(130, Batch{Position: Position{Revision: 7}}) }, ConfirmedAt(50)},
		{"nothing newer", func() { l.Append(140, at(7, 95)) }, ConfirmedAt(95)},
		{"listing of a front that has lost the store", func() { l.Replace(150, at(9, 60)) }, ConfirmedAt(60)},
	}
	for _, s := range steps {
		s.apply()
		if got := l.Confirmation(); got != s.want {
			t.Errorf("%s: %+v, want %+v", s.name, got, s.want)
		}
	}
}

// delayedClock advances a manual clock whenever it is read, as if the process were
// suspended between each reading and what follows it.
type delayedClock struct {
	*snipetime.Manual
	delay time.Duration
}

func (c delayedClock) Now() snipetime.Instant {
	now := c.Manual.Now()
	c.Advance(c.delay)
	return now
}

// TestConfirmationBetweenFronts guards against a front that passes its confirmation on
// as younger than it is while both fronts are suspended at each reading of the clock, and
// against one that passes on a confirmation that it does not have.
func TestConfirmationBetweenFronts(t *testing.T) {
	clock := snipetime.NewManual(0)
	slow := delayedClock{clock, 200 * time.Millisecond}
	server, address := newNode(t, "server")
	items := NewLog()
	Serve(server, items, &fakeLoads{}, &fakeLimits{}, &fakeTenants{}, slow)
	server.Start()
	client, _ := newNode(t, "client")
	client.Start()
	source := NewPeerSources(client, &fakeLoads{}, &fakeLimits{}, &fakeTenants{}, slow).Source(address)
	began := clock.Now()
	items.Replace(clock.Now(), Batch{Position: Position{Revision: 4}})
	b, err := source.List(context.Background())
	if err != nil || b.Confirmed != (Confirmation{}) {
		t.Errorf("listed with %+v, error %v, want no confirmation", b.Confirmed, err)
	}
	items.Append(clock.Now(), Batch{Position: Position{Revision: 4}, Confirmed: ConfirmedAt(began)})
	b, err = source.Watch(context.Background(), Position{Revision: 4}, 0)
	if got, known := b.Confirmed.At(); err != nil || !known || got > began || began.Sub(got) > time.Second {
		t.Errorf("confirmed at %v, known %v, error %v, want at most %v and at most 1 s earlier", got, known, err, began)
	}
}

// TestWakeOnConfirmation guards against a front that learns of a confirmation only when
// its call ends, and against more calls between fronts where nothing asks for that.
func TestWakeOnConfirmation(t *testing.T) {
	clock := snipetime.NewManual(0)
	at := Position{Revision: 3}
	for name, wake := range map[string]bool{"strict": true, "not strict": false} {
		l := NewLog()
		l.SetWakeOnConfirmation(wake)
		l.Replace(0, Batch{Position: at, Confirmed: ConfirmedAt(1)})
		ctx, cancel := context.WithCancel(context.Background())
		got := make(chan Confirmation)
		go func() {
			b, _ := l.ChangesAfter(ctx, clock, at, time.Minute)
			got <- b.Confirmed
		}()
		// The confirmations come while the other goroutine waits, or before.
		for n := snipetime.Instant(2); ; n++ {
			l.Append(0, Batch{Position: at, Confirmed: ConfirmedAt(n)})
			if !wake {
				cancel()
			}
			select {
			case c := <-got:
				if _, known := c.At(); known != wake {
					t.Errorf("%s: confirmation %+v", name, c)
				}
			case <-time.After(time.Millisecond):
				continue
			}
			break
		}
		cancel()
	}
}

// TestCycleOfFronts guards against fronts that lost the store and follow each other in a
// cycle, so that the age of what they know stops growing.
func TestCycleOfFronts(t *testing.T) {
	const fronts, rounds = 3, 200
	clock := snipetime.NewManual(0)
	logs := make([]*Log, fronts)
	for i := range logs {
		logs[i] = NewLog()
		logs[i].Replace(0, Batch{Position: Position{Revision: 1}, Confirmed: ConfirmedAt(snipetime.Instant(i))})
	}
	const latest = fronts - 1
	for n := range rounds {
		asking, asked := logs[n%fronts], logs[(n+1)%fronts]
		sent := clock.Now()
		clock.Advance(time.Millisecond)
		received := clock.Now()
		clock.Advance(7 * time.Millisecond)
		b, _, err := asked.changesAfter(clock.Now(), Position{Revision: 1})
		if err != nil {
			t.Fatal(err)
		}
		millis, _ := b.Confirmed.SinceReceipt(received)
		clock.Advance(time.Millisecond)
		asking.Append(clock.Now(), Batch{Position: b.Position, Confirmed: ConfirmedByPeer(sent, clock.Now(), millis)})
		if at, known := asking.Confirmation().At(); !known || at > latest {
			t.Fatalf("after %d calls confirmed at %v, want at most %v, when the store was last read", n+1, at, latest)
		}
	}
}
