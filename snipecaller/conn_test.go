package snipecaller

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// wait bounds each wait of a test.
const wait = 10 * time.Second

// serve serves callers with a handler and returns a connection of a caller.
func serve(t *testing.T, h http.HandlerFunc) net.Conn {
	t.Helper()
	return serveBegin(t, nil, h)
}

// serveBegin is serve with answers that are begun ahead of their turn.
func serveBegin(t *testing.T, begin Begin, h http.HandlerFunc) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ConnContext: Context, ReadHeaderTimeout: wait}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(Listen(l, begin)) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended //nolint:errcheck // the error is that of the close
	})
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// failing is a listener that runs out of descriptors once.
type failing struct {
	net.Listener
	failed bool
}

func (f *failing) Accept() (net.Conn, error) {
	if !f.failed {
		f.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// TestAcceptGoesOn guards against a server that ends because one connection could
// not be accepted.
func TestAcceptGoesOn(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: Context, ReadHeaderTimeout: wait, ErrorLog: log.New(io.Discard, "", 0)}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(Listen(&failing{Listener: l}, nil)) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: wait}
	resp, err := client.Get("http://" + l.Addr().String())
	if err != nil {
		t.Error(err)
	} else {
		_ = resp.Body.Close()
	}
	_ = server.Close()
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("the server ends with %v", err)
	}
}

// TestCallerLeaves guards against work for a caller that has sent requests ahead
// and then closes its connection.
func TestCallerLeaves(t *testing.T) {
	cases := map[string][]string{
		"alone":           {get("/1")},
		"with the first":  {get("/1") + get("/2")},
		"after the first": {get("/1"), get("/2")},
		"in part":         {get("/1"), "GET /2 HT"},
		"in bytes":        {get("/1"), "G", "E", "T", " /2"},
	}
	for name, parts := range cases {
		t.Run(name, func(t *testing.T) {
			begun, gone := make(chan string, 4), make(chan string, 4)
			c := serve(t, func(_ http.ResponseWriter, r *http.Request) {
				if r.Context().Err() != nil {
					return
				}
				begun <- r.URL.Path
				select {
				case <-r.Context().Done():
					gone <- r.URL.Path
				case <-time.After(wait):
				}
			})
			send(t, c, parts[0])
			<-begun
			for _, part := range parts[1:] {
				send(t, c, part)
				// The server reads each part on its own.
				time.Sleep(10 * time.Millisecond)
			}
			_ = c.Close()
			select {
			case path := <-gone:
				if path != "/1" {
					t.Errorf("request %s was begun", path)
				}
			case <-time.After(wait / 2):
				t.Error("the handler does not notice that its caller left")
			}
		})
	}
}

// TestArrival guards against a request that waited behind another and counts as
// sent only now, and against one that counts the time of the body before it.
func TestArrival(t *testing.T) {
	const hold = 200 * time.Millisecond
	waited := make(chan time.Duration, 4)
	c := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived, _ := Take(r)
		defer End(r)
		waited <- time.Since(arrived)
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasPrefix(r.URL.Path, "/hold") {
			time.Sleep(hold)
		}
	})
	answers := bufio.NewReader(c)
	step := func(text string, least, most time.Duration) {
		t.Helper()
		if text != "" {
			send(t, c, text)
		}
		if got := <-waited; got < least || got > most {
			t.Errorf("waited %v, want %v to %v", got, least, most)
		}
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	step(get("/hold/1")+get("/2"), 0, hold/2)
	step("", hold, wait)
	step(get("/3"), 0, hold/2)
	go func() {
		time.Sleep(hold / 4)
		_, _ = io.WriteString(c, get("/5"))
	}()
	step(get("/hold/4"), 0, hold/2)
	step("", hold/2, wait)
	// Two requests come at different times while the first is served.
	go func() {
		time.Sleep(hold / 4)
		_, _ = io.WriteString(c, get("/hold/9"))
		time.Sleep(hold / 2)
		_, _ = io.WriteString(c, get("/10"))
	}()
	step(get("/hold/8"), 0, hold/2)
	step("", hold/2, hold)
	step("", hold, hold*3/2)
	body := "POST /hold/6 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	go func() {
		time.Sleep(hold)
		_, _ = io.WriteString(c, "body")
	}()
	step(body, 0, hold/2)
	step(get("/7"), 0, hold/2)
	// A body that looks like heads is none.
	step("POST /11 HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n\r\n\r\n\r\n\r\n", 0, hold/2)
	time.Sleep(hold)
	step(get("/12"), 0, hold/2)
}

// TestOrder guards against answers that are lost or crossed, and against a stop
// that cuts a request whose answer is due.
func TestOrder(t *testing.T) {
	const requests = 200
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})
	go func() {
		var text strings.Builder
		for i := range requests {
			// Paths of many lengths end the pieces of the caller at any byte.
			fmt.Fprint(&text, get(fmt.Sprintf("/%d/%s", i, strings.Repeat("x", i%97))))
		}
		all := text.String()
		for len(all) > 0 {
			n := min(len(all), 1+len(all)%701)
			if _, err := io.WriteString(c, all[:n]); err != nil {
				return
			}
			all = all[n:]
		}
	}()
	answers := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(wait))
	for i := range requests {
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		body, err := io.ReadAll(resp.Body)
		if want := fmt.Sprintf("/%d/%s", i, strings.Repeat("x", i%97)); err != nil || string(body) != want {
			t.Fatalf("answer %d is %q, %v", i, body, err)
		}
	}
}
