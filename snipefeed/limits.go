package snipefeed

import (
	"time"

	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

// LimitReport is the rate limit that a target stated in a response.
type LimitReport struct {
	// Target, Service and Born identify the incarnation of the target.
	Target, Service string
	Born            int64
	// Limited is false if the target stated that it has no limit any more. PerSecond is
	// the limit in requests per second over all fronts, and Age the time since the
	// response.
	Limited   bool
	PerSecond float64
	Age       time.Duration
	// Divided means that Share is set: in a request, the share of the limit, from 0 to
	// 1, that the front uses, with its Demand in requests per second; in an answer, the
	// share that it may use.
	Divided       bool
	Demand, Share float64
	// Leased means, in a request, that Share is a leased one.
	Leased bool
}

// LimitExchange holds the rate limits of targets and divides them among fronts.
// Fronts exchange them with their requests for changes. Implementations must be safe
// for concurrent use.
type LimitExchange interface {
	// LimitReports returns the limits that this front learned of at most the given age
	// ago, and those of which it uses a share.
	LimitReports(now snipetime.Instant, age time.Duration) []LimitReport
	// MergeLimitReports adds the reports of the front with the peer address peer.
	MergeLimitReports(now snipetime.Instant, peer string, reports []LimitReport)
	// AnswerLimitReports returns the limits that this front learned of at most the given
	// age ago, and the shares that peer may use.
	AnswerLimitReports(now snipetime.Instant, peer string, age time.Duration) []LimitReport
	// ApplyLimitReports adds the answer of peer to a request that was sent at sent.
	ApplyLimitReports(sent, now snipetime.Instant, peer string, reports []LimitReport)
}

// ServeLimitNotices registers a handler of the limits and the usage of quotas that other
// watchers send. It must be called before the node is started.
func ServeLimitNotices(node *snipepeer.Node, limits LimitExchange, tenants TenantExchange, clock Clock) {
	snipepeer.HandleMessage(node, func(from snipepeer.Peer, m *snipewire.LimitNotice) {
		limits.MergeLimitReports(clock.Now(), from.Address, decodeLimits(m.GetLimits()))
		tenants.MergeTenantNotice(clock.Now(), senderOf(from), int(m.GetFronts()), decodeTenants(m.GetTenants()))
	})
}

// SendLimitNotice sends limits to the fronts with the given peer addresses, without
// waiting. One that has no session gets none.
func SendLimitNotice(node *snipepeer.Node, peers []string, reports []LimitReport) {
	m := &snipewire.LimitNotice{Limits: encodeLimits(reports)}
	for _, peer := range peers {
		// The limits are sent again, and the node counts what it drops.
		_ = node.Send(peer, m)
	}
}

// SendTenantNotice sends the usage of quotas at the fronts that ask this one, and their
// number, to the fronts with the given peer addresses, without waiting. One that has no
// session gets none.
func SendTenantNotice(node *snipepeer.Node, peers []string, fronts int, usage []TenantUsage) {
	m := &snipewire.LimitNotice{Fronts: uint32(fronts), Tenants: encodeTenants(usage)}
	for _, peer := range peers {
		// The counters are cumulative and sent again, and the node counts what it drops.
		_ = node.Send(peer, m)
	}
}

func encodeLimits(reports []LimitReport) []*snipewire.TargetLimit {
	out := make([]*snipewire.TargetLimit, len(reports))
	for i := range reports {
		r := &reports[i]
		out[i] = &snipewire.TargetLimit{
			Target: r.Target, Service: r.Service, Born: r.Born, Limited: r.Limited, PerSecond: r.PerSecond,
			AgeMillis: uint32(r.Age.Milliseconds()), Divided: r.Divided, Demand: r.Demand, Share: r.Share, Leased: r.Leased,
		}
	}
	return out
}

func decodeLimits(limits []*snipewire.TargetLimit) []LimitReport {
	out := make([]LimitReport, len(limits))
	for i, l := range limits {
		out[i] = LimitReport{
			Target: l.GetTarget(), Service: l.GetService(), Born: l.GetBorn(), Limited: l.GetLimited(), PerSecond: l.GetPerSecond(),
			Age: time.Duration(l.GetAgeMillis()) * time.Millisecond, Divided: l.GetDivided(), Demand: l.GetDemand(), Share: l.GetShare(), Leased: l.GetLeased(),
		}
	}
	return out
}
