package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"snipemeasure": main})
}

// Guards against flags that have no effect, output formats that cannot be selected,
// and invalid values that are accepted.
func TestCommand(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}
