package snipefeed

import (
	"context"
	"slices"
	"testing"

	"github.com/snipemoor/snipemoor/snipetime"
)

// fakeTenants records what it receives.
type fakeTenants struct {
	sent, answer, received []TenantUsage
	reported               []TenantUsage
	from                   string
	fronts                 int
	arrived                chan struct{}
}

func (f *fakeTenants) ReportTenants(snipetime.Instant, string) []TenantUsage { return f.sent }

func (f *fakeTenants) MergeTenants(_ snipetime.Instant, from Sender, usage []TenantUsage) {
	f.received, f.from = usage, from.Address
}

func (f *fakeTenants) TenantLevels(snipetime.Instant) []TenantUsage { return f.answer }

func (f *fakeTenants) ApplyTenantLevels(_, _ snipetime.Instant, watcher string, reported, levels []TenantUsage) {
	f.received, f.from, f.reported = levels, watcher, reported
}

func (f *fakeTenants) MergeTenantNotice(_ snipetime.Instant, from Sender, fronts int, usage []TenantUsage) {
	f.received, f.from, f.fronts = usage, from.Address, fronts
	if f.arrived != nil {
		close(f.arrived)
	}
}

// TestExchangeOfTenants guards against usage and levels that do not reach the other
// front as they were, in either direction, or as a notice.
func TestExchangeOfTenants(t *testing.T) {
	server, address := newNode(t, "server")
	items := NewLog()
	items.Replace(0, Batch{Position: Position{Revision: 1}})
	asked := []TenantUsage{{Tenant: "a", Admitted: 3 << 32, Demand: 2.5}}
	answered := []TenantUsage{{}, {Tenant: "a", Demand: 80, Level: -3.5, LevelKnown: true}}
	serverTenants, clientTenants := &fakeTenants{answer: answered}, &fakeTenants{sent: asked}
	noticed := &fakeTenants{arrived: make(chan struct{})}
	clock := snipetime.NewManual(0)
	Serve(server, items, &fakeLoads{}, &fakeLimits{}, serverTenants, clock)
	server.Start()
	client, clientAddress := newNode(t, "client")
	ServeLimitNotices(client, &fakeLimits{}, noticed, clock)
	client.Start()
	source := NewPeerSources(client, &fakeLoads{}, &fakeLimits{}, clientTenants, clock).Source(address)
	if _, err := source.Watch(context.Background(), Position{Revision: 1}, 0); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(serverTenants.received, asked) || serverTenants.from != clientAddress {
		t.Errorf("the serving front has %+v from %s", serverTenants.received, serverTenants.from)
	}
	if !slices.Equal(clientTenants.received, answered) || clientTenants.from != address || !slices.Equal(clientTenants.reported, asked) {
		t.Errorf("the calling front has %+v from %s for %+v", clientTenants.received, clientTenants.from, clientTenants.reported)
	}
	SendTenantNotice(server, []string{clientAddress}, 12, asked)
	<-noticed.arrived
	if !slices.Equal(noticed.received, asked) || noticed.from != address || noticed.fronts != 12 {
		t.Errorf("the notice has %+v and %d fronts from %s", noticed.received, noticed.fronts, noticed.from)
	}
}
