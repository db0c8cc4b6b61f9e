package snipetime_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

func ExampleManual() {
	clock := snipetime.NewManual(0)
	cancel := clock.Every(time.Second, func(now snipetime.Instant) {
		fmt.Println(now.Sub(0))
	})
	clock.Advance(2500 * time.Millisecond)
	cancel()
	clock.Advance(time.Minute)
	// Output:
	// 1s
	// 2s
}

// TestManualOrder guards against callbacks that run out of order or after
// cancellation, which would invalidate every test that uses a Manual clock.
func TestManualOrder(t *testing.T) {
	clock := snipetime.NewManual(0)
	var got []string
	clock.After(3*time.Second, func(snipetime.Instant) { got = append(got, "c") })
	clock.After(time.Second, func(snipetime.Instant) {
		got = append(got, "a")
		clock.After(time.Second, func(snipetime.Instant) { got = append(got, "b") })
	})
	cancel := clock.After(2*time.Second, func(snipetime.Instant) { got = append(got, "x") })
	cancel()
	clock.Advance(10 * time.Second)
	if fmt.Sprint(got) != "[a b c]" {
		t.Errorf("callbacks ran as %v, want [a b c]", got)
	}
}

// TestServiceClose guards against a timer goroutine that Close does not stop, so that
// Close blocks, and against a timer that fires too early.
func TestServiceClose(t *testing.T) {
	s := snipetime.New()
	fired := make(chan snipetime.Instant, 1)
	s.Every(time.Millisecond, func(now snipetime.Instant) {
		select {
		case fired <- now:
		default:
		}
	})
	s.After(time.Hour, func(snipetime.Instant) { t.Error("timer fired an hour early") })
	<-fired
	done := make(chan struct{})
	go func() {
		s.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("Close did not return")
	}
}
