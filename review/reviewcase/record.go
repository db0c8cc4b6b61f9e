package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	mu      sync.Mutex
	out     *bufio.Writer
	started time.Time
	// attempts are the attempts of clients by request ID.
	attempts map[string]*attempt
	// runs counts how often servers began to work on a request, by its ID.
	runs map[string]int
}

// attempt is one attempt of a client.
type attempt struct {
	id     string
	unsafe bool
	// status is that of the answer, or 0 if there was no complete one.
	status int
}

func newRecord(w io.Writer) *record {
	return &record{
		out: bufio.NewWriter(w), started: time.Now(),
		attempts: make(map[string]*attempt), runs: make(map[string]int),
	}
}

// write adds a line with the time since the start in seconds.
func (r *record) write(event, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLocked(event, text)
}

func (r *record) writeLocked(event, text string) {
	_, _ = fmt.Fprintf(r.out, "%8.3f  %-9s %s\n", time.Since(r.started).Seconds(), event, text)
}

// sent records that a client sends a request.
func (r *record) sent(id, text string, unsafe bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[id] = &attempt{id: id, unsafe: unsafe}
	r.writeLocked("sent", id+" "+text)
}

// answered records the answer to a request. status is 0 if there is no complete one.
func (r *record) answered(id string, status int, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[id].status = status
	r.writeLocked("answered", fmt.Sprintf("%s %d %s", id, status, text))
}

// ran records that a server begins to work on a request.
func (r *record) ran(id, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.writeLocked("ran", id+" by "+server)
}

func (r *record) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

// summary counts the answers.
func (r *record) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[int]int)
	for _, a := range r.attempts {
		counts[a.status]++
	}
	var statuses []int
	for s := range counts {
		statuses = append(statuses, s)
	}
	slices.Sort(statuses)
	text := fmt.Sprintf("%d attempts", len(r.attempts))
	for _, s := range statuses {
		text += fmt.Sprintf(", %d of status %d", counts[s], s)
	}
	return text
}

// refusedAndRun returns a line for each request that is not idempotent, was answered with
// a status that promises that it has not run, and has run.
func (r *record) refusedAndRun() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, a := range r.attempts {
		if a.unsafe && promises(a.status) && r.runs[a.id] > 0 {
			out = append(out, fmt.Sprintf("REFUSED: request %s was answered %d and ran %d times", a.id, a.status, r.runs[a.id]))
		}
		if a.unsafe && r.runs[a.id] > 1 {
			out = append(out, fmt.Sprintf("TWICE: request %s ran %d times", a.id, r.runs[a.id]))
		}
	}
	slices.Sort(out)
	return out
}

// promises reports whether a status promises that a request has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
