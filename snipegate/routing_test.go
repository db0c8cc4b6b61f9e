package snipegate

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestCleanPath guards against a path that still contains an element by which a target could
// take it for another one, and against a clean path that is changed or costs memory.
func TestCleanPath(t *testing.T) {
	for decoded, want := range map[string]string{
		"": "/", "*": "/*", "/": "/", "/a": "/a", "/a/": "/a/", "//a": "/a", "/a//": "/a/", "/a/.": "/a/", "/a/b/..": "/a/",
		"/..": "/", "/../a": "/a", "/./a": "/a", "/.a/..b": "/.a/..b", "a/../b": "/b",
	} {
		if got := cleanPath(decoded); got != want {
			t.Errorf("%q: %q, want %q", decoded, got, want)
		}
	}
	if n := testing.AllocsPerRun(100, func() { cleanPath("/read/x/") }); n != 0 {
		t.Errorf("%v allocations", n)
	}
	rapid.Check(t, func(t *rapid.T) {
		got := cleanPath(rapid.StringMatching(`[/.a]{0,12}`).Draw(t, "path"))
		if !strings.HasPrefix(got, "/") || strings.Contains(got, "//") || strings.Contains(got+"/", "/./") || strings.Contains(got+"/", "/../") || cleanPath(got) != got {
			t.Errorf("result %q", got)
		}
	})
}
