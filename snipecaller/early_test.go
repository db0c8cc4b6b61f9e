package snipecaller

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// earlyRecorder starts every response that it is asked to start, and records the
// requests.
type earlyRecorder struct {
	mu      sync.Mutex
	started []string // paths
	// calls receives one value for each call of begin.
	calls chan struct{}
}

func (r *earlyRecorder) begin(req *http.Request, _ time.Time) http.Handler {
	r.mu.Lock()
	r.started = append(r.started, req.RequestURI)
	r.mu.Unlock()
	r.calls <- struct{}{}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "begun "+req.RequestURI)
	})
}

// TestEarlyResponses guards against responses that start early for bytes that are
// not a pipelined request, such as a body, and against responses that are delivered
// to another request.
func TestEarlyResponses(t *testing.T) {
	post := func(path, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	}
	pipelined := ""
	for i := range maxEarlyResponses + 2 {
		pipelined += get(fmt.Sprintf("/%d", i))
	}
	cases := map[string]struct {
		text  string
		early []string // paths whose response starts early
		n     int      // requests
	}{
		"alone":             {get("/1"), nil, 1},
		"two":               {get("/1") + get("/2"), []string{"/2"}, 2},
		"too many":          {get("/first") + pipelined, []string{"/0", "/1", "/2", "/3"}, maxEarlyResponses + 3},
		"body like a head":  {post("/1", get("/smuggled")), nil, 1},
		"after a body":      {post("/1", "body") + get("/2"), nil, 2},
		"behind one":        {get("/1") + post("/2", get("/smuggled")) + get("/3"), nil, 3},
		"chunks like heads": {get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n24\r\n" + get("/smuggled1")[:0x24] + "\r\n0\r\n\r\n", nil, 2},
		"folded length":     {get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\ncontent-LENGTH:\t4\r\n\r\nbody", nil, 2},
		"long head":         {get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("a", maxHeadBytes) + "\r\n\r\n" + get("/3"), nil, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := &earlyRecorder{calls: make(chan struct{}, 16)}
			release := make(chan struct{})
			c := serveEarly(t, r.begin, func(w http.ResponseWriter, req *http.Request) {
				_, deliver := BeginServing(req)
				defer EndServing(req)
				<-release
				if deliver != nil {
					deliver.ServeHTTP(w, req)
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(w, "served "+req.RequestURI)
			})
			send(t, c, tc.text)
			for range tc.early {
				<-r.calls
			}
			close(release)
			_ = c.SetReadDeadline(time.Now().Add(wait))
			responses := bufio.NewReader(c)
			for i := range tc.n {
				resp, err := http.ReadResponse(responses, nil)
				if err != nil {
					t.Fatalf("response %d: %v", i, err)
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("response %d: status %d, body %q, error %v", i, resp.StatusCode, body, err)
				}
				how, path, _ := strings.Cut(string(body), " ")
				if slices.Contains(tc.early, path) != (how == "begun") {
					t.Errorf("the response to %s was %s", path, how)
				}
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			slices.Sort(r.started)
			if !slices.Equal(r.started, tc.early) {
				t.Errorf("responses to %q started early, want %q", r.started, tc.early)
			}
		})
	}
}

// TestInvalidHeader guards against a response that starts early for a request that the server
// of net/http rejects, because the target could interpret its headers in another way.
func TestInvalidHeader(t *testing.T) {
	for _, line := range []string{"Name : value", "Na me: value", "Name: a\rb", "Name: a\x00", "Host: h"} {
		r := &earlyRecorder{calls: make(chan struct{}, 16)}
		c := serveEarly(t, r.begin, func(_ http.ResponseWriter, req *http.Request) {
			BeginServing(req)
			EndServing(req)
		})
		send(t, c, get("/1")+"GET /2 HTTP/1.1\r\nHost: h\r\n"+line+"\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(wait))
		responses := bufio.NewReader(c)
		for _, want := range []int{http.StatusOK, http.StatusBadRequest} {
			if resp, err := http.ReadResponse(responses, nil); err != nil || resp.StatusCode != want {
				t.Fatalf("%q: response %v, error %v, want status %d", line, resp, err, want)
			}
		}
		if len(r.calls) != 0 {
			t.Errorf("%q: the response started early", line)
		}
	}
}

// TestSplit guards against heads that are split differently depending on how their
// bytes are divided between reads.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		paths := rapid.SliceOfN(rapid.StringMatching(`/[a-z]{0,20}`), 1, 12).Draw(t, "paths")
		text := ""
		for _, path := range paths {
			text += get(path)
		}
		var s headSplitter
		var got []string
		for data := []byte(text); len(data) > 0; {
			n := rapid.IntRange(1, len(data)).Draw(t, "piece")
			for _, r := range s.split(data[:n]) {
				got = append(got, string(r.head))
			}
			data = data[n:]
		}
		if strings.Join(got, "") != text || len(got) != len(paths) {
			t.Fatalf("%d heads %q of %q", len(got), got, text)
		}
	})
}
