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

// Guards against callbacks that run out of order or after cancellation, which
// would make every stepped-time test wrong.
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

// Guards against a timer goroutine that survives Close.
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
