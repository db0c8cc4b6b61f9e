package snipegate

import (
	"time"

	"github.com/snipemoor/snipemoor/snipetable"
	"github.com/snipemoor/snipemoor/snipetime"
)

const (
	// disabledRetryDelay is after how long a caller may retry a request that is refused
	// because of an entry of the configuration. Operators have to write a new version first,
	// so that an earlier retry would be refused again.
	disabledRetryDelay = 5 * time.Second
	// staleRetryDelay is after how long a caller may retry a request that is refused because
	// the configuration may be outdated. Where revocation is strict, its age is confirmed
	// about once a second.
	staleRetryDelay = time.Second
)

// configuration returns the table in force, which is nil before the first one, and whether
// it contains all revocations that must be in force now. It reads the clock only if there
// are quotas or revocations.
func (g *Gate) configuration() (now snipetime.Instant, recent bool, table *snipetable.Table) {
	if g.Revocation != nil || g.Quotas != nil {
		now = g.Clock.Now()
	}
	recent = g.Revocation == nil || g.Revocation.Recent(now)
	return now, recent, g.Tables.Current()
}

// authenticate determines the tenant of the request. It refuses requests of disabled routes
// and tenants and those without a valid key, and then returns false.
func (q *request) authenticate() bool {
	switch {
	case q.route.Disabled():
		q.refuse(OutcomeRouteDisabled, disabledRetryDelay)
		return false
	case !needsKey(q.table, q.route, q.r):
		return true
	case q.call.Key == "":
		q.refuse(OutcomeUnauthorized, 0)
		return false
	}
	tenant, known := q.table.TenantOfKey(q.call.Key)
	q.tenant = tenant
	switch {
	case !q.recent:
		// An unknown key may be in a version that this front has not received.
		q.refuse(OutcomeConfigurationStale, staleRetryDelay)
	case !known:
		q.refuse(OutcomeUnauthorized, 0)
	case tenant == nil || tenant.Disabled():
		q.refuse(OutcomeTenantDisabled, disabledRetryDelay)
	default:
		return true
	}
	return false
}

// recheckKey looks the key up again if another table is in force than the one that admitted
// the request. It returns why the request must not be sent to a target any more, or an empty
// outcome. Later attempts use the tenant's regions and priority in the newer table.
func (q *request) recheckKey() Outcome {
	table := q.gate.Tables.Current()
	if q.tenant == nil || table == q.table || !table.RequiresKeys() {
		return ""
	}
	tenant, known := table.TenantOfKey(q.call.Key)
	switch {
	case !known:
		return OutcomeUnauthorized
	case tenant == nil, tenant.Disabled(), tenant.Name != q.tenant.Name:
		return OutcomeTenantDisabled
	}
	q.tenant = tenant
	return ""
}

// omittedHeaders returns the names of the caller's headers that no target receives. A table
// with tenants may have been put in force since the request was admitted.
func (q *request) omittedHeaders() []string {
	if !q.table.RequiresKeys() && !q.gate.Tables.Current().RequiresKeys() {
		return nil
	}
	return q.gate.HeaderCodec.TenantHeaders()
}

// chargeQuota takes a token of the tenant's quota. If there is none, it refuses the request
// and returns false. It uses the time at which the request was checked, because reading the
// clock takes longer than looking up a key.
func (q *request) chargeQuota() bool {
	if q.tenant == nil || q.gate.Quotas == nil {
		return true
	}
	retryAfter, admitted := q.gate.Quotas.Admit(q.checkedAt, q.tenant)
	if !admitted {
		q.refuse(OutcomeOverQuota, retryAfter)
		return false
	}
	q.charged = q.tenant
	return true
}

// returnToken gives back the token of a request that has not run and never will. It does
// nothing if the request holds none.
func (q *request) returnToken() {
	if q.charged == nil {
		return
	}
	q.gate.Quotas.Return(q.gate.Clock.Now(), q.charged)
	q.charged = nil
}
