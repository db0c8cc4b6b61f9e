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

// serve starts a server with handler h and returns a connection of a caller to it.
func serve(t *testing.T, h http.HandlerFunc) net.Conn {
	t.Helper()
	return serveEarly(t, nil, h)
}

// serveEarly is serve with startEarly for pipelined requests.
func serveEarly(t *testing.T, startEarly EarlyStarter, h http.HandlerFunc) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ConnContext: Context, ReadHeaderTimeout: wait}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(Listen(l, 0, startEarly)) }()
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

// failingListener is a listener whose first Accept fails for lack of file
// descriptors.
type failingListener struct {
	net.Listener
	failed bool
}

func (f *failingListener) Accept() (net.Conn, error) {
	if !f.failed {
		f.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

// TestAcceptRetries guards against a server that ends because one Accept failed:
// net/http retries only if it gets the temporary net.Error without a wrapper.
func TestAcceptRetries(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: Context, ReadHeaderTimeout: wait, ErrorLog: log.New(io.Discard, "", 0)}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(Listen(&failingListener{Listener: l}, 0, nil)) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: wait}
	resp, err := client.Get("http://" + l.Addr().String())
	if err != nil {
		t.Error(err)
	} else {
		_ = resp.Body.Close()
	}
	_ = server.Close()
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("the server ended with %v", err)
	}
}

// TestCallerDisconnects guards against a handler that goes on working for a caller
// that has pipelined requests and then closed its connection: net/http does not
// notice this.
func TestCallerDisconnects(t *testing.T) {
	cases := map[string][]string{
		"alone":             {get("/1")},
		"in one write":      {get("/1") + get("/2")},
		"in a second write": {get("/1"), get("/2")},
		"part of a head":    {get("/1"), "GET /2 HT"},
		"byte by byte":      {get("/1"), "G", "E", "T", " /2"},
	}
	for name, parts := range cases {
		t.Run(name, func(t *testing.T) {
			served, cancelled := make(chan string, 4), make(chan string, 4)
			c := serve(t, func(_ http.ResponseWriter, r *http.Request) {
				if r.Context().Err() != nil {
					return
				}
				served <- r.URL.Path
				select {
				case <-r.Context().Done():
					cancelled <- r.URL.Path
				case <-time.After(wait):
				}
			})
			send(t, c, parts[0])
			<-served
			for _, part := range parts[1:] {
				send(t, c, part)
				// The pause makes the server read each part separately.
				time.Sleep(10 * time.Millisecond)
			}
			_ = c.Close()
			select {
			case path := <-cancelled:
				if path != "/1" {
					t.Errorf("request %s was served, want /1 only", path)
				}
			case <-time.After(wait / 2):
				t.Error("the context of the request was not cancelled after the caller disconnected")
			}
		})
	}
}

// TestArrival guards against a pipelined request whose arrival time is the time at
// which net/http serves it, and against one that includes the time in which the
// body of the request before it was received.
func TestArrival(t *testing.T) {
	const serviceTime = 200 * time.Millisecond
	queued := make(chan time.Duration, 4)
	c := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		arrived, _ := BeginServing(r)
		defer EndServing(r)
		queued <- time.Since(arrived)
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasPrefix(r.URL.Path, "/hold") {
			time.Sleep(serviceTime)
		}
	})
	responses := bufio.NewReader(c)
	// expect sends text, checks how long the next served request was queued, and reads
	// its response.
	expect := func(text string, least, most time.Duration) {
		t.Helper()
		if text != "" {
			send(t, c, text)
		}
		if got := <-queued; got < least || got > most {
			t.Errorf("queued for %v, want %v to %v", got, least, most)
		}
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	expect(get("/hold/1")+get("/2"), 0, serviceTime/2)
	expect("", serviceTime, wait)
	expect(get("/3"), 0, serviceTime/2)
	go func() {
		time.Sleep(serviceTime / 4)
		_, _ = io.WriteString(c, get("/5"))
	}()
	expect(get("/hold/4"), 0, serviceTime/2)
	expect("", serviceTime/2, wait)
	// Two requests arrive at different times while the first one is served.
	go func() {
		time.Sleep(serviceTime / 4)
		_, _ = io.WriteString(c, get("/hold/9"))
		time.Sleep(serviceTime / 2)
		_, _ = io.WriteString(c, get("/10"))
	}()
	expect(get("/hold/8"), 0, serviceTime/2)
	expect("", serviceTime/2, serviceTime)
	expect("", serviceTime, serviceTime*3/2)
	body := "POST /hold/6 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	go func() {
		time.Sleep(serviceTime)
		_, _ = io.WriteString(c, "body")
	}()
	expect(body, 0, serviceTime/2)
	expect(get("/7"), 0, serviceTime/2)
	// A body that looks like ends of heads must not be parsed.
	expect("POST /11 HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n\r\n\r\n\r\n\r\n", 0, serviceTime/2)
	time.Sleep(serviceTime)
	expect(get("/12"), 0, serviceTime/2)
}

// TestOrder guards against responses to pipelined requests that are lost or come in
// another order, however the requests are divided between writes.
func TestOrder(t *testing.T) {
	const requests = 200
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})
	go func() {
		var text strings.Builder
		for i := range requests {
			// Paths of different lengths let the writes below end at any byte.
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
	responses := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(wait))
	for i := range requests {
		resp, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		body, err := io.ReadAll(resp.Body)
		if want := fmt.Sprintf("/%d/%s", i, strings.Repeat("x", i%97)); err != nil || string(body) != want {
			t.Fatalf("response %d: body %q, error %v", i, body, err)
		}
	}
}
