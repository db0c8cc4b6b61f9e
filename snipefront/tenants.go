package snipefront

import "github.com/snipemoor/snipemoor/snipetable"

// tenantsInForce provides the tenants of the configuration in force. It implements
// snipequota.Tenants.
type tenantsInForce struct{ tables *snipetable.Holder }

// Tenant implements snipequota.Tenants.
func (t tenantsInForce) Tenant(name string) *snipetable.Tenant {
	table := t.tables.Current()
	if table == nil {
		return nil
	}
	return table.Tenant(name)
}
