package snipeonce

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets the seed of rapid to 1 unless the flag -rapid.seed is set, so
// that each run checks the same cases.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
