package snipeforward

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// defaultSeed makes property tests repeatable; the flag -rapid.seed overrides it.
const defaultSeed = "1"

// TestMain sets a fixed seed for rapid and checks that no goroutine outlives the
// tests.
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
