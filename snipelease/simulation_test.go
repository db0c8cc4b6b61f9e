package snipelease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	testPositions = 4
	tickInterval  = 100 * time.Millisecond
)

// simulation runs managers over a store that loses and delays answers and may
// return old data, and over a network that loses, delays and repeats messages.
type simulation struct {
	rng        *rand.Rand
	seed       uint64
	now        time.Duration
	queue      eventHeap
	eventCount int
	nodes      []*simulatedNode
	store      [testPositions]StoreResult
	staleStore [testPositions]StoreResult
	version    uint64

	storeDown     bool
	loss          float64 // of messages and store answers
	maxDelay      time.Duration
	margin        time.Duration
	modifyManager func(*Manager)
	incarnations  int
}

// simulatedNode is an instance with its current process.
type simulatedNode struct {
	manager          *Manager
	address          string
	clockRate        float64
	clockOffset      snipetime.Instant
	starts           int // number of processes so far
	pausedUntil      time.Duration
	partitioned      bool // from its peers
	storePartitioned bool
	stopped          bool
}

// event is a function that runs at a simulated time.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// eventHeap is a heap of events by time, and by order of creation at equal times.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// newSimulation starts n instances whose clock rates differ by at most 0.9 %.
func newSimulation(seed uint64, n int, margin time.Duration) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, margin: margin, maxDelay: 5 * time.Millisecond,
		modifyManager: func(*Manager) {},
	}
	for i := range n {
		s.nodes = append(s.nodes, &simulatedNode{address: fmt.Sprintf("10.0.0.%d:7", i+1)})
		s.restart(i, false)
	}
	return s
}

// restart replaces the process of node i, at a new address if moved.
func (s *simulation) restart(i int, moved bool) {
	n := s.nodes[i]
	s.incarnations++
	n.starts++
	n.clockRate = 0.9955 + 0.009*s.rng.Float64()
	n.clockOffset = snipetime.Instant(s.rng.Int64N(int64(time.Hour)))
	n.pausedUntil = 0
	if moved {
		n.address = fmt.Sprintf("10.0.1.%d:7", s.incarnations)
	}
	n.manager = New(Config{
		Address: n.address, Incarnation: fmt.Sprint("inc", s.incarnations), Positions: testPositions,
		DriftMargin: s.margin, Seed: s.seed,
	}, s.localTime(n))
	s.setMembers()
}

// setMembers passes the addresses of all nodes that have not stopped to each
// node.
func (s *simulation) setMembers() {
	var all []string
	for _, n := range s.nodes {
		if !n.stopped {
			all = append(all, n.address)
		}
	}
	for _, n := range s.nodes {
		n.manager.SetMembers(s.localTime(n), all)
	}
}

// localTime returns the time on the clock of the node.
func (s *simulation) localTime(n *simulatedNode) snipetime.Instant {
	return n.clockOffset + snipetime.Instant(float64(s.now)*n.clockRate)
}

func (s *simulation) delay() time.Duration { return time.Duration(s.rng.Int64N(int64(s.maxDelay))) }

func (s *simulation) schedule(t time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.queue, event{at: t, sequence: s.eventCount, run: run})
}

// deliver runs f at t for the current process of n, or after its pause. It does
// nothing if the process has been replaced or stopped by then.
func (s *simulation) deliver(t time.Duration, n *simulatedNode, f func() []Action) {
	starts := n.starts
	s.schedule(t, func() {
		if n.starts != starts || n.stopped {
			return
		}
		if s.now < n.pausedUntil {
			s.deliver(n.pausedUntil, n, f)
			return
		}
		s.perform(n, f())
	})
}

// perform carries out the actions of a manager.
func (s *simulation) perform(n *simulatedNode, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			s.send(n, a)
		case ReadRecord:
			s.call(n, a.RequestID, func() StoreResult { return s.readStore(a) })
		case WriteRecord:
			s.call(n, a.RequestID, func() StoreResult { return s.writeStore(a) })
		}
	}
}

func (s *simulation) send(from *simulatedNode, action Send) {
	msg := action.Message
	for copies := 1; copies > 0; copies-- {
		if s.rng.Float64() < s.loss/4 {
			copies++
		}
		for _, to := range s.nodes {
			if to.address == action.To && !to.partitioned && !from.partitioned && s.rng.Float64() >= s.loss {
				s.deliver(s.now+s.delay(), to, func() []Action {
					return to.manager.HandleMessage(s.localTime(to), from.address, msg)
				})
			}
		}
	}
}

// call runs a store call after a delay and delivers its answer after another one.
// A lost answer has an unclear outcome.
func (s *simulation) call(n *simulatedNode, id uint64, run func() StoreResult) {
	starts := n.starts
	s.schedule(s.now+s.delay(), func() {
		r := StoreResult{}
		if !s.storeDown && !n.storePartitioned {
			r = run()
			if s.rng.Float64() < s.loss {
				r = StoreResult{}
			}
		}
		r.RequestID = id
		if n.starts == starts {
			s.deliver(s.now+s.delay(), n, func() []Action { return n.manager.HandleStoreResult(s.localTime(n), r) })
		}
	})
}

// readStore returns the record, or the one before it with the probability loss.
func (s *simulation) readStore(a ReadRecord) StoreResult {
	r := s.store[a.Index]
	r.Revision = s.version
	if s.rng.Float64() < s.loss {
		r = s.staleStore[a.Index]
	}
	r.Outcome = OutcomeRead
	return r
}

func (s *simulation) writeStore(a WriteRecord) StoreResult {
	if s.store[a.Index].Version != a.IfVersion {
		return StoreResult{Outcome: OutcomeConflict}
	}
	s.staleStore[a.Index] = s.store[a.Index]
	s.staleStore[a.Index].Revision = s.version
	s.version++
	s.store[a.Index] = StoreResult{Version: s.version, Record: a.Record}
	return StoreResult{Outcome: OutcomeWritten, Version: s.version}
}

// run advances the simulation by d and returns the first violation.
func (s *simulation) run(d time.Duration) error {
	for end := s.now + d; s.now < end; {
		next := s.now + tickInterval
		for _, n := range s.nodes {
			s.modifyManager(n.manager)
			if !n.stopped && s.now >= n.pausedUntil {
				s.perform(n, n.manager.Tick(s.localTime(n)))
			}
		}
		for len(s.queue) > 0 && s.queue[0].at <= next {
			e := heap.Pop(&s.queue).(event)
			s.now = max(s.now, e.at)
			e.run()
			if err := s.check(); err != nil {
				return err
			}
		}
		s.now = next
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if two nodes, paused ones included, have a valid lease
// for one position.
func (s *simulation) check() error {
	for k := range testPositions {
		holder := ""
		for _, n := range s.nodes {
			if n.stopped || !n.manager.Valid(k, s.localTime(n)) {
				continue
			}
			if holder != "" {
				return fmt.Errorf("seed %d at %v: position %d is valid at %s and %s", s.seed, s.now, k, holder, n.address)
			}
			holder = n.address
		}
	}
	return nil
}

// heldCounts returns the number of held positions, in total and by node.
func (s *simulation) heldCounts() (total int, each []int) {
	for _, n := range s.nodes {
		c := 0
		if !n.stopped {
			c = len(n.manager.Held(s.localTime(n)))
		}
		total += c
		each = append(each, c)
	}
	return total, each
}
