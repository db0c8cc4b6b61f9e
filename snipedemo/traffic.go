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
	// maxBody bounds the bodies of requests, so that the demo measures steering
	// and not the copying of uploads.
	maxBody = 64 << 10
	// keyEvery is how many requests of class once there are for each one with an
	// idempotency key. Each key costs a write to the store.
	keyEvery = 50
)

// told is what a caller was told about one request.
type told struct {
	id      string
	service *snipeconfig.Service
	home    string
	outcome snipeload.Outcome
	reason  string
	cuts    int
	at      time.Time
}

// wrongAnswer is a complete response that does not belong to its request.
type wrongAnswer struct{ id, reason string }

// ledger collects what the callers were told. It is safe for concurrent use.
type ledger struct {
	mu    sync.Mutex
	told  []told
	wrong []wrongAnswer
	keys  []string
}

func (l *ledger) add(t told, wrong string, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = append(l.told, t)
	if wrong != "" {
		l.wrong = append(l.wrong, wrongAnswer{t.id, wrong})
	}
	if key != "" {
		l.keys = append(l.keys, key)
	}
}

// stream is the load of one service from the callers of one place.
type stream struct {
	service   *snipeconfig.Service
	home      string
	caller    *snipeload.Caller
	generator *snipeload.Generator
	ledger    *ledger
	base      []byte

	mu   sync.Mutex
	sent map[int]snipeload.Request
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialContext implements snipeload.Dialer.
func (f dialFunc) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return f(ctx, network, address)
}

// newStream returns the load of a service from a client block.
func newStream(s Settings, w *world, service *snipeconfig.Service, block snipeconfig.ClientBlock) (*stream, error) {
	home := block.Place().Name()
	behavior := w.deployment.standins.Services[service.Name()]
	slots := len(service.TargetsIn(home)) * service.Template().SlotsPerTarget()
	rate := s.Load * float64(slots) / meanServiceTime(behavior).Seconds()
	seed := s.Seed ^ xxhash.Sum64String(service.Name()+"/"+home)
	local := block.Prefix().Addr().Next()
	caller, err := snipeload.NewCaller(snipeload.CallerConfig{
		Entries: w.entriesFrom(home), Team: service.Team().Name(), Service: service.Name(),
		Block: block.Prefix().String(), Timeout: service.Template().DefaultTimeout(),
		Dialer: dialFunc(w.network.DialerFrom(clientPrefix+home, local)),
	})
	if err != nil {
		return nil, fmt.Errorf("caller of %s in %s: %w", service.Name(), home, err)
	}
	st := &stream{service: service, home: home, caller: caller, ledger: w.ledger, sent: make(map[int]snipeload.Request)}
	random := rand.New(rand.NewPCG(seed, 2))
	st.base = make([]byte, min(service.Template().RequestBytes(), maxBody))
	for i := range st.base {
		st.base[i] = byte(random.Uint32())
	}
	st.generator, err = snipeload.NewGenerator(snipeload.Config{
		Rate: rate, Duration: s.Duration, Seed: seed, NewRequest: st.newRequest, Observe: st.observe,
	}, caller)
	if err != nil {
		return nil, fmt.Errorf("load of %s from %s: %w", service.Name(), home, err)
	}
	return st, nil
}

// meanServiceTime returns the mean of the log-normal service time of a warm
// target.
func meanServiceTime(b snipestandin.ServiceBehavior) time.Duration {
	return time.Duration(float64(b.MedianServiceTime) * math.Exp(b.Sigma*b.Sigma/2))
}

// newRequest returns a request whose path and body no other request has.
func (s *stream) newRequest(n int) snipeload.Request {
	r := snipeload.Request{Path: "/" + s.home + "/" + strconv.Itoa(n) + "?demo=" + s.service.Name()}
	if s.service.Class() != snipeconfig.ClassSafe {
		r.Method = http.MethodPost
		r.Body = append(binary.BigEndian.AppendUint64(nil, uint64(n)), s.base...)
	}
	if s.service.Class() == snipeconfig.ClassOnce && n%keyEvery == 0 {
		r.IdempotencyKey = s.service.Name() + "-" + s.home + "-" + strconv.Itoa(n)
	}
	s.mu.Lock()
	s.sent[n] = r
	s.mu.Unlock()
	return r
}

// observe checks the response of the n-th request and records it.
func (s *stream) observe(n int, r snipeload.Result, _ time.Duration) {
	s.mu.Lock()
	request := s.sent[n]
	delete(s.sent, n)
	s.mu.Unlock()
	wrong := ""
	if r.Outcome() == snipeload.Done {
		if err := checkAnswer(request, r, s.service.Template().AnswerBytes()); err != nil {
			wrong = err.Error()
		}
	}
	s.ledger.add(told{
		id: r.RequestID(), service: s.service, home: s.home,
		outcome: r.Outcome(), reason: r.Reason(), cuts: r.Cuts(), at: time.Now(),
	}, wrong, request.IdempotencyKey)
}

// answer is the start of the answer of a stand-in target.
type answer struct {
	RequestID  string `json:"requestId"`
	Key        string `json:"key"`
	Path       string `json:"path"`
	BodyBytes  int64  `json:"bodyBytes"`
	BodyDigest uint64 `json:"bodyDigest,string"`
}

// checkAnswer reports whether a response is the complete one to the request.
func checkAnswer(request snipeload.Request, r snipeload.Result, size int64) error {
	if r.Status() != http.StatusOK {
		return fmt.Errorf("outcome done with status %d", r.Status())
	}
	if int64(len(r.Body())) < size {
		return fmt.Errorf("%d of %d bytes", len(r.Body()), size)
	}
	var a answer
	if err := json.Unmarshal(r.Body(), &a); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	switch {
	case a.RequestID != r.RequestID():
		return fmt.Errorf("answer to request %s", a.RequestID)
	case a.Path != request.Path:
		return fmt.Errorf("answer to path %s", a.Path)
	case a.Key != request.IdempotencyKey:
		return fmt.Errorf("answer to key %s", a.Key)
	case a.BodyBytes != int64(len(request.Body)) || a.BodyDigest != xxhash.Sum64(request.Body):
		return errors.New("answer to another body")
	}
	return nil
}

// newStreams returns the load of every service from every client block.
func newStreams(s Settings, w *world) ([]*stream, error) {
	var streams []*stream
	for _, team := range w.deployment.config.Teams() {
		for _, service := range team.Services() {
			for _, block := range team.ClientBlocks() {
				if len(service.TargetsIn(block.Place().Name())) == 0 {
					continue
				}
				st, err := newStream(s, w, service, block)
				if err != nil {
					return nil, err
				}
				streams = append(streams, st)
			}
		}
	}
	if len(streams) == 0 {
		return nil, errors.New("the deployment has no client blocks")
	}
	return streams, nil
}

// entriesFrom returns the addresses of the instances, those of a place first.
func (w *world) entriesFrom(place string) []string {
	var near, far []string
	for _, i := range w.deployment.instances {
		if i.Place() == place {
			near = append(near, i.Listen().String())
		} else {
			far = append(far, i.Listen().String())
		}
	}
	return append(near, far...)
}
