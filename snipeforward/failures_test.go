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

// stage is where a scripted target ends an attempt.
type stage int

const (
	dropBeforeReading stage = iota
	dropAfterHeaders
	dropInBody
	dropAfterRun
	dropInAnswer
	shed
	answer200
	answer500
	stageCount
)

// scriptedTarget ends each request at the next stage of its script and answers
// the requests after the script.
type scriptedTarget struct {
	listener net.Listener
	// early answers before the body is read.
	early bool
	wg    sync.WaitGroup

	mu     sync.Mutex
	conns  []net.Conn
	script []stage
	// begun counts requests of which the target acted on the headers, ran those
	// that it read whole.
	begun, ran int
}

func newScriptedTarget(t testing.TB, script ...stage) *scriptedTarget {
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
	for s.answer(c, r) {
	}
}

// answer serves one request and reports whether the connection goes on.
func (s *scriptedTarget) answer(c io.Writer, r *bufio.Reader) bool {
	if _, err := r.Peek(1); err != nil {
		return false
	}
	s.mu.Lock()
	at := answer200
	if len(s.script) > 0 {
		at, s.script = s.script[0], s.script[1:]
	}
	s.mu.Unlock()
	if at == dropBeforeReading {
		return false
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if at == shed {
		_, _ = io.Copy(io.Discard, req.Body)
		_, err = io.WriteString(c, "HTTP/1.1 503 Busy\r\nSnipemoor-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	s.mu.Lock()
	s.begun++
	s.mu.Unlock()
	if s.early {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
		_, _ = io.Copy(io.Discard, req.Body)
		return false
	}
	if at == dropAfterHeaders {
		return false
	}
	if at == dropInBody {
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
	switch at {
	case dropAfterRun:
		return false
	case dropInAnswer:
		_, _ = io.WriteString(c, strings.TrimSuffix(reply, "ole"))
		return false
	case answer500:
		reply = strings.Replace(reply, "200 OK", "500 Error", 1)
	}
	_, err = io.WriteString(c, reply)
	return err == nil
}

// deadAddress returns an address that refuses connections.
func deadAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// told is what a caller learned.
type told struct {
	outcome string
	body    string
	status  int
	whole   bool
}

func (i *instance) tell(t *rapid.T, method, class string, size int, chunked bool, headers ...string) told {
	var body io.Reader
	if size > 0 {
		body = strings.NewReader(strings.Repeat("x", size))
		if chunked {
			body = io.MultiReader(body)
		}
	}
	resp, err := i.send(t.Context(), method, class+"/x", body, headers...)
	if err != nil {
		return told{}
	}
	defer func() { _ = resp.Body.Close() }()
	p, err := io.ReadAll(resp.Body)
	return told{resp.Header.Get(headerOutcome), string(p), resp.StatusCode, err == nil}
}

// Guards against a second execution of a once request, not-run after a target
// has begun, a truncated response that looks whole and slots that stay held,
// whatever fails at the target, on new and reused connections, directly and
// relayed. It includes the replay rules of net/http for reused connections.
func TestOutcomesProperty(t *testing.T) {
	dead := deadAddress(t)
	a, b := newFleet(t, localPlan)
	check := func(rt *rapid.T) {
		class := rapid.SampledFrom([]string{"safe", "idempotent", "once"}).Draw(rt, "class")
		method := rapid.SampledFrom([]string{"GET", "POST", "PUT", "OPTIONS"}).Draw(rt, "method")
		size := rapid.SampledFrom([]int{0, 10, 100 << 10}).Draw(rt, "size")
		chunked := rapid.Bool().Draw(rt, "chunked")
		target := newScriptedTarget(t)
		defer target.close()
		defer func() {
			a.forward.deps.Targets.(*snipetarget.Pools).Forget(target.listener.Addr().String())
			b.forward.deps.Targets.(*snipetarget.Pools).Forget(target.listener.Addr().String())
		}()
		a.plan = rapid.SampledFrom([][]Place{localPlan, relayPlan, append(localPlan[:1:1], relayPlan...)}).Draw(rt, "plan")
		a.targets = []string{target.listener.Addr().String()}
		if rapid.Bool().Draw(rt, "refused dial") {
			a.targets = append(a.targets, dead)
		}
		b.targets = a.targets
		for range rapid.IntRange(0, 2).Draw(rt, "warm") {
			a.tell(rt, "GET", "safe", 0, false)
		}
		beforeBegun, beforeRan := target.counts()
		target.mu.Lock()
		target.script = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) stage {
			return stage(rapid.IntRange(0, int(stageCount)-1).Draw(t, "stage"))
		}), 1, 4).Draw(rt, "script")
		target.mu.Unlock()
		id := recordFake{a}.Issue().String()
		first := a.tell(rt, method, class, size, chunked, headerRequestID, id)
		begun, ran := target.counts()
		begun, ran = begun-beforeBegun, ran-beforeRan
		if first.outcome == outcomeNotRun && begun > 0 {
			rt.Errorf("not-run, but the target began %d requests", begun)
		}
		if first.whole && first.outcome == outcomeDone && first.status < 400 && (first.body != "whole" || ran == 0) {
			rt.Errorf("told %+v after %d executions", first, ran)
		}
		if class == "once" && method != "GET" {
			second := a.tell(rt, method, class, size, chunked, headerRequestID, id)
			_, after := target.counts()
			if after -= beforeRan; after > 1 || second.outcome == outcomeNotRun && (begun > 0 || first.outcome != outcomeNotRun) {
				rt.Errorf("%d executions after a repeat; told %+v, then %+v", after, first, second)
			}
			if first.whole && first.outcome == outcomeDone && second != first {
				rt.Errorf("told %+v, then %+v", first, second)
			}
		}
		a.idle(t)
		b.idle(t)
	}
	rapid.Check(t, check)
}
