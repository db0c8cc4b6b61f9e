package snipeconfig_test

import (
	"fmt"
	"time"

	"github.com/snipemoor/snipemoor/snipeconfig"
)

func ExampleDecode() {
	type settings struct {
		Listen  string        `check:"required"`
		Timeout time.Duration `check:"min=10ms,max=1m"`
	}
	var s settings
	src := snipeconfig.Decode("settings.json", []byte(`{
	// Durations are Go duration strings.
	"timeout": "2h",
	"listn": "127.0.0.1:80",
}`), &s)
	fmt.Println(src.Err())
	// Output:
	// settings.json:1:1: field "listen" is missing
	// settings.json:3:13: duration 2h is above 1m
	// settings.json:4:2: unknown field "listn"
}

func ExampleBuildFiles() {
	s, err := snipeconfig.BuildFiles(1, "first", append(baseFiles(), teamFile(0, 50)))
	if err != nil {
		fmt.Println(err)
		return
	}
	service, _ := s.Service("team-0000", "orders")
	fmt.Println(service.Class(), service.HomePlace().Region().Name(), service.Shift().RequestsPerSecond())
	// Output: safe north 50
}
