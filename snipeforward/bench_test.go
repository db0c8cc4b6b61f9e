package snipeforward

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/snipemoor/snipemoor/snipetarget"
)

// BenchmarkForward compares a forwarded request with a direct one.
func BenchmarkForward(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer target.Close()
	pools := snipetarget.New(snipetarget.Settings{}, &net.Dialer{})
	defer pools.Close()
	f := fakes{target.Listener.Addr().String()}
	entry := httptest.NewServer(New(f, f, pools))
	defer entry.Close()
	for name, url := range map[string]string{"direct": target.URL + "/x", "forwarded": entry.URL + "/call/t/s/x"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				resp, err := http.Get(url)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
