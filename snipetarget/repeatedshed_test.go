package snipetarget

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"
)

// repeatingTransport takes one connection after the other for a request, as net/http does
// when a connection fails, and returns a refusal.
type repeatingTransport struct {
	// written holds the bytes that are written to each connection.
	written []string
}

// RoundTrip implements http.RoundTripper.
func (r repeatingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	for _, text := range r.written {
		conn := newTrackedConn(&discardingConn{}, func() {})
		httptrace.ContextClientTrace(req.Context()).GotConn(httptrace.GotConnInfo{Conn: conn})
		// An error means that the connection is sealed.
		_, _ = conn.Write([]byte(text))
	}
	return &http.Response{Status: "503 Service Unavailable", StatusCode: http.StatusServiceUnavailable, Header: http.Header{notRunHeader: {"1"}}, Body: http.NoBody}, nil
}

// discardingConn is a connection that discards what is written to it.
type discardingConn struct{ net.Conn }

// Write implements net.Conn.
func (*discardingConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (*discardingConn) Close() error { return nil }

// TestRefusalAfterRepetition guards against an attempt that is reported as not begun, by a
// refusal over its second connection, although the target may have begun it over the first
// one.
func TestRefusalAfterRepetition(t *testing.T) {
	const target = "127.0.0.1:1"
	for name, tc := range map[string]struct {
		written []string
		want    Execution
	}{
		"one connection":                {[]string{"request"}, NotBegun},
		"nothing written to the first":  {[]string{"", "request"}, NotBegun},
		"written to the first":          {[]string{"request", "request"}, MaybeBegun},
		"written to the first of three": {[]string{"request", "request", ""}, MaybeBegun},
	} {
		t.Run(name, func(t *testing.T) {
			pools := New(Settings{}, &net.Dialer{})
			t.Cleanup(pools.Close)
			pool, err := pools.pool(target)
			if err != nil {
				t.Fatal(err)
			}
			pool.current.transport.RegisterProtocol("http", repeatingTransport{tc.written})
			_, err = pools.Attempt(testContext(t), Request{Target: target, Method: http.MethodPost, URI: "/"})
			var failure *Error
			if !errors.As(err, &failure) || failure.Execution != tc.want {
				t.Errorf("error %v, want execution %d", err, tc.want)
			}
		})
	}
}
