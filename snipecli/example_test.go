package snipecli_test

import (
	"context"
	"fmt"
	"os"

	"github.com/snipemoor/snipemoor/snipecli"
	"github.com/snipemoor/snipemoor/snipetime"
)

func ExampleApp_Run() {
	clock := snipetime.New()
	defer clock.Close()
	app := snipecli.New(snipecli.Dependencies{Stdout: os.Stdout, Stderr: os.Stderr, Clock: clock})
	fmt.Println(app.Run(context.Background(), []string{"validate", "../examples/society"}))
	// Output:
	// 6 documents are valid
	// 0
}
