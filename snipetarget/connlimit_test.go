package snipetarget

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// countingDialer counts the connections that are open at the same time and
// records the times of the dials.
type countingDialer struct {
	mu            sync.Mutex
	open, maxOpen int
	opened        []time.Time
}

type countedConn struct {
	net.Conn
	closed func()
}

func (c countedConn) Close() error {
	c.closed()
	return c.Conn.Close()
}

func (d *countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	d.open++
	d.maxOpen = max(d.maxOpen, d.open)
	d.opened = append(d.opened, time.Now())
	d.mu.Unlock()
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return countedConn{c, sync.OnceFunc(func() {
		d.mu.Lock()
		d.open--
		d.mu.Unlock()
	})}, err
}

// Guards against more connections to a target, or faster dials, than its limits
// permit, also after the connection limit was lowered and raised under load.
func TestSetBound(t *testing.T) {
	checkGoroutineLeaks(t)
	arrived, release := make(chan struct{}, 100), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}))
	defer server.Close()
	target := server.Listener.Addr().String()
	dialer := &countingDialer{}
	pools := New(Settings{MaxConns: 4}, dialer)
	defer pools.Close()
	const dialInterval = 3 * time.Millisecond
	sendAttempts := func(maxConns int) {
		t.Helper()
		dialer.mu.Lock()
		dialer.maxOpen, dialer.opened = dialer.open, nil
		dialer.mu.Unlock()
		var wg sync.WaitGroup
		const attempts = 10
		for range attempts {
			wg.Go(func() {
				resp, err := pools.Attempt(testContext(t), Request{Target: target, Method: "GET", URI: "/"})
				if err != nil {
					t.Error(err)
					return
				}
				_ = resp.Body.Close()
			})
		}
		for range maxConns {
			<-arrived
		}
		// All permitted connections are in use. Wait to see that no other one is
		// opened.
		select {
		case <-arrived:
			t.Errorf("more than %d connections", maxConns)
		case <-time.After(10 * dialInterval):
		}
		for range attempts {
			release <- struct{}{}
		}
		wg.Wait()
		for range len(arrived) {
			<-arrived
		}
		dialer.mu.Lock()
		defer dialer.mu.Unlock()
		if dialer.maxOpen != maxConns {
			t.Errorf("%d connections at once, want %d", dialer.maxOpen, maxConns)
		}
		if n := len(dialer.opened); maxConns > 1 && dialer.opened[n-1].Sub(dialer.opened[0]) < time.Duration(n-2)*dialInterval {
			t.Errorf("%d dials within %v", n, dialer.opened[n-1].Sub(dialer.opened[0]))
		}
	}
	pools.SetConnLimit(target, 2, dialInterval)
	sendAttempts(2)
	pools.SetConnLimit(target, 6, dialInterval)
	sendAttempts(6)
	pools.SetConnLimit(target, 0, dialInterval)
	sendAttempts(1)
	pools.Forget(target)
	pools.SetConnLimit("other", 1, dialInterval)
	pools.SetConnLimit(target, 3, dialInterval)
	sendAttempts(3)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	full := newSemaphore(1)
	if err := full.acquire(t.Context()); err != nil || !full.full() {
		t.Error(err)
	}
	if err := full.acquire(cancelled); !errors.Is(err, context.Canceled) {
		t.Errorf("a second permit: %v", err)
	}
}
