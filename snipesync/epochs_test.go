package snipesync

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

// contents are the contents of a modelStore.
type contents struct {
	revision snipefeed.Revision
	items    map[string]snipefeed.Item
	history  []snipefeed.Item
}

// modelStore is a store that can be restored from copies. It implements Store and
// Decoder, and answers at once. The item "c" is a configuration, whose value is its
// version. All others are targets, whose value is "born/sequence".
type modelStore struct {
	contents
	epoch snipefeed.Epoch
}

func (s *modelStore) position() snipefeed.Position {
	return snipefeed.Position{Epoch: s.epoch, Revision: s.revision}
}

func (s *modelStore) write(key, value string) {
	s.revision++
	it := snipefeed.Item{Key: key, Value: []byte(value), Revision: s.revision, Created: s.revision, Removed: value == ""}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	if it.Removed {
		delete(s.items, key)
	}
	s.history = append(s.history, it)
}

func (s *modelStore) backup() contents {
	return contents{s.revision, maps.Clone(s.items), slices.Clone(s.history)}
}

func (s *modelStore) restore(b contents) {
	s.epoch++
	s.contents = contents{b.revision, maps.Clone(b.items), slices.Clone(b.history)}
}

func (s *modelStore) List(context.Context) (snipefeed.Batch, error) {
	return snipefeed.Batch{Position: s.position(), Items: slices.Collect(maps.Values(s.items))}, nil
}

func (s *modelStore) ListStale(ctx context.Context) (snipefeed.Batch, error) { return s.List(ctx) }

// Watch answers with the changes after the revision, whatever the epoch of after is.
func (s *modelStore) Watch(_ context.Context, after snipefeed.Position, _ time.Duration) (snipefeed.Batch, error) {
	if after.Revision > s.revision {
		return snipefeed.Batch{}, snipefeed.ErrHistoryLost
	}
	b := snipefeed.Batch{Position: s.position()}
	for _, it := range s.history {
		if it.Revision > after.Revision {
			b.Items = append(b.Items, it)
		}
	}
	return b, nil
}

func (s *modelStore) Decode(it snipefeed.Item) (Change, bool) {
	c := Change{Key: it.Key, Revision: it.Revision, Created: it.Created, Removed: it.Removed, Kind: KindTarget, Name: it.Key}
	if it.Key == "c" {
		c.Kind = KindTable
		version, _ := strconv.ParseUint(string(it.Value), 10, 64)
		c.Digest = version
		c.Table = snipetable.New(snipetable.Content{Version: version})
		return c, true
	}
	if !it.Removed {
		c.Target = &snipefleet.TargetReport{ID: it.Key, Service: "s", Revision: uint64(it.Revision)}
		_, c.DecodeErr = fmt.Sscanf(string(it.Value), "%d/%d", &c.Target.Born, &c.Target.Sequence)
	}
	return c, true
}

// modelTarget is what a target knows of itself.
type modelTarget struct {
	born, sequence int
	alive          bool
}

// modelFront is a front and what was seen of it.
type modelFront struct {
	*harness
	version uint64
	// used holds the incarnations in use, current those of which the front had the last
	// report when they left, and ended those of them that are not in use since.
	used, current, ended map[string]bool
}

// Source implements Peers for the fronts of a model. A front is addressed by its index.
type modelPeers struct {
	fronts []*modelFront
	clock  Clock
}

func (p *modelPeers) Source(address string) snipefeed.Source {
	i, _ := strconv.Atoi(address)
	return &modelPeer{p.fronts[i].follower.Items, p.clock}
}

type modelPeer struct {
	log   *snipefeed.Log
	clock Clock
}

func (p *modelPeer) List(context.Context) (snipefeed.Batch, error) {
	return p.log.Snapshot(p.clock.Now())
}

func (p *modelPeer) Watch(ctx context.Context, after snipefeed.Position, _ time.Duration) (snipefeed.Batch, error) {
	return p.log.ChangesAfter(ctx, p.clock, after, 0)
}

// modelFronts is the number of fronts of a model.
const modelFronts = 2

// model is a store, what its writers know, and fronts that follow it, each by itself
// or through another one.
type model struct {
	store   *modelStore
	clock   *snipetime.Manual
	backups []contents
	version int
	targets [2]modelTarget
	// left holds where the store records that an incarnation has left.
	left   map[string]snipefeed.Position
	fronts []*modelFront
}

func newModel() *model {
	m := &model{left: map[string]snipefeed.Position{}, store: &modelStore{epoch: 1, contents: contents{items: map[string]snipefeed.Item{}}}, clock: snipetime.NewManual(snipetime.Instant(time.Hour))}
	peers := &modelPeers{clock: m.clock}
	for i := range modelFronts {
		h := &harness{fleet: snipefleet.New(), tables: &snipetable.Holder{}}
		self := snipefleet.Member{Name: fmt.Sprint(i), Peer: fmt.Sprint(i), Place: snipefleet.Place{Region: "r"}}
		h.follower = NewFollower(Dependencies{
			OwnName: self.Name, Timing: NewTiming(0), Store: m.store, Peers: peers, Selector: snipefeed.NewSourceSelector(self, nil),
			Items: snipefeed.NewLog(), Decoder: m.store, Registry: h.fleet, Tables: h.tables, Clock: m.clock, Log: zap.NewNop(),
		})
		m.fronts = append(m.fronts, &modelFront{harness: h, used: map[string]bool{}, current: map[string]bool{}, ended: map[string]bool{}})
	}
	peers.fronts = m.fronts
	m.configure()
	return m
}

func (m *model) configure() {
	m.version++
	m.store.write("c", fmt.Sprint(m.version))
}

func (m *model) start(i int) {
	m.targets[i].born++
	m.targets[i].sequence, m.targets[i].alive = 0, true
	m.report(i)
}

func (m *model) report(i int) {
	t := &m.targets[i]
	t.sequence++
	m.store.write(fmt.Sprint("t", i), fmt.Sprintf("%d/%d", t.born, t.sequence))
}

func (m *model) leave(i int) {
	m.targets[i].alive = false
	id := fmt.Sprint("t", i)
	incarnation := fmt.Sprintf("%s/%d", id, m.targets[i].born)
	for _, f := range m.fronts {
		f.current[incarnation] = f.current[incarnation] || f.used[incarnation] && f.sequence(id) == m.targets[i].sequence
	}
	m.store.write(id, "")
	m.left[incarnation] = m.store.position()
}

// sequence returns the sequence number of the last report of a target that the front
// has received, or 0.
func (f *modelFront) sequence(id string) int {
	all, _ := f.follower.Items.Snapshot(0)
	for _, it := range all.Items {
		if it.Key == id {
			var born, sequence int
			_, _ = fmt.Sscanf(string(it.Value), "%d/%d", &born, &sequence)
			return sequence
		}
	}
	return 0
}

// writeAgain lets the operator and the targets write what the store lacks.
func (m *model) writeAgain() {
	m.store.write("c", fmt.Sprint(m.version))
	for i := range m.targets {
		_, listed := m.store.items[fmt.Sprint("t", i)]
		switch {
		case m.targets[i].alive:
			m.report(i)
		case listed:
			m.leave(i)
		}
	}
}

// poll lets a front ask the store, or another front.
func (m *model) poll(front, source int) {
	choice := snipefeed.Selection{IsWatcher: true}
	if source != front {
		choice.Peer = fmt.Sprint(source)
	}
	m.fronts[front].follower.poll(context.Background(), choice)
}

// check returns an error if a front went back to an older configuration, or uses an
// incarnation again that has left and that it had stopped using.
func (m *model) check() error {
	for i, f := range m.fronts {
		if table := f.tables.Current(); table != nil {
			if table.Version() < f.version {
				return fmt.Errorf("front %d went back from version %d to %d", i, f.version, table.Version())
			}
			f.version = table.Version()
		}
		used := map[string]bool{}
		for _, t := range f.fleet.View().Targets("s") {
			incarnation := fmt.Sprintf("%s/%d", t.ID, t.Born)
			used[incarnation] = true
			if f.ended[incarnation] {
				return fmt.Errorf("front %d uses %s again, which has left", i, incarnation)
			}
		}
		known := f.follower.Items.Position()
		for incarnation, left := range m.left {
			if f.current[incarnation] && known.Epoch == left.Epoch && known.Revision >= left.Revision && !used[incarnation] {
				f.ended[incarnation] = true
			}
		}
		f.used = used
	}
	return nil
}

// living returns the incarnations that live.
func (m *model) living() map[string]bool {
	out := map[string]bool{}
	for i, t := range m.targets {
		if t.alive {
			out[fmt.Sprintf("t%d/%d", i, t.born)] = true
		}
	}
	return out
}

// checkSettled lets the fronts follow the store for some time and returns an error if
// one differs from what the operator and the targets say.
func (m *model) checkSettled() error {
	m.writeAgain()
	for range 6 {
		for i := range m.fronts {
			m.poll(i, i)
		}
		m.clock.Advance(time.Second)
		if err := m.check(); err != nil {
			return err
		}
	}
	for i, f := range m.fronts {
		if f.version != uint64(m.version) || !maps.Equal(f.used, m.living()) {
			return fmt.Errorf("front %d has version %d and uses %v, want %d and %v", i, f.version, f.used, m.version, m.living())
		}
	}
	return nil
}

// TestRestorations guards against fronts that go back to an older configuration, miss
// a change for good, or use a target again that has left, whatever a store loses, how
// often it is restored, and through whom the fronts hear of it.
func TestRestorations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"configure":  func(*rapid.T) { m.configure() },
			"backup":     func(*rapid.T) { m.backups = append(m.backups, m.store.backup()) },
			"writeAgain": func(*rapid.T) { m.writeAgain() },
			"restore": func(t *rapid.T) {
				if len(m.backups) == 0 {
					t.Skip("no backup")
				}
				i := rapid.IntRange(0, len(m.backups)-1).Draw(t, "backup")
				m.store.restore(m.backups[i])
				m.backups = m.backups[:i+1]
			},
			"target": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.targets)-1).Draw(t, "target")
				switch {
				case !m.targets[i].alive:
					m.start(i)
				case rapid.Bool().Draw(t, "leaves"):
					m.leave(i)
				default:
					m.report(i)
				}
			},
			"poll": func(t *rapid.T) {
				m.poll(rapid.IntRange(0, modelFronts-1).Draw(t, "front"), rapid.IntRange(0, modelFronts-1).Draw(t, "source"))
			},
			"pollStore": func(*rapid.T) {
				for i := range m.fronts {
					m.poll(i, i)
				}
			},
			"advance": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "milliseconds")) * time.Millisecond)
			},
			"lose": func(t *rapid.T) {
				m.fronts[rapid.IntRange(0, modelFronts-1).Draw(t, "front")].follower.storeLost(errors.New("lost"))
			},
			"": func(t *rapid.T) {
				if err := m.check(); err != nil {
					t.Fatal(err)
				}
			},
		})
		if err := m.checkSettled(); err != nil {
			t.Fatal(err)
		}
	})
}
