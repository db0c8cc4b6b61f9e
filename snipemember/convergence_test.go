package snipemember_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipemember"
	"github.com/snipemoor/snipemoor/snipetime"
)

// process is one instance of the model.
type process struct {
	view        *snipemember.View
	incarnation string
	sequence    uint64
	up          bool
}

type packet struct {
	to   int
	news snipemember.News
	sums []snipemember.News
	due  snipetime.Instant
}

type fleetModel struct {
	now      snipetime.Instant
	wall     int64
	random   *rand.Rand
	settings snipemember.Settings
	places   map[string]snipemember.Location
	ps       []*process
	packets  []packet
	died     map[string]snipetime.Instant
	// started orders the incarnations by their start.
	started map[string]int
	// seen[i][address] lists the incarnations that view i has shown.
	seen []map[string][]string
}

func (m *fleetModel) address(i int) string { return newsOf(i, len(m.places), "", 0).Address }

func (m *fleetModel) start(i int) {
	p := m.ps[i]
	p.incarnation = snipemember.NewIncarnation(m.wall, m.random)
	p.sequence, p.up = 1, true
	m.started[p.incarnation] = len(m.started)
	p.view = snipemember.New(newsOf(i, len(m.places), p.incarnation, 1), m.places, m.settings, m.now)
	m.seen[i] = make(map[string][]string)
	var list []snipemember.ListEntry
	for j := range m.ps {
		n := newsOf(j, len(m.places), "", 0)
		list = append(list, snipemember.ListEntry{Address: n.Address, PeerAddress: n.PeerAddress, Place: n.Place})
		if m.ps[j].up && j != i {
			m.ps[j].view.ResetPeer(m.address(i))
		}
	}
	p.view.List(list, m.now)
}

func (m *fleetModel) crash(i int) {
	m.ps[i].up = false
	m.died[m.ps[i].incarnation] = m.now
}

// step advances by a heartbeat period. delay returns the delay of a packet, or
// false for a lost one, after which the session is replaced.
func (m *fleetModel) step(delay func() (time.Duration, bool)) {
	m.now = m.now.Add(snipemember.Period)
	for i, p := range m.ps {
		if p.up {
			m.beat(i, p, delay)
		}
	}
	var later []packet
	for _, k := range m.packets {
		switch {
		case k.due.After(m.now):
			later = append(later, k)
		case m.ps[k.to].up:
			m.ps[k.to].view.Heartbeat(k.news, k.sums, m.now)
		}
	}
	m.packets = later
	for _, p := range m.ps {
		if p.up {
			p.view.Tick(m.now)
		}
	}
}

func (m *fleetModel) beat(i int, p *process, delay func() (time.Duration, bool)) {
	p.sequence++
	n := newsOf(i, len(m.places), p.incarnation, p.sequence)
	p.view.Self(n, m.now)
	for to := range m.ps {
		period := min(m.period(i, to), m.period(to, i))
		if to == i || m.now.Sub(0)%period != 0 {
			continue
		}
		sums := p.view.Summaries(m.address(to), m.now)
		d, ok := delay()
		if !ok {
			p.view.ResetPeer(m.address(to))
			continue
		}
		m.packets = append(m.packets, packet{to, n, sums, m.now.Add(d)})
	}
}

// period returns how often instance i wants heartbeats on a session with
// another one; a session exists if either side wants it.
func (m *fleetModel) period(i, to int) time.Duration {
	if m.ps[i].up {
		for _, peer := range m.ps[i].view.Mesh() {
			if peer.Address == m.address(to) {
				return peer.Period
			}
		}
	}
	return time.Hour
}

// check guards against a view that goes back from a process to one that was
// started before it and that it showed already, and against a dead process that
// counts as live for too long.
func (m *fleetModel) check() error {
	for i, p := range m.ps {
		if !p.up {
			continue
		}
		members := p.view.Snapshot()
		for _, member := range members.Members() {
			if err := m.checkReturn(i, member); err != nil {
				return err
			}
			died, dead := m.died[member.Incarnation]
			near := m.settings.FullMeshSize > 1 || member.Domain == members.Find(m.address(i)).Domain
			if dead && member.State == snipemember.Live && m.now.Sub(died) > m.longestLive(near) {
				return fmt.Errorf("view %d shows %s of %s live %v after its death", i, member.Incarnation, member.Address, m.now.Sub(died))
			}
		}
	}
	return nil
}

// checkReturn reports a return to a former process. A late first message can
// show a former process once, if the wall clock stepped back after its start.
func (m *fleetModel) checkReturn(i int, member snipemember.Member) error {
	seen := m.seen[i][member.Address]
	inc := member.Incarnation
	if len(seen) > 0 && seen[len(seen)-1] == inc {
		return nil
	}
	m.seen[i][member.Address] = append(seen, inc)
	for _, later := range seen[slices.Index(seen, inc)+1:] {
		if slices.Contains(seen, inc) && m.started[later] > m.started[inc] {
			return fmt.Errorf("view %d returned to incarnation %s of %s after %s", i, inc, member.Address, later)
		}
	}
	return nil
}

// longestLive is how long a dead process may count as live. A peer that hears
// heartbeats misses them after SuspectAfter, counted from the arrival of the
// last one. Another instance may depend on IndirectAfter: reports of silence are
// lost with the session or its sender. News passes each instance at most once.
func (m *fleetModel) longestLive(near bool) time.Duration {
	const delay, suspect = 3 * time.Second, 1500 * time.Millisecond
	if near {
		return delay + snipemember.Period + suspect
	}
	return time.Duration(len(m.ps))*delay + snipemember.Period + m.settings.IndirectAfter
}

// change is an event of a history, before one step.
type change struct {
	instance int
	event    int // 0 stops the instance, 1 starts it after a jump of the wall clock
	wall     int
}

// play runs a history of n instances and returns the first broken guarantee.
// At its end all messages arrive and all views must agree.
func play(n int, seed uint64, fullMesh int, changes []change) error {
	m := &fleetModel{
		wall: 1_000_000, random: rand.New(rand.NewPCG(seed, 1)), places: placesOf(2),
		// Rotation over a few members is short, so silence shows sooner.
		settings: snipemember.Settings{
			FullMeshSize: fullMesh, DomainSilence: 15 * time.Second, IndirectAfter: 30 * time.Second,
		},
		died: make(map[string]snipetime.Instant), started: make(map[string]int), seen: make([]map[string][]string, n),
	}
	for range n {
		m.ps = append(m.ps, &process{})
	}
	for i := range n {
		m.start(i)
	}
	rough := func() (time.Duration, bool) {
		return time.Duration(m.random.IntN(3000)) * time.Millisecond, m.random.IntN(4) > 0
	}
	for _, c := range changes {
		p := m.ps[c.instance]
		m.wall += int64(c.wall)
		switch {
		case c.event == 0 && p.up:
			m.crash(c.instance)
		case c.event == 1 && !p.up:
			m.start(c.instance)
		}
		m.step(rough)
		if err := m.check(); err != nil {
			return err
		}
	}
	for range 120 {
		m.step(func() (time.Duration, bool) { return 0, true })
		if err := m.check(); err != nil {
			return err
		}
	}
	return m.converged()
}

// converged reports a view that differs from the instances that are up.
func (m *fleetModel) converged() error {
	for i, p := range m.ps {
		for j, q := range m.ps {
			if !p.up {
				continue
			}
			member := p.view.Snapshot().Find(m.address(j))
			live := member != nil && member.State == snipemember.Live
			if live != q.up || q.up && member.Incarnation != q.incarnation {
				return fmt.Errorf("view %d shows instance %d as %+v, up is %v", i, j, member, q.up)
			}
		}
	}
	return nil
}

// Guards against views that do not converge once messages arrive, and against
// late heartbeats and summaries that revive a dead process, also when the wall
// clock steps back between two starts.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "instances")
		seed := rapid.Uint64().Draw(t, "seed")
		fullMesh := rapid.SampledFrom([]int{1, 32}).Draw(t, "full mesh")
		changes := make([]change, rapid.IntRange(1, 60).Draw(t, "steps"))
		for i := range changes {
			c := &changes[i]
			c.instance = rapid.IntRange(0, n-1).Draw(t, "instance")
			c.event = rapid.IntRange(0, 5).Draw(t, "event")
			if c.event == 1 {
				c.wall = rapid.IntRange(-20, 20).Draw(t, "wall")
			}
		}
		if err := play(n, seed, fullMesh, changes); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against histories that once failed: late news of a former process
// displaced a newer one that had a lesser identifier, and two domains whose
// chosen delegates were all dead never heard of each other. An event is the
// instance, the kind of change and the jump of the wall clock.
func TestFormerFailures(t *testing.T) {
	for name, c := range map[string]struct {
		instances, fullMesh int
		seed                uint64
		changes             string
	}{
		"late news of a former process": {3, 1, 3, "0:2 0:2 0:2 2:0 0:2 0:2 0:2 0:2 0:2 0:2 0:2 0:2 0:2 0:2 2:1:0 " +
			"0:2 0:2 0:2 0:2 0:0 0:0 1:0 1:1:-1 0:0 0:0 0:1:0 0:2 0:2 1:0 0:2 0:2 1:0 0:2 1:0 0:2 0:2 0:2 0:2 0:2 0:2"},
		"late heartbeat of a former process": {7, 32, 0x4ae6, "6:5 6:0 6:2 1:4 1:2 1:1:1 0:3 5:3 2:4 2:5 2:2 5:2 3:3 4:4 3:2 2:3 1:5 6:0 " +
			"2:3 1:3 1:5 3:2 0:2 1:2 4:5 1:3 6:3 3:5 2:5 3:4 4:1:1 1:0 1:1:11 1:0 1:5"},
		"dead delegates": {8, 1, 0, "0:0 0:0 0:0 0:5 1:3 5:3 7:0 6:0 1:4 7:4 1:4 4:2 1:1:-8 3:5 4:2 1:0 3:1:1 1:0 3:0 " +
			"0:1:-2 3:0 7:5 3:4 7:5 1:3 2:3 1:0 3:0 1:3 0:5 6:0 4:0 4:2 6:5 7:0 1:5 6:0 5:0 6:1:-2 0:4 3:2 3:1:15 0:0"},
	} {
		var changes []change
		for _, text := range strings.Fields(c.changes) {
			var x change
			// A change without a jump ends early, which leaves the jump at zero.
			_, _ = fmt.Sscanf(text, "%d:%d:%d", &x.instance, &x.event, &x.wall)
			changes = append(changes, x)
		}
		if err := play(c.instances, c.seed, c.fullMesh, changes); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
