package snipeforward

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipepeer"
)

var plans = map[string][]Place{"local": localPlan, "relayed": relayPlan}

// Guards against paths, queries, bodies, lengths and end-to-end headers that are
// changed between caller and target, and against hop-by-hop headers that are
// forwarded.
func TestUnchanged(t *testing.T) {
	type seen struct{ method, uri, header, body string }
	var got seen
	var answer func(http.ResponseWriter)
	target := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		p, _ := io.ReadAll(r.Body)
		r.Header.Del(headerTimeout)
		r.Header.Del(headerRequestID)
		got = seen{r.Method, r.RequestURI, fmt.Sprint(r.Header), fmt.Sprint(r.ContentLength, string(p))}
		answer(w)
	})
	for name, plan := range plans {
		a, _ := newFleet(t, plan, target)
		for _, method := range []string{"GET", "POST", "DELETE", "PURGE"} {
			for _, uri := range []string{"/", "/a%2Fb/", "//a//b", "/a?", "/a/?x=%20&y&x=2", "/%41;b=c,d?q=a+b"} {
				for _, body := range []string{"", "text"} {
					answer = func(http.ResponseWriter) {}
					text := fmt.Sprintf("%s /call/t/idempotent%s HTTP/1.1\r\nHost: h\r\nX-A: 2\r\nX-A: 1\r\nX-Empty:\r\n"+
						"Connection: X-Hop\r\nX-Hop: 1\r\nTe: trailers\r\nProxy-Connection: x\r\nContent-Length: %d\r\n\r\n%s", method, uri, len(body), body)
					resp, err := rawCall(t, a, text)
					if err != nil || resp.Header.Get(headerOutcome) != outcomeDone {
						t.Fatal(resp, err)
					}
					header := "map[X-A:[2 1] X-Empty:[]]"
					if body != "" || method == "POST" {
						header = fmt.Sprintf("map[Content-Length:[%d] X-A:[2 1] X-Empty:[]]", len(body))
					}
					if want := (seen{method, uri, header, fmt.Sprint(len(body), body)}); got != want {
						t.Errorf("%s: target received %+v, want %+v", name, got, want)
					}
				}
			}
		}
		for _, c := range []struct {
			method, body string
			status       int
			length       int64
		}{{"HEAD", "", 200, 12}, {"GET", "", 204, 0}, {"GET", "", 304, 0}, {"GET", "", 200, 0}, {"GET", "some text", 201, 9}, {"GET", "late", 200, -1}, {"POST", "error", 500, 5}} {
			answer = func(w http.ResponseWriter) {
				w.Header()["X-Many"] = []string{"b", "a"}
				w.Header()["Content-Type"] = nil
				w.Header().Set("Connection", "X-Hop")
				w.Header().Set("X-Hop", "1")
				w.Header().Set(headerOutcome, "forged")
				if c.length >= 0 && c.status != 204 && c.status != 304 {
					w.Header().Set("Content-Length", fmt.Sprint(c.length))
				}
				w.WriteHeader(c.status)
				if c.length < 0 {
					_ = http.NewResponseController(w).Flush()
				}
				_, _ = io.WriteString(w, c.body)
			}
			resp, err := a.send(t.Context(), c.method, "once/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			p, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			resp.Header.Del("Date")
			id := resp.Header.Get(headerRequestID)
			want := http.Header{"X-Many": {"b", "a"}, headerOutcome: {outcomeDone}, headerRequestID: {id}, headerGeneration: {"7"}}
			if c.length >= 0 && c.status != 204 && c.status != 304 {
				want.Set("Content-Length", fmt.Sprint(c.length))
			}
			if err != nil || string(p) != c.body || resp.StatusCode != c.status || resp.ContentLength != c.length ||
				id == "" || !reflect.DeepEqual(resp.Header, want) {
				t.Errorf("%s %+v: %d, length %d, %q, %v, %v", name, c, resp.StatusCode, resp.ContentLength, p, resp.Header, err)
			}
		}
	}
}

// Guards against a response that is truncated by the target or by the loss of the
// relay session and appears complete to the caller.
func TestTruncatedResponse(t *testing.T) {
	for name, plan := range plans {
		for _, class := range []string{"safe", "once"} {
			for _, length := range []string{"", "100000"} {
				for _, breakRelay := range []bool{false, true} {
					var b *instance
					down := make(chan struct{}, 10)
					target := serveTarget(t, func(w http.ResponseWriter, _ *http.Request) {
						if length != "" {
							w.Header().Set("Content-Length", length)
						}
						_, _ = io.WriteString(w, strings.Repeat("x", 50000))
						_ = http.NewResponseController(w).Flush()
						if breakRelay {
							go b.node.Close()
							<-down
							return
						}
						panic(http.ErrAbortHandler)
					})
					var a *instance
					a, b = newFleet(t, plan, target)
					a.node.Subscribe(func(e snipepeer.Event) {
						if e.Kind == snipepeer.SessionDown {
							down <- struct{}{}
						}
					})
					if breakRelay && name == "local" {
						continue
					}
					resp, err := a.send(t.Context(), "POST", class+"/x", nil)
					if err != nil {
						continue
					}
					if p, err := io.ReadAll(resp.Body); err == nil && resp.Header.Get(headerOutcome) == outcomeDone {
						t.Errorf("%s %s length %q: a truncated response of %d bytes appears complete", name, class, length, len(p))
					}
					_ = resp.Body.Close()
					a.waitIdle(t)
				}
			}
		}
	}
}

// Guards against concurrent requests that receive each other's responses, and
// against an upload that is truncated when its response begins before its end.
func TestConcurrentResponses(t *testing.T) {
	target := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	})
	a, b := newFleet(t, nil, target)
	a.plan = append(localPlan[:1:1], relayPlan...)
	// Every second request finds no slot in region r1 and is relayed.
	a.targets = append(a.targets, "")
	a.emptyTargetIsFull = true
	var wg sync.WaitGroup
	for n := range 32 {
		wg.Go(func() {
			for k := range 30 {
				class := []string{"safe", "idempotent", "once"}[k%3]
				body := strings.Repeat(fmt.Sprintf("%d/%d ", n, k), 1+k*k*20)
				resp, err := a.send(t.Context(), "POST", class+"/x", strings.NewReader(body))
				if err != nil {
					t.Error(err)
					return
				}
				p, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || resp.StatusCode != http.StatusOK || string(p) != body {
					t.Errorf("request %d/%d: %s, %d bytes of %d, %v", n, k, resp.Status, len(p), len(body), err)
				}
			}
		})
	}
	wg.Wait()
	if len(a.waitIdle(t)) == 0 || len(b.waitIdle(t)) == 0 {
		t.Error("one of the routes was not used")
	}
}

// Guards against malformed input that ends the process or is answered without a
// problem document that states the reason.
func TestBadInput(t *testing.T) {
	target := newScriptedTarget(t)
	defer target.close()
	a, _ := newFleet(t, localPlan, target.listener.Addr().String())
	for _, c := range []struct {
		method, path string
		headers      []string
		status       int
		reason       string
	}{
		{"GET", "/call/", nil, 404, reasonUnknownService},
		{"GET", "/call/t", nil, 404, reasonUnknownService},
		{"GET", "/call/other/once/x", nil, 404, reasonUnknownTeam},
		{"GET", "/call/t/other/x", nil, 404, reasonUnknownService},
		{"GET", "/nothing", nil, 404, reasonUnknownService},
		{"POST", "/call/t/once/x", []string{headerRequestID, "a.b"}, 400, reasonBadRequestID},
		{"POST", "/call/t/once/x", []string{headerRequestID, strings.Repeat("a", 5000)}, 400, reasonBadRequestID},
		{"POST", "/call/t/once/x", []string{headerRequestID, "a-a-99999999999999999999-1.1"}, 400, reasonBadRequestID},
		{"POST", "/call/t/once/x", []string{headerTimeout, "soon"}, 400, reasonBadTimeout},
		{"POST", "/call/t/once/x", []string{headerTimeout, "-1s"}, 400, reasonBadTimeout},
		{"POST", "/call/t/once/x", []string{headerTimeout, "0s"}, 400, reasonBadTimeout},
		{"POST", "/call/t/once/x", []string{headerTimeout, "1ns"}, 504, reasonDeadline},
		{"POST", "/call/t/once/x", []string{"X", strings.Repeat("x", 9000)}, 431, reasonHeaderTooLarge},
		{"POST", "/call/t/once/" + strings.Repeat("x", 9000), nil, 431, reasonHeaderTooLarge},
		{"GET", "/v1/entries?block=nonsense", nil, 400, reasonBadLookup},
	} {
		r, err := http.NewRequestWithContext(t.Context(), c.method, a.server.URL+c.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		for n := 0; n < len(c.headers); n += 2 {
			r.Header.Add(c.headers[n], c.headers[n+1])
		}
		resp, err := a.client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		var p problem
		err = json.NewDecoder(resp.Body).Decode(&p)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != c.status || p.Status != c.status || p.Reason != c.reason ||
			resp.Header.Get(headerReason) != c.reason || resp.Header.Get(headerOutcome) != outcomeNotRun ||
			resp.Header.Get(headerGeneration) != "7" || resp.Header.Get("Content-Type") != "application/problem+json" {
			t.Errorf("%.60s %.60v: %d, %+v, %v, %v", c.path, c.headers, resp.StatusCode, p, resp.Header, err)
		}
	}
	if begun, _ := target.counts(); begun != 0 {
		t.Errorf("%d requests at the target", begun)
	}
}

// Guards against attempts that continue after the caller has disconnected. Only a
// request of class once continues, and a repeat of it must receive its result.
func TestCallerLeaves(t *testing.T) {
	for name, plan := range plans {
		for _, class := range []string{"safe", "idempotent", "once"} {
			arrived, release, cancelled := make(chan struct{}), make(chan struct{}), make(chan struct{})
			target := serveTarget(t, func(w http.ResponseWriter, r *http.Request) {
				close(arrived)
				select {
				case <-r.Context().Done():
					close(cancelled)
				case <-release:
					_, _ = io.WriteString(w, "result")
				}
			})
			a, b := newFleet(t, plan, target)
			id := testRecords{a}.Issue().String()
			ctx, leave := context.WithCancel(t.Context())
			go func() {
				<-arrived
				leave()
			}()
			if _, err := a.send(ctx, "POST", class+"/x", nil, headerRequestID, id); err == nil {
				t.Error("the caller received a response before the target sent one")
			}
			if class != "once" {
				<-cancelled
				if r := append(a.waitIdle(t), b.waitIdle(t)...); r[0] != AttemptCancelled {
					t.Errorf("%s %s: results %v", name, class, r)
				}
				continue
			}
			time.AfterFunc(20*time.Millisecond, func() { close(release) })
			resp, err := a.send(t.Context(), "POST", class+"/x", nil, headerRequestID, id)
			if err != nil {
				t.Fatal(err)
			}
			p, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if string(p) != "result" {
				t.Errorf("%s: a repeat received %s %q", name, resp.Status, p)
			}
		}
	}
}

// Guards against a second execution for one idempotency key that is repeated with
// another request identifier.
func TestRepeatedKey(t *testing.T) {
	target := newScriptedTarget(t)
	defer target.close()
	a, _ := newFleet(t, localPlan, target.listener.Addr().String())
	for range 2 {
		resp, err := a.send(t.Context(), "POST", "once/x", nil, headerIdempotencyKey, "k")
		if err != nil {
			t.Fatal(err)
		}
		p, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(p) != "whole" {
			t.Errorf("%s %q", resp.Status, p)
		}
	}
	if _, ran := target.counts(); ran != 1 {
		t.Errorf("%d executions", ran)
	}
}

// Guards against a refusal of a request of class once by a stopping instance
// without the header Retry-After.
func TestStoppingOnceHasRetryAfter(t *testing.T) {
	a, _ := newFleet(t, localPlan)
	a.table.Close(a.clock.Now())
	resp, err := a.send(t.Context(), "POST", "once/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	h := resp.Header
	if h.Get("Retry-After") != "1" || h.Get(headerReason) != reasonStopping || h.Get(headerOutcome) != outcomeNotRun {
		t.Errorf("refused with %v", h)
	}
}
