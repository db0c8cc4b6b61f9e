package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/platform"
	"github.com/snipemoor/snipemoor/platform/standin"
	"github.com/snipemoor/snipemoor/snipecli"
	"github.com/snipemoor/snipemoor/snipetime"
)

// startStore returns the address of a store with the items of testdata/store.json.
func startStore(t *testing.T) string {
	data, err := os.ReadFile("testdata/store.json")
	if err != nil {
		t.Fatal(err)
	}
	var items map[string]json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		t.Fatal(err)
	}
	store := standin.NewStore()
	t.Cleanup(store.Close)
	for key, value := range items {
		store.Put(key, []byte(value))
	}
	return store.Address()
}

// TestCheckConfig guards against findings that are lost or reworded, an exit status that
// does not say what was found, and keys in the output.
func TestCheckConfig(t *testing.T) {
	store := startStore(t)
	cases := map[string]struct {
		args   []string
		status int
	}{
		"alone":        {[]string{"testdata/current.json"}, 0},
		"clean":        {[]string{"testdata/clean.json", "--current", "testdata/current.json"}, 0},
		"clean-store":  {[]string{"testdata/clean.json", "--store", store}, 0},
		"faulty":       {[]string{"testdata/faulty.json", "--current", "testdata/current.json"}, 1},
		"faulty-store": {[]string{"testdata/faulty.json", "--store", store}, 1},
		"stdin":        {[]string{"--current", "testdata/current.json"}, 0},
		"json":         {[]string{"testdata/one.json", "--format", "json"}, 1},
		"json-none":    {[]string{"-", "--store", store, "--format", "json"}, 0},
		"broken":       {[]string{"testdata/broken.json"}, 2},
		"broken-now":   {[]string{"testdata/clean.json", "--current", "testdata/broken.json"}, 2},
		"missing":      {[]string{"testdata/missing.json"}, 2},
	}
	clock := snipetime.New()
	defer clock.Close()
	golden := goldie.New(t)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			stdin, err := os.Open("testdata/clean.json")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = stdin.Close() }()
			var out bytes.Buffer
			app := snipecli.New(snipecli.Dependencies{Stdin: stdin, Stdout: &out, Stderr: &out, Clock: clock, Configs: platform.Inspector{}})
			if got := app.Run(context.Background(), append([]string{"check-config"}, c.args...)); got != c.status {
				t.Errorf("exit status %d, want %d", got, c.status)
			}
			if strings.Contains(out.String(), "SECRET") {
				t.Error("the output contains a key")
			}
			golden.Assert(t, "check-config-"+name, out.Bytes())
		})
	}
}

// TestCheckConfigKeys guards against keys in the output, in errors about any damaged byte
// of a configuration too, as text or as a digest.
func TestCheckConfigKeys(t *testing.T) {
	text, err := os.ReadFile("testdata/faulty.json")
	if err != nil {
		t.Fatal(err)
	}
	digest := sha256.Sum256([]byte("SECRET-acme-2"))
	forbidden := []string{"SECRET", hex.EncodeToString(digest[:4]), base64.StdEncoding.EncodeToString([]byte("SECRET"))}
	clock := snipetime.New()
	defer clock.Close()
	rapid.Check(t, func(rt *rapid.T) {
		damaged := bytes.Clone(text)
		at := rapid.IntRange(0, len(text)-1).Draw(rt, "at")
		damaged[at] = rapid.SampledFrom([]byte("\"\\{}[]:,x0 \x00\xff")).Draw(rt, "byte")
		damaged = damaged[:rapid.SampledFrom([]int{len(text), at + 1}).Draw(rt, "length")]
		format := rapid.SampledFrom([]string{"text", "json"}).Draw(rt, "format")
		var out bytes.Buffer
		app := snipecli.New(snipecli.Dependencies{
			Stdin: bytes.NewReader(damaged), Stdout: &out, Stderr: &out, Clock: clock, Configs: platform.Inspector{},
		})
		app.Run(context.Background(), []string{"check-config", "--format", format, "--current", "testdata/current.json"})
		for _, f := range forbidden {
			if strings.Contains(out.String(), f) {
				rt.Fatalf("the output contains %q:\n%s", f, out.String())
			}
		}
	})
}

// TestCheckConfigStoreDown guards against a store that cannot be read being taken for an
// empty one.
func TestCheckConfigStoreDown(t *testing.T) {
	store := standin.NewStore()
	defer store.Close()
	store.Reject(500)
	clock := snipetime.New()
	defer clock.Close()
	var out bytes.Buffer
	app := snipecli.New(snipecli.Dependencies{Stdout: &out, Stderr: &out, Clock: clock, Configs: platform.Inspector{}})
	args := []string{"check-config", "testdata/clean.json", "--store", store.Address()}
	if got := app.Run(context.Background(), args); got != snipecli.ExitUsage {
		t.Errorf("exit status %d, want %d: %s", got, snipecli.ExitUsage, out.String())
	}
}
