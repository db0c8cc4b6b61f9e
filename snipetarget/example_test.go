package snipetarget_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/snipemoor/snipemoor/snipetarget"
)

func ExamplePools_Attempt() {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Snipemoor-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer target.Close()
	pools := snipetarget.New(snipetarget.Settings{}, &net.Dialer{})
	defer pools.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := pools.Attempt(ctx, snipetarget.Request{
		Target: target.Listener.Addr().String(),
		Method: http.MethodPost,
		URI:    "/bookings",
	})
	var failure *snipetarget.Error
	if errors.As(err, &failure) {
		fmt.Println(failure)
	}
	// Output: targetShed (not begun)
}
