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
	// limitPeriod is the time between ticks of the limit ledger.
	limitPeriod = 200 * time.Millisecond
	// chunkBits is the size in bits of the largest chunk of a body that is sent
	// at once. It is the smallest burst of a limit in bits per second.
	chunkBits = 32 << 10 * 8
	// homeRegionFraction is the fraction of a shift cap that the region of the
	// home place has; the other regions divide the rest evenly.
	homeRegionFraction = 0.5
	// maxPaceWait bounds each wait for the tokens of a chunk, so that an
	// increased share of the limit is used soon.
	maxPaceWait = 100 * time.Millisecond
)

// linkID returns the identifier of the limit on traffic from one region to
// another.
func linkID(from, to string) string { return "link/" + from + "/" + to }

// shiftRequestsID returns the identifier of the limit on a service's shifted
// requests per second.
func shiftRequestsID(team, service string) string {
	return "shiftRequests/" + team + "/" + service
}

// shiftBitsID returns the identifier of the limit on a service's shifted bits
// per second.
func shiftBitsID(team, service string) string { return "shiftBits/" + team + "/" + service }

// limits holds this instance's share of the rate limits on links between
// regions and on shifts, which are requests served outside their home place. It
// exchanges the loan messages by which instances lend each other parts of their
// shares.
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
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.LoanRequest) { l.handleLoanRequest(from, m) })
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.LoanReply) { l.handleLoanReply(from, m) })
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.LoanReturn) { l.handleLoanReturn(from, m) })
	return l
}

// current returns the ledger, or nil before the first configuration.
func (l *limits) current() *snipelimit.Ledger {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.ledger
}

// configure puts the limits of a snapshot in force. The first call creates the
// ledger.
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
	ledger.Configure(now, regionLimits(snapshot, region))
}

// regionLimits returns the limits of which a region has a share.
func regionLimits(snapshot *snipeconfig.Snapshot, region string) []snipelimit.Limit {
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

// shiftLimits returns the limits on the shifts of a service with the share of a
// region. regions is the number of regions and reserve the percentage of each
// limit that is not given out.
func shiftLimits(service *snipeconfig.Service, regions int, region string, reserve float64) []snipelimit.Limit {
	fraction := 1.0
	if regions > 1 {
		fraction = (1 - homeRegionFraction) / float64(regions-1)
		if service.HomePlace().Region().Name() == region {
			fraction = homeRegionFraction
		}
	}
	team, shift := service.Team().Name(), service.Shift()
	return []snipelimit.Limit{
		{
			ID: shiftRequestsID(team, service.Name()), PerSecond: shift.RequestsPerSecond(), Fraction: fraction,
			Burst: snipelimit.Burst{Minimum: 1}, MaxGrowth: shift.GrowthPerSecond(), ReservePercent: reserve, Shared: regions > 1,
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
		holdings[i] = snipelimit.Holding{Index: h.Index, LeaseEnd: h.LeaseEnd, AcquiredAt: h.AcquiredAt, Inherited: h.Inherited}
	}
	ledger.SetHoldings(now, holdings)
}

// setPeers passes the instances that can lend to the ledger.
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

// send sends loan messages to peers.
func (l *limits) send(messages []snipelimit.Outgoing) {
	for _, m := range messages {
		// A lost message leaves capacity unused until the loan ends; the limit
		// is never exceeded.
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

func (l *limits) handleLoanRequest(from snipepeer.Peer, m *snipewire.LoanRequest) {
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

func (l *limits) handleLoanReply(from snipepeer.Peer, m *snipewire.LoanReply) {
	if ledger := l.current(); ledger != nil {
		l.send(ledger.HandleLoanReply(l.clock.Now(), from.Address, snipelimit.LoanReply{
			LoanID: m.GetLoanId(), Limit: m.GetLimit(), Units: int(m.GetUnits()), Duration: fromMillis(m.GetDurationMillis()),
		}))
	}
}

func (l *limits) handleLoanReturn(from snipepeer.Peer, m *snipewire.LoanReturn) {
	if ledger := l.current(); ledger != nil {
		ledger.HandleLoanReturn(l.clock.Now(), from.Address, snipelimit.LoanReturn{LoanID: m.GetLoanId(), Limit: m.GetLimit()})
	}
}

// returnLoans returns all borrowed shares for a planned stop.
func (l *limits) returnLoans(now snipetime.Instant) {
	if ledger := l.current(); ledger != nil {
		l.send(ledger.ReturnAll(now))
	}
}

// lastLoanEnd returns when the last loan made by this instance, or by an
// earlier process at its address, has ended. It returns now if there is none.
func (l *limits) lastLoanEnd(now snipetime.Instant) snipetime.Instant {
	if ledger := l.current(); ledger != nil {
		return ledger.OutstandingLoansEnd(now)
	}
	return now
}

// status returns the state of all limits, sorted by identifier.
func (l *limits) status(now snipetime.Instant) []snipelimit.Status {
	if ledger := l.current(); ledger != nil {
		return ledger.Status(now)
	}
	return nil
}

// errNoLimit means that a limit is not in the configuration in force, so that
// nothing may be spent from it.
var errNoLimit = errors.New("limit is not configured")

// bucket returns the token bucket of a limit. The error wraps errNoLimit if
// there is none.
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

// spend takes amount, in bits or requests, from a limit. If the limit does not
// permit that now, it returns an error and an estimate of the wait.
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

// pace waits until it has taken amount from a limit. It returns an error if the
// limit is not configured or ctx ends.
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
