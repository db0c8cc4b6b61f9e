package snipeforward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetarget"
)

type fakes struct{ target string }

func (fakes) Service(team, name string) (Service, uint64, *Refusal) {
	return Service{Team: team, Name: name, Class: ClassSafe, DefaultTimeout: 5 * time.Second, MaxTimeout: 5 * time.Second, MaxBody: 9}, 3, nil
}

func (f fakes) Acquire(context.Context, Service) (Grant, *Refusal) {
	return Grant{Target: f.target}, nil
}
func (fakes) Release(Grant, time.Duration, error) {}

// Guards against a changed path, a leaked hop-by-hop header and a truncated
// answer that ends cleanly.
func TestForward(t *testing.T) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.RequestURI == "/cut" {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, r.RequestURI+r.Header.Get("X-Hop")+r.Header.Get("X-Forwarded-For"))
	}))
	defer target.Close()
	pools := snipetarget.New(snipetarget.Settings{}, &net.Dialer{})
	defer pools.Close()
	f := fakes{target.Listener.Addr().String()}
	entry := httptest.NewServer(New(f, f, pools))
	defer entry.Close()
	for _, path := range []string{"/a%2Fb/?", "/cut"} {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.URL+"/call/t/s"+path, nil)
		req.Header = http.Header{"Connection": {"X-Hop"}, "X-Hop": {"leaked"}}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if path == "/cut" {
			if err == nil {
				t.Error("truncated answer ended cleanly")
			}
			continue
		}
		if err != nil || string(body) != path+"127.0.0.1" || resp.Header.Get("Snipemoor-Outcome") != "done" {
			t.Errorf("body %q, error %v, headers %v", body, err, resp.Header)
		}
	}
}
