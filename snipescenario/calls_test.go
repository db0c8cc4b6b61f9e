package snipescenario_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipemoor/snipemoor/snipeload"
	"github.com/snipemoor/snipemoor/snipestandin"
)

// outcome is one request and what its caller was told. The fields after done
// may be read once done is closed.
type outcome struct {
	id, key, service string
	body             []byte
	once             bool

	done       chan struct{}
	outcome    string
	reason     string
	generation uint64
	answer     []byte
	err        error
	latency    time.Duration
	// tries is how often the request was sent with the same identifier.
	tries int
}

// order is a request to send.
type order struct {
	service, method, key, id string
	// from is the place of the caller and to the entry instance.
	from    int
	to      *instance
	bytes   int
	timeout time.Duration
}

// callerDialer dials from the address of the callers of a place.
func (w *world) callerDialer(place int) *net.Dialer {
	return &net.Dialer{
		Timeout:   2 * time.Second,
		LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s%d", w.prefix, hostCaller+place))},
	}
}

// lookup asks an instance for entries on behalf of a caller of a place.
func (w *world) lookup(in *instance, service string, from int) (snipeload.Lookup, error) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{
		DialContext: w.callerDialer(from).DialContext, DisableKeepAlives: true,
	}}
	var found snipeload.Lookup
	query := url.Values{"team": {w.team}, "service": {service}}
	response, err := client.Get("http://" + in.listen + "/v1/entries?" + query.Encode())
	if err != nil {
		return found, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return found, fmt.Errorf("look-up: status %d, reason %s", response.StatusCode, response.Header.Get("Snipemoor-Reason"))
	}
	return found, json.NewDecoder(response.Body).Decode(&found)
}

// send sends a request once, and returns while it runs.
func (w *world) send(o order) *outcome {
	body := bytes.Repeat([]byte("b"), o.bytes)
	r := &outcome{id: o.id, key: o.key, service: o.service, body: body, done: make(chan struct{}), tries: 1}
	r.once = o.method != http.MethodGet && w.isOnce(o.service)
	w.mu.Lock()
	w.sent = append(w.sent, r)
	w.mu.Unlock()
	go func() {
		defer close(r.done)
		started := time.Now()
		r.err = w.exchange(o, r)
		r.latency = time.Since(started)
	}()
	return r
}

func (w *world) isOnce(service string) bool {
	return slices.Contains([]string{"bookdesk", "droplog", "orders", "samples"}, service)
}

func (w *world) exchange(o order, r *outcome) error {
	client := &http.Client{Timeout: o.timeout + 5*time.Second, Transport: &http.Transport{
		DialContext: w.callerDialer(o.from).DialContext, DisableKeepAlives: true,
	}}
	address := fmt.Sprintf("http://%s/call/%s/%s/from/%d/x?q=1", o.to.listen, w.team, o.service, o.from)
	// A reader of this type keeps net/http from sending the request again.
	request, err := http.NewRequest(o.method, address, struct{ io.Reader }{bytes.NewReader(r.body)})
	if err != nil {
		return err
	}
	request.ContentLength = int64(len(r.body))
	if len(r.body) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set("Snipemoor-Request-Id", o.id)
	request.Header.Set("Snipemoor-Timeout", o.timeout.String())
	if o.key != "" {
		request.Header.Set("Idempotency-Key", o.key)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	r.answer, err = io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	r.outcome = response.Header.Get("Snipemoor-Outcome")
	r.reason = response.Header.Get("Snipemoor-Reason")
	r.generation, err = strconv.ParseUint(response.Header.Get("Snipemoor-Generation"), 10, 64)
	if err == nil && r.outcome == "" {
		return errors.New("response has no outcome header")
	}
	return err
}

// String describes the outcome in one word.
func (r *outcome) String() string {
	select {
	case <-r.done:
	default:
		return "running"
	}
	switch {
	case r.err != nil:
		return "failed"
	case r.reason != "":
		return r.outcome + "/" + r.reason
	default:
		return r.outcome
	}
}

// answerBody is the start of the answer of a stand-in target.
type answerBody struct {
	RequestID  string `json:"requestId"`
	Target     string `json:"target"`
	BodyBytes  int    `json:"bodyBytes"`
	BodyDigest uint64 `json:"bodyDigest,string"`
}

// ownAnswer checks that an answer is the complete answer to the request. An
// answer found by an idempotency key names the first request with the key.
func (r *outcome) ownAnswer() error {
	var a answerBody
	if err := json.Unmarshal(r.answer, &a); err != nil {
		return fmt.Errorf("answer is not complete: %w", err)
	}
	if a.RequestID != r.id && r.key == "" {
		return fmt.Errorf("answer belongs to request %s", a.RequestID)
	}
	if a.BodyBytes != len(r.body) || a.BodyDigest != xxhash.Sum64(r.body) {
		return fmt.Errorf("answer belongs to a body of %d bytes", a.BodyBytes)
	}
	return nil
}

// hold keeps requests of a service at a stage of their targets.
type hold struct {
	stage    snipestandin.Stage
	reached  chan struct{}
	released chan struct{}
	once     sync.Once
	count    atomic.Int32
}

// holdAt makes requests wait at a stage at all targets of a service.
func (w *world) holdAt(service string, stage snipestandin.Stage) *hold {
	h := &hold{stage: stage, reached: make(chan struct{}, 1000), released: make(chan struct{})}
	for _, t := range w.targetsOf(service) {
		t.SetHook(func(s snipestandin.Stage) {
			if s != stage {
				return
			}
			h.count.Add(1)
			h.reached <- struct{}{}
			<-h.released
		})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds[service] = h
	return h
}

func (h *hold) release() { h.once.Do(func() { close(h.released) }) }

// wait waits until a request has reached the stage.
func (h *hold) wait(ctx context.Context) error {
	select {
	case <-h.reached:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("no request reached stage %s", h.stage)
	}
}

func (w *world) targetsOf(service string) map[string]*snipestandin.Target {
	targets := map[string]*snipestandin.Target{}
	k := slices.Index(w.services, service)
	for i := range w.Places {
		for j := range 2 {
			address := w.target(k, i, j)
			if t, ok := w.standins.Target(address); ok {
				targets[address] = t
			}
		}
	}
	return targets
}

// load is an open-loop run of a Caller.
type load struct {
	report *snipeload.Report
	done   chan struct{}
	cancel context.CancelFunc
	bad    []string
}

// offer starts load of a service from the callers of a place.
func (w *world) offer(service, method string, from int, rate float64, duration time.Duration, bytesEach int, seed uint64) (*load, error) {
	var entries []string
	for _, in := range w.instances {
		entries = append(entries, in.listen)
	}
	caller, err := snipeload.NewCaller(snipeload.CallerConfig{
		Entries: entries, Team: w.team, Service: service, Timeout: 5 * time.Second, Dialer: w.callerDialer(from),
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{done: make(chan struct{}), cancel: cancel}
	var mu sync.Mutex
	body := bytes.Repeat([]byte("b"), bytesEach)
	generator, err := snipeload.NewGenerator(snipeload.Config{
		Rate: rate, Duration: duration, Seed: seed,
		NewRequest: func(int) snipeload.Request {
			return snipeload.Request{Method: method, Path: fmt.Sprintf("/from/%d/x", from), Body: body}
		},
		Observe: func(_ int, r snipeload.Result, latency time.Duration) {
			o := &outcome{
				id: r.RequestID(), service: service, body: body, done: make(chan struct{}), outcome: string(r.Outcome()),
				reason: r.Reason(), answer: r.Body(), err: r.Err(), latency: latency,
				tries: r.Tries(), once: method != http.MethodGet && w.isOnce(service),
			}
			close(o.done)
			w.mu.Lock()
			w.sent = append(w.sent, o)
			w.mu.Unlock()
			if o.outcome == "done" {
				if err := o.ownAnswer(); err != nil {
					mu.Lock()
					l.bad = append(l.bad, err.Error())
					mu.Unlock()
				}
			}
		},
	}, caller)
	if err != nil {
		cancel()
		return nil, err
	}
	go func() {
		defer close(l.done)
		defer caller.Close()
		l.report = generator.Run(ctx)
	}()
	return l, nil
}

// status is the part of GET /v1/status that scenarios read.
type status struct {
	Incarnation string
	Generation  uint64
	Ready       bool
	Stopping    bool
	Members     []struct {
		Address, State string
		Generation     uint64
		Ready          bool
	}
	Positions []struct{ Index int }
	Groups    []struct {
		Group       string
		Total, Free int
		Owner       string
	}
}

func (in *instance) status() (status, error) {
	var s status
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + in.admin + "/v1/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// metric returns the sum over all labels of a metric whose lines contain each
// of the given label texts.
func (in *instance) metric(name string, labels ...string) (float64, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + in.admin + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	sum := 0.0
	for line := range strings.Lines(string(text)) {
		key, value, ok := strings.Cut(strings.TrimSpace(line), " ")
		if !ok || key != name && !strings.HasPrefix(key, name+"{") {
			continue
		}
		if slices.ContainsFunc(labels, func(l string) bool { return !strings.Contains(key, l) }) {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, nil
}

// poll is the time between looks at a condition that has no event of its own.
const poll = 20 * time.Millisecond

// until waits until check returns no error, and returns its last error at the
// end of the limit.
func until(limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %s: %w", limit, err)
		}
		time.Sleep(poll)
	}
}

// settled reports whether the running instances see each other, hold all
// positions of their regions and know a group owner for every group.
func (w *world) settled() error {
	held := map[string]int{}
	groups := 0
	running := 0
	for _, in := range w.instances {
		if in.running() {
			running++
		}
	}
	for _, in := range w.instances {
		if !in.running() {
			continue
		}
		s, err := in.status()
		if err != nil {
			return err
		}
		live := 0
		for _, m := range s.Members {
			if m.State == "live" && m.Ready {
				live++
			}
		}
		switch {
		case !s.Ready:
			return fmt.Errorf("%s is not ready", in.name)
		case live != running:
			return fmt.Errorf("%s sees %d live members, %d run", in.name, live, running)
		}
		held[w.region(in.place)] += len(s.Positions)
		groups += len(s.Groups)
		for _, g := range s.Groups {
			if g.Free != g.Total {
				return fmt.Errorf("%s: group %s has %d of %d slots free", in.name, g.Group, g.Free, g.Total)
			}
		}
	}
	for region, n := range held {
		if n != positionsPerRegion {
			return fmt.Errorf("%d positions of %s are held", n, region)
		}
	}
	// A position is held a moment before the owners of its groups exist.
	if want := w.groups(); groups != want {
		return fmt.Errorf("%d of %d groups have an owner", groups, want)
	}
	return nil
}

// groups returns the number of slot groups; each place of a service has one.
func (w *world) groups() int {
	n := 0
	for _, team := range w.base.Teams() {
		for _, service := range team.Services() {
			n += len(service.Places())
		}
	}
	return n
}
