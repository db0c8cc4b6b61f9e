package snipeforward

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// defaultSeed makes property tests repeatable; -rapid.seed overrides it.
const defaultSeed = "1"

// TestMain sets a fixed seed and guards against goroutines that outlive their
// request.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set(defaultSeed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	goleak.VerifyTestMain(m)
}
