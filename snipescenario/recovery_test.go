package snipescenario_test

import (
	"fmt"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// recover PLACE SERVICE [within=D] starts an instance and waits until it has
// forwarded a request to a target and returned the response.
//
// The limits of section 1.8 of the design count from the start of the process.
func cmdRecover(s *scriptState, ts *testscript.TestScript, a arguments) error {
	in, err := s.instance(a.get(0))
	if err != nil {
		return err
	}
	started := time.Now()
	if err := s.start(in); err != nil {
		return err
	}
	limit := a.duration("within", eventTimeout)
	err = pollUntil(limit, func() error {
		found, err := s.lookup(in, a.get(1), s.placeIndex(a.get(0)))
		if err != nil {
			return err
		}
		o := requestSpec{
			service: a.get(1), method: "GET", to: in, from: s.placeIndex(a.get(0)),
			timeout: time.Second, id: found.RequestIDPrefix + ".1",
		}
		r := s.send(o)
		<-r.done
		if r.String() != "done" {
			return fmt.Errorf("request ended as %s", r)
		}
		return nil
	})
	if err != nil {
		return err
	}
	took := time.Since(started)
	ts.Logf("%s serves requests after %s", in.name, took.Round(time.Millisecond))
	if took > limit {
		return fmt.Errorf("%s serves requests only after %s, want within %s", in.name, took, limit)
	}
	return nil
}
