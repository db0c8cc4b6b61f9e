package snipelease

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that each run tests the same cases. The
// flag -rapid.seed selects another seed.
func TestMain(m *testing.M) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
