package snipedemo

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipeload"
	"github.com/snipemoor/snipemoor/snipestandin"
)

const (
	// maxBodyBytes limits the request bodies, so that the demo measures routing and
	// not the copying of uploads.
	maxBodyBytes = 64 << 10
	// requestsPerKey is the number of requests of class once for each one with an
	// idempotency key. Each key costs a write to the store.
	requestsPerKey = 50
)

// callerResult is the result of one request as its caller received it.
// lostConnections is the number of tries whose connection was lost after it had
// been opened.
type callerResult struct {
	id              string
	service         *snipeconfig.Service
	homePlace       string
	outcome         snipeload.Outcome
	reason          string
	lostConnections int
	at              time.Time
}

// wrongResponse identifies a request with outcome done whose response is truncated
// or belongs to another request.
type wrongResponse struct{ id, reason string }

// resultLog collects the results that the callers received and the idempotency
// keys that they sent. It is safe for concurrent use.
type resultLog struct {
	mu      sync.Mutex
	results []callerResult
	wrong   []wrongResponse
	keys    []string
}

// add records a result, the fault of its response and its idempotency key; wrong
// and key may be empty.
func (l *resultLog) add(r callerResult, wrong string, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
	if wrong != "" {
		l.wrong = append(l.wrong, wrongResponse{r.id, wrong})
	}
	if key != "" {
		l.keys = append(l.keys, key)
	}
}

// stream is the load on one service from the callers of one place. bodySuffix
// follows the request number in each body, and inFlight holds the requests without
// a result by number.
type stream struct {
	service    *snipeconfig.Service
	homePlace  string
	caller     *snipeload.Caller
	generator  *snipeload.Generator
	resultLog  *resultLog
	bodySuffix []byte

	mu       sync.Mutex
	inFlight map[int]snipeload.Request
}

// dialFunc is a function that implements snipeload.Dialer.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialContext implements snipeload.Dialer.
func (f dialFunc) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return f(ctx, network, address)
}

// newStream returns the load on a service from a client block. Its rate is the
// fraction Load of the capacity of the service's targets in the place of the
// block. Callers use the first host address of the block as source address.
func newStream(s Settings, tb *testbed, service *snipeconfig.Service, block snipeconfig.ClientBlock) (*stream, error) {
	homePlace := block.Place().Name()
	behavior := tb.deployment.standins.Services[service.Name()]
	slots := len(service.TargetsIn(homePlace)) * service.Template().SlotsPerTarget()
	rate := s.Load * float64(slots) / meanServiceTime(behavior).Seconds()
	seed := s.Seed ^ xxhash.Sum64String(service.Name()+"/"+homePlace)
	source := block.Prefix().Addr().Next()
	caller, err := snipeload.NewCaller(snipeload.CallerConfig{
		Entries: tb.entriesByProximity(homePlace), Team: service.Team().Name(), Service: service.Name(),
		Block: block.Prefix().String(), Timeout: service.Template().DefaultTimeout(),
		Dialer: dialFunc(tb.network.DialerFrom(clientPrefix+homePlace, source)),
	})
	if err != nil {
		return nil, fmt.Errorf("caller of %s in %s: %w", service.Name(), homePlace, err)
	}
	st := &stream{service: service, homePlace: homePlace, caller: caller, resultLog: tb.resultLog, inFlight: make(map[int]snipeload.Request)}
	random := rand.New(rand.NewPCG(seed, 2))
	st.bodySuffix = make([]byte, min(service.Template().RequestBytes(), maxBodyBytes))
	for i := range st.bodySuffix {
		st.bodySuffix[i] = byte(random.Uint32())
	}
	st.generator, err = snipeload.NewGenerator(snipeload.Config{
		Rate: rate, Duration: s.Duration, Seed: seed, NewRequest: st.newRequest, Observe: st.observe,
	}, caller)
	if err != nil {
		return nil, fmt.Errorf("load of %s from %s: %w", service.Name(), homePlace, err)
	}
	return st, nil
}

// meanServiceTime returns the mean of the log-normal service time of a warm
// target.
func meanServiceTime(b snipestandin.ServiceBehavior) time.Duration {
	return time.Duration(float64(b.MedianServiceTime) * math.Exp(b.Sigma*b.Sigma/2))
}

// newRequest returns the n-th request. Its path, and its body if it has one, are
// unique, so that the response to another request is detected.
func (s *stream) newRequest(n int) snipeload.Request {
	r := snipeload.Request{Path: "/" + s.homePlace + "/" + strconv.Itoa(n) + "?demo=" + s.service.Name()}
	if s.service.Class() != snipeconfig.ClassSafe {
		r.Method = http.MethodPost
		r.Body = append(binary.BigEndian.AppendUint64(nil, uint64(n)), s.bodySuffix...)
	}
	if s.service.Class() == snipeconfig.ClassOnce && n%requestsPerKey == 0 {
		r.IdempotencyKey = s.service.Name() + "-" + s.homePlace + "-" + strconv.Itoa(n)
	}
	s.mu.Lock()
	s.inFlight[n] = r
	s.mu.Unlock()
	return r
}

// observe checks the response to the n-th request and records the result.
func (s *stream) observe(n int, r snipeload.Result, _ time.Duration) {
	s.mu.Lock()
	request := s.inFlight[n]
	delete(s.inFlight, n)
	s.mu.Unlock()
	wrong := ""
	if r.Outcome() == snipeload.Done {
		if err := checkResponse(request, r, s.service.Template().AnswerBytes()); err != nil {
			wrong = err.Error()
		}
	}
	s.resultLog.add(callerResult{
		id: r.RequestID(), service: s.service, homePlace: s.homePlace,
		outcome: r.Outcome(), reason: r.Reason(), lostConnections: r.LostConnections(), at: time.Now(),
	}, wrong, request.IdempotencyKey)
}

// targetResponse is the JSON document at the start of a stand-in target's
// response. It repeats what the target received.
type targetResponse struct {
	RequestID  string `json:"requestId"`
	Key        string `json:"key"`
	Path       string `json:"path"`
	BodyBytes  int64  `json:"bodyBytes"`
	BodyDigest uint64 `json:"bodyDigest,string"`
}

// checkResponse returns an error unless the response is complete, has at least
// size bytes and repeats the request's own identifier, path, key and body digest.
func checkResponse(request snipeload.Request, r snipeload.Result, size int64) error {
	if r.Status() != http.StatusOK {
		return fmt.Errorf("outcome done with status %d", r.Status())
	}
	if int64(len(r.Body())) < size {
		return fmt.Errorf("response has %d of %d bytes", len(r.Body()), size)
	}
	var a targetResponse
	if err := json.Unmarshal(r.Body(), &a); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	switch {
	case a.RequestID != r.RequestID():
		return fmt.Errorf("response to request %s", a.RequestID)
	case a.Path != request.Path:
		return fmt.Errorf("response to path %s", a.Path)
	case a.Key != request.IdempotencyKey:
		return fmt.Errorf("response to idempotency key %s", a.Key)
	case a.BodyBytes != int64(len(request.Body)) || a.BodyDigest != xxhash.Sum64(request.Body):
		return errors.New("response to another body")
	}
	return nil
}

// newStreams returns the load on every service from every client block, except
// blocks of a place where the service has no targets.
func newStreams(s Settings, tb *testbed) ([]*stream, error) {
	var streams []*stream
	for _, team := range tb.deployment.config.Teams() {
		for _, service := range team.Services() {
			for _, block := range team.ClientBlocks() {
				if len(service.TargetsIn(block.Place().Name())) == 0 {
					continue
				}
				st, err := newStream(s, tb, service, block)
				if err != nil {
					return nil, err
				}
				streams = append(streams, st)
			}
		}
	}
	if len(streams) == 0 {
		return nil, errors.New("the deployment has no client block in a place with targets")
	}
	return streams, nil
}

// entriesByProximity returns the addresses of all entry instances, those in the
// place first.
func (tb *testbed) entriesByProximity(place string) []string {
	var near, far []string
	for _, i := range tb.deployment.instances {
		if i.Place() == place {
			near = append(near, i.Listen().String())
		} else {
			far = append(far, i.Listen().String())
		}
	}
	return append(near, far...)
}
