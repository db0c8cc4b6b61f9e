package snipeslot

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/sniperoute"
	"github.com/snipemoor/snipemoor/snipetime"
)

// model steps owners and holders over a network that loses, delays, reorders
// and repeats messages, and checks the bound on running attempts. Clocks run at
// different rates within the drift margin.
type model struct {
	draw     func(n int) int
	now      snipetime.Instant
	epoch    uint64
	ownerAt  int
	leaseEnd snipetime.Instant
	config   []Target
	members  []*modelMember
	messages []func()
	running  map[string]modelRun
	slotsAt  map[uint64]int // by grant, when it was given
	next     int
	// Faults for tests of the check itself.
	skipRecovery, skipCancel, skipTokens bool

	grants, changes, cancelled, adopted, handed int
}

type modelMember struct {
	self   Member
	rate   int64 // clock rate in thousandths
	holder *Holder
	owner  *Owner // the latest owner at this address, possibly without lease
	knows  int    // address index of the owner it knows
	starts int
}

type modelRun struct {
	member  int
	target  string
	grantID uint64
}

const modelGroup = "g"

func newModel(draw func(n int) int) *model {
	m := &model{draw: draw, running: map[string]modelRun{}, slotsAt: map[uint64]int{}}
	for i := range 3 {
		m.members = append(m.members, &modelMember{rate: int64(997 + 3*i)})
		m.restartProcess(i)
	}
	m.config = []Target{{Address: "x", Slots: 1}, {Address: "y", Slots: 2}}
	m.newOwner(0)
	return m
}

func (m *model) local(i int) snipetime.Instant {
	return m.now * snipetime.Instant(m.members[i].rate) / 1000
}

func (m *model) restartProcess(i int) {
	b := m.members[i]
	b.starts++
	b.self = Member{Address: fmt.Sprint(i), Incarnation: fmt.Sprint(b.starts)}
	b.holder = NewHolder(b.self, 0)
	b.owner = nil
	for id, r := range m.running {
		if r.member == i {
			delete(m.running, id)
		}
	}
}

// newOwner makes i the owner. The caller ensures that the former lease is over.
func (m *model) newOwner(i int) {
	m.epoch++
	m.changes++
	m.ownerAt = i
	now := m.local(i)
	chooser := sniperoute.NewChooser(sniperoute.ChooserSettings{}, rand.New(rand.NewPCG(m.epoch, 0)))
	o := NewOwner(Settings{Group: modelGroup, Epoch: m.epoch, QueueLength: 4}, chooser, now)
	m.members[i].owner = o
	m.extendLease()
	o.Configure(now, m.config)
	m.tellMembers()
	if m.skipRecovery {
		o.recovery.active = false
	}
}

func (m *model) extendLease() {
	const lease = 10 * time.Second
	m.leaseEnd = m.now.Add(lease)
	// The holder's clock may be slow; it counts from before the renewal.
	b := m.members[m.ownerAt]
	b.owner.SetLease(m.local(m.ownerAt).Add(lease - driftMargin(lease)))
}

func (m *model) tellMembers() {
	var all []Member
	for _, b := range m.members {
		all = append(all, b.self)
	}
	m.emit(m.ownerAt, m.members[m.ownerAt].owner.SetMembers(m.local(m.ownerAt), all))
}

// emit records grants and sends replies.
func (m *model) emit(owner int, replies []Reply) {
	for _, r := range replies {
		if r.State == Granted && m.slotsAt[r.GrantID] == 0 {
			m.grants++
			t := m.members[owner].owner.targets[r.Target]
			if t.Draining || t.removed {
				panic(fmt.Sprintf("grant %d for draining target %s", r.GrantID, r.Target))
			}
			m.slotsAt[r.GrantID] = t.Slots
		}
		m.send(func() { m.answer(r) })
	}
}

func (m *model) send(f func()) { m.messages = append(m.messages, f) }

// toOwner sends a message to an address; the latest owner there receives it.
func (m *model) toOwner(address int, f func(now snipetime.Instant, o *Owner) []Reply) {
	m.send(func() {
		if o := m.members[address].owner; o != nil {
			m.emit(address, f(m.local(address), o))
		}
	})
}

func (m *model) memberOf(id Member) int {
	return slices.IndexFunc(m.members, func(b *modelMember) bool { return b.self == id })
}

func (m *model) answer(r Reply) {
	i := m.memberOf(r.To)
	if i < 0 {
		return
	}
	b := m.members[i]
	verdict, release := b.holder.Answer(m.local(i), r)
	switch verdict {
	case Start:
		m.running[r.AttemptID] = modelRun{member: i, target: r.Target, grantID: r.GrantID}
	case Return:
		m.toOwner(b.knows, func(now snipetime.Instant, o *Owner) []Reply { return o.Release(now, release) })
	}
}

func (m *model) finish(i int, id string, outcome Outcome) {
	b := m.members[i]
	delete(m.running, id)
	if release, ok := b.holder.Finish(id, outcome, time.Millisecond); ok {
		m.toOwner(b.knows, func(now snipetime.Instant, o *Owner) []Reply { return o.Release(now, release) })
	}
}

// handOver ends an attempt and lets a waiting one take over if possible.
func (m *model) handOver(i int, id string) {
	b := m.members[i]
	release, run, ok := b.holder.HandOver(m.local(i), id, time.Millisecond)
	if !ok {
		m.finish(i, id, OutcomeDone)
		return
	}
	m.handed++
	delete(m.running, id)
	m.running[run.AttemptID] = modelRun{member: i, target: run.Target, grantID: run.GrantID}
	if m.skipTokens {
		delete(b.holder.groups[modelGroup].grants, run.GrantID)
	}
	m.toOwner(b.knows, func(now snipetime.Instant, o *Owner) []Reply { return o.Release(now, release) })
}

func (m *model) renew(i int) {
	b := m.members[i]
	sent := m.local(i)
	for _, list := range b.holder.Renewals() {
		m.toOwner(b.knows, func(now snipetime.Instant, o *Owner) []Reply {
			recovering := o.recovery.active
			reply, replies := o.Renew(now, list)
			if recovering && reply.Accepted {
				m.adopted += len(list.Attempts)
			}
			m.send(func() {
				if m.members[i].self != list.From {
					return
				}
				for _, id := range b.holder.Renewed(sent, list, reply) {
					m.cancelled++
					m.finish(i, id, OutcomeCancelled)
				}
			})
			return replies
		})
	}
}

func (m *model) begin(i int) {
	b := m.members[i]
	m.next++
	a, ok := b.holder.Begin(m.local(i), Acquire{
		Group: modelGroup, AttemptID: fmt.Sprint(m.next),
		Budget: 20 * time.Second, MaximumWait: time.Duration(m.draw(10)) * time.Second,
	})
	if ok {
		m.toOwner(b.knows, func(now snipetime.Instant, o *Owner) []Reply { return []Reply{o.Acquire(now, a)} })
	}
}

func (m *model) advance(d time.Duration) {
	const step = 50 * time.Millisecond
	for ; d > 0; d -= step {
		m.now = m.now.Add(step)
		for i, b := range m.members {
			due := b.holder.Tick(m.local(i))
			if !m.skipCancel {
				for _, id := range due.Cancel {
					m.cancelled++
					m.finish(i, id, OutcomeCancelled)
				}
			}
			for _, c := range due.Lost {
				m.toOwner(b.knows, func(now snipetime.Instant, o *Owner) []Reply { return o.Cancel(now, c) })
			}
			if b.owner != nil {
				m.emit(i, b.owner.Tick(m.local(i)))
			}
		}
	}
}

func (m *model) learn(i int) {
	b := m.members[i]
	b.knows = m.ownerAt
	b.holder.OwnerChanged(modelGroup, m.epoch)
}

func (m *model) deliver(repeat bool) {
	if len(m.messages) == 0 {
		return
	}
	k := m.draw(len(m.messages))
	f := m.messages[k]
	if !repeat {
		m.messages = slices.Delete(m.messages, k, k+1)
	}
	f()
}

func (m *model) step() {
	i := m.draw(len(m.members))
	switch action := m.draw(200); {
	case action < 90:
		m.deliver(false)
	case action < 96:
		m.deliver(true)
	case action < 100:
		if len(m.messages) > 0 {
			m.messages = slices.Delete(m.messages, 0, 1)
		}
	case action < 120:
		m.begin(i)
	case action < 140:
		m.renew(i)
	case action < 160:
		m.learn(i)
	case action < 175:
		m.advance(time.Duration(1+m.draw(20)) * 50 * time.Millisecond)
	case action < 186:
		if m.now.Before(m.leaseEnd) {
			m.extendLease()
		}
	case action < 190:
		m.finishOne()
	case action < 193:
		m.reconfigure()
	case action < 196:
		m.tellMembers()
	case action < 197:
		m.restart(i)
	case action < 198:
		// The owner is silent until its lease is over.
		m.advance(m.leaseEnd.Sub(m.now) + 50*time.Millisecond)
		m.newOwner(i)
	default:
		if !m.now.Before(m.leaseEnd) {
			m.newOwner(i)
		}
	}
}

func (m *model) finishOne() {
	ids := make([]string, 0, len(m.running))
	for id := range m.running {
		ids = append(ids, id)
	}
	if len(ids) > 0 {
		slices.Sort(ids)
		id := ids[m.draw(len(ids))]
		m.handOver(m.running[id].member, id)
	}
}

func (m *model) reconfigure() {
	t := &m.config[m.draw(len(m.config))]
	t.Slots = 1 + m.draw(3)
	t.Draining = m.draw(3) == 0
	m.emit(m.ownerAt, m.members[m.ownerAt].owner.Configure(m.local(m.ownerAt), m.config))
}

// restart replaces the process at i; if it was the owner, the new process takes
// the position back at once.
func (m *model) restart(i int) {
	m.restartProcess(i)
	if i == m.ownerAt {
		m.newOwner(i)
	}
}

// check returns an error if more attempts run at a target than it had slots
// when the latest of their grants was given.
func (m *model) check() error {
	latest, count := map[string]uint64{}, map[string]int{}
	for _, r := range m.running {
		count[r.target]++
		latest[r.target] = max(latest[r.target], r.grantID)
	}
	for address, n := range count {
		if slots := m.slotsAt[latest[address]]; n > slots {
			return fmt.Errorf("%d attempts at target %s with %d slots, epoch %d", n, address, slots, m.epoch)
		}
	}
	return nil
}

func (m *model) run(steps int) error {
	for range steps {
		m.step()
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

// Guards against more attempts at a target than its slots under any order of
// loss, delay, repetition, owner change, restart, drain and slot change.
func TestSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		if err := m.run(rapid.IntRange(1, 400).Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

func seededModel(seed uint64) *model {
	r := rand.New(rand.NewPCG(seed, 0))
	return newModel(r.IntN)
}

// Guards as TestSlotsNeverExceeded over longer runs, and against a model that
// does not reach the states in question.
func TestSlotsNeverExceededSeeded(t *testing.T) {
	var total model
	for seed := range uint64(300) {
		m := seededModel(seed)
		if err := m.run(1500); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		total.grants += m.grants
		total.changes += m.changes
		total.cancelled += m.cancelled
		total.adopted += m.adopted
		total.handed += m.handed
	}
	t.Logf("seeds 0-299: %d grants, %d owners, %d cancelled, %d adopted, %d handed over",
		total.grants, total.changes, total.cancelled, total.adopted, total.handed)
	if total.handed == 0 || total.grants == 0 || total.changes == 0 || total.cancelled == 0 || total.adopted == 0 {
		t.Error("the model does not reach every state")
	}
}

// Guards against a check that cannot fail: without the recovery wait, without
// the cancellation rule, and without the rule that a repeated reply does not
// return a grant in use, it must report a violation.
func TestCheckCanFail(t *testing.T) {
	for name, fault := range map[string]func(*model){
		"no recovery":     func(m *model) { m.skipRecovery = true },
		"no cancellation": func(m *model) { m.skipCancel = true },
		"grants in use returned on a repeated reply": func(m *model) { m.skipTokens = true },
	} {
		found := false
		for seed := uint64(0); seed < 300 && !found; seed++ {
			m := seededModel(seed)
			fault(m)
			found = m.run(1500) != nil
		}
		if !found {
			t.Errorf("%s: no violation in seeds 0-299", name)
		}
	}
}
