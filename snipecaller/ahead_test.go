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

// recorder begins each answer that it is asked to, and notes the requests.
type recorder struct {
	mu    sync.Mutex
	begun []string
	asked chan struct{}
}

func (r *recorder) begin(req *http.Request, _ time.Time) http.Handler {
	r.mu.Lock()
	r.begun = append(r.begun, req.RequestURI)
	r.mu.Unlock()
	r.asked <- struct{}{}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "begun "+req.RequestURI)
	})
}

// TestBegin guards against answers that are begun for what is not a request that
// waits behind another, and against answers that are delivered to another request.
func TestBegin(t *testing.T) {
	post := func(path, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	}
	many := ""
	for i := range maxBegun + 2 {
		many += get(fmt.Sprintf("/%d", i))
	}
	cases := map[string]struct {
		text  string
		begun []string
		n     int // requests
	}{
		"alone":                 {get("/1"), nil, 1},
		"two":                   {get("/1") + get("/2"), []string{"/2"}, 2},
		"too many":              {get("/first") + many, []string{"/0", "/1", "/2", "/3"}, maxBegun + 3},
		"body that is a head":   {post("/1", get("/smuggled")), nil, 1},
		"after a body":          {post("/1", "body") + get("/2"), nil, 2},
		"behind one":            {get("/1") + post("/2", get("/smuggled")) + get("/3"), nil, 3},
		"chunks that are heads": {get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n24\r\n" + get("/smuggled1")[:0x24] + "\r\n0\r\n\r\n", nil, 2},
		"folded length":         {get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\ncontent-LENGTH:\t4\r\n\r\nbody", nil, 2},
		"long head":             {get("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("a", maxHead) + "\r\n\r\n" + get("/3"), nil, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			r := &recorder{asked: make(chan struct{}, 16)}
			hold := make(chan struct{})
			c := serveBegin(t, r.begin, func(w http.ResponseWriter, req *http.Request) {
				_, deliver := Take(req)
				defer End(req)
				<-hold
				if deliver != nil {
					deliver.ServeHTTP(w, req)
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(w, "served "+req.RequestURI)
			})
			send(t, c, tc.text)
			for range tc.begun {
				<-r.asked
			}
			close(hold)
			_ = c.SetReadDeadline(time.Now().Add(wait))
			answers := bufio.NewReader(c)
			for i := range tc.n {
				resp, err := http.ReadResponse(answers, nil)
				if err != nil {
					t.Fatalf("answer %d: %v", i, err)
				}
				body, err := io.ReadAll(resp.Body)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("answer %d: %d, %q, %v", i, resp.StatusCode, body, err)
				}
				how, path, _ := strings.Cut(string(body), " ")
				if slices.Contains(tc.begun, path) != (how == "begun") {
					t.Errorf("%s was %s", path, how)
				}
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			slices.Sort(r.begun)
			if !slices.Equal(r.begun, tc.begun) {
				t.Errorf("begun %q, want %q", r.begun, tc.begun)
			}
		})
	}
}

// TestSplit guards against heads that are told apart differently when their bytes
// arrive in other pieces.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		paths := rapid.SliceOfN(rapid.StringMatching(`/[a-z]{0,20}`), 1, 12).Draw(t, "paths")
		text := ""
		for _, path := range paths {
			text += get(path)
		}
		var s splitter
		var got []string
		for data := []byte(text); len(data) > 0; {
			n := rapid.IntRange(1, len(data)).Draw(t, "piece")
			for _, a := range s.split(data[:n]) {
				got = append(got, string(a.head))
			}
			data = data[n:]
		}
		if strings.Join(got, "") != text || len(got) != len(paths) {
			t.Fatalf("%d heads %q of %q", len(got), got, text)
		}
	})
}
