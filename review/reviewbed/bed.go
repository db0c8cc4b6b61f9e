package reviewbed

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// Exit statuses of a case.
const (
	// Held means that the rule was kept.
	Held = 0
	// Broken means that the rule was not kept.
	Broken = 1
	// NotRun means that the case could not run.
	NotRun = 2
)

// frontCommand is the command of the deploy file.
const frontCommand = "target/snipemoorfront --metrics-port 9464"

// Front is a front that runs as a process.
type Front struct {
	// Name is the name of the front. Address is where callers connect, and Directory where
	// they ask for addresses.
	Name, Address, Directory string

	readiness string
	settings  string
	log       *os.File
	process   *exec.Cmd
}

// FrontSettings are the settings of a front that differ between fronts or cases.
type FrontSettings struct {
	// Name is the name of the front, Host its loopback address, and Zone and Region its place.
	Name, Host, Zone, Region string
	// Zones maps each zone to its region.
	Zones map[string]string
	// Store is the address of the store, Control the one for other fronts, and Seeds those
	// of some fronts.
	Store, Control string
	Seeds          []string
	// Bounds are further bounds of the platform, or others than the usual ones.
	Bounds []string
}

// FreeAddresses returns n different addresses of a loopback host on which nothing listens.
func FreeAddresses(host string, n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		defer func() { _ = l.Close() }()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

// NewFront writes the settings of a front into dir. Start starts it.
func NewFront(dir string, s FrontSettings) (*Front, error) {
	const numAddresses = 3
	free, err := FreeAddresses(s.Host, numAddresses)
	if err != nil {
		return nil, fmt.Errorf("choose addresses: %w", err)
	}
	f := &Front{Name: s.Name, Address: free[0], readiness: free[1], Directory: free[2], settings: filepath.Join(dir, s.Name+".json")}
	bounds := []string{
		"seed_lag_s=3", "reuse_after_s=2", "stability_window_ms=4000", "ack_ms=6000", "catch_up_s=6", "drain_ms=3000", "grace_s=6",
		"lost_ms=200", "config_ms=3000", "rollback_slack_ms=250", "max_skew_ms=6000", "retry_budget_ratio=0.2", "budget_window_s=10",
		"budget_min_retries=178", "cold_over=1.5", "cold_slack=8", "evac_ms=5000", "recover_s=15", "ttl_max_s=5", "shift_most=0.15",
	}
	data, err := json.Marshal(map[string]any{
		"node_name": s.Name, "role": "front", "machine_class": "front", "serves": []string{"front", "control", "directory"},
		"ip": s.Host, "zone": s.Zone, "region": s.Region, "zones": s.Zones,
		"listen":    map[string]string{"front": f.Address, "readiness": f.readiness, "directory": f.Directory, "control": s.Control},
		"seeds":     s.Seeds,
		"bootstrap": true, "bounds": append(bounds, s.Bounds...),
		"limits":   map[string]any{"cpu_share": 0.32, "cores": 1, "memory_mb": 284, "max_fds": 4100},
		"platform": map[string]any{"address": s.Store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "ttl_min_ms": 1000},
	})
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(f.settings, data, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if f.log, err = os.Create(filepath.Join(dir, s.Name+".log")); err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	return f, nil
}

// Start starts the process.
func (f *Front) Start() error {
	words := strings.Fields(frontCommand)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNIPEMOOR_CONFIG=" + f.settings}
	cmd.Stdout, cmd.Stderr = f.log, f.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", f.Name, err)
	}
	f.process = cmd
	return nil
}

// Signal sends a signal to the process.
func (f *Front) Signal(s os.Signal) error {
	if err := f.process.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", f.Name, err)
	}
	return nil
}

// Wait waits until the process has ended.
func (f *Front) Wait() {
	// The exit status is of no interest: the case kills processes.
	_ = f.process.Wait()
}

// Kill ends the process, if it runs.
func (f *Front) Kill() {
	if f.process == nil {
		return
	}
	// An error means that the process has ended.
	_ = f.process.Process.Kill()
	f.Wait()
}

// AwaitReady waits until the front is ready.
func (f *Front) AwaitReady(ctx context.Context) error {
	for {
		if f.ready(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w", f.Name, ctx.Err())
		case <-time.After(readyInterval):
		}
	}
}

// readyInterval is the time between two readiness checks.
const readyInterval = 50 * time.Millisecond

// ready makes one readiness check.
func (f *Front) ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.readiness+"/snipemoor/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
