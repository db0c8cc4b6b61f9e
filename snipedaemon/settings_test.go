package snipedaemon

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/snipemoor/snipemoor/snipelog"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap"

	"github.com/snipemoor/snipemoor/snipeconfig"
)

const validSettings = `{
	// Comments and trailing commas are allowed.
	"listen": "127.0.0.1:7000", "peerListen": "127.0.0.1:7001", "adminListen": "127.0.0.1:7002",
	"place": "tcr-ollur", "failureDomain": "tcr-ollur", "region": "thrissur",
	"storeAddresses": ["127.0.0.1:7100"], "instanceListAddress": "127.0.0.1:7101",
	"storeTimeout": "500ms",
}`

const invalidSettings = `{
	"listen": "127.0.0.1:7000",
	"listen": "127.0.0.1:7009",
	"peerListen": "127.0.0.1:7000",
	"adminListen": "0.0.0.0:0",
	"place": "Not A Place",
	"region": "thrissur",
	"storeAddresses": ["nowhere"],
	"storeTimeout": "two seconds",
	"pingTimeout": "1h",
	"logLevel": "loud",
	"colour": 3,
}`

// Every fault of a settings file must be reported in one run with its line and
// column. A check that stops at the first fault reports the next one only after
// that is corrected.
func TestSettingsFaults(t *testing.T) {
	_, err := ParseSettings("bad.json", []byte(invalidSettings))
	faults, ok := snipeconfig.AsFaults(err)
	if !ok {
		t.Fatalf("error %v, want faults", err)
	}
	goldie.New(t).Assert(t, "settings-faults", []byte(faults.String()+"\n"))
}

// A setting in the file must replace its default, and an absent one must get
// it.
func TestSettingsDefaults(t *testing.T) {
	s, err := ParseSettings("good.json", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.storeTimeout.String() != "500ms" || s.pingTimeout != defaultPingTimeout || s.LogLevel() != "info" {
		t.Errorf("settings %+v", s)
	}
}

func ExampleParseSettings() {
	s, err := ParseSettings("instance.json", []byte(validSettings))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(s.Listen(), s.Place())
	// Output: 127.0.0.1:7000 tcr-ollur
}

// Log lines must be sequences of key=value pairs. A value with spaces or quotes
// that is not quoted, or an empty one, breaks tools that split the line.
func TestLoggerWritesPairs(t *testing.T) {
	var out bytes.Buffer
	log, err := snipelog.New("info", &out)
	if err != nil {
		t.Fatal(err)
	}
	log.With(zap.String("instance", "a:1")).Info("store call failed",
		zap.String("key", `config/"head"`), zap.Int("tries", 2), zap.String("empty", ""))
	log.Debug("not logged")
	_, line, _ := strings.Cut(out.String(), " ")
	want := `level=info event="store call failed" instance=a:1 key="config/\"head\"" tries=2 empty=""` + "\n"
	if line != want {
		t.Errorf("line %q, want %q", line, want)
	}
	if _, err := snipelog.New("loud", &out); err == nil {
		t.Error("an unknown level was accepted")
	}
}
