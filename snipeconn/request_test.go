package snipeconn

import (
	"bytes"
	"net/http"
	"testing"
)

// TestOmitted guards against a field that is forwarded although it is to be left out, because
// the caller wrote its name so that a target takes it for the same one: CGI and its successors
// give "X_Name" and "X-Name" the same variable.
func TestOmitted(t *testing.T) {
	h := http.Header{}
	for _, name := range []string{"x-key", "X_Key", "x_KEY", "X_Keys", "X-Key-Id"} {
		h.Add(name, "caller")
	}
	r := Request{
		Method: "GET", URI: "/", Host: "h", Header: h, Omitted: []string{"X-Key", "X-Name"},
		Overrides: []Field{{Name: "X-Name", Value: "front"}},
	}
	head := r.head().Bytes()
	for line, want := range map[string]int{"X-Key: ": 0, "X_key: ": 0, "X_KEY: ": 0, "X_keys: caller": 1, "X-Key-Id: caller": 1, "X-Name: front": 1} {
		if got := bytes.Count(head, []byte("\r\n"+line)); got != want {
			t.Errorf("%d lines %q, want %d, in %q", got, line, want, head)
		}
	}
}
