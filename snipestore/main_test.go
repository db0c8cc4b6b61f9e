package snipestore_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipestore"
	"github.com/snipemoor/snipemoor/snipetime"
)

// TestMain guards against goroutines that outlive clients and watches. It fixes
// the seed of rapid, so that each run draws the same cases. The flag -rapid.seed
// selects others; 0 selects a random seed.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// newStore starts a stand-in of the store that uses the real clock.
func newStore(t testing.TB) *snipestandin.Store {
	t.Helper()
	clock := snipetime.New()
	store, err := snipestandin.NewStore(snipestandin.StoreSettings{Address: "127.0.0.1:0", Clock: clock, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := store.Close(); err != nil {
			t.Error(err)
		}
		clock.Close()
	})
	return store
}

// settings returns settings with short timeouts and delays, and with a call
// budget that tests do not exhaust.
func settings(store *snipestandin.Store) snipestore.Settings {
	return snipestore.Settings{
		Addresses:      []string{store.Address()},
		CallTimeout:    time.Second,
		CallsPerSecond: 1e6,
		CallBurst:      1e6,
		Backoff:        time.Millisecond,
		MaxBackoff:     4 * time.Millisecond,
	}
}

func newClient(t testing.TB, s snipestore.Settings) *snipestore.Client {
	t.Helper()
	c := snipestore.New(s)
	t.Cleanup(c.Close)
	return c
}

// documents returns a valid configuration whose link has the given rate in
// Mbit/s, so that each rate gives another digest.
func documents(t testing.TB, mbit int) []*snipeconfig.Document {
	t.Helper()
	fleet, err := snipeconfig.ParseDocument("fleet", fmt.Appendf(nil, `{"kind": "fleet", "name": "small",
		"regions": {"a": {"failureDomains": {"a1": {"places": ["p1"]}}}, "b": {"failureDomains": {"b1": {"places": ["p2"]}}}},
		"links": [{"regions": ["a", "b"], "mbitPerSecond": %d, "oneWayDelay": "1ms"}],
		"positionsPerRegion": 4, "domainDelay": "1ms", "clientDelay": "1ms"}`, mbit))
	if err != nil {
		t.Fatal(err)
	}
	return []*snipeconfig.Document{fleet}
}
