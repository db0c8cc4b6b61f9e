package snipeforward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/snipemoor/snipemoor/snipetarget"
)

// targetAction is what a scripted target does with a request: it closes the
// connection at some point, sheds the request or responds.
type targetAction int

const (
	dropBeforeReading targetAction = iota
	dropAfterHeaders
	dropInBody
	dropAfterRun
	dropInResponse
	shed
	respond200
	respond500
	targetActionCount
)

// scriptedTarget performs the next action of its script for each request, and
// responds with status 200 to the requests after the script.
type scriptedTarget struct {
	listener net.Listener
	// respondEarly responds before the body is read.
	respondEarly bool
	wg           sync.WaitGroup

	mu     sync.Mutex
	conns  []net.Conn
	script []targetAction
	// begun counts the requests whose headers the target accepted, ran those
	// whose body it also read to the end.
	begun, ran int
}

func newScriptedTarget(t testing.TB, script ...targetAction) *scriptedTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedTarget{listener: l, script: script}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.wg.Go(func() { s.serve(c) })
		}
	})
	return s
}

// close closes the listener and all connections and waits for the goroutines.
func (s *scriptedTarget) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *scriptedTarget) counts() (begun, ran int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun, s.ran
}

func (s *scriptedTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for s.serveRequest(c, r) {
	}
}

// serveRequest serves one request and reports whether the connection stays open.
func (s *scriptedTarget) serveRequest(c io.Writer, r *bufio.Reader) bool {
	if _, err := r.Peek(1); err != nil {
		return false
	}
	s.mu.Lock()
	action := respond200
	if len(s.script) > 0 {
		action, s.script = s.script[0], s.script[1:]
	}
	s.mu.Unlock()
	if action == dropBeforeReading {
		return false
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if action == shed {
		_, _ = io.Copy(io.Discard, req.Body)
		_, err = io.WriteString(c, "HTTP/1.1 503 Busy\r\nSnipemoor-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	s.mu.Lock()
	s.begun++
	s.mu.Unlock()
	if s.respondEarly {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
		_, _ = io.Copy(io.Discard, req.Body)
		return false
	}
	if action == dropAfterHeaders {
		return false
	}
	if action == dropInBody {
		_, _ = req.Body.Read(make([]byte, 1))
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	s.mu.Lock()
	s.ran++
	s.mu.Unlock()
	reply := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	switch action {
	case dropAfterRun:
		return false
	case dropInResponse:
		_, _ = io.WriteString(c, strings.TrimSuffix(reply, "ole"))
		return false
	case respond500:
		reply = strings.Replace(reply, "200 OK", "500 Error", 1)
	}
	_, err = io.WriteString(c, reply)
	return err == nil
}

// refusingAddress returns an address that refuses connections.
func refusingAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// callerResult is the result of a request as its caller received it.
type callerResult struct {
	outcome  string
	body     string
	status   int
	complete bool
}

// call sends a request with a body of size bytes to the service of a class. A
// connection that fails before the response leads to an empty result.
func (i *instance) call(t *rapid.T, method, class string, size int, chunked bool, headers ...string) callerResult {
	var body io.Reader
	if size > 0 {
		body = strings.NewReader(strings.Repeat("x", size))
		if chunked {
			body = io.MultiReader(body)
		}
	}
	resp, err := i.send(t.Context(), method, class+"/x", body, headers...)
	if err != nil {
		return callerResult{}
	}
	defer func() { _ = resp.Body.Close() }()
	p, err := io.ReadAll(resp.Body)
	return callerResult{resp.Header.Get(headerOutcome), string(p), resp.StatusCode, err == nil}
}

// Guards against a second execution of a request of class once, the outcome
// not-run after a target has begun the request, a truncated response that appears
// complete, and slots that are not released. The target fails at any point, on new
// and reused connections, with direct and relayed attempts. This covers the
// retries that net/http makes by itself on reused connections.
func TestOutcomesProperty(t *testing.T) {
	refusing := refusingAddress(t)
	a, b := newFleet(t, localPlan)
	check := func(rt *rapid.T) {
		class := rapid.SampledFrom([]string{"safe", "idempotent", "once"}).Draw(rt, "class")
		method := rapid.SampledFrom([]string{"GET", "POST", "PUT", "OPTIONS"}).Draw(rt, "method")
		size := rapid.SampledFrom([]int{0, 10, 100 << 10}).Draw(rt, "size")
		chunked := rapid.Bool().Draw(rt, "chunked")
		target := newScriptedTarget(t)
		defer target.close()
		defer func() {
			a.forwarder.deps.Targets.(*snipetarget.Pools).Forget(target.listener.Addr().String())
			b.forwarder.deps.Targets.(*snipetarget.Pools).Forget(target.listener.Addr().String())
		}()
		a.plan = rapid.SampledFrom([][]Place{localPlan, relayPlan, append(localPlan[:1:1], relayPlan...)}).Draw(rt, "plan")
		a.targets = []string{target.listener.Addr().String()}
		if rapid.Bool().Draw(rt, "refused dial") {
			a.targets = append(a.targets, refusing)
		}
		b.targets = a.targets
		for range rapid.IntRange(0, 2).Draw(rt, "warm") {
			a.call(rt, "GET", "safe", 0, false)
		}
		beforeBegun, beforeRan := target.counts()
		target.mu.Lock()
		target.script = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) targetAction {
			return targetAction(rapid.IntRange(0, int(targetActionCount)-1).Draw(t, "stage"))
		}), 1, 4).Draw(rt, "script")
		target.mu.Unlock()
		id := testRecords{a}.Issue().String()
		first := a.call(rt, method, class, size, chunked, headerRequestID, id)
		begun, ran := target.counts()
		begun, ran = begun-beforeBegun, ran-beforeRan
		if first.outcome == outcomeNotRun && begun > 0 {
			rt.Errorf("not-run, but the target began %d requests", begun)
		}
		if first.complete && first.outcome == outcomeDone && first.status < 400 && (first.body != "whole" || ran == 0) {
			rt.Errorf("received %+v after %d executions", first, ran)
		}
		if class == "once" && method != "GET" {
			second := a.call(rt, method, class, size, chunked, headerRequestID, id)
			_, after := target.counts()
			if after -= beforeRan; after > 1 || second.outcome == outcomeNotRun && (begun > 0 || first.outcome != outcomeNotRun) {
				rt.Errorf("%d executions after a repeat; received %+v, then %+v", after, first, second)
			}
			if first.complete && first.outcome == outcomeDone && second != first {
				rt.Errorf("received %+v, then %+v", first, second)
			}
		}
		a.waitIdle(t)
		b.waitIdle(t)
	}
	rapid.Check(t, check)
}
