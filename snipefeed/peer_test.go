package snipefeed

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipetime"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newNode returns a node that is not started yet, with its peer address.
func newNode(t *testing.T, name string) (*snipepeer.Node, string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	settings := snipepeer.Settings{Address: l.Addr().String(), Incarnation: name, Place: "d"}
	n := snipepeer.New(settings, l, &net.Dialer{}, zap.NewNop())
	t.Cleanup(n.Close)
	return n, settings.Address
}

// fakeLoads returns all loads that were merged into it, whatever their age.
type fakeLoads struct {
	mu    sync.Mutex
	loads []Load
}

func (f *fakeLoads) RecentLoads(snipetime.Instant, time.Duration) []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.loads)
}

func (f *fakeLoads) MergeLoads(_ snipetime.Instant, loads []Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads = append(f.loads, loads...)
}

// fakeLimits answers with the reports in answer and records those that it receives.
type fakeLimits struct {
	mu                     sync.Mutex
	sent, answer, received []LimitReport
	receivedFrom           string
	arrived                chan struct{}
}

func (f *fakeLimits) LimitReports(snipetime.Instant, time.Duration) []LimitReport { return f.sent }

func (f *fakeLimits) MergeLimitReports(_ snipetime.Instant, peer string, reports []LimitReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received, f.receivedFrom = reports, peer
	if f.arrived != nil {
		close(f.arrived)
	}
}

func (f *fakeLimits) AnswerLimitReports(snipetime.Instant, string, time.Duration) []LimitReport {
	return f.answer
}

func (f *fakeLimits) ApplyLimitReports(_, now snipetime.Instant, peer string, reports []LimitReport) {
	f.MergeLimitReports(now, peer, reports)
}

// TestExchangeOfLimits guards against limits and shares that do not reach the other
// front as they were, in either direction, or as a notice.
func TestExchangeOfLimits(t *testing.T) {
	server, address := newNode(t, "server")
	items := NewLog()
	items.Replace(0, Batch{Position: Position{Revision: 1}})
	asked := LimitReport{
		Target: "a", Service: "s", Born: 7, Limited: true, PerSecond: 9.2, Age: 20 * time.Millisecond,
		Divided: true, Demand: 3.5, Share: 0.25, Leased: true,
	}
	answered := LimitReport{Target: "b", Service: "s", Born: 8, Age: time.Second}
	serverLimits := &fakeLimits{answer: []LimitReport{answered}}
	clock := snipetime.NewManual(0)
	Serve(server, items, &fakeLoads{}, serverLimits, &fakeTenants{}, clock)
	server.Start()
	client, clientAddress := newNode(t, "client")
	clientLimits := &fakeLimits{sent: []LimitReport{asked}}
	noticed := &fakeLimits{arrived: make(chan struct{})}
	ServeLimitNotices(client, noticed, &fakeTenants{}, clock)
	client.Start()
	if _, err := NewPeerSources(client, &fakeLoads{}, clientLimits, &fakeTenants{}, clock).Source(address).Watch(context.Background(), Position{Revision: 1}, 0); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(serverLimits.received, []LimitReport{asked}) || serverLimits.receivedFrom != clientAddress {
		t.Errorf("the serving front has %+v from %s", serverLimits.received, serverLimits.receivedFrom)
	}
	if !slices.Equal(clientLimits.received, []LimitReport{answered}) || clientLimits.receivedFrom != address {
		t.Errorf("the calling front has %+v from %s", clientLimits.received, clientLimits.receivedFrom)
	}
	SendLimitNotice(server, []string{clientAddress}, []LimitReport{asked})
	<-noticed.arrived
	if !slices.Equal(noticed.received, []LimitReport{asked}) || noticed.receivedFrom != address {
		t.Errorf("noticed %+v from %s", noticed.received, noticed.receivedFrom)
	}
}

// TestPeerSource guards against items that are altered on the way between fronts,
// and against a lost history that is read as the absence of changes.
func TestPeerSource(t *testing.T) {
	clock := snipetime.New()
	t.Cleanup(clock.Close)
	server, address := newNode(t, "server")
	items := NewLog()
	Serve(server, items, &fakeLoads{}, &fakeLimits{}, &fakeTenants{}, clock)
	server.Start()
	client, _ := newNode(t, "client")
	client.Start()
	source := NewPeerSources(client, &fakeLoads{}, &fakeLimits{}, &fakeTenants{}, snipetime.NewManual(0)).Source(address)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	if _, err := source.List(ctx); err == nil {
		t.Error("a front without a listing answers")
	}
	items.Replace(clock.Now(), Batch{Position: Position{Revision: 7}, Items: []Item{{Key: "k", Value: []byte{0, 255}, Revision: 6, Created: 5}}})
	b, err := source.List(ctx)
	if err != nil || b.Position.Revision != 7 || len(b.Items) != 1 || b.Items[0].Key != "k" || string(b.Items[0].Value) != "\x00\xff" ||
		b.Items[0].Revision != 6 || b.Items[0].Created != 5 {
		t.Errorf("listed %+v, error %v", b, err)
	}
	if _, err := source.Watch(ctx, Position{Revision: 3}, 0); !errors.Is(err, ErrHistoryLost) {
		t.Errorf("error %v for changes before a listing, want ErrHistoryLost", err)
	}
	got := make(chan Batch, 1)
	go func() {
		b, err := source.Watch(ctx, Position{Revision: 7}, 5*time.Second)
		if err != nil {
			t.Error(err)
		}
		got <- b
	}()
	items.RecordLoss()
	items.Append(clock.Now(), Batch{Position: Position{Revision: 9}, Items: []Item{{Key: "k", Revision: 9, Removed: true}}})
	if b := <-got; b.Position.Revision != 9 || len(b.Items) != 1 || !b.Items[0].Removed || b.StoreLosses != 1 {
		t.Errorf("watched %+v", b)
	}
}

// TestPeerInAnotherEpoch guards against fronts in different epochs of the store that
// take the revisions of one another for their own.
func TestPeerInAnotherEpoch(t *testing.T) {
	clock := snipetime.New()
	t.Cleanup(clock.Close)
	server, address := newNode(t, "server")
	items := NewLog()
	Serve(server, items, &fakeLoads{}, &fakeLimits{}, &fakeTenants{}, clock)
	server.Start()
	client, _ := newNode(t, "client")
	client.Start()
	source := NewPeerSources(client, &fakeLoads{}, &fakeLimits{}, &fakeTenants{}, snipetime.NewManual(0)).Source(address)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	items.Replace(clock.Now(), Batch{Position: Position{Epoch: 2, Revision: 90}, Items: []Item{{Key: "k", Revision: 8}}})
	if b, err := source.Watch(ctx, Position{Epoch: 3, Revision: 50}, time.Minute); err != nil || b.Position.Epoch != 2 || len(b.Items) != 0 {
		t.Errorf("watched %+v, error %v in an earlier epoch, want nothing but that epoch", b, err)
	}
	waiting := make(chan error, 1)
	go func() {
		_, err := source.Watch(ctx, Position{Epoch: 2, Revision: 90}, time.Minute)
		waiting <- err
	}()
	items.Replace(clock.Now(), Batch{Position: Position{Epoch: 3, Revision: 40}, Items: []Item{{Key: "k", Revision: 8}}})
	if err := <-waiting; !errors.Is(err, ErrEpochEnded) {
		t.Errorf("error %v of a watch while the store is restored, want ErrEpochEnded", err)
	}
	if _, err := source.Watch(ctx, Position{Epoch: 2, Revision: 40}, 0); !errors.Is(err, ErrEpochEnded) {
		t.Errorf("error %v in a later epoch, want ErrEpochEnded", err)
	}
	if b, err := source.List(ctx); err != nil || b.Position != (Position{Epoch: 3, Revision: 40}) {
		t.Errorf("listed %+v, error %v, want epoch 3, revision 40", b, err)
	}
}

// TestDeadSession guards against reuse of a session after a call on it timed out.
// Its connection may be dead without an error.
func TestDeadSession(t *testing.T) {
	server, address := newNode(t, "server")
	items := NewLog()
	items.Replace(0, Batch{Position: Position{Revision: 1}})
	Serve(server, items, &fakeLoads{}, &fakeLimits{}, &fakeTenants{}, snipetime.NewManual(0))
	server.Start()
	client, _ := newNode(t, "client")
	client.Start()
	source := NewPeerSources(client, &fakeLoads{}, &fakeLimits{}, &fakeTenants{}, snipetime.NewManual(0)).Source(address)
	if _, err := source.List(context.Background()); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	// The wait exceeds the deadline of the call, as with a dead connection.
	if _, err := source.Watch(ctx, Position{Revision: 1}, 5*time.Second); err == nil {
		t.Fatal("the call did not time out")
	}
	if _, open := client.Session(address); open {
		t.Error("the session is kept after the timeout")
	}
	if _, err := source.List(context.Background()); err != nil {
		t.Errorf("list after the timeout: %v", err)
	}
}

// TestExchangeOfLoads guards against loads that do not reach the other front, in
// either direction.
func TestExchangeOfLoads(t *testing.T) {
	server, address := newNode(t, "server")
	items := NewLog()
	items.Replace(0, Batch{Position: Position{Revision: 1}})
	serverLoads := &fakeLoads{loads: []Load{{Target: "a", Requests: 3, Slowness: 2.5, Age: 20 * time.Millisecond}}}
	Serve(server, items, serverLoads, &fakeLimits{}, &fakeTenants{}, snipetime.NewManual(0))
	server.Start()
	client, _ := newNode(t, "client")
	client.Start()
	clientLoads := &fakeLoads{loads: []Load{{Target: "b", Requests: 5}}}
	source := NewPeerSources(client, clientLoads, &fakeLimits{}, &fakeTenants{}, snipetime.NewManual(0)).Source(address)
	if _, err := source.Watch(context.Background(), Position{Revision: 1}, 0); err != nil {
		t.Fatal(err)
	}
	if !slices.Contains(serverLoads.loads, Load{Target: "b", Requests: 5}) {
		t.Errorf("the serving front has loads %v", serverLoads.loads)
	}
	if !slices.Contains(clientLoads.loads, Load{Target: "a", Requests: 3, Slowness: 2.5, Age: 20 * time.Millisecond}) {
		t.Errorf("the calling front has loads %v", clientLoads.loads)
	}
}
