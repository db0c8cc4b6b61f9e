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
	// demandSmoothing is the weight of a new value in the moving averages of
	// use and demand.
	demandSmoothing = 0.3
	// firstDemandPart is the part of the region's share of a limit that is
	// assumed as unmet demand after a refusal while less than that is used.
	firstDemandPart = 0.02
	// demandHeadroom is the factor by which units exceed measured demand.
	demandHeadroom = 1.05
	// retainedPart is the part of its own units that an instance does not lend,
	// so that it can serve new demand at once.
	retainedPart = 0.02
	// minLoanUnits is the number of units below which no loan is made.
	minLoanUnits    = UnitsPerLimit / 1000
	minLoanDuration = 500 * time.Millisecond
	// extendLoanBefore is the time before the end of a loan from which it is
	// extended if it is still needed. It leaves time for several attempts.
	extendLoanBefore     = 1500 * time.Millisecond
	loanRequestTimeout   = 500 * time.Millisecond
	peerBackoff          = time.Second
	maxConcurrentLenders = 3
)

// loanID returns the ID of one attempt to request or extend the loan base.
func loanID(base string, attempt int) string { return base + "#" + strconv.Itoa(attempt) }

// splitLoanID returns the two parts of a loan ID. It reports false if the attempt
// is not a number.
func splitLoanID(id string) (base string, attempt int, ok bool) {
	base, number, _ := strings.Cut(id, "#")
	attempt, err := strconv.Atoi(number)
	return base, attempt, err == nil
}

// Tick measures the demand since the last call and returns the loan requests and
// loan returns to send. It should be called every 200 ms.
func (l *Ledger) Tick(now snipetime.Instant) []Outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.lastTick)
	if elapsed <= 0 {
		return nil
	}
	l.lastTick = now
	l.deleteRemoved(now)
	var out []Outgoing
	for _, a := range l.sorted {
		a.bucket.mu.Lock()
		a.bucket.update(now, func() { a.bucket.units.expire(now) })
		a.updateRates(elapsed)
		out = append(out, l.adjustLoans(a, now)...)
		a.bucket.mu.Unlock()
	}
	return out
}

// deleteRemoved deletes the accounts of removed limits whose deleteAt has passed.
func (l *Ledger) deleteRemoved(now snipetime.Instant) {
	before := len(l.accounts)
	maps.DeleteFunc(l.accounts, func(_ string, a *account) bool {
		return a.removed && !now.Before(a.deleteAt)
	})
	if len(l.accounts) != before {
		l.sortAccounts()
	}
}

// neededUnits returns the number of units that the measured demand needs.
func (a *account) neededUnits() int {
	if a.bucket.limit.PerSecond <= 0 {
		return 0
	}
	reserve := a.bucket.limit.ReservePercent
	if reserve == 0 {
		reserve = defaultReserve
	}
	units := a.demand * demandHeadroom / (a.bucket.limit.PerSecond * (1 - reserve/100)) * UnitsPerLimit
	return int(min(units, UnitsPerLimit))
}

// adjustLoans extends, returns and requests loans of one limit.
func (l *Ledger) adjustLoans(a *account, now snipetime.Instant) []Outgoing {
	if l.stopping {
		return nil
	}
	for id, q := range a.pending {
		if !now.Before(q.sent.Add(loanRequestTimeout)) {
			delete(a.pending, id)
			a.backoffUntil[q.peer] = now.Add(peerBackoff)
		}
	}
	var out []Outgoing
	s := a.bucket.units.stateAt(now, a.bucket.limit)
	neededUnits := a.neededUnits()
	for _, base := range slices.Sorted(maps.Keys(a.bucket.units.borrowed)) {
		v := a.bucket.units.borrowed[base]
		rest := s.usable - v.units
		switch {
		case float64(rest) > float64(neededUnits)*demandHeadroom:
			out = append(out, l.returnLoan(a, base, now))
			s.usable = rest
		case rest < neededUnits && v.end.Sub(now) < extendLoanBefore:
			if _, waiting := a.pending[base]; !waiting {
				out = append(out, l.requestLoan(a, base, v.peer, v.units, now))
			}
		}
	}
	for base, q := range a.pending {
		if _, extends := a.bucket.units.borrowed[base]; !extends {
			s.usable += q.units
		}
	}
	if missing := neededUnits - s.usable; missing >= minLoanUnits {
		out = append(out, l.borrow(a, missing, now)...)
	}
	return out
}

// borrow requests equal parts of the missing units from several peers.
func (l *Ledger) borrow(a *account, missing int, now snipetime.Instant) []Outgoing {
	lenders := l.lenders(a, now)
	count := min(maxConcurrentLenders, len(lenders), missing/minLoanUnits)
	var out []Outgoing
	for _, p := range lenders[:max(0, count)] {
		base := fmt.Sprintf("%s/%d", l.cfg.Incarnation, l.nextLoan)
		out = append(out, l.requestLoan(a, base, p, (missing+count-1)/count, now))
	}
	return out
}

// lenders returns the peers that can be asked for a loan in random order, those
// of the same region first. It leaves out peers that have a pending request for
// the limit, and peers that recently did not reply or lent less than requested.
func (l *Ledger) lenders(a *account, now snipetime.Instant) []string {
	requested := make(map[string]bool)
	for _, q := range a.pending {
		requested[q.peer] = true
	}
	var sameRegion, otherRegions []string
	for _, p := range l.peers {
		if p.Positions == 0 || requested[p.Address] || now.Before(a.backoffUntil[p.Address]) {
			continue
		}
		if p.SameRegion {
			sameRegion = append(sameRegion, p.Address)
		} else if a.bucket.limit.Shared {
			otherRegions = append(otherRegions, p.Address)
		}
	}
	l.rng.Shuffle(len(sameRegion), func(i, j int) { sameRegion[i], sameRegion[j] = sameRegion[j], sameRegion[i] })
	l.rng.Shuffle(len(otherRegions), func(i, j int) { otherRegions[i], otherRegions[j] = otherRegions[j], otherRegions[i] })
	return append(sameRegion, otherRegions...)
}

// requestLoan returns a request to a peer and records it as pending. Attempt
// numbers are never reused: the duration of a loan that a late reply grants must
// not be counted from the sending of a later request.
func (l *Ledger) requestLoan(a *account, base, peer string, units int, now snipetime.Instant) Outgoing {
	l.nextLoan++
	attempt := l.nextLoan
	a.pending[base] = pendingRequest{peer: peer, units: units, attempt: attempt, sent: now}
	return Outgoing{To: peer, Request: &LoanRequest{
		LoanID: loanID(base, attempt), Limit: a.id, Units: units, Duration: l.cfg.MaxLoan,
	}}
}

// returnLoan ends a borrowed loan and returns the message for the lender.
func (l *Ledger) returnLoan(a *account, base string, now snipetime.Instant) Outgoing {
	v := a.bucket.units.borrowed[base]
	a.bucket.update(now, func() { delete(a.bucket.units.borrowed, base) })
	delete(a.pending, base)
	return Outgoing{To: v.peer, Return: &LoanReturn{LoanID: loanID(base, v.attempt), Limit: a.id}}
}

// ReturnAll returns the messages that return all borrowed units, and ends
// borrowing and lending. It is called before a planned stop.
func (l *Ledger) ReturnAll(now snipetime.Instant) []Outgoing {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	var out []Outgoing
	for _, a := range l.sorted {
		a.bucket.mu.Lock()
		for _, base := range slices.Sorted(maps.Keys(a.bucket.units.borrowed)) {
			out = append(out, l.returnLoan(a, base, now))
		}
		clear(a.pending)
		a.bucket.mu.Unlock()
	}
	return out
}

// HandleLoanRequest returns the reply to a request of the peer at address from. A
// repeated request gets the same reply. A request with a later attempt extends
// the loan unless this instance needs the units itself.
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
	s := b.units.stateAt(now, b.limit)
	units, spare := v.units, s.own-s.lent-a.neededUnits()
	if !exists {
		retained := max(a.neededUnits(), int(float64(s.own)*retainedPart))
		spare = s.own - s.lent - retained
		units = min(r.Units, spare)
	}
	duration := min(r.Duration, l.cfg.MaxLoan, s.leaseEnd.Sub(now))
	if spare < 0 || units < minLoanUnits || duration < minLoanDuration {
		return reply
	}
	end := max(v.end, now.Add(duration+l.cfg.DriftMargin))
	b.update(now, func() {
		b.units.lent[key] = loan{peer: from, units: units, end: end, attempt: attempt, duration: duration}
	})
	reply.Units, reply.Duration = units, duration
	return reply
}

// HandleLoanReply processes the reply of the peer at address from. The duration
// of the loan counts from the sending of its request. If the request is no longer
// pending, it returns a message that returns the units to the peer.
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
	q, waiting := a.pending[base]
	if !waiting || q.peer != from || q.attempt != attempt {
		// A repeated reply for a loan in use must not return the loan.
		if _, used := b.units.borrowed[base]; used || r.Units == 0 || waiting {
			return nil
		}
		return []Outgoing{{To: from, Return: &LoanReturn{LoanID: r.LoanID, Limit: r.Limit}}}
	}
	delete(a.pending, base)
	if r.Units < q.units {
		a.backoffUntil[from] = now.Add(peerBackoff)
	}
	if r.Units <= 0 {
		return nil
	}
	end := q.sent.Add(min(r.Duration, l.cfg.MaxLoan))
	b.update(now, func() {
		b.units.borrowed[base] = loan{peer: from, units: r.Units, end: end, attempt: attempt}
	})
	return nil
}

// HandleLoanReturn ends a loan to the peer at address from; its units can be used
// again. The loan stays recorded until its original end, so that a delayed
// request cannot renew it.
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
	b.update(now, func() { b.units.lent[key] = v })
}
