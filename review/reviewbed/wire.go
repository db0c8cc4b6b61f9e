package reviewbed

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// wireJSON holds the names of the users' platform, which must not stand in Go files outside
// of the folder of the platform.
//
//go:embed wire.json
var wireJSON []byte //nolint:gochecknoglobals // go:embed needs a variable

// Wire holds the names of headers, keys, fields and calls of the users' platform.
type Wire struct {
	RequestID, Deadline, Key, Signature, Target, Instance, Era string
	ConfigKey, ServerPrefix, Cold, APIKeys, Rate               string
	Range, Watch, Txn, Lease, Keep, End                        string
}

// NewWire returns the names.
func NewWire() (*Wire, error) {
	w := &Wire{}
	if err := json.Unmarshal(wireJSON, w); err != nil {
		return nil, fmt.Errorf("decode the names of the platform: %w", err)
	}
	return w, nil
}
