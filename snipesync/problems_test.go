package snipesync

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/snipemoor/snipemoor/snipetable"
)

// TestProblemsAreLogged guards against an entry that is isolated without a log line that
// names it, against a key in such a line, and against more lines than the bound.
func TestProblemsAreLogged(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	h := newHarness(t)
	h.follower.Log = zap.New(core)
	unreadable := errors.New("unreadable")
	tenants := func(quotaErr error, n int) []snipetable.TenantEntry {
		entries := []snipetable.TenantEntry{{Tenant: snipetable.Tenant{Name: "kept", QuotaErr: quotaErr}, Keys: []string{"secret\n"}}}
		for i := range n {
			entries = append(entries, snipetable.TenantEntry{Tenant: snipetable.Tenant{Name: fmt.Sprint("z", i), Err: unreadable}})
		}
		return entries
	}
	for version, content := range []snipetable.Content{
		{Services: []snipetable.Service{{Name: "s", Err: unreadable}}, RequiresKeys: true, Tenants: tenants(nil, 0)},
		{
			Routes:       []snipetable.Route{{Name: "r", Host: "h", Prefix: "/", Err: unreadable}, {Name: "left", Err: unreadable}},
			RequiresKeys: true, Tenants: tenants(unreadable, 0),
		},
		{RequiresKeys: true, Tenants: tenants(nil, 2*maxLoggedProblems)},
	} {
		content.Version = uint64(version + 1)
		h.follower.applyTable(&Change{Kind: KindTable, Table: snipetable.New(content)})
	}
	var got []string
	lines := 0
	for _, entry := range logs.All() {
		fields := entry.ContextMap()
		if strings.Contains(fmt.Sprint(fields), "secret") {
			t.Errorf("log line with a key: %v", fields)
		}
		if entry.Message != "configuration entry not usable" {
			continue
		}
		lines++
		for _, object := range []string{"route", "service", "tenant"} {
			if name, ok := fields[object]; ok && fields["version"] != uint64(3) {
				got = append(got, fmt.Sprint(fields["version"], " ", object, " ", name, " ", fields["effect"]))
			}
		}
	}
	want := "1 service s leftOut, 1 tenant kept keyLeftOut, 2 route left leftOut, 2 route r refused, 2 tenant kept keyLeftOut, 2 tenant kept previousQuota"
	if text := strings.Join(got, ", "); text != want || lines != len(got)+maxLoggedProblems {
		t.Errorf("%d lines: %s", lines, text)
	}
}
