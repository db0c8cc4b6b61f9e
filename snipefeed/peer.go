package snipefeed

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

// maxWait bounds how long another front may let a request wait for changes.
const maxWait = 10 * time.Second

// errNotListed is returned by a log before its first listing.
var errNotListed = errors.New("no listing of the store has been received yet")

// Clock returns the current time.
type Clock interface {
	Now() snipetime.Instant
}

// Load is the load of a target, as reported in one of its responses.
type Load struct {
	// Target is the ID of the target.
	Target string
	// Requests is the number of requests in progress or queued at the target.
	Requests int
	// Slowness is how long work takes at the target, as a factor of the usual time, or 0
	// if the target does not state it.
	Slowness float64
	// Age is the time since the target reported the load.
	Age time.Duration
}

// LoadExchange holds the latest load of each target. Fronts exchange these
// loads with their requests for changes. Implementations must be safe for
// concurrent use.
type LoadExchange interface {
	// RecentLoads returns the loads whose age is at most the given one.
	RecentLoads(now snipetime.Instant, age time.Duration) []Load
	// MergeLoads adds loads received from another front.
	MergeLoads(now snipetime.Instant, loads []Load)
}

// Serve registers a handler that answers the requests of other fronts from a log
// and exchanges loads, limits and the usage of quotas with them. It must be called before the node is
// started.
func Serve(node *snipepeer.Node, l *Log, loads LoadExchange, limits LimitExchange, tenants TenantExchange, clock Clock) {
	snipepeer.HandleCall(node, func(ctx context.Context, from snipepeer.Peer, req *snipewire.ItemsRequest) (*snipewire.ItemsReply, error) {
		received := clock.Now() // before anything else: confirmations are stated relative to it
		loads.MergeLoads(clock.Now(), decodeLoads(req.GetLoads()))
		limits.MergeLimitReports(clock.Now(), from.Address, decodeLimits(req.GetLimits()))
		tenants.MergeTenants(clock.Now(), senderOf(from), decodeTenants(req.GetTenants()))
		b, err := readLog(ctx, l, clock, req)
		if errors.Is(err, ErrHistoryLost) || errors.Is(err, ErrEpochEnded) {
			return &snipewire.ItemsReply{HistoryLost: true, Epoch: uint64(l.Position().Epoch)}, nil
		}
		if err != nil {
			return nil, err
		}
		reply := encodeBatch(b)
		reply.ConfirmedMillis, reply.Confirmed = b.Confirmed.SinceReceipt(received)
		age := time.Duration(req.GetLoadsAgeMillis()) * time.Millisecond
		reply.Loads = encodeLoads(loads.RecentLoads(clock.Now(), age))
		reply.Limits = encodeLimits(limits.AnswerLimitReports(clock.Now(), from.Address, time.Duration(req.GetLimitsAgeMillis())*time.Millisecond))
		reply.Tenants = encodeTenants(tenants.TenantLevels(clock.Now()))
		return reply, nil
	})
}

func encodeLoads(loads []Load) []*snipewire.TargetLoad {
	out := make([]*snipewire.TargetLoad, len(loads))
	for i, l := range loads {
		out[i] = &snipewire.TargetLoad{
			Target: l.Target, Requests: uint32(l.Requests), AgeMillis: uint32(l.Age.Milliseconds()),
			SlownessPercent: slownessPercent(l.Slowness),
		}
	}
	return out
}

// slownessPercent returns a slowness in percent, and at least 1 for one that is stated.
func slownessPercent(slowness float64) uint32 {
	if slowness <= 0 {
		return 0
	}
	return max(uint32(math.Round(slowness*100)), 1)
}

func decodeLoads(loads []*snipewire.TargetLoad) []Load {
	out := make([]Load, len(loads))
	for i, l := range loads {
		out[i] = Load{
			Target: l.GetTarget(), Requests: int(l.GetRequests()), Age: time.Duration(l.GetAgeMillis()) * time.Millisecond,
			Slowness: float64(l.GetSlownessPercent()) / 100,
		}
	}
	return out
}

// readLog returns the batch that a request asks for.
func readLog(ctx context.Context, l *Log, clock Clock, req *snipewire.ItemsRequest) (Batch, error) {
	if req.GetAll() {
		return l.Snapshot(clock.Now())
	}
	wait := time.Duration(req.GetWaitMillis()) * time.Millisecond
	after := Position{Epoch: Epoch(req.GetAfterEpoch()), Revision: Revision(req.GetAfter())}
	return l.ChangesAfter(ctx, clock, after, min(wait, maxWait))
}

func encodeBatch(b Batch) *snipewire.ItemsReply {
	items := make([]*snipewire.StoreItem, len(b.Items))
	for i, it := range b.Items {
		items[i] = &snipewire.StoreItem{
			Key: it.Key, Value: it.Value, Revision: uint64(it.Revision), Created: uint64(it.Created), Gone: it.Removed,
		}
	}
	return &snipewire.ItemsReply{
		Items: items, Epoch: uint64(b.Position.Epoch), At: uint64(b.Position.Revision),
		AgeMillis: uint32(b.Age.Milliseconds()), Losses: b.StoreLosses,
	}
}

func decodeBatch(reply *snipewire.ItemsReply) Batch {
	b := Batch{
		Items:    make([]Item, len(reply.GetItems())),
		Position: Position{Epoch: Epoch(reply.GetEpoch()), Revision: Revision(reply.GetAt())},
		Age:      time.Duration(reply.GetAgeMillis()) * time.Millisecond, StoreLosses: reply.GetLosses(),
	}
	for i, it := range reply.GetItems() {
		b.Items[i] = Item{
			Key: it.GetKey(), Value: it.GetValue(), Revision: Revision(it.GetRevision()),
			Created: Revision(it.GetCreated()), Removed: it.GetGone(),
		}
	}
	return b
}

// PeerSources returns the logs of other fronts as sources. It and its sources
// are not safe for concurrent use.
type PeerSources struct {
	node    *snipepeer.Node
	loads   LoadExchange
	limits  LimitExchange
	tenants TenantExchange
	clock   Clock
	// lastWatch is when the last successful Watch began. The next one sends the
	// loads and limits that were reported since.
	lastWatch snipetime.Instant
}

// NewPeerSources returns sources that call other fronts over the sessions of node.
func NewPeerSources(node *snipepeer.Node, loads LoadExchange, limits LimitExchange, tenants TenantExchange, clock Clock) *PeerSources {
	return &PeerSources{node: node, loads: loads, limits: limits, tenants: tenants, clock: clock}
}

// Source returns the log of the front with the given peer address as a source.
func (p *PeerSources) Source(address string) Source { return &peerSource{peers: p, address: address} }

// peerSource is a Source that reads the log of another front.
type peerSource struct {
	peers   *PeerSources
	address string
}

// List implements Source.
func (p *peerSource) List(ctx context.Context) (Batch, error) {
	return p.call(ctx, &snipewire.ItemsRequest{All: true})
}

// maxLoadAge is the maximum age of a load that is sent to another front. Older
// ones are of no use there.
const maxLoadAge = 2 * time.Second

// Watch implements Source.
func (p *peerSource) Watch(ctx context.Context, after Position, wait time.Duration) (Batch, error) {
	now := p.peers.clock.Now()
	age := min(now.Sub(p.peers.lastWatch), maxLoadAge)
	b, err := p.call(ctx, &snipewire.ItemsRequest{
		AfterEpoch: uint64(after.Epoch), After: uint64(after.Revision), WaitMillis: uint32(wait.Milliseconds()),
		Loads: encodeLoads(p.peers.loads.RecentLoads(now, age)), LoadsAgeMillis: uint32((age + wait).Milliseconds()),
		Limits: encodeLimits(p.peers.limits.LimitReports(now, age)), LimitsAgeMillis: p.peers.limitsAge(now, wait),
		Tenants: encodeTenants(p.peers.tenants.ReportTenants(now, p.address)),
	})
	if err == nil {
		p.peers.lastWatch = now
	}
	return b, err
}

// limitsAge returns the greatest age of the limits to ask for, in milliseconds: the time
// since the last exchange, and any age in the first one.
func (p *PeerSources) limitsAge(now snipetime.Instant, wait time.Duration) uint32 {
	if p.lastWatch == 0 {
		return math.MaxUint32
	}
	return uint32((now.Sub(p.lastWatch) + wait).Milliseconds())
}

// call sends a request to the other front and merges the loads, limits and levels of its reply.
func (p *peerSource) call(ctx context.Context, req *snipewire.ItemsRequest) (Batch, error) {
	sent := p.peers.clock.Now()
	reply, err := snipepeer.Call[*snipewire.ItemsReply](ctx, p.peers.node, p.address, req)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The connection may be dead without an error, so the next call opens
			// a new session.
			p.peers.node.Disconnect(p.address)
		}
		return Batch{}, fmt.Errorf("get items from front %s: %w", p.address, err)
	}
	if reply.GetHistoryLost() && reply.GetEpoch() > req.GetAfterEpoch() {
		return Batch{}, fmt.Errorf("get changes from front %s after epoch %d: %w", p.address, req.GetAfterEpoch(), ErrEpochEnded)
	}
	if reply.GetHistoryLost() {
		return Batch{}, fmt.Errorf("get changes from front %s after revision %d: %w", p.address, req.GetAfter(), ErrHistoryLost)
	}
	now := p.peers.clock.Now()
	p.peers.loads.MergeLoads(now, decodeLoads(reply.GetLoads()))
	p.peers.limits.ApplyLimitReports(sent, now, p.address, decodeLimits(reply.GetLimits()))
	p.peers.tenants.ApplyTenantLevels(sent, now, p.address, decodeTenants(req.GetTenants()), decodeTenants(reply.GetTenants()))
	b := decodeBatch(reply)
	if reply.GetConfirmed() {
		b.Confirmed = ConfirmedByPeer(sent, now, reply.GetConfirmedMillis())
	}
	return b, nil
}
