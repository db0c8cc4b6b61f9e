package snipetarget

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

// BenchmarkProbes measures one probe of each target, by the number of targets.
// The processor time includes that of the targets, which share the process.
func BenchmarkProbes(b *testing.B) {
	for _, targets := range []int{16, 64, 256} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			clock := snipetime.NewManual(0)
			p := NewProber(time.Second, 5*time.Second, clock, &net.Dialer{}, func(r ProbeReport) {
				if r.Err != nil {
					b.Error(r.Err)
				}
			})
			defer p.Close()
			before := heapAndStackBytes()
			for range targets {
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/load" {
						_, _ = io.WriteString(w, `{"slots":4,"busy":3,"queued":1,"latencyMicros":250}`)
					}
				}))
				defer s.Close()
				p.Start(s.Listener.Addr().String())
			}
			clock.Advance(time.Second)
			size := heapAndStackBytes() - before
			cpu := cpuTime()
			b.ReportAllocs()
			b.ResetTimer()
			n := 0
			for b.Loop() {
				clock.Advance(time.Second)
				n++
			}
			b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(n*targets), "cpu-µs/probe")
			b.ReportMetric(float64(size), "heap-and-stack-bytes")
		})
	}
}

func heapAndStackBytes() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
