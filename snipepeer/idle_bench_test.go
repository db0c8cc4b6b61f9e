package snipepeer

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

// countingDialer counts the bytes that its connections write.
type countingDialer struct {
	net.Dialer
	written atomic.Int64
}

func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	return &countingConn{Conn: c, written: &d.written}, err
}

type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// BenchmarkIdleSessions measures different numbers of sessions that carry only
// pings: the bytes that the dialling node writes, and the memory and CPU time of
// both ends together.
func BenchmarkIdleSessions(b *testing.B) {
	const window = 3 * time.Second
	for _, sessions := range []int{11, 30, 59} {
		b.Run(fmt.Sprint("sessions=", sessions), func(b *testing.B) {
			for b.Loop() {
				idleSessions(b, sessions, window)
			}
		})
	}
}

// idleSessions opens sessions from one node to the given number of peers and
// reports their cost over window.
func idleSessions(b *testing.B, sessions int, window time.Duration) {
	start := func(incarnation string, dialer Dialer) *Node {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		n := New(Settings{Address: listener.Addr().String(), Incarnation: incarnation, Place: "p"}, listener, dialer, zap.NewNop())
		n.Start()
		return n
	}
	var peers []string
	for i := range sessions {
		n := start(fmt.Sprint("b", i), &net.Dialer{})
		defer n.Close()
		peers = append(peers, n.settings.Address)
	}
	up := make(chan struct{}, sessions)
	dialer := &countingDialer{}
	a := start("a", dialer)
	defer a.Close()
	a.Subscribe(func(e Event) {
		if e.Kind == SessionUp {
			up <- struct{}{}
		}
	})
	before := heapAndStack()
	a.MaintainSessions(peers)
	for range sessions {
		<-up
	}
	b.ReportMetric(float64(heapAndStack()-before), "heap-and-stack-bytes")
	written, cpu := dialer.written.Load(), cpuTime()
	<-time.After(window)
	b.ReportMetric(float64(dialer.written.Load()-written)/window.Seconds(), "written-B/s")
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/window.Seconds(), "cpu-µs/s")
}

// heapAndStack returns the bytes of live heap objects and of stacks in use.
func heapAndStack() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc + s.StackInuse)
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
