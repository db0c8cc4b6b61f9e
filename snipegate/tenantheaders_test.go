package snipegate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/snipemoor/snipemoor/snipecaller"
	"github.com/snipemoor/snipemoor/snipetable"
)

// receivedRequest is a request as a target received it.
type receivedRequest struct {
	method          string
	header, trailer http.Header
	body            string
}

// startTenantFront starts a front whose configuration is newTenantTable and a target, and
// returns the front's address and the requests that the target receives.
func startTenantFront(t *testing.T, kind snipetable.Kind) (string, <-chan receivedRequest) {
	t.Helper()
	received := make(chan receivedRequest, 16)
	target := startTarget(t, func(c net.Conn, _ *bufio.Reader, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		received <- receivedRequest{req.Method, req.Header, req.Trailer, string(body)}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
	})
	r := newTestGateAt(t, kind, 1, target, "d")
	r.gate.Tables.UpdateIfNewer(newTenantTable(3, kind, keyOfT))
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(r.gate)
	_ = server.Listener.Close()
	server.Listener = snipecaller.Listen(l, 0, r.gate.ServePipelined)
	server.Config.ConnContext = snipecaller.Context
	server.Start()
	t.Cleanup(server.Close)
	return l.Addr().String(), received
}

// TestTenantHeaders guards against a key that reaches a target, and against a target that is
// told another tenant than that of the key, for each way in which the headers can arrive.
func TestTenantHeaders(t *testing.T) {
	const valid = "Key: " + keyOfT + "\r\n"
	const chunked = "Transfer-Encoding: chunked\r\nTrailer: Key, Tenant\r\n"
	const chunkedBody = "4\r\nbody\r\n0\r\nKey: secret\r\nTenant: forged\r\n\r\n"
	for name, tc := range map[string]struct {
		kind                  snipetable.Kind
		method, path          string
		header, body          string
		status                int
		tenant, bodyOfRequest string
	}{
		"valid":               {snipetable.Idempotent, "GET", "/", valid, "", 200, "t", ""},
		"other case":          {snipetable.Idempotent, "GET", "/", "kEY: " + keyOfT + "\r\ntENANT: forged\r\n", "", 200, "t", ""},
		"spaces":              {snipetable.Idempotent, "GET", "/", "Key:  \t" + keyOfT + " \r\n", "", 200, "t", ""},
		"several tenants":     {snipetable.Idempotent, "GET", "/", valid + "Tenant: forged\r\ntenant: forged, too\r\n", "", 200, "t", ""},
		"in Connection":       {snipetable.Idempotent, "GET", "/", valid + "Tenant: forged\r\nConnection: Key, Tenant\r\n", "", 200, "t", ""},
		"HEAD":                {snipetable.Idempotent, "HEAD", "/", valid + "Tenant: forged\r\n", "", 200, "t", ""},
		"upload":              {snipetable.Upload, "POST", "/", valid + "Tenant: forged\r\nContent-Length: 4\r\n", "body", 200, "t", "body"},
		"trailers":            {snipetable.Upload, "POST", "/", valid + chunked, chunkedBody, 200, "t", "body"},
		"only in trailers":    {snipetable.Upload, "POST", "/", chunked, chunkedBody, 401, "", ""},
		"two keys":            {snipetable.Idempotent, "GET", "/", valid + valid, "", 401, "", ""},
		"two in other case":   {snipetable.Idempotent, "GET", "/", valid + "KEY: " + keyOfT + "\r\n", "", 401, "", ""},
		"empty and valid":     {snipetable.Idempotent, "GET", "/", "Key:\r\n" + valid, "", 401, "", ""},
		"long":                {snipetable.Idempotent, "GET", "/", "Key: " + strings.Repeat("v", longKey) + "\r\n", "", 401, "", ""},
		"public":              {snipetable.Idempotent, "GET", "/public/x", valid + "Tenant: forged\r\n", "", 200, "", ""},
		"public, several":     {snipetable.Idempotent, "GET", "/public/x", valid + "kEY: secret\r\nTenant: forged\r\nTENANT: t\r\n", "", 200, "", ""},
		"public, Connection":  {snipetable.Idempotent, "HEAD", "/public/x", valid + "Tenant: forged\r\nConnection: tenant\r\n", "", 200, "", ""},
		"public, in trailers": {snipetable.Upload, "POST", "/public/x", chunked, chunkedBody, 200, "", "body"},
	} {
		t.Run(name, func(t *testing.T) {
			address, received := startTenantFront(t, tc.kind)
			resp := exchange(t, address, tc.method, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nId: 1\r\nOther: kept\r\n%s\r\n%s", tc.method, tc.path, tc.header, tc.body), 1)[0]
			if resp.StatusCode != tc.status {
				t.Fatalf("status %d, want %d", resp.StatusCode, tc.status)
			}
			if tc.status != http.StatusOK {
				if len(received) != 0 {
					t.Error("a target received the request")
				}
				return
			}
			got := <-received
			checkTenant(t, got, tc.tenant)
			if got.method != tc.method || got.body != tc.bodyOfRequest || got.header.Get("Other") != "kept" {
				t.Errorf("target received %+v", got)
			}
		})
	}
}

// checkTenant checks that a request names the tenant, or none if it is empty, and no key.
func checkTenant(t *testing.T, got receivedRequest, tenant string) {
	t.Helper()
	var want []string
	if tenant != "" {
		want = []string{tenant}
	}
	if !slices.Equal(got.header["Tenant"], want) || len(got.trailer) != 0 {
		t.Errorf("target is told the tenants %q, trailers %v", got.header["Tenant"], got.trailer)
	}
	if text := fmt.Sprint(got); strings.Contains(text, "secret") || strings.Contains(text, "forged") {
		t.Errorf("target received %s", text)
	}
}

// exchange sends text over a new connection to address and returns n responses to requests
// with the given method.
func exchange(t *testing.T, address, method, text string, n int) []*http.Response {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	responses := make([]*http.Response, n)
	for i := range responses {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		responses[i] = resp
	}
	return responses
}

// TestPipelinedKeys guards against a pipelined request that is served by the key of another
// one on its connection, and against one that is sent early without a valid key.
func TestPipelinedKeys(t *testing.T) {
	address, received := startTenantFront(t, snipetable.Idempotent)
	var text strings.Builder
	want := []int{200, 401, 200, 401, 200, 503, 503}
	for i, header := range []string{
		"Key: " + keyOfT + "\r\n", "", "Key: " + keyOfT + "\r\nTenant: forged\r\n", "Key: secret-unknown\r\n",
		"KEY: " + keyOfT + "\r\nConnection: Key\r\n", "Key: " + sharedKey + "\r\n", "Key: " + keyOfDisabled + "\r\n",
	} {
		fmt.Fprintf(&text, "GET / HTTP/1.1\r\nHost: h\r\nId: %d\r\n%s\r\n", i, header)
	}
	for i, resp := range exchange(t, address, http.MethodGet, text.String(), len(want)) {
		if resp.StatusCode != want[i] || resp.Header.Get("Id") != fmt.Sprint(i) {
			t.Fatalf("request %d: status %d for %q, want %d", i, resp.StatusCode, resp.Header.Get("Id"), want[i])
		}
	}
	for range 3 {
		checkTenant(t, <-received, "t")
	}
	if len(received) != 0 {
		t.Error("a target received a request without a valid key")
	}
}

// TestPipelinedInvalidHeader guards against a pipelined request that is sent early although
// the server rejects it: a target that ignores the space before a colon would receive a
// forged tenant, or a key.
func TestPipelinedInvalidHeader(t *testing.T) {
	for _, line := range []string{"Tenant : forged", "Key : secret", "Ten ant: forged", "Other: x\rTenant: forged", "Other: x\x00", "Host: h"} {
		address, received := startTenantFront(t, snipetable.Idempotent)
		var text strings.Builder
		for i, header := range []string{"", line + "\r\n"} {
			fmt.Fprintf(&text, "GET / HTTP/1.1\r\nHost: h\r\nId: %d\r\nKey: %s\r\n%s\r\n", i, keyOfT, header)
		}
		responses := exchange(t, address, http.MethodGet, text.String(), 2)
		if first, second := responses[0].StatusCode, responses[1].StatusCode; first != http.StatusOK || second != http.StatusBadRequest {
			t.Errorf("%q: status %d and %d", line, first, second)
		}
		checkTenant(t, <-received, "t")
		if len(received) != 0 {
			t.Errorf("%q: a target received the request %v", line, <-received)
		}
	}
}

// TestRetryNamesTenant guards against a further attempt that does not name the tenant, or
// that carries the key.
func TestRetryNamesTenant(t *testing.T) {
	r, _ := newTenantGate(t, snipetable.NonIdempotent, statusResult(503, "Not-Run"), successResult("x"))
	r.callWithKeys(http.MethodPost, "/", nil, keyOfT)
	if len(r.sender.sent) != 2 {
		t.Fatalf("%d sends", len(r.sender.sent))
	}
	for i, sent := range r.sender.sent {
		last := sent.Overrides[len(sent.Overrides)-1]
		if last.Name != "Tenant" || last.Value != "t" || !slices.Equal(sent.Omitted, []string{"Key", "Tenant"}) {
			t.Errorf("attempt %d: overrides %v, omitted %v", i+1, sent.Overrides, sent.Omitted)
		}
	}
}

// TestWithoutTenants guards against a change for callers of a deployment that has no tenants.
func TestWithoutTenants(t *testing.T) {
	r := newTestGate(t, snipetable.NonIdempotent, successResult("x"))
	w := r.callWithKeys(http.MethodPost, "/", nil, "k", "l")
	if w.Code != http.StatusOK || r.sender.sent[0].Omitted != nil || len(r.sender.sent[0].Header["Key"]) != 2 {
		t.Errorf("status %d, sent %+v", w.Code, r.sender.sent)
	}
}

// TestTenantsInForceMeanwhile guards against a forged tenant, or a key, that reaches a target
// because the request was admitted by a version without tenants and has waited for its body.
func TestTenantsInForceMeanwhile(t *testing.T) {
	r := newTestGate(t, snipetable.Upload, successResult("x"))
	body := hookReader{strings.NewReader("body"), func() { r.gate.Tables.UpdateIfNewer(newTenantTable(9, snipetable.Upload, keyOfT)) }}
	w := r.callWithKeys(http.MethodPost, "/", body, "k")
	if w.Code != http.StatusOK || !slices.Equal(r.sender.sent[0].Omitted, []string{"Key", "Tenant"}) {
		t.Errorf("status %d, sent %+v", w.Code, r.sender.sent)
	}
}

// TestMalformedTrailer guards against a key in the log because the error of a malformed trailer
// quotes it.
func TestMalformedTrailer(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	r, _ := newTenantGate(t, snipetable.Upload)
	r.gate.Log = zap.New(core)
	server := httptest.NewServer(r.gate)
	defer server.Close()
	for _, trailer := range []string{"Key " + keyOfT, "Key: " + keyOfT + "\x01", "Key\x01: " + keyOfT} {
		text := "POST / HTTP/1.1\r\nHost: h\r\nId: 1\r\nKey: " + keyOfT + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + trailer + "\r\n\r\n"
		resp := exchange(t, server.Listener.Addr().String(), http.MethodPost, text, 1)[0]
		lines := logs.TakeAll()
		if resp.StatusCode != http.StatusBadRequest || len(lines) != 1 || strings.Contains(fmt.Sprint(lines[0].ContextMap()), keyOfT) {
			t.Errorf("%q: status %d, log %v", trailer, resp.StatusCode, lines)
		}
	}
}
