package snipegate

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipetable"
)

// TestCallerLeftBeforeRead guards against requests that are sent to targets although
// their callers closed the connection before the front had read them.
func TestCallerLeftBeforeRead(t *testing.T) {
	const callers, bodyBytes = 100, 50
	for _, kind := range []snipetable.Kind{snipetable.Idempotent, snipetable.NonIdempotent} {
		for _, maxConns := range []int{0, callers} {
			t.Run(fmt.Sprintf("%s, at most %d connections", kind, maxConns), func(t *testing.T) {
				r := newTestGate(t, kind)
				sender := &scriptedSender{}
				r.gate.Sender = sender
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				for i := range callers {
					c, err := net.Dial("tcp4", l.Addr().String())
					if err != nil {
						t.Fatal(err)
					}
					_, err = fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: h\r\nId: %d\r\nContent-Length: %d\r\n\r\n%s",
						i, i, bodyBytes, strings.Repeat("b", bodyBytes))
					if err != nil {
						t.Fatal(err)
					}
					if err := c.Close(); err != nil {
						t.Fatal(err)
					}
				}
				served := make(chan struct{}, callers)
				server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					defer func() { served <- struct{}{} }()
					r.gate.ServeHTTP(w, req)
				}))
				_ = server.Listener.Close()
				server.Listener = snipecaller.Listen(l, maxConns, r.gate.ServePipelined)
				server.Config.ConnContext = snipecaller.Context
				server.Start()
				defer server.Close()
				for range callers {
					select {
					case <-served:
					case <-time.After(10 * time.Second):
						t.Fatal("not all requests were handled")
					}
				}
				if n := len(sender.sent); n > 0 {
					t.Errorf("%d of %d requests were sent after their callers had left", n, callers)
				}
			})
		}
	}
}

// TestOpenCallerIsServed guards against a caller that is taken to have left although its
// connection is open, also if it has sent more.
func TestOpenCallerIsServed(t *testing.T) {
	s := &delaySender{started: make(chan string, 16)}
	c, _ := dialGate(t, snipetable.Idempotent, s)
	for range 3 {
		if _, err := io.WriteString(c, pipelinedRequests("/1ms/1", "/1ms/2")); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			select {
			case <-s.started:
			case <-time.After(10 * time.Second):
				t.Fatal("a request of an open connection was not sent")
			}
		}
	}
}
