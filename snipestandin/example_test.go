package snipestandin_test

import (
	"context"
	"fmt"
	"net/http"

	"github.com/snipemoor/snipemoor/snipestandin"
	"github.com/snipemoor/snipemoor/snipetime"
)

func ExampleTarget() {
	clock := snipetime.New()
	defer clock.Close()
	target, err := snipestandin.NewTarget(snipestandin.TargetSettings{Address: "127.0.0.1:0", Clock: clock, Slots: 1})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = target.Close() }()
	status, _, _, err := call(context.Background(), http.MethodPost, "http://"+target.Address()+"/book", "a.1", "seat 4")
	fmt.Println(status, err, target.RunsByRequestID("a.1"))
	// Output: 200 <nil> 1
}
