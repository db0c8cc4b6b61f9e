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

// sentRequest is one request and the response that its caller received. The
// fields after done may be read once done is closed.
type sentRequest struct {
	id, key, service string
	body             []byte
	atMostOnce       bool

	done       chan struct{}
	outcome    string
	reason     string
	generation uint64
	answer     []byte
	err        error
	latency    time.Duration
	// tries is the number of times that the request was sent with the same
	// identifier.
	tries int
}

// requestSpec describes a request to send.
type requestSpec struct {
	service, method, key, id string
	// from is the index of the caller's place, and to is the entry instance.
	from    int
	to      *instance
	bytes   int
	timeout time.Duration
}

// callerDialer returns a dialer with the local address of the callers of a place.
func (cl *cluster) callerDialer(place int) *net.Dialer {
	return &net.Dialer{
		Timeout:   2 * time.Second,
		LocalAddr: &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s%d", cl.subnet, hostCaller+place))},
	}
}

// lookup requests the entries of a service from an instance, as a caller of the
// place from.
func (cl *cluster) lookup(in *instance, service string, from int) (snipeload.Lookup, error) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{
		DialContext: cl.callerDialer(from).DialContext, DisableKeepAlives: true,
	}}
	var found snipeload.Lookup
	query := url.Values{"team": {cl.team}, "service": {service}}
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

// send starts to send a request and returns without waiting for its end. It sends
// the request only once.
func (cl *cluster) send(o requestSpec) *sentRequest {
	body := bytes.Repeat([]byte("b"), o.bytes)
	r := &sentRequest{id: o.id, key: o.key, service: o.service, body: body, done: make(chan struct{}), tries: 1}
	r.atMostOnce = o.method != http.MethodGet && cl.isClassOnce(o.service)
	cl.mu.Lock()
	cl.sent = append(cl.sent, r)
	cl.mu.Unlock()
	go func() {
		defer close(r.done)
		started := time.Now()
		r.err = cl.roundTrip(o, r)
		r.latency = time.Since(started)
	}()
	return r
}

// isClassOnce reports whether the requests of a service other than GET are of
// class once, which may run at most once.
func (cl *cluster) isClassOnce(service string) bool {
	return slices.Contains([]string{"bookdesk", "droplog", "orders", "samples"}, service)
}

// roundTrip sends a request and stores the response in r. The error is that of
// sending the request or of reading the response.
func (cl *cluster) roundTrip(o requestSpec, r *sentRequest) error {
	client := &http.Client{Timeout: o.timeout + 5*time.Second, Transport: &http.Transport{
		DialContext: cl.callerDialer(o.from).DialContext, DisableKeepAlives: true,
	}}
	address := fmt.Sprintf("http://%s/call/%s/%s/from/%d/x?q=1", o.to.listen, cl.team, o.service, o.from)
	// net/http does not retry a request whose body is of a type unknown to it.
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
		return errors.New("response has no header Snipemoor-Outcome")
	}
	return err
}

// String returns "running", "failed" or the outcome, with the reason if there is
// one.
func (r *sentRequest) String() string {
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

// targetAnswer is the JSON document in the response body of a stand-in target.
type targetAnswer struct {
	RequestID  string `json:"requestId"`
	Target     string `json:"target"`
	BodyBytes  int    `json:"bodyBytes"`
	BodyDigest uint64 `json:"bodyDigest,string"`
}

// checkAnswer checks that the response is complete and belongs to the request. A
// stored response found by an idempotency key has the identifier of the first
// request with the key.
func (r *sentRequest) checkAnswer() error {
	var a targetAnswer
	if err := json.Unmarshal(r.answer, &a); err != nil {
		return fmt.Errorf("response is not complete: %w", err)
	}
	if a.RequestID != r.id && r.key == "" {
		return fmt.Errorf("response belongs to request %s", a.RequestID)
	}
	if a.BodyBytes != len(r.body) || a.BodyDigest != xxhash.Sum64(r.body) {
		return fmt.Errorf("response belongs to another request body, of %d bytes", a.BodyBytes)
	}
	return nil
}

// hold blocks the requests of a service when they reach a stage at their targets,
// until it is released.
type hold struct {
	stage snipestandin.Stage
	// reached receives a value for each request that reaches the stage.
	reached  chan struct{}
	released chan struct{}
	once     sync.Once
	count    atomic.Int32
}

// holdAt blocks requests at a stage at all targets of a service.
func (cl *cluster) holdAt(service string, stage snipestandin.Stage) *hold {
	h := &hold{stage: stage, reached: make(chan struct{}, 1000), released: make(chan struct{})}
	for _, t := range cl.targetsOf(service) {
		t.SetHook(func(s snipestandin.Stage) {
			if s != stage {
				return
			}
			h.count.Add(1)
			h.reached <- struct{}{}
			<-h.released
		})
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.holds[service] = h
	return h
}

func (h *hold) release() { h.once.Do(func() { close(h.released) }) }

// waitReached waits until a request has reached the stage.
func (h *hold) waitReached(ctx context.Context) error {
	select {
	case <-h.reached:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("no request reached stage %s", h.stage)
	}
}

// targetsOf returns the targets of a service by address.
func (cl *cluster) targetsOf(service string) map[string]*snipestandin.Target {
	targets := map[string]*snipestandin.Target{}
	k := slices.Index(cl.services, service)
	for i := range cl.Places {
		for j := range 2 {
			address := cl.target(k, i, j)
			if t, ok := cl.standins.Target(address); ok {
				targets[address] = t
			}
		}
	}
	return targets
}

// load is a run of an open-loop load generator. report may be read once done is
// closed, and wrongAnswers are the errors of checkAnswer.
type load struct {
	report       *snipeload.Report
	done         chan struct{}
	cancel       context.CancelFunc
	wrongAnswers []string
}

// startLoad starts to generate load for a service from the callers of a place, at
// a rate in requests/s.
func (cl *cluster) startLoad(service, method string, from int, rate float64, duration time.Duration, bodyBytes int, seed uint64) (*load, error) {
	var entries []string
	for _, in := range cl.instances {
		entries = append(entries, in.listen)
	}
	caller, err := snipeload.NewCaller(snipeload.CallerConfig{
		Entries: entries, Team: cl.team, Service: service, Timeout: 5 * time.Second, Dialer: cl.callerDialer(from),
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{done: make(chan struct{}), cancel: cancel}
	var mu sync.Mutex
	body := bytes.Repeat([]byte("b"), bodyBytes)
	generator, err := snipeload.NewGenerator(snipeload.Config{
		Rate: rate, Duration: duration, Seed: seed,
		NewRequest: func(int) snipeload.Request {
			return snipeload.Request{Method: method, Path: fmt.Sprintf("/from/%d/x", from), Body: body}
		},
		Observe: func(_ int, r snipeload.Result, latency time.Duration) {
			o := &sentRequest{
				id: r.RequestID(), service: service, body: body, done: make(chan struct{}), outcome: string(r.Outcome()),
				reason: r.Reason(), answer: r.Body(), err: r.Err(), latency: latency,
				tries: r.Tries(), atMostOnce: method != http.MethodGet && cl.isClassOnce(service),
			}
			close(o.done)
			cl.mu.Lock()
			cl.sent = append(cl.sent, o)
			cl.mu.Unlock()
			if o.outcome == "done" {
				if err := o.checkAnswer(); err != nil {
					mu.Lock()
					l.wrongAnswers = append(l.wrongAnswers, err.Error())
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

// status is the part of the response of GET /v1/status that the tests read.
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

// sumMetric returns the sum of a metric over the series whose names with labels
// contain all the given texts.
func (in *instance) sumMetric(name string, labels ...string) (float64, error) {
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

// pollInterval is the time between two checks of a condition that no event
// signals.
const pollInterval = 20 * time.Millisecond

// pollUntil calls check until it returns nil. After the limit it returns the last
// error.
func pollUntil(limit time.Duration, check func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("condition does not hold within %s: %w", limit, err)
		}
		time.Sleep(pollInterval)
	}
}

// checkSettled returns nil if the running instances are ready and see each other
// as live, hold all positions of their regions, and own every slot group, with
// all slots free.
func (cl *cluster) checkSettled() error {
	held := map[string]int{}
	groups := 0
	running := 0
	for _, in := range cl.instances {
		if in.running() {
			running++
		}
	}
	for _, in := range cl.instances {
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
			return fmt.Errorf("%s sees %d live members, but %d instances run", in.name, live, running)
		}
		held[cl.region(in.place)] += len(s.Positions)
		groups += len(s.Groups)
		for _, g := range s.Groups {
			if g.Free != g.Total {
				return fmt.Errorf("%s: group %s has %d of %d slots free", in.name, g.Group, g.Free, g.Total)
			}
		}
	}
	for region, n := range held {
		if n != positionsPerRegion {
			return fmt.Errorf("%d positions of region %s are held, want each exactly once", n, region)
		}
	}
	// An instance holds a position shortly before it owns the groups of the
	// position, so the positions alone do not suffice.
	if want := cl.countGroups(); groups != want {
		return fmt.Errorf("%d of %d groups have an owner", groups, want)
	}
	return nil
}

// countGroups returns the number of slot groups. There is one for each place of
// each service.
func (cl *cluster) countGroups() int {
	n := 0
	for _, team := range cl.committed.Teams() {
		for _, service := range team.Services() {
			n += len(service.Places())
		}
	}
	return n
}
