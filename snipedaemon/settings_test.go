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

const goodSettings = `{
	// Comments and trailing commas are allowed.
	"listen": "127.0.0.1:7000", "peerListen": "127.0.0.1:7001", "adminListen": "127.0.0.1:7002",
	"place": "tcr-ollur", "failureDomain": "tcr-ollur", "region": "thrissur",
	"storeAddresses": ["127.0.0.1:7100"], "instanceListAddress": "127.0.0.1:7101",
	"storeTimeout": "500ms",
}`

const badSettings = `{
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

// Guards against a settings file that is accepted with a fault, and against a
// fault that is reported without its place or only after others are mended.
func TestSettingsFaults(t *testing.T) {
	_, err := ParseSettings("bad.json", []byte(badSettings))
	faults, ok := snipeconfig.AsFaults(err)
	if !ok {
		t.Fatalf("error %v, want faults", err)
	}
	goldie.New(t).Assert(t, "settings-faults", []byte(faults.String()+"\n"))
}

// Guards against defaults that are lost and values that are ignored.
func TestSettingsDefaults(t *testing.T) {
	s, err := ParseSettings("good.json", []byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.storeTimeout.String() != "500ms" || s.pingTimeout != defaultPingTimeout || s.LogLevel() != "info" {
		t.Errorf("settings %+v", s)
	}
}

func ExampleParseSettings() {
	s, err := ParseSettings("instance.json", []byte(goodSettings))
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(s.Listen(), s.Place())
	// Output: 127.0.0.1:7000 tcr-ollur
}

// Guards against log lines that cannot be split into key=value pairs.
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
