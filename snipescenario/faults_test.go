package snipescenario_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/snipemoor/snipemoor/snipeconfig"
	"github.com/snipemoor/snipemoor/snipestandin"
)

// losePath makes the store lose the answers of the next writes below a path of
// its interface after they took effect.
func (w *world) losePath(path string, times int) {
	store := w.standins.Store()
	var left atomic.Int64
	left.Store(int64(times))
	store.SetHook(func(kind snipestandin.CallKind, called string) {
		if kind == snipestandin.CallPut && strings.HasPrefix(called, "/v1/kv/"+path) && left.Add(-1) >= 0 {
			store.SetFaults(snipestandin.StoreFaults{LoseAnswers: 1})
		}
	})
}

// partition cuts a region off from the others, or heals the cut. The store and
// the instance list are in the first region.
func (w *world) partition(operation, region string) error {
	inside := w.placesOf(region)
	var outside []string
	for _, p := range w.Places {
		if !slices.Contains(inside, p.Name) {
			outside = append(outside, p.Name)
		}
	}
	return w.control(operation, inside, outside)
}

// drain commits a drain document for a target, an instance or a place.
func (w *world) drain(what, value string) error {
	name := "d" + strings.Map(func(r rune) rune {
		if r == '.' || r == ':' {
			return '-'
		}
		return r
	}, value)
	document := fmt.Sprintf(`{"kind":"drain","name":%q,%q:%q}`, name, what, value)
	if err := w.setDocument("drain.json", []byte(document)); err != nil {
		return err
	}
	return w.commit(context.Background())
}

// drainTarget drains one target of a service and notes since when.
func (w *world) drainTarget(service string, place, index int) error {
	address := w.target(slices.Index(w.services, service), place, index)
	if err := w.drain("target", address); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = append(w.leaving, drained{address, w.clock.Now()})
	return nil
}

// undrain removes all drain documents.
func (w *world) undrain() error {
	for ref := range w.documents {
		if ref.Kind == snipeconfig.KindDrain {
			delete(w.documents, ref)
		}
	}
	return w.commit(context.Background())
}
