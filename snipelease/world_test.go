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
	step          = 100 * time.Millisecond
)

// world steps managers over a store and a network that lose, delay and repeat.
type world struct {
	rng     *rand.Rand
	seed    uint64
	now     time.Duration
	queue   eventHeap
	order   int
	nodes   []*node
	store   [testPositions]StoreResult
	stale   [testPositions]StoreResult
	version uint64

	storeDown bool
	loss      float64 // of messages and store answers
	maxDelay  time.Duration
	margin    time.Duration
	corrupt   func(*Manager)
	incs      int
}

type node struct {
	m           *Manager
	address     string
	rate        float64
	offset      snipetime.Instant
	life        int
	pausedUntil time.Duration
	cut         bool // from its peers
	storeCut    bool
	gone        bool
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// newWorld starts n instances whose clock rates differ by at most 0.9 %.
func newWorld(seed uint64, n int, margin time.Duration) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), seed: seed, margin: margin, maxDelay: 5 * time.Millisecond,
		corrupt: func(*Manager) {},
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{address: fmt.Sprintf("10.0.0.%d:7", i+1)})
		w.restart(i, false)
	}
	return w
}

// restart replaces the process of node i, at a new address if moved.
func (w *world) restart(i int, moved bool) {
	n := w.nodes[i]
	w.incs++
	n.life++
	n.rate = 0.9955 + 0.009*w.rng.Float64()
	n.offset = snipetime.Instant(w.rng.Int64N(int64(time.Hour)))
	n.pausedUntil = 0
	if moved {
		n.address = fmt.Sprintf("10.0.1.%d:7", w.incs)
	}
	n.m = New(Config{
		Address: n.address, Incarnation: fmt.Sprint("inc", w.incs), Positions: testPositions,
		DriftMargin: w.margin, Seed: w.seed,
	}, w.local(n))
	w.setMembers()
}

func (w *world) setMembers() {
	var all []string
	for _, n := range w.nodes {
		if !n.gone {
			all = append(all, n.address)
		}
	}
	for _, n := range w.nodes {
		n.m.SetMembers(w.local(n), all)
	}
}

func (w *world) local(n *node) snipetime.Instant {
	return n.offset + snipetime.Instant(float64(w.now)*n.rate)
}

func (w *world) delay() time.Duration { return time.Duration(w.rng.Int64N(int64(w.maxDelay))) }

func (w *world) at(t time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{at: t, order: w.order, run: run})
}

// deliver runs f for the process of n, after its pause and unless it died.
func (w *world) deliver(t time.Duration, n *node, f func() []Action) {
	life := n.life
	w.at(t, func() {
		if n.life != life || n.gone {
			return
		}
		if w.now < n.pausedUntil {
			w.deliver(n.pausedUntil, n, f)
			return
		}
		w.do(n, f())
	})
}

func (w *world) do(n *node, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			w.send(n, a)
		case ReadRecord:
			w.call(n, a.RequestID, func() StoreResult { return w.readStore(a) })
		case WriteRecord:
			w.call(n, a.RequestID, func() StoreResult { return w.writeStore(a) })
		}
	}
}

func (w *world) send(from *node, s Send) {
	msg := s.Message
	for copies := 1; copies > 0; copies-- {
		if w.rng.Float64() < w.loss/4 {
			copies++
		}
		for _, to := range w.nodes {
			if to.address == s.To && !to.cut && !from.cut && w.rng.Float64() >= w.loss {
				w.deliver(w.now+w.delay(), to, func() []Action {
					return to.m.Receive(w.local(to), from.address, msg)
				})
			}
		}
	}
}

// call runs a store call after a delay and returns its answer or loses it.
func (w *world) call(n *node, id uint64, run func() StoreResult) {
	life := n.life
	w.at(w.now+w.delay(), func() {
		r := StoreResult{}
		if !w.storeDown && !n.storeCut {
			r = run()
			if w.rng.Float64() < w.loss {
				r = StoreResult{}
			}
		}
		r.RequestID = id
		if n.life == life {
			w.deliver(w.now+w.delay(), n, func() []Action { return n.m.StoreResult(w.local(n), r) })
		}
	})
}

func (w *world) readStore(a ReadRecord) StoreResult {
	r := w.store[a.Index]
	r.Revision = w.version
	if w.rng.Float64() < w.loss {
		r = w.stale[a.Index]
	}
	r.Outcome = OutcomeRead
	return r
}

func (w *world) writeStore(a WriteRecord) StoreResult {
	if w.store[a.Index].Version != a.IfVersion {
		return StoreResult{Outcome: OutcomeConflict}
	}
	w.stale[a.Index] = w.store[a.Index]
	w.stale[a.Index].Revision = w.version
	w.version++
	w.store[a.Index] = StoreResult{Version: w.version, Record: a.Record}
	return StoreResult{Outcome: OutcomeWritten, Version: w.version}
}

// run steps the world by d and returns the first violation.
func (w *world) run(d time.Duration) error {
	for end := w.now + d; w.now < end; {
		next := w.now + step
		for _, n := range w.nodes {
			w.corrupt(n.m)
			if !n.gone && w.now >= n.pausedUntil {
				w.do(n, n.m.Tick(w.local(n)))
			}
		}
		for len(w.queue) > 0 && w.queue[0].at <= next {
			e := heap.Pop(&w.queue).(event)
			w.now = max(w.now, e.at)
			e.run()
			if err := w.check(); err != nil {
				return err
			}
		}
		w.now = next
		if err := w.check(); err != nil {
			return err
		}
	}
	return nil
}

// check reports a position with two valid leases, paused holders included.
func (w *world) check() error {
	for k := range testPositions {
		holder := ""
		for _, n := range w.nodes {
			if n.gone || !n.m.Valid(k, w.local(n)) {
				continue
			}
			if holder != "" {
				return fmt.Errorf("seed %d at %v: position %d is valid at %s and %s", w.seed, w.now, k, holder, n.address)
			}
			holder = n.address
		}
	}
	return nil
}

func (w *world) held() (total int, each []int) {
	for _, n := range w.nodes {
		c := 0
		if !n.gone {
			c = len(n.m.Held(w.local(n)))
		}
		total += c
		each = append(each, c)
	}
	return total, each
}
