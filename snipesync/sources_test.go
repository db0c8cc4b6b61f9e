package snipesync

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

// steppedLogs are the logs of other fronts on stepped time, by address. A watch without
// changes lasts for the whole wait.
type steppedLogs struct {
	clock *snipetime.Manual
	logs  map[string]*snipefeed.Log
	asked []string
}

func (s *steppedLogs) Source(address string) snipefeed.Source {
	return steppedSource{logs: s, address: address}
}

type steppedSource struct {
	logs    *steppedLogs
	address string
}

const steppedRoundTrip = 10 * time.Millisecond

func (s steppedSource) List(context.Context) (snipefeed.Batch, error) {
	s.logs.asked = append(s.logs.asked, s.address)
	s.logs.clock.Advance(steppedRoundTrip)
	return s.logs.logs[s.address].Snapshot(s.logs.clock.Now())
}

func (s steppedSource) Watch(ctx context.Context, after snipefeed.Position, wait time.Duration) (snipefeed.Batch, error) {
	s.logs.asked = append(s.logs.asked, s.address)
	log := s.logs.logs[s.address]
	s.logs.clock.Advance(steppedRoundTrip)
	if log.Position().Compare(after) <= 0 {
		s.logs.clock.Advance(wait)
	}
	return log.ChangesAfter(ctx, s.logs.clock, after, 0)
}

// sixRegions returns the watchers of six regions, each with one front.
func sixRegions() []snipefleet.Member {
	var out []snipefleet.Member
	for i := range 6 {
		name := fmt.Sprintf("w%d", i)
		out = append(out, snipefleet.Member{Name: name, Peer: name, Place: snipefleet.Place{Domain: "d" + name, Region: "r" + name}})
	}
	return out
}

// TestSourceBesideLostOnes guards against a configuration that reaches a front late
// because the store rejects it and other watchers, which it asks in turn although their
// data does not get newer, while one watcher has the change.
func TestSourceBesideLostOnes(t *testing.T) {
	members := sixRegions()
	for _, self := range members {
		for _, served := range members {
			if served.Name == self.Name {
				continue
			}
			t.Run(self.Name+" beside "+served.Name, func(t *testing.T) {
				h := newHarness(t)
				clock := snipetime.NewManual(snipetime.Instant(time.Minute))
				peers := &steppedLogs{clock: clock, logs: map[string]*snipefeed.Log{}}
				h.store.changes = []Change{tableChange(t, 1)}
				for i := range members {
					h.store.changes = append(h.store.changes, Change{Kind: KindMember, Name: members[i].Name, Member: &members[i]})
				}
				listing := h.store.listing()
				h.follower = NewFollower(Dependencies{
					OwnName: self.Name, Timing: NewTiming(4*time.Second, 3*time.Second), Store: h.store, Peers: peers,
					Selector: snipefeed.NewSourceSelector(self, nil), Items: snipefeed.NewLog(), Decoder: h.store,
					Registry: h.fleet, Tables: h.tables, Clock: clock, Log: zap.NewNop(),
				})
				for _, m := range members {
					peers.logs[m.Peer] = snipefeed.NewLog()
					peers.logs[m.Peer].Replace(clock.Now(), listing)
				}
				h.follower.step(t.Context())

				// The store rejects all but one watcher. That one learns of a change.
				h.store.update(func() { h.store.watchErr, h.store.listErr = errDisconnected, errDisconnected })
				began := clock.Now()
				const reported = 600 * time.Millisecond
				for h.tables.Current().Version() != 2 && clock.Now().Sub(began) < 10*time.Second {
					if clock.Now().Sub(began) >= reported {
						h.store.update(func() { h.store.changes[0] = tableChange(t, 2) })
						peers.logs[served.Peer].Append(clock.Now(), snipefeed.Batch{
							Position: snipefeed.Position{Revision: 2}, Items: []snipefeed.Item{{Key: "0", Revision: 2}},
						})
					}
					clock.Advance(h.follower.step(t.Context()))
				}
				// What the other fronts know is older than that of a front with the store
				// after a pause and a wait of watchers.
				limit := h.follower.Timing.servingPause + h.follower.Timing.servingWait + h.follower.Timing.peerWait + 100*time.Millisecond
				if took := clock.Now().Sub(began); took > limit {
					t.Errorf("change in force %v after the loss, want at most %v; asked %v", took, limit, slices.Compact(peers.asked))
				}
			})
		}
	}
}
