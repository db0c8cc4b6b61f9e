package snipedaemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipelease"
	"github.com/snipemoor/snipemoor/snipelimit"
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

const (
	// limitPeriod is the time between ticks of the ledger.
	limitPeriod = 200 * time.Millisecond
	// chunkBits is the size of the largest chunk that is sent at once.
	chunkBits = 32 << 10 * 8
	// homeShare is the part of a shift that the home region may spend.
	homeShare = 0.5
	// maxPaceWait bounds one wait of a paced chunk, so that a changed share is
	// noticed.
	maxPaceWait = 100 * time.Millisecond
)

func linkID(from, to string) string { return "link/" + from + "/" + to }

func shiftRequestsID(team, service string) string {
	return "shiftRequests/" + team + "/" + service
}

func shiftBitsID(team, service string) string { return "shiftBits/" + team + "/" + service }

// limits runs the ledger of this instance's token shares.
type limits struct {
	clock  timer
	node   *snipepeer.Node
	self   identity
	region string

	mu     sync.RWMutex
	ledger *snipelimit.Ledger
}

func newLimits(clock timer, node *snipepeer.Node, self identity) *limits {
	l := &limits{clock: clock, node: node, self: self}
	snipepeer.HandleSend(node, func(from snipepeer.Peer, m *snipewire.LoanRequest) { l.handleRequest(from, m) })
	snipepeer.HandleSend(node, func(from snipepeer.Peer, m *snipewire.LoanReply) { l.handleReply(from, m) })
	snipepeer.HandleSend(node, func(from snipepeer.Peer, m *snipewire.LoanReturn) { l.handleReturn(from, m) })
	return l
}

func (l *limits) current() *snipelimit.Ledger {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.ledger
}

// configure puts the limits of a snapshot in force.
func (l *limits) configure(now snipetime.Instant, snapshot *snipeconfig.Snapshot, region string) {
	l.mu.Lock()
	if l.ledger == nil {
		l.region = region
		l.ledger = snipelimit.New(snipelimit.Config{
			Incarnation: l.self.incarnation,
			Positions:   snapshot.Fleet().PositionsPerRegion(),
			Seed:        l.self.seed,
		}, now)
	}
	ledger := l.ledger
	l.mu.Unlock()
	ledger.Configure(now, limitsOf(snapshot, region))
}

// limitsOf returns the limits of which a region has a part.
func limitsOf(snapshot *snipeconfig.Snapshot, region string) []snipelimit.Limit {
	fleet := snapshot.Fleet()
	reserve := fleet.ReservePercent()
	var all []snipelimit.Limit
	for _, link := range fleet.Links() {
		a, b := link.Regions()
		other := b
		if b == region {
			other = a
		} else if a != region {
			continue
		}
		all = append(all, snipelimit.Limit{
			ID: linkID(region, other), PerSecond: link.BitsPerSecond(), Fraction: 1,
			Burst: snipelimit.Burst{Minimum: chunkBits}, ReservePercent: reserve,
		})
	}
	for _, team := range snapshot.Teams() {
		for _, service := range team.Services() {
			all = append(all, shiftLimits(service, len(fleet.Regions()), region, reserve)...)
		}
	}
	return all
}

func shiftLimits(service *snipeconfig.Service, regions int, region string, reserve float64) []snipelimit.Limit {
	fraction := 1.0
	if regions > 1 {
		fraction = (1 - homeShare) / float64(regions-1)
		if service.HomePlace().Region().Name() == region {
			fraction = homeShare
		}
	}
	team, shift := service.Team().Name(), service.Shift()
	return []snipelimit.Limit{
		{
			ID: shiftRequestsID(team, service.Name()), PerSecond: shift.RequestsPerSecond(), Fraction: fraction,
			Burst: snipelimit.Burst{Minimum: 1}, Growth: shift.GrowthPerSecond(), ReservePercent: reserve, Shared: regions > 1,
		},
		{
			ID: shiftBitsID(team, service.Name()), PerSecond: shift.BitsPerSecond(), Fraction: fraction,
			Burst: snipelimit.Burst{Minimum: chunkBits}, ReservePercent: reserve, Shared: regions > 1,
		},
	}
}

// setHoldings passes the held positions to the ledger.
func (l *limits) setHoldings(now snipetime.Instant, held []snipelease.Holding) {
	ledger := l.current()
	if ledger == nil {
		return
	}
	holdings := make([]snipelimit.Holding, len(held))
	for i, h := range held {
		holdings[i] = snipelimit.Holding{Index: h.Index, LeaseEnd: h.LeaseEnd, Since: h.Since, Inherited: h.Inherited}
	}
	ledger.SetHoldings(now, holdings)
}

func (l *limits) setPeers(peers []snipelimit.Peer) {
	if ledger := l.current(); ledger != nil {
		ledger.SetPeers(peers)
	}
}

func (l *limits) tick(now snipetime.Instant) {
	if ledger := l.current(); ledger != nil {
		l.send(ledger.Tick(now))
	}
}

func (l *limits) send(messages []snipelimit.Outgoing) {
	for _, m := range messages {
		// A lost message costs capacity until the loan ends, never the limit.
		switch {
		case m.Request != nil:
			_ = l.node.Send(m.To, &snipewire.LoanRequest{
				LoanId: m.Request.LoanID, Limit: m.Request.Limit, Units: uint32(m.Request.Units),
				DurationMillis: millis(m.Request.Duration),
			})
		case m.Return != nil:
			_ = l.node.Send(m.To, &snipewire.LoanReturn{LoanId: m.Return.LoanID, Limit: m.Return.Limit})
		}
	}
}

func (l *limits) handleRequest(from snipepeer.Peer, m *snipewire.LoanRequest) {
	ledger := l.current()
	if ledger == nil {
		return
	}
	reply := ledger.HandleLoanRequest(l.clock.Now(), from.Address, snipelimit.LoanRequest{
		LoanID: m.GetLoanId(), Limit: m.GetLimit(), Units: int(m.GetUnits()), Duration: fromMillis(m.GetDurationMillis()),
	})
	_ = l.node.Send(from.Address, &snipewire.LoanReply{
		LoanId: reply.LoanID, Limit: reply.Limit, Units: uint32(reply.Units), DurationMillis: millis(reply.Duration),
	})
}

func (l *limits) handleReply(from snipepeer.Peer, m *snipewire.LoanReply) {
	if ledger := l.current(); ledger != nil {
		l.send(ledger.HandleLoanReply(l.clock.Now(), from.Address, snipelimit.LoanReply{
			LoanID: m.GetLoanId(), Limit: m.GetLimit(), Units: int(m.GetUnits()), Duration: fromMillis(m.GetDurationMillis()),
		}))
	}
}

func (l *limits) handleReturn(from snipepeer.Peer, m *snipewire.LoanReturn) {
	if ledger := l.current(); ledger != nil {
		ledger.HandleLoanReturn(l.clock.Now(), from.Address, snipelimit.LoanReturn{LoanID: m.GetLoanId(), Limit: m.GetLimit()})
	}
}

// returnAll gives all loans back for a planned stop.
func (l *limits) returnAll(now snipetime.Instant) {
	if ledger := l.current(); ledger != nil {
		l.send(ledger.ReturnAll(now))
	}
}

// loansEnd returns when the last loan made here has ended.
func (l *limits) loansEnd(now snipetime.Instant) snipetime.Instant {
	if ledger := l.current(); ledger != nil {
		return ledger.OutstandingLoansEnd(now)
	}
	return now
}

func (l *limits) status(now snipetime.Instant) []snipelimit.Status {
	if ledger := l.current(); ledger != nil {
		return ledger.Status(now)
	}
	return nil
}

// errNoLimit means that a limit is not configured, so that nothing may be spent.
var errNoLimit = errors.New("limit is not configured")

func (l *limits) bucket(id string) (*snipelimit.Bucket, error) {
	ledger := l.current()
	if ledger == nil {
		return nil, fmt.Errorf("limit %s: %w", id, errNoLimit)
	}
	b, ok := ledger.Bucket(id)
	if !ok {
		return nil, fmt.Errorf("limit %s: %w", id, errNoLimit)
	}
	return b, nil
}

// spend takes amount from a limit at once or reports how long to wait.
func (l *limits) spend(id string, amount float64) (time.Duration, error) {
	b, err := l.bucket(id)
	if err != nil {
		return 0, err
	}
	wait, err := b.Spend(l.clock.Now(), amount)
	if err != nil {
		return wait, fmt.Errorf("limit %s: %w", id, err)
	}
	return 0, nil
}

// pace waits until amount has been taken from a limit or ctx ends.
func (l *limits) pace(ctx context.Context, id string, amount float64) error {
	for {
		wait, err := l.spend(id, amount)
		if err == nil {
			return nil
		}
		if errors.Is(err, errNoLimit) {
			return err
		}
		timer := time.NewTimer(min(max(wait, time.Millisecond), maxPaceWait))
		select {
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("wait for limit %s: %w", id, ctx.Err())
		case <-timer.C:
		}
	}
}
