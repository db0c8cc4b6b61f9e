package snipecli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"
)

const (
	// statusInterval is the time between reads of the status of an instance
	// while a command waits for a generation.
	statusInterval = 100 * time.Millisecond
	// statusTimeout bounds one read of the status while a command waits.
	statusTimeout = time.Second
	// maxStatusBytes bounds the response, which grows with the fleet.
	maxStatusBytes = 16 << 20
	// stateLive is the state of the members that must have a generation in force
	// before a command stops waiting for it. Members in other states do not count.
	stateLive = "live"
)

// statusResult is the response of GET /v1/status.
type statusResult struct {
	Address        string     `json:"address"`
	PeerAddress    string     `json:"peerAddress"`
	Place          string     `json:"place"`
	FailureDomain  string     `json:"failureDomain"`
	Region         string     `json:"region"`
	Incarnation    string     `json:"incarnation"`
	Generation     uint64     `json:"generation"`
	Digest         uint64     `json:"digest"`
	Operation      string     `json:"operation"`
	Ready          bool       `json:"ready"`
	Stopping       bool       `json:"stopping"`
	StoreAvailable bool       `json:"storeAvailable"`
	Members        []member   `json:"members"`
	Positions      []position `json:"positions"`
	Limits         []limit    `json:"limits"`
	Groups         []group    `json:"groups"`
}

// member is the state of an instance as reported by the instance whose status is
// read.
type member struct {
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
	Place       string `json:"place"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
	Generation  uint64 `json:"generation"`
	Ready       bool   `json:"ready"`
}

// position is a position of a region whose lease the instance holds.
type position struct {
	Region         string `json:"region"`
	Index          int    `json:"index"`
	Epoch          uint64 `json:"epoch"`
	LeaseRemaining string `json:"leaseRemaining"`
}

// limit is a rate limit with the part that the instance may use. Units is that
// part in units, of which each limit has 1,000,000.
type limit struct {
	Limit         string  `json:"limit"`
	PerSecond     float64 `json:"perSecond"`
	Units         int     `json:"units"`
	UsedPerSecond float64 `json:"usedPerSecond"`
}

// group is a slot group of targets with its slots and queued requests.
type group struct {
	Group  string `json:"group"`
	Total  int    `json:"total"`
	Free   int    `json:"free"`
	Queued int    `json:"queued"`
	Owner  string `json:"owner"`
}

// readStatus reads the status of the instance at an admin address.
func readStatus(ctx context.Context, admin string) (statusResult, error) {
	var status statusResult
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/v1/status", nil)
	if err != nil {
		return status, fmt.Errorf("build status request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, fmt.Errorf("read status of %s: %w", admin, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("read status of %s: %s", admin, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status); err != nil {
		return status, fmt.Errorf("decode status of %s: %w", admin, err)
	}
	return status, nil
}

// knownGeneration returns the highest generation that an instance reports for
// itself or for another member, or 0 if its status cannot be read.
func knownGeneration(ctx context.Context, admin string) uint64 {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := readStatus(ctx, admin)
	if err != nil {
		return 0
	}
	known := status.Generation
	for _, m := range status.Members {
		known = max(known, m.Generation)
	}
	return known
}

// await polls the status of the admin instance until each live member reports the
// generation of a committed change, then prints the result. It returns an error
// that names the members below that generation if they do not reach it in time.
func (f *changeFlags) await(ctx context.Context, s *session, result changeResult) error {
	result.Awaited = true
	end := s.deps.Clock.Now().Add(f.Wait)
	var status statusResult
	var statusErr error
	for {
		status, statusErr = s.poll(ctx, f.Admin)
		if statusErr == nil {
			result.Instances, result.Missing = membersBehind(status.Members, result.Generation)
			result.InForce = result.Instances > 0 && len(result.Missing) == 0
		}
		if result.InForce || !s.deps.Clock.Now().Before(end) {
			break
		}
		if err := s.pause(ctx, statusInterval); err != nil {
			return err
		}
	}
	if err := s.print(result); err != nil {
		return err
	}
	return inForceError(result, f.Wait, statusErr)
}

// poll reads the status of an instance once, within statusTimeout.
func (s *session) poll(ctx context.Context, admin string) (statusResult, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return readStatus(ctx, admin)
}

// membersBehind returns the number of live members and those of them that are
// below a generation.
func membersBehind(members []member, generation uint64) (live int, behind []member) {
	for _, m := range members {
		if m.State != stateLive {
			continue
		}
		live++
		if m.Generation < generation {
			behind = append(behind, m)
		}
	}
	return live, behind
}

// inForceError returns nil if the generation of r is in force, else an error that
// says why it is not known to be. statusErr is the error of the last poll.
func inForceError(r changeResult, wait time.Duration, statusErr error) error {
	if r.InForce {
		return nil
	}
	if statusErr != nil {
		return fmt.Errorf("generation %d is committed, but not known to be in force within %s: %w", r.Generation, wait, statusErr)
	}
	if r.Instances == 0 {
		return fmt.Errorf("generation %d is committed, but the instance at --admin reports no live instance", r.Generation)
	}
	text := fmt.Sprintf("generation %d is committed, but not in force within %s on:", r.Generation, wait)
	for _, m := range r.Missing {
		text += fmt.Sprintf("\n  %s in %s (generation %d)", m.Address, m.Place, m.Generation)
	}
	return errors.New(text)
}

// Run implements the command.
func (c *statusCommand) Run(ctx context.Context, s *session) error {
	if err := checkAddress("--admin", c.Admin); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	status, err := readStatus(ctx, c.Admin)
	if err != nil {
		return err
	}
	return s.print(status)
}

// checkAddress returns a usage error unless address has the form ip:port.
func checkAddress(flag, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return withStatus(ExitUsage, fmt.Errorf("%s: %q: %w", flag, address, err))
	}
	return nil
}

func (r statusResult) writeText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []string{
		fmt.Sprintf("instance\t%s\tin %s (%s)\n", r.Address, r.Place, r.Region),
		fmt.Sprintf("generation\t%d\tby operation %s\n", r.Generation, r.Operation),
		fmt.Sprintf("ready\t%t\tstopping %t, store available %t\n", r.Ready, r.Stopping, r.StoreAvailable),
		"\nMEMBER\tPLACE\tSTATE\tGENERATION\tREADY\n",
	}
	for _, m := range r.Members {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%t\n", m.Address, m.Place, m.State, m.Generation, m.Ready))
	}
	rows = append(rows, "\nPOSITION\tEPOCH\tLEASE\n")
	for _, p := range r.Positions {
		rows = append(rows, fmt.Sprintf("%s/%d\t%d\t%s\n", p.Region, p.Index, p.Epoch, p.LeaseRemaining))
	}
	rows = append(rows, "\nLIMIT\tUNITS\tPER SECOND\tUSED\n")
	for _, l := range r.Limits {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%.1f\t%.1f\n", l.Limit, l.Units, l.PerSecond, l.UsedPerSecond))
	}
	rows = append(rows, "\nGROUP\tSLOTS\tFREE\tQUEUED\tOWNER\n")
	for _, g := range r.Groups {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%s\n", g.Group, g.Total, g.Free, g.Queued, g.Owner))
	}
	for _, row := range rows {
		if err := printf(table, "%s", row); err != nil {
			return err
		}
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
