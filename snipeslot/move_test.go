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

// moveModel simulates the owners of two groups, between which targets move, and
// members that put generations in force at different times.
type moveModel struct {
	random             func(n int) int
	now                snipetime.Instant
	owners             []*Owner // of group i at member i
	holders            []*Holder
	members            []Member
	inForce            []uint64         // generation in force by member
	groupsByGeneration []map[string]int // group of each target by generation
	messages           []func()
	running            map[string]string // target by attempt
	lastAttempt        int
	// skipGenerations omits the generations, so that no target is held.
	skipGenerations bool

	maxRunning, reused int
}

// moveSlots holds the slots of each target.
var moveSlots = map[string]int{"x": 1, "y": 2, "z": 1}

func newMoveModel(random func(n int) int, skipGenerations bool) *moveModel {
	m := &moveModel{random: random, running: map[string]string{}, skipGenerations: skipGenerations, inForce: make([]uint64, 3)}
	m.groupsByGeneration = []map[string]int{nil, {"x": 0, "y": 0, "z": 1}}
	for i := range 3 {
		m.members = append(m.members, Member{Address: fmt.Sprint(i), Incarnation: "1"})
		m.holders = append(m.holders, NewHolder(m.members[i], 0))
	}
	for i := range 2 {
		chooser := sniperoute.NewChooser(sniperoute.ChooserSettings{}, rand.New(rand.NewPCG(1, uint64(i))))
		o := NewOwner(Settings{Group: fmt.Sprint(i), Epoch: 1}, chooser, 0)
		o.SetLease(1 << 62)
		o.SetMembers(0, m.members)
		m.owners = append(m.owners, o)
	}
	for i, h := range m.holders {
		h.OwnerChanged("0", 1)
		h.OwnerChanged("1", 1)
		m.configure(i, 1)
	}
	return m
}

func (m *moveModel) send(f func()) { m.messages = append(m.messages, f) }

// configure puts a generation in force at member i.
func (m *moveModel) configure(i int, generation uint64) {
	m.inForce[i] = generation
	groupOf := m.groupsByGeneration[generation]
	if i < len(m.owners) {
		var targets []Target
		for _, a := range []string{"x", "y", "z"} {
			if groupOf[a] == i {
				targets = append(targets, Target{Address: a, Slots: moveSlots[a]})
			}
		}
		if !m.skipGenerations {
			m.owners[i].SetGeneration(generation)
		}
		m.sendReplies(m.owners[i].Configure(m.now, targets))
	}
	if m.skipGenerations {
		return
	}
	groups := map[string][]string{"0": {}, "1": {}}
	for _, a := range []string{"x", "y", "z"} {
		group := fmt.Sprint(groupOf[a])
		groups[group] = append(groups[group], a)
	}
	m.holders[i].Configure(generation, groups)
}

func (m *moveModel) sendReplies(replies []Reply) {
	for _, r := range replies {
		i := slices.Index(m.members, r.To)
		m.send(func() {
			switch action, release := m.holders[i].HandleReply(m.now, r); action {
			case ActionStart:
				m.running[r.AttemptID] = r.Target
			case ReturnGrant:
				m.sendRelease(release)
			}
		})
	}
}

func (m *moveModel) sendRelease(r Release) {
	owner := m.owners[int(r.Group[0]-'0')]
	m.send(func() { m.sendReplies(owner.Release(m.now, r)) })
}

func (m *moveModel) step() {
	i, group := m.random(3), m.random(2)
	switch action := m.random(100); {
	case action < 50:
		if len(m.messages) > 0 {
			k := m.random(len(m.messages))
			f := m.messages[k]
			m.messages = slices.Delete(m.messages, k, k+1)
			f()
		}
	case action < 65:
		m.lastAttempt++
		a := Acquire{Group: fmt.Sprint(group), AttemptID: fmt.Sprint(m.lastAttempt), Budget: time.Minute, MaximumWait: time.Second}
		a, _ = m.holders[i].Begin(m.now, a)
		m.send(func() { m.sendReplies([]Reply{m.owners[group].Acquire(m.now, a)}) })
	case action < 78:
		m.renew(i)
	case action < 86:
		m.finishOne()
	case action < 92:
		if latest := uint64(len(m.groupsByGeneration) - 1); m.inForce[i] < latest {
			m.configure(i, m.inForce[i]+1+uint64(m.random(int(latest-m.inForce[i])))) // may skip generations
		}
	case action < 94:
		m.groupsByGeneration = append(m.groupsByGeneration, map[string]int{"x": m.random(2), "y": m.random(2), "z": m.random(2)})
	default:
		m.advance(50 * time.Millisecond)
	}
}

// advance adds d to the time. Grants are renewed in time, and runs are too short
// for a hold to end without the reports of all members.
func (m *moveModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for i, h := range m.holders {
		for _, id := range h.Tick(m.now).Cancel {
			m.endAttempt(i, id)
		}
	}
	for _, o := range m.owners {
		m.sendReplies(o.Tick(m.now))
	}
}

func (m *moveModel) renew(i int) {
	h, sent := m.holders[i], m.now
	for _, list := range h.Renewals() {
		owner := m.owners[int(list.Group[0]-'0')]
		m.send(func() {
			reply, replies := owner.Renew(m.now, list)
			m.sendReplies(replies)
			m.send(func() {
				for _, id := range h.HandleRenewReply(sent, list, reply) {
					m.endAttempt(i, id)
				}
			})
		})
	}
}

func (m *moveModel) endAttempt(i int, id string) {
	delete(m.running, id)
	if r, ok := m.holders[i].Finish(id, OutcomeDone, time.Millisecond); ok {
		m.sendRelease(r)
	}
}

// finishOne ends the first attempt of a random member and starts a queued one
// under its grant if possible.
func (m *moveModel) finishOne() {
	i := m.random(3)
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		if m.holders[i].running[id] == nil {
			continue
		}
		if r, next, ok := m.holders[i].ReuseGrant(m.now, id, time.Millisecond); ok {
			m.reused++
			delete(m.running, id)
			m.running[next.AttemptID] = next.Target
			m.sendRelease(r)
		} else {
			m.endAttempt(i, id)
		}
		return
	}
}

func (m *moveModel) run(steps int) error {
	for range steps {
		m.step()
		count := map[string]int{}
		for _, target := range m.running {
			count[target]++
			m.maxRunning = max(m.maxRunning, count[target])
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
		m := newMoveModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }, false)
		if err := m.run(rapid.IntRange(1, 400).Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// Checks the same as TestMovedTargets over longer runs, and guards against a
// check that cannot fail: without holds it must report a violation.
func TestMovedTargetsSeeded(t *testing.T) {
	for _, without := range []bool{false, true} {
		violations, generations, maxRunning, reused := 0, 0, 0, 0
		for seed := range uint64(200) {
			m := newMoveModel(rand.New(rand.NewPCG(seed, 0)).IntN, without)
			if err := m.run(1500); err != nil {
				violations++
				if !without {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
			generations += len(m.groupsByGeneration)
			maxRunning, reused = max(maxRunning, m.maxRunning), reused+m.reused
		}
		t.Logf("without holds %v, seeds 0-199: %d violations, %d generations, at most %d attempts, %d grants reused",
			without, violations, generations, maxRunning, reused)
		if without && violations == 0 || generations < 400 || maxRunning < 2 || reused == 0 {
			t.Error("the runs did not reach every state; see the counts above")
		}
	}
}
