package snipecli

import (
	"io"
	"runtime/debug"
)

// versionResult is the output of version.
type versionResult struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func (r versionResult) writeText(w io.Writer) error {
	return printf(w, "snipemoor %s %s %s\n", r.Version, r.Revision, r.Go)
}

// Run implements the command.
func (c *versionCommand) Run(s *session) error {
	result := versionResult{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		result.Version, result.Go = info.Main.Version, info.GoVersion
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				result.Revision = setting.Value
			}
		}
	}
	return s.print(result)
}
