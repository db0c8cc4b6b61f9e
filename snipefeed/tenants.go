package snipefeed

import (
	"github.com/snipemoor/snipemoor/snipepeer"
	"github.com/snipemoor/snipemoor/snipetime"
	"github.com/snipemoor/snipemoor/snipewire"
)

// TenantUsage is the usage of the quota of a tenant at a front, at the fronts that ask
// a watcher, or over all fronts.
type TenantUsage struct {
	// Tenant is the name of the tenant. A reply in which one name is empty names all
	// tenants that are near their quotas.
	Tenant string
	// Admitted is a counter of admitted requests, which never decreases.
	Admitted float64
	// Demand is in requests per second.
	Demand float64
	// Level is the level of the token bucket over all fronts, in requests.
	Level float64
	// LevelKnown is set unless the sender states no level, or has just become a watcher and
	// assumes it.
	LevelKnown bool
}

// Sender identifies the process that sent a message.
type Sender struct {
	// Address is the peer address of the front, and Incarnation identifies its process.
	Address, Incarnation string
}

// TenantExchange keeps the usage of the quotas of tenants over all fronts.
// Implementations must be safe for concurrent use.
type TenantExchange interface {
	// ReportTenants returns the usage at this front, to be sent to a watcher.
	ReportTenants(now snipetime.Instant, watcher string) []TenantUsage
	// MergeTenants adds the usage at another front.
	MergeTenants(now snipetime.Instant, from Sender, usage []TenantUsage)
	// TenantLevels returns the levels of the tenants that are near their quotas.
	TenantLevels(now snipetime.Instant) []TenantUsage
	// ApplyTenantLevels adds the reply of a watcher to a request that was sent at sent
	// with the given usage.
	ApplyTenantLevels(sent, now snipetime.Instant, watcher string, reported, levels []TenantUsage)
	// MergeTenantNotice adds the usage at the fronts that ask another watcher, and their
	// number.
	MergeTenantNotice(now snipetime.Instant, from Sender, fronts int, usage []TenantUsage)
}

func senderOf(p snipepeer.Peer) Sender { return Sender{Address: p.Address, Incarnation: p.Incarnation} }

func encodeTenants(usage []TenantUsage) []*snipewire.TenantUsage {
	out := make([]*snipewire.TenantUsage, len(usage))
	for i := range usage {
		u := &usage[i]
		out[i] = &snipewire.TenantUsage{Tenant: u.Tenant, Admitted: u.Admitted, Demand: u.Demand, Level: u.Level, LevelKnown: u.LevelKnown}
	}
	return out
}

func decodeTenants(usage []*snipewire.TenantUsage) []TenantUsage {
	out := make([]TenantUsage, len(usage))
	for i, u := range usage {
		out[i] = TenantUsage{
			Tenant: u.GetTenant(), Admitted: u.GetAdmitted(), Demand: u.GetDemand(), Level: u.GetLevel(), LevelKnown: u.GetLevelKnown(),
		}
	}
	return out
}
