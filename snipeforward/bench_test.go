package snipeforward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"github.com/snipemoor/snipemoor/snipeonce"
	"github.com/snipemoor/snipemoor/snipetime"
)

// ExampleForwarder shows a refusal: the team is unknown, so the request was not
// run.
func ExampleForwarder() {
	clock := snipetime.New()
	defer clock.Close()
	i := &instance{clock: clock, minter: snipeonce.NewIDGenerator("a")}
	f := New(Dependencies{Clock: clock, Config: i, Records: testRecords{i}}, prometheus.NewRegistry())
	w := httptest.NewRecorder()
	f.Server(func() bool { return true }).Handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/call/nobody/orders/1", nil))
	fmt.Println(w.Code, w.Header().Get("Snipemoor-Outcome"), w.Header().Get("Snipemoor-Reason"))
	// Output: 404 not-run unknownTeam
}

// benchmarkRoutes returns the URLs of a target, of an instance that forwards to
// it, and of an instance that relays to another one. The target responds with as
// many bytes as the query states.
func benchmarkRoutes(b *testing.B) (client *http.Client, routes [3]string) {
	text := strings.Repeat("x", 1<<20)
	target := serveTarget(b, func(w http.ResponseWriter, r *http.Request) {
		n, _ := strconv.Atoi(r.URL.RawQuery)
		w.Header().Set("Content-Length", strconv.Itoa(n))
		_, _ = io.WriteString(w, text[:n])
	})
	local, _ := newFleet(b, localPlan, target)
	remote, _ := newFleet(b, relayPlan, target)
	return local.client, [3]string{"http://" + target + "/x", local.server.URL + "/call/t/safe/x", remote.server.URL + "/call/t/safe/x"}
}

var routeNames = [3]string{"direct", "forwarded", "relayed"}

func benchmarkGet(b *testing.B, client *http.Client, url string) {
	resp, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status, err)
	}
}

// BenchmarkLatency alternates the routes, so that other load of the machine
// affects all of them.
func BenchmarkLatency(b *testing.B) {
	for _, size := range []int{100, 32 << 10, 1 << 20} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			client, routes := benchmarkRoutes(b)
			var histograms [3]*hdrhistogram.Histogram
			for n := range histograms {
				histograms[n] = hdrhistogram.New(1, int64(time.Minute), 3)
			}
			for b.Loop() {
				for n, url := range routes {
					started := time.Now()
					benchmarkGet(b, client, url+"?"+strconv.Itoa(size))
					_ = histograms[n].RecordValue(int64(time.Since(started)))
				}
			}
			for n, h := range histograms {
				b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-"+routeNames[n]+"-µs")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-"+routeNames[n]+"-µs")
			}
		})
	}
}

// BenchmarkCost reports the CPU time and the allocations per request in total for
// client, target and the instances on the route. The difference to the route
// direct is the cost of forwarding.
func BenchmarkCost(b *testing.B) {
	for _, size := range []int{100, 32 << 10, 1 << 20} {
		for n, name := range routeNames {
			b.Run(fmt.Sprintf("%d/%s", size, name), func(b *testing.B) {
				client, routes := benchmarkRoutes(b)
				url := routes[n] + "?" + strconv.Itoa(size)
				benchmarkGet(b, client, url)
				b.ReportAllocs()
				b.ResetTimer()
				before := cpuTime(b)
				b.RunParallel(func(p *testing.PB) {
					for p.Next() {
						benchmarkGet(b, client, url)
					}
				})
				b.ReportMetric((cpuTime(b)-before).Seconds()*1e6/float64(b.N), "cpu-µs/op")
			})
		}
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
