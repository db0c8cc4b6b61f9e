package snipesync

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipefeed"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipetime"
)

const testRevoke = 5 * time.Second

// newStrictHarness returns a follower on stepped time, with strict revocation, whose
// first listing is a stale one with version 3 in force at revision 5.
func newStrictHarness(t *testing.T) (*harness, *snipetime.Manual) {
	t.Helper()
	h := newHarness(t)
	clock := snipetime.NewManual(0)
	h.follower.Clock = clock
	h.follower.Revocation.SetBound(testRevoke)
	h.store.revision, h.store.changes = 5, []Change{digested(tableChange(t, 3), 3)}
	h.store.changes[0].Revision = 5
	h.pollOnce(t)
	return h, clock
}

// digested returns c with a hash of its content.
func digested(c Change, digest uint64) Change {
	c.Digest = digest
	return c
}

// poll asks the store once, without waiting there.
func (h *harness) pollOnce(t *testing.T) bool {
	t.Helper()
	h.follower.Timing.watchWait, h.follower.Timing.servingWait = 0, 0
	return h.follower.poll(context.Background(), snipefeed.Selection{IsWatcher: true})
}

// put makes c the only item of the store, at the next revision.
func (h *harness) put(c Change) {
	h.store.update(func() {
		h.store.revision++
		c.Revision = h.store.revision
		h.store.changes = []Change{c}
	})
}

// TestRecent guards against keys that are accepted for longer than the store was last
// heard of, and against a front that refuses them without having been asked to.
func TestRecent(t *testing.T) {
	r := NewRevocation(testRevoke)
	const began = snipetime.Instant(time.Second)
	if r.Recent(began) {
		t.Error("recent before the first confirmation")
	}
	r.confirm(snipefeed.Confirmation{}, "")
	if r.Recent(began) {
		t.Error("recent after a source that confirmed nothing")
	}
	r.confirm(snipefeed.ConfirmedAt(began), "a")
	r.confirm(snipefeed.ConfirmedAt(began-1), "b")
	limit := began.Add(testRevoke * 4 / 5)
	if !r.Recent(limit) || r.Recent(limit+1) {
		t.Errorf("recent at the limit %v, after it %v, want only at the limit", r.Recent(limit), r.Recent(limit+1))
	}
	if age, source, known := r.Age(limit); age != 4*time.Second || source != "a" || !known {
		t.Errorf("age %v from %q, known %v", age, source, known)
	}
	if n := testing.AllocsPerRun(100, func() { r.Recent(limit) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
	r.SetBound(1)
	if !r.Strict() || r.Recent(limit) {
		t.Error("the shortest bound counts as none")
	}
	r.SetBound(0)
	if !r.Recent(limit.Add(time.Hour)) {
		t.Error("refuses although revocation is not strict")
	}
}

// TestConfirmedItem guards against a configuration in force that counts as the newest
// although the store holds a newer item, which may remove keys and could not be put in
// force.
func TestConfirmedItem(t *testing.T) {
	cases := map[string]struct {
		item Change
		want bool
	}{
		"newer version":             {digested(tableChange(t, 4), 4), true},
		"same item written again":   {digested(tableChange(t, 3), 3), true},
		"same version, new content": {digested(tableChange(t, 3), 33), true},
		"undecodable":               {Change{Kind: KindTable, DecodeErr: errors.New("bad")}, false},
		"lower version":             {digested(tableChange(t, 2), 2), false},
		"removed":                   {Change{Kind: KindTable, Removed: true}, false},
		"another item":              {targetChange("x", 1, 6), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h, clock := newStrictHarness(t)
			r := h.follower.Revocation
			if r.Recent(clock.Now()) {
				t.Error("a stale listing confirms the configuration")
			}
			h.pollOnce(t)
			if !r.Recent(clock.Now()) {
				t.Error("a watch does not confirm the configuration")
			}
			h.put(tc.item)
			clock.Advance(testRevoke)
			if r.Recent(clock.Now()) {
				t.Error("recent without a call to the store")
			}
			h.pollOnce(t)
			h.pollOnce(t)
			if got := r.Recent(clock.Now()); got != tc.want {
				t.Errorf("recent: %v, want %v", got, tc.want)
			}
			h.put(digested(tableChange(t, 9), 9))
			h.pollOnce(t)
			if !r.Recent(clock.Now()) || h.tables.Current().Version() != 9 {
				t.Error("a newer version does not end the refusals")
			}
		})
	}
}

// TestConfirmationAfterRestoration guards against a configuration that counts as
// confirmed because a restored store, which holds an older one, answers.
func TestConfirmationAfterRestoration(t *testing.T) {
	for name, tc := range map[string]struct {
		version uint64
		want    bool
	}{"lower version": {2, false}, "same item": {3, true}, "higher version": {4, true}} {
		t.Run(name, func(t *testing.T) {
			h, clock := newStrictHarness(t)
			h.pollOnce(t)
			clock.Advance(testRevoke)
			h.store.update(func() {
				h.store.epoch++
				h.store.revision = 4
				h.store.changes = []Change{digested(tableChange(t, tc.version), tc.version)}
				h.store.changes[0].Revision = 4
			})
			if h.pollOnce(t) || h.follower.Revocation.Recent(clock.Now()) {
				t.Error("a watch that crosses an epoch confirms the configuration")
			}
			h.pollOnce(t)
			h.pollOnce(t)
			if h.follower.Revocation.Recent(clock.Now()) {
				t.Error("confirmed before operators had time to write again what the store lost")
			}
			clock.Advance(snipefleet.LapseGrace)
			h.pollOnce(t)
			if got := h.follower.Revocation.Recent(clock.Now()); got != tc.want {
				t.Errorf("recent: %v, want %v", got, tc.want)
			}
		})
	}
}

// slowStore answers after the clock has advanced, as a slow store does, or a front that
// is suspended between reading its clock and the response.
type slowStore struct {
	*fakeStore
	clock *snipetime.Manual
	delay time.Duration
	err   error
	// behind makes watches answer as of an earlier revision.
	behind bool
}

func (s *slowStore) Watch(ctx context.Context, after snipefeed.Position, wait time.Duration) (snipefeed.Batch, error) {
	b, err := s.fakeStore.Watch(ctx, after, wait)
	s.clock.Advance(s.delay)
	b.Behind = s.behind
	return b, errors.Join(err, s.err)
}

// TestConfirmationByStore guards against an age that counts from a response instead of
// from the begin of the call, and against calls without a usable answer that confirm the
// configuration.
func TestConfirmationByStore(t *testing.T) {
	cases := map[string]struct {
		store slowStore
		want  time.Duration // age after the call; 10 s is that of the call before
	}{
		"at once":                     {slowStore{}, 0},
		"slow, or front suspended":    {slowStore{delay: 3 * time.Second}, 3 * time.Second},
		"suspended beyond the limit":  {slowStore{delay: 30 * time.Second}, 30 * time.Second},
		"rejects":                     {slowStore{err: errDisconnected}, 10 * time.Second},
		"silent until the time-out":   {slowStore{delay: time.Second, err: context.DeadlineExceeded}, 11 * time.Second},
		"history lost":                {slowStore{err: snipefeed.ErrHistoryLost}, 10 * time.Second},
		"answer of an older revision": {slowStore{behind: true}, 10 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h, clock := newStrictHarness(t)
			h.pollOnce(t)
			clock.Advance(10 * time.Second)
			tc.store.fakeStore, tc.store.clock = h.store, clock
			h.follower.Store = &tc.store
			h.pollOnce(t)
			age, _, known := h.follower.Revocation.Age(clock.Now())
			if age != tc.want || !known {
				t.Errorf("age %v, known %v, want %v", age, known, tc.want)
			}
			if got, want := h.follower.Revocation.Recent(clock.Now()), tc.want <= 4*time.Second; got != want {
				t.Errorf("recent: %v, want %v", got, want)
			}
		})
	}
}

// TestStrictStart guards against a front that pauses after a stale listing, although
// it refuses requests with keys until the store has confirmed that listing.
func TestStrictStart(t *testing.T) {
	h, _ := newStrictHarness(t)
	choice := snipefeed.Selection{IsWatcher: true}
	if d := h.follower.pollDelay(choice); d != 0 || h.follower.peerWait(choice) != 0 {
		t.Errorf("pause of %v, wait of another front of %v, want none", d, h.follower.peerWait(choice))
	}
	h.pollOnce(t)
	if d := h.follower.pollDelay(choice); d == 0 || h.follower.peerWait(choice) == 0 {
		t.Errorf("pause of %v, wait of another front of %v after a confirmation", d, h.follower.peerWait(choice))
	}
	h.follower.Revocation.SetBound(0)
	h.follower.stale = true
	if h.follower.pollDelay(choice) == 0 || h.follower.peerWait(choice) == 0 {
		t.Error("strict times apply although revocation is not strict")
	}
}
