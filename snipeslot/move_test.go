package snipeslot

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

// moves steps the owners of two groups, between which targets move, and members
// that put generations in force at different times.
type moves struct {
	draw     func(n int) int
	now      snipetime.Instant
	owners   []*Owner // of group i at member i
	holders  []*Holder
	selves   []Member
	in       []uint64         // generation in force by member
	splits   []map[string]int // group of each target by generation
	messages []func()
	running  map[string]string // target by attempt
	next     int
	// untold leaves out the generations, so that no target is held.
	untold bool

	most, handed int
}

var moveSlots = map[string]int{"x": 1, "y": 2, "z": 1}

func newMoves(draw func(n int) int, untold bool) *moves {
	m := &moves{draw: draw, running: map[string]string{}, untold: untold, in: make([]uint64, 3)}
	m.splits = []map[string]int{nil, {"x": 0, "y": 0, "z": 1}}
	for i := range 3 {
		m.selves = append(m.selves, Member{Address: fmt.Sprint(i), Incarnation: "1"})
		m.holders = append(m.holders, NewHolder(m.selves[i], 0))
	}
	for i := range 2 {
		chooser := sniperoute.NewChooser(sniperoute.ChooserSettings{}, rand.New(rand.NewPCG(1, uint64(i))))
		o := NewOwner(Settings{Group: fmt.Sprint(i), Epoch: 1}, chooser, 0)
		o.SetLease(1 << 62)
		o.SetMembers(0, m.selves)
		m.owners = append(m.owners, o)
	}
	for i, h := range m.holders {
		h.OwnerChanged("0", 1)
		h.OwnerChanged("1", 1)
		m.adopt(i, 1)
	}
	return m
}

func (m *moves) send(f func()) { m.messages = append(m.messages, f) }

// adopt puts a generation in force at a member.
func (m *moves) adopt(i int, generation uint64) {
	m.in[i] = generation
	split := m.splits[generation]
	if i < len(m.owners) {
		var targets []Target
		for _, a := range []string{"x", "y", "z"} {
			if split[a] == i {
				targets = append(targets, Target{Address: a, Slots: moveSlots[a]})
			}
		}
		if !m.untold {
			m.owners[i].SetGeneration(generation)
		}
		m.reply(m.owners[i].Configure(m.now, targets))
	}
	if m.untold {
		return
	}
	groups := map[string][]string{"0": {}, "1": {}}
	for _, a := range []string{"x", "y", "z"} {
		group := fmt.Sprint(split[a])
		groups[group] = append(groups[group], a)
	}
	m.holders[i].Configure(generation, groups)
}

func (m *moves) reply(replies []Reply) {
	for _, r := range replies {
		i := slices.Index(m.selves, r.To)
		m.send(func() {
			switch verdict, release := m.holders[i].Answer(m.now, r); verdict {
			case Start:
				m.running[r.AttemptID] = r.Target
			case Return:
				m.release(release)
			}
		})
	}
}

func (m *moves) release(r Release) {
	owner := m.owners[int(r.Group[0]-'0')]
	m.send(func() { m.reply(owner.Release(m.now, r)) })
}

func (m *moves) step() {
	i, group := m.draw(3), m.draw(2)
	switch action := m.draw(100); {
	case action < 50:
		if len(m.messages) > 0 {
			k := m.draw(len(m.messages))
			f := m.messages[k]
			m.messages = slices.Delete(m.messages, k, k+1)
			f()
		}
	case action < 65:
		m.next++
		a := Acquire{Group: fmt.Sprint(group), AttemptID: fmt.Sprint(m.next), Budget: time.Minute, MaximumWait: time.Second}
		a, _ = m.holders[i].Begin(m.now, a)
		m.send(func() { m.reply([]Reply{m.owners[group].Acquire(m.now, a)}) })
	case action < 78:
		m.renew(i)
	case action < 86:
		m.finish()
	case action < 92:
		if latest := uint64(len(m.splits) - 1); m.in[i] < latest {
			m.adopt(i, m.in[i]+1+uint64(m.draw(int(latest-m.in[i])))) // may skip some
		}
	case action < 94:
		m.splits = append(m.splits, map[string]int{"x": m.draw(2), "y": m.draw(2), "z": m.draw(2)})
	default:
		m.advance(50 * time.Millisecond)
	}
}

// advance moves time; grants are renewed in time and no wait for a member ends.
func (m *moves) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for i, h := range m.holders {
		for _, id := range h.Tick(m.now).Cancel {
			m.end(i, id)
		}
	}
	for _, o := range m.owners {
		m.reply(o.Tick(m.now))
	}
}

func (m *moves) renew(i int) {
	h, sent := m.holders[i], m.now
	for _, list := range h.Renewals() {
		owner := m.owners[int(list.Group[0]-'0')]
		m.send(func() {
			reply, replies := owner.Renew(m.now, list)
			m.reply(replies)
			m.send(func() {
				for _, id := range h.Renewed(sent, list, reply) {
					m.end(i, id)
				}
			})
		})
	}
}

func (m *moves) end(i int, id string) {
	delete(m.running, id)
	if r, ok := m.holders[i].Finish(id, OutcomeDone, time.Millisecond); ok {
		m.release(r)
	}
}

func (m *moves) finish() {
	i := m.draw(3)
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		if m.holders[i].running[id] == nil {
			continue
		}
		if r, next, ok := m.holders[i].HandOver(m.now, id, time.Millisecond); ok {
			m.handed++
			delete(m.running, id)
			m.running[next.AttemptID] = next.Target
			m.release(r)
		} else {
			m.end(i, id)
		}
		return
	}
}

func (m *moves) run(steps int) error {
	for range steps {
		m.step()
		count := map[string]int{}
		for _, target := range m.running {
			count[target]++
			m.most = max(m.most, count[target])
			if count[target] > moveSlots[target] {
				return fmt.Errorf("%d attempts at target %s with %d slots", count[target], target, moveSlots[target])
			}
		}
	}
	return nil
}

// Guards against more attempts at a target than its slots while it moves
// between groups.
func TestMovedTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMoves(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }, false)
		if err := m.run(rapid.IntRange(1, 400).Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards as TestMovedTargets over longer runs, and against a check that cannot
// fail: without holds it must report a violation.
func TestMovedTargetsSeeded(t *testing.T) {
	for _, without := range []bool{false, true} {
		violations, generations, most, handed := 0, 0, 0, 0
		for seed := range uint64(200) {
			m := newMoves(rand.New(rand.NewPCG(seed, 0)).IntN, without)
			if err := m.run(1500); err != nil {
				violations++
				if !without {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
			generations += len(m.splits)
			most, handed = max(most, m.most), handed+m.handed
		}
		t.Logf("without holds %v, seeds 0-199: %d violations, %d generations, at most %d attempts, %d handed over",
			without, violations, generations, most, handed)
		if without && violations == 0 || generations < 400 || most < 2 || handed == 0 {
			t.Error("the runs do not reach every state")
		}
	}
}
