package snipecli_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/snipemoor/snipemoor/snipecli"
	"github.com/snipemoor/snipemoor/snipetime"
)

// TestOutput guards against changes of the output formats, which scripts read.
func TestOutput(t *testing.T) {
	status, err := os.ReadFile("testdata/status.json")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/status" {
			_, _ = w.Write(status)
			return
		}
		_, _ = w.Write([]byte(`{"entries":[{"address":"127.1.0.31:7000","place":"pkd-alathur"},` +
			`{"address":"127.1.0.41:7000","place":"pkd-chittur"}],"ttlSeconds":5,"generation":7,"requestIdPrefix":"i-c-1-1"}`))
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	cases := map[string][]string{
		"status":   {"status", "--admin", address},
		"lookup":   {"lookup", "--entry", address, "--team", "society", "--service", "slotboard"},
		"validate": {"validate", "testdata/invalid.json"},
	}
	clock := snipetime.New()
	defer clock.Close()
	golden := goldie.New(t)
	for name, args := range cases {
		for _, format := range []string{"text", "json"} {
			t.Run(name+"-"+format, func(t *testing.T) {
				var out bytes.Buffer
				app := snipecli.New(snipecli.Dependencies{Stdout: &out, Stderr: &out, Clock: clock})
				app.Run(context.Background(), append([]string{"--output", format}, args...))
				golden.Assert(t, name+"-"+format, out.Bytes())
			})
		}
	}
}

// Guards against a load command that shows no progress on a terminal, or that does
// not erase the progress line at the end.
func TestProgress(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	clock := snipetime.New()
	defer clock.Close()
	var out, progress bytes.Buffer
	app := snipecli.New(snipecli.Dependencies{Stdout: &out, Stderr: &progress, Clock: clock, Terminal: true})
	app.Run(context.Background(), []string{
		"load", "--entry", strings.TrimPrefix(server.URL, "http://"), "--team", "t", "--service", "s", "--duration", "1s",
	})
	text := progress.String()
	if !strings.Contains(text, "finished") || !strings.Contains(text, "\r\x1b[K") {
		t.Errorf("progress is %q, want the number of finished requests and an erased line", text)
	}
}
