package snipetable

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
)

// TenantEntry is a tenant with its keys.
type TenantEntry struct {
	Tenant Tenant
	Keys   []string
	// KeyErrs says which keys cannot be read. It contains no key.
	KeyErrs []error
}

// digest is the SHA-256 digest of a key.
type digest [sha256.Size]byte

// tenantSet holds the tenants of a table and the digests of their keys, but no key.
type tenantSet struct {
	// required is set if requests need a key.
	required bool
	// unreadable is set if it is not known which keys there are.
	unreadable bool
	list       []*Tenant
	// byName and keys hold indexes of list. For a key that several tenants hold, keys has
	// the bitwise complement of the index of the first one, which is negative.
	byName map[string]int
	keys   map[digest]int
	// longestKey is the length of the longest key in bytes.
	longestKey int
}

// RequiresKeys reports whether requests of routes that are not public need a key.
func (t *Table) RequiresKeys() bool { return t.tenants.required }

// Tenant returns the tenant with the given name, or nil if there is none.
func (t *Table) Tenant(name string) *Tenant {
	if i, ok := t.tenants.byName[name]; ok {
		return t.tenants.list[i]
	}
	return nil
}

// Tenants returns the tenants, sorted by name.
func (t *Table) Tenants() []*Tenant { return slices.Clone(t.tenants.list) }

// TenantOfKey returns the tenant that holds key. known is false if no tenant holds it. The
// tenant is nil if known is true but the configuration does not say which tenant it is. The
// time that the look-up takes shows at most the length of the longest key of the table.
func (t *Table) TenantOfKey(key string) (tenant *Tenant, known bool) {
	if t.tenants.unreadable {
		return nil, true
	}
	if len(key) > t.tenants.longestKey {
		return nil, false
	}
	i, known := t.tenants.keys[digestOf(key)]
	if !known || i < 0 {
		return nil, known
	}
	return t.tenants.list[i], true
}

// digestOf returns the digest of a key. It allocates no memory for a key of usual length.
func digestOf(key string) digest {
	const usualLength = 128 // bytes
	var buffer [usualLength]byte
	return sha256.Sum256(append(buffer[:0], key...))
}

// addTenants adds tenants and their keys, and disables tenants that are invalid. err is why
// the tenants cannot be read at all, or nil.
func (t *Table) addTenants(entries []TenantEntry, err error) {
	t.tenants = tenantSet{required: true, unreadable: err != nil, byName: make(map[string]int), keys: make(map[digest]int)}
	if err != nil {
		t.report(ObjectTenant, "", EffectRefused, err)
	}
	// Problems do not depend on the order of the entries.
	slices.SortFunc(entries, func(a, b TenantEntry) int { return strings.Compare(a.Tenant.Name, b.Tenant.Name) })
	for i := range entries {
		t.addTenant(&entries[i])
	}
}

// addTenant adds one tenant and its keys.
func (t *Table) addTenant(e *TenantEntry) {
	tenant := e.Tenant
	tenant.validate()
	switch {
	case tenant.Err != nil:
		t.report(ObjectTenant, tenant.Name, EffectRefused, tenant.Err)
	case tenant.QuotaErr != nil:
		t.report(ObjectTenant, tenant.Name, EffectRefused, tenant.QuotaErr)
	}
	for _, err := range e.KeyErrs {
		t.report(ObjectTenant, tenant.Name, EffectKeyLeftOut, err)
	}
	index := len(t.tenants.list)
	t.tenants.list = append(t.tenants.list, &tenant)
	t.tenants.byName[tenant.Name] = index
	t.addKeys(e.Keys, index)
}

// addKeys adds the keys of the tenant with the given index.
func (t *Table) addKeys(keys []string, index int) {
	name := t.tenants.list[index].Name
	sharing := make(map[string]bool)
	for n, key := range keys {
		if !validFieldValue(key) {
			t.report(ObjectTenant, name, EffectKeyLeftOut, fmt.Errorf("key %d is not a possible header value: %w", n+1, ErrInvalid))
			continue
		}
		if other := t.addKey(key, index); other != nil {
			sharing[other.Name] = true
		}
	}
	for other := range sharing {
		t.report(ObjectTenant, name, EffectKeyRefused, sharedKeyError(other))
		t.report(ObjectTenant, other, EffectKeyRefused, sharedKeyError(name))
	}
}

// sharedKeyError returns the error of a tenant that holds a key of the other one.
func sharedKeyError(other string) error {
	return fmt.Errorf("tenant %q has the same key: %w", other, ErrInvalid)
}

// addKey adds a key of the tenant with the given index. If another tenant holds it, the
// key identifies neither, and addKey returns the first one that does.
func (t *Table) addKey(key string, index int) (other *Tenant) {
	set := &t.tenants
	d := digestOf(key)
	i, held := set.keys[d]
	switch {
	case !held:
		set.keys[d] = index
		set.longestKey = max(set.longestKey, len(key))
		return nil
	case i == index:
		return nil
	case i < 0:
		return set.list[^i]
	default:
		set.keys[d] = ^i
		return set.list[i]
	}
}
