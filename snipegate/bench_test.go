package snipegate

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/snipemoor/snipemoor/snipeconn"
	"github.com/snipemoor/snipemoor/snipefleet"
	"github.com/snipemoor/snipemoor/snipeplacement"
	"github.com/snipemoor/snipemoor/snipetable"
)

// BenchmarkForward measures a request through a gate on loopback, and for comparison
// the same request sent to the target directly.
func BenchmarkForward(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signed", "1")
		_, _ = w.Write(make([]byte, 400))
	}))
	defer target.Close()
	const maxAttempts, slots = 1, 64
	r := newTestGateAt(b, snipetable.NonIdempotent, maxAttempts, target.Listener.Addr().String())
	r.fleet.UpdateTarget(0, snipefleet.TargetReport{ID: "a", Service: "s", Address: target.Listener.Addr().String(), Slots: slots, Born: 2})
	gate := httptest.NewServer(r.gate)
	defer gate.Close()
	for name, address := range map[string]net.Addr{"direct": target.Listener.Addr(), "gate": gate.Listener.Addr()} {
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			b.ReportAllocs()
			for i := range b.N {
				req, err := http.NewRequest(http.MethodGet, "http://"+address.String()+"/", nil)
				if err != nil {
					b.Fatal(err)
				}
				req.Host = "h"
				req.Header.Set("Id", name+strconv.Itoa(i))
				resp, err := client.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
					b.Fatalf("status %d, error %v", resp.StatusCode, err)
				}
				_ = resp.Body.Close()
			}
		})
	}
}

// BenchmarkRefusals measures what retries cost in connections when targets refuse most
// requests although they have free slots: dials, retries and served requests, each per
// request of a caller.
func BenchmarkRefusals(b *testing.B) {
	for _, kind := range []snipetable.Kind{snipetable.Idempotent, snipetable.NonIdempotent} {
		for _, targets := range []int{1, 2, 6} {
			for _, maxAttempts := range []int{2, 3, 5} {
				b.Run(fmt.Sprintf("kind=%s/targets=%d/attempts=%d", kind, targets, maxAttempts), func(b *testing.B) {
					benchmarkRefusals(b, kind, targets, maxAttempts)
				})
			}
		}
	}
}

// benchmarkRefusals is BenchmarkRefusals for one kind of request, number of targets and
// maximum number of attempts.
func benchmarkRefusals(b *testing.B, kind snipetable.Kind, targets, maxAttempts int) {
	const refusalShare, parallelism, slots = 0.7, 1, 256
	refuse := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if rand.Float64() < refusalShare {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Signed", "1")
	}
	r := newTestGateAt(b, kind, maxAttempts, "")
	for i := range targets {
		target := httptest.NewServer(http.HandlerFunc(refuse))
		defer target.Close()
		r.fleet.UpdateTarget(r.gate.Clock.Now(), snipefleet.TargetReport{
			ID: fmt.Sprint("d", i), Service: "s", Address: target.Listener.Addr().String(), Slots: slots, Born: 2,
		})
	}
	r.gate.HeaderCodec = loadDialect{load: &snipeplacement.Load{Slots: slots}}
	pools := r.gate.Sender.(*snipeconn.Pools)
	var requests, served atomic.Int64
	b.SetParallelism(parallelism)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := strconv.FormatInt(requests.Add(1), 10)
			if r.callAs(id, http.MethodPost, "/", "").Code == http.StatusOK {
				served.Add(1)
			}
		}
	})
	opened, reused := pools.Counts()
	n := float64(b.N)
	b.ReportMetric(float64(opened)/n, "dials/op")
	b.ReportMetric(float64(opened+reused)/n-1, "retries/op")
	b.ReportMetric(float64(served.Load())/n, "served/op")
}
