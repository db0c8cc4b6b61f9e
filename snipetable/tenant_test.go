package snipetable

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// tenantTable returns a table with the given tenants.
func tenantTable(version uint64, entries ...TenantEntry) *Table {
	return New(Content{Version: version, RequiresKeys: true, Tenants: entries})
}

// entry returns a tenant with keys.
func entry(name string, keys ...string) TenantEntry {
	return TenantEntry{Tenant: Tenant{Name: name}, Keys: keys}
}

// TestTenantOfKey guards against a key that identifies another tenant than its own, or a
// tenant although it is ambiguous, empty or not a possible header value.
func TestTenantOfKey(t *testing.T) {
	long := strings.Repeat("l", 8<<10)
	table := tenantTable(1, entry("a", "a1", "a2", "ab", "a1"), entry("b", "ab", "b1", "abc"), entry("c", "abc", "", " c", "c\n"),
		entry("d", "abc", long), entry("none"))
	const none = "unknown"
	for key, want := range map[string]string{
		"a1": "a", "a2": "a", "b1": "b", "ab": "", "abc": "", long: "d",
		"": none, "A1": none, "a1 ": none, " c": none, "c\n": none, "c": none, long + "l": none, long[1:]: none,
	} {
		tenant, known := table.TenantOfKey(key)
		got := none
		if known {
			got = ""
		}
		if tenant != nil {
			got = tenant.Name
		}
		if got != want {
			t.Errorf("key of %d bytes %.10q: tenant %q, want %q", len(key), key, got, want)
		}
	}
	for _, p := range table.Problems() {
		if text := p.String(); strings.Contains(text, "abc") || strings.Contains(text, long[:8]) {
			t.Errorf("problem with a key: %s", text)
		}
	}
	// c has three keys left out; a and b share a key, as do b and c, and b and d.
	if n := len(table.Problems()); n != 9 {
		t.Errorf("%d problems: %v", n, table.Problems())
	}
}

// TestTenantsUnreadable guards against keys being refused as unknown, or not required, when
// it cannot be read which keys there are.
func TestTenantsUnreadable(t *testing.T) {
	table := New(Content{RequiresKeys: true, TenantsErr: errors.New("unreadable")})
	if tenant, known := table.TenantOfKey("k"); tenant != nil || !known || !table.RequiresKeys() || len(table.Problems()) != 1 {
		t.Errorf("tenant %v, known %v, problems %v", tenant, known, table.Problems())
	}
}

// TestInheritedQuota guards against an unreadable quota that lifts the limit of a tenant,
// that disables a tenant whose quota is known, or that is forgotten after a further version.
func TestInheritedQuota(t *testing.T) {
	limited := entry("t", "k")
	limited.Tenant.Quota = Quota{PerSecond: 7, Burst: 9}
	unreadable := entry("t", "k")
	unreadable.Tenant.QuotaErr = errors.New("unreadable")
	negative := entry("t", "k")
	negative.Tenant.Quota.PerSecond = -1
	raised := entry("t", "k")
	raised.Tenant.Quota.PerSecond = 70
	var h Holder
	for i, step := range []struct {
		entry    []TenantEntry
		disabled bool
		rate     float64
		effect   Effect
	}{
		{[]TenantEntry{negative}, true, 0, EffectRefused},
		{[]TenantEntry{unreadable}, true, 0, EffectRefused},
		{[]TenantEntry{limited}, false, 7, ""},
		{[]TenantEntry{unreadable}, false, 7, EffectPreviousQuota},
		{[]TenantEntry{negative}, false, 7, EffectPreviousQuota},
		{[]TenantEntry{raised}, false, 70, ""},
		{nil, false, 0, ""},
		{[]TenantEntry{unreadable}, true, 0, EffectRefused},
	} {
		table := tenantTable(uint64(i+1), step.entry...)
		h.UpdateIfNewer(table)
		if i%2 == 1 {
			h.ReplaceVersion(table) // The same content again changes nothing.
		}
		table = h.Current()
		if step.entry == nil {
			continue
		}
		tenant, known := table.TenantOfKey("k")
		if !known || tenant.Disabled() != step.disabled || !step.disabled && tenant.Quota.PerSecond != step.rate || tenant != table.Tenant("t") {
			t.Errorf("step %d: tenant %+v", i, tenant)
		}
		effect := Effect("")
		for _, p := range table.Problems() {
			effect = p.Effect
		}
		if effect != step.effect {
			t.Errorf("step %d: problems %v, want effect %q", i, table.Problems(), step.effect)
		}
	}
}

// TestInvalidTenant guards against requests of a tenant whose rank is above all others, or
// whose name would add a header line to requests to targets.
func TestInvalidTenant(t *testing.T) {
	urgent := entry("u", "u1")
	urgent.Tenant.Priority = -1
	table := tenantTable(1, urgent, entry("x\r\nTenant: y", "x1"), entry("", "e1"), entry("valid", "v1"))
	for key, disabled := range map[string]bool{"u1": true, "x1": true, "e1": true, "v1": false} {
		if tenant, _ := table.TenantOfKey(key); tenant == nil || tenant.Disabled() != disabled {
			t.Errorf("key %q: tenant %+v", key, tenant)
		}
	}
}

// TestLookupAllocates guards against a look-up of a key that allocates memory.
func TestLookupAllocates(t *testing.T) {
	table := tenantTable(1, entry("t", strings.Repeat("k", 64)))
	for _, key := range []string{strings.Repeat("k", 64), "unknown", strings.Repeat("k", 8<<10)} {
		if n := testing.AllocsPerRun(100, func() { table.TenantOfKey(key) }); n != 0 {
			t.Errorf("key of %d bytes: %v allocations", len(key), n)
		}
	}
}

// BenchmarkTenantOfKey measures the look-up of a key in tables of several sizes.
func BenchmarkTenantOfKey(b *testing.B) {
	for _, tenants := range []int{1, 77, 10_000} {
		entries := make([]TenantEntry, tenants)
		keys := make([]string, tenants)
		for i := range entries {
			keys[i] = fmt.Sprintf("key-%032d", i)
			entries[i] = entry(fmt.Sprint("t", i), keys[i])
		}
		table := tenantTable(1, entries...)
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if tenant, _ := table.TenantOfKey(keys[i%tenants]); tenant == nil {
					b.Fatal("no tenant")
				}
			}
		})
	}
}
