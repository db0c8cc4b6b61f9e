package snipedemo_test

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/snipemoor/snipemoor/examples"
	"github.com/snipemoor/snipemoor/snipedemo"
	"github.com/snipemoor/snipemoor/snipeload"
)

// movedFiles returns the files of bakhour with loopback addresses that depend on the
// process identifier, so that the listeners do not collide with a demo or another
// run of the test on the same machine.
func movedFiles(t *testing.T) fs.FS {
	t.Helper()
	moved := fstest.MapFS{}
	n := os.Getpid() % 15
	replacer := strings.NewReplacer(`"127.2.0.`, fmt.Sprintf(`"127.%d.0.`, 222+n), `"127.20.`, fmt.Sprintf(`"127.%d.`, 238+n))
	files := examples.Files()
	err := fs.WalkDir(files, "bakhour", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		data, err := files.ReadFile(name)
		moved[name] = &fstest.MapFile{Data: []byte(replacer.Replace(string(data)))}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return moved
}

// Guards against a demo that ends without load, drain or planned stop, and against
// entry instances that break a guarantee under light load.
func TestRun(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	report, err := snipedemo.Run(t.Context(), snipedemo.Settings{
		Deployment: "bakhour", Files: movedFiles(t), Duration: 10 * time.Second, Load: 0.05, Seed: seed, Progress: t.Output(),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := report.WriteText(t.Output()); err != nil {
		t.Fatal(err)
	}
	if len(report.Services) != 4 || len(report.Guarantees) != 8 || report.DrainedTarget == "" || report.StoppedInstance == "" {
		t.Errorf("report is incomplete: %+v", report)
	}
	for name, service := range report.Services {
		if done := service.Outcomes()[snipeload.Done]; done*10 < service.Total()*9 {
			t.Errorf("%s: %d of %d requests are done, want nine tenths", name, done, service.Total())
		}
	}
	if broken := report.Broken(); len(broken) > 0 {
		t.Errorf("broken guarantees: %v", broken)
	}
}

func ExampleSettings_Check() {
	settings := snipedemo.Settings{Deployment: "society", Files: examples.Files(), Duration: time.Second}
	fmt.Println(settings.Check())
	// Output: duration 1s is shorter than 10s
}

// Guards against invalid settings that are accepted or give a report.
func TestBadSettings(t *testing.T) {
	for name, s := range map[string]snipedemo.Settings{
		"deployment": {Deployment: "nonsense", Files: examples.Files()},
		"files":      {Deployment: "society"},
		"load":       {Deployment: "society", Files: examples.Files(), Load: 1.5},
	} {
		if report, err := snipedemo.Run(context.Background(), s); err == nil || report != nil {
			t.Errorf("%s: no error", name)
		}
	}
}
