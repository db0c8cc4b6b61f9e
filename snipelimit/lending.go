package snipelimit

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	demandGain = 0.3
	// firstDemand is the part of the region's limit that a first refusal is
	// taken to ask for.
	firstDemand = 0.02
	// headroom is the factor by which units exceed measured demand.
	headroom = 1.05
	// keepPart of its own units is never lent, so that a holder without demand
	// can start at once.
	keepPart = 0.02
	// smallestLoan is the part of the limit below which no loan is made.
	smallestLoan = UnitsPerLimit / 1000
	shortestLoan = 500 * time.Millisecond
	// extendBefore is when a loan that is still needed is extended; it leaves
	// time for several attempts.
	extendBefore = 1500 * time.Millisecond
	askTimeout   = 500 * time.Millisecond
	peerBackoff  = time.Second
	askAtOnce    = 3
)

func loanID(base string, attempt int) string { return base + "#" + strconv.Itoa(attempt) }

func splitLoanID(id string) (base string, attempt int, ok bool) {
	base, number, _ := strings.Cut(id, "#")
	attempt, err := strconv.Atoi(number)
	return base, attempt, err == nil
}

// Tick measures demand since the last call and returns loan requests and
// returns. A call every 200 ms is enough.
func (l *Ledger) Tick(now snipetime.Instant) []Outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.lastTick)
	if elapsed <= 0 {
		return nil
	}
	l.lastTick = now
	l.forget(now)
	var out []Outgoing
	for _, a := range l.order {
		a.bucket.mu.Lock()
		a.bucket.change(now, func() { a.bucket.units.expire(now) })
		a.measure(elapsed)
		out = append(out, l.balance(a, now)...)
		a.bucket.mu.Unlock()
	}
	return out
}

// forget deletes the accounts of limits that were removed long ago.
func (l *Ledger) forget(now snipetime.Instant) {
	before := len(l.accounts)
	maps.DeleteFunc(l.accounts, func(_ string, a *account) bool {
		return a.removed && !now.Before(a.forgetAt)
	})
	if len(l.accounts) != before {
		l.sortAccounts()
	}
}

// wanted is the number of units that the demand needs.
func (a *account) wanted() int {
	if a.bucket.limit.PerSecond <= 0 {
		return 0
	}
	reserve := a.bucket.limit.ReservePercent
	if reserve == 0 {
		reserve = defaultReserve
	}
	units := a.demand * headroom / (a.bucket.limit.PerSecond * (1 - reserve/100)) * UnitsPerLimit
	return int(min(units, UnitsPerLimit))
}

// balance extends, returns and requests loans of one limit.
func (l *Ledger) balance(a *account, now snipetime.Instant) []Outgoing {
	if l.stopping {
		return nil
	}
	for id, q := range a.asked {
		if !now.Before(q.sent.Add(askTimeout)) {
			delete(a.asked, id)
			a.backoff[q.peer] = now.Add(peerBackoff)
		}
	}
	var out []Outgoing
	s := a.bucket.units.at(now, a.bucket.limit)
	wanted := a.wanted()
	for _, base := range slices.Sorted(maps.Keys(a.bucket.units.borrowed)) {
		v := a.bucket.units.borrowed[base]
		rest := s.usable - v.units
		switch {
		case float64(rest) > float64(wanted)*headroom:
			out = append(out, l.giveBack(a, base, now))
			s.usable = rest
		case rest < wanted && v.end.Sub(now) < extendBefore:
			if _, waiting := a.asked[base]; !waiting {
				out = append(out, l.ask(a, base, v.peer, v.units, now))
			}
		}
	}
	for base, q := range a.asked {
		if _, extends := a.bucket.units.borrowed[base]; !extends {
			s.usable += q.units
		}
	}
	if missing := wanted - s.usable; missing >= smallestLoan {
		out = append(out, l.borrow(a, missing, now)...)
	}
	return out
}

// borrow asks several peers for an equal part of the missing units.
func (l *Ledger) borrow(a *account, missing int, now snipetime.Instant) []Outgoing {
	lenders := l.lenders(a, now)
	count := min(askAtOnce, len(lenders), missing/smallestLoan)
	var out []Outgoing
	for _, p := range lenders[:max(0, count)] {
		base := fmt.Sprintf("%s/%d", l.cfg.Incarnation, l.nextLoan)
		out = append(out, l.ask(a, base, p, (missing+count-1)/count, now))
	}
	return out
}

// lenders returns the peers to ask, in random order, those of the region first.
func (l *Ledger) lenders(a *account, now snipetime.Instant) []string {
	busy := make(map[string]bool)
	for _, q := range a.asked {
		busy[q.peer] = true
	}
	var near, far []string
	for _, p := range l.peers {
		if p.Positions == 0 || busy[p.Address] || now.Before(a.backoff[p.Address]) {
			continue
		}
		if p.SameRegion {
			near = append(near, p.Address)
		} else if a.bucket.limit.Shared {
			far = append(far, p.Address)
		}
	}
	l.rng.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	l.rng.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// ask makes a request. Attempts never share a number: the answer to an attempt
// that timed out must not be counted from a later request.
func (l *Ledger) ask(a *account, base, peer string, units int, now snipetime.Instant) Outgoing {
	l.nextLoan++
	attempt := l.nextLoan
	a.asked[base] = asked{peer: peer, units: units, attempt: attempt, sent: now}
	return Outgoing{To: peer, Request: &LoanRequest{
		LoanID: loanID(base, attempt), Limit: a.id, Units: units, Duration: l.cfg.MaxLoan,
	}}
}

func (l *Ledger) giveBack(a *account, base string, now snipetime.Instant) Outgoing {
	v := a.bucket.units.borrowed[base]
	a.bucket.change(now, func() { delete(a.bucket.units.borrowed, base) })
	delete(a.asked, base)
	return Outgoing{To: v.peer, Return: &LoanReturn{LoanID: loanID(base, v.attempt), Limit: a.id}}
}

// ReturnAll returns all borrowed units and ends borrowing and lending; it is
// part of a planned stop.
func (l *Ledger) ReturnAll(now snipetime.Instant) []Outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	var out []Outgoing
	for _, a := range l.order {
		a.bucket.mu.Lock()
		for _, base := range slices.Sorted(maps.Keys(a.bucket.units.borrowed)) {
			out = append(out, l.giveBack(a, base, now))
		}
		clear(a.asked)
		a.bucket.mu.Unlock()
	}
	return out
}

// HandleLoanRequest decides on a request of the peer at address from. A repeated
// request gets the same answer; a request with a later attempt extends the loan
// unless this instance needs the units itself.
func (l *Ledger) HandleLoanRequest(now snipetime.Instant, from string, r LoanRequest) LoanReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := LoanReply{LoanID: r.LoanID, Limit: r.Limit}
	base, attempt, ok := splitLoanID(r.LoanID)
	a, known := l.accounts[r.Limit]
	if !ok || !known || l.stopping || r.Units <= 0 {
		return reply
	}
	b := a.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	key := from + " " + base
	v, exists := b.units.lent[key]
	switch {
	case exists && (!v.active(now) || attempt < v.attempt):
		return reply
	case exists && attempt == v.attempt:
		reply.Units, reply.Duration = v.units, v.duration
		return reply
	}
	s := b.units.at(now, b.limit)
	units, spare := v.units, s.own-s.lent-a.wanted()
	if !exists {
		keep := max(a.wanted(), int(float64(s.own)*keepPart))
		spare = s.own - s.lent - keep
		units = min(r.Units, spare)
	}
	duration := min(r.Duration, l.cfg.MaxLoan, s.leaseEnd.Sub(now))
	if spare < 0 || units < smallestLoan || duration < shortestLoan {
		return reply
	}
	end := max(v.end, now.Add(duration+l.cfg.DriftMargin))
	b.change(now, func() {
		b.units.lent[key] = loan{peer: from, units: units, end: end, attempt: attempt, duration: duration}
	})
	reply.Units, reply.Duration = units, duration
	return reply
}

// HandleLoanReply takes the answer of a peer. The loan counts from the sending
// of its request. Units of a late answer are returned.
func (l *Ledger) HandleLoanReply(now snipetime.Instant, from string, r LoanReply) []Outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	base, attempt, ok := splitLoanID(r.LoanID)
	a, known := l.accounts[r.Limit]
	if !ok || !known {
		return nil
	}
	b := a.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	q, waiting := a.asked[base]
	if !waiting || q.peer != from || q.attempt != attempt {
		// A repeated answer to a loan in use must not return it.
		if _, used := b.units.borrowed[base]; used || r.Units == 0 || waiting {
			return nil
		}
		return []Outgoing{{To: from, Return: &LoanReturn{LoanID: r.LoanID, Limit: r.Limit}}}
	}
	delete(a.asked, base)
	if r.Units < q.units {
		a.backoff[from] = now.Add(peerBackoff)
	}
	if r.Units <= 0 {
		return nil
	}
	end := q.sent.Add(min(r.Duration, l.cfg.MaxLoan))
	b.change(now, func() {
		b.units.borrowed[base] = loan{peer: from, units: r.Units, end: end, attempt: attempt}
	})
	return nil
}

// HandleLoanReturn takes back the units of a loan to the peer at address from.
// The loan is remembered until its end, so that a delayed request cannot renew
// it.
func (l *Ledger) HandleLoanReturn(now snipetime.Instant, from string, r LoanReturn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	base, _, ok := splitLoanID(r.LoanID)
	a, known := l.accounts[r.Limit]
	if !ok || !known {
		return
	}
	b := a.bucket
	b.mu.Lock()
	defer b.mu.Unlock()
	key := from + " " + base
	v, exists := b.units.lent[key]
	if !exists {
		return
	}
	v.returned = true
	b.change(now, func() { b.units.lent[key] = v })
}
