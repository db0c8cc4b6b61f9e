package snipestandin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/snipemoor/snipemoor/snipetime"
)

type itemWire struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

type putWire struct {
	Value     []byte `json:"value"`
	IfVersion uint64 `json:"ifVersion"`
	Lease     string `json:"lease"`
}

type versionWire struct {
	Version uint64 `json:"version"`
}

type listWire struct {
	Items    []itemWire `json:"items"`
	Deleted  []string   `json:"deleted,omitempty"`
	Revision uint64     `json:"revision"`
}

type grantWire struct {
	TTL string `json:"ttl"`
}

type leaseWire struct {
	Lease string `json:"lease"`
}

type errorWire struct {
	Error string `json:"error"`
}

// maxStoreBodyBytes bounds the body of a write. It leaves room for the largest
// value in base64.
const maxStoreBodyBytes = 2 * MaxValueBytes

// defaultWatchWait is how long a watch waits for a change if its query sets no
// wait.
const defaultWatchWait = 30 * time.Second

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/kv/{key...}", s.readHandler(CallGet, s.handleGet))
	mux.Handle("GET /v1/list", s.readHandler(CallList, s.handleList))
	mux.Handle("GET /v1/watch", s.readHandler(CallWatch, s.handleWatch))
	mux.Handle("PUT /v1/kv/{key...}", s.writeHandler(CallPut, s.handlePut))
	mux.Handle("DELETE /v1/kv/{key...}", s.writeHandler(CallDelete, s.handleDelete))
	mux.Handle("POST /v1/leases", s.writeHandler(CallLease, s.handleGrant))
	mux.Handle("POST /v1/leases/{id}/renew", s.writeHandler(CallRenew, s.handleRenew))
	mux.Handle("DELETE /v1/leases/{id}", s.writeHandler(CallRevoke, s.handleRevoke))
	mux.HandleFunc("POST /standin/fault", s.handleFault)
	mux.HandleFunc("POST /standin/lapse", s.handleLapse)
	mux.HandleFunc("GET /standin/calls", s.handleCalls)
	return mux
}

// applyFaults counts a call and applies the faults that hit it before it takes
// effect. It reports false if it has sent an error response; a fault that closes
// the connection ends the handler by panic.
func (s *Store) applyFaults(w http.ResponseWriter, r *http.Request, kind CallKind) bool {
	if hook := s.hook.Load(); hook != nil {
		(*hook)(kind, r.URL.Path)
	}
	s.mu.Lock()
	s.calls[kind]++
	faults := s.faults
	refused := faults.RefuseFraction > 0 && s.random.Float64() < faults.RefuseFraction
	s.mu.Unlock()
	if !sleep(r.Context(), s.clock, faults.Delay) {
		dropConnection()
	}
	switch faults.Outage {
	case OutageError:
		writeError(w, http.StatusServiceUnavailable, "outage")
		return false
	case OutageSilent:
		s.waitForDisconnect(r.Context())
		dropConnection()
	case OutageClose:
		dropConnection()
	case OutageNone:
	}
	if refused {
		writeError(w, http.StatusTooManyRequests, "call rate is exceeded")
		return false
	}
	return true
}

// waitForDisconnect waits until the client disconnects or the store is closed.
func (s *Store) waitForDisconnect(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.closed:
	}
}

// readHandler returns the handler of a read: h behind the faults of the store.
func (s *Store) readHandler(kind CallKind, h http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.applyFaults(w, r, kind) {
			h(w, r)
		}
	})
}

// writeResult is the response to a write. It is sent after the write took
// effect, unless a fault loses it.
type writeResult struct {
	status int
	body   any
}

// writeHandler returns the handler of a write: h behind the faults of the store.
// h is called with the lock held and with the body of the request.
func (s *Store) writeHandler(kind CallKind, h func(*http.Request, []byte) writeResult) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStoreBodyBytes))
		if err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, "body is too large or incomplete")
			return
		}
		if !s.applyFaults(w, r, kind) {
			return
		}
		s.mu.Lock()
		if s.faults.LoseRequests > 0 {
			s.faults.LoseRequests--
			s.mu.Unlock()
			dropConnection()
		}
		if s.faults.LateWrites > 0 {
			s.faults.LateWrites--
			s.delayWrite(r, body, h)
			s.mu.Unlock()
			dropConnection()
		}
		s.expireLeases()
		result := h(r, body)
		lost := s.faults.LoseAnswers > 0
		if lost {
			s.faults.LoseAnswers--
		}
		s.mu.Unlock()
		if lost {
			dropConnection()
		}
		writeJSON(w, result.status, result.body)
	})
}

// delayWrite makes a write take effect after LateBy. The caller holds the lock.
func (s *Store) delayWrite(r *http.Request, body []byte, h func(*http.Request, []byte) writeResult) {
	s.lateWrites.Add(1)
	s.clock.After(s.faults.LateBy, func(snipetime.Instant) {
		defer s.lateWrites.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expireLeases()
		h(r, body)
	})
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, errorWire{Error: message})
}

// errorResult returns the response for an HTTP status that is an error.
func errorResult(status int) writeResult {
	return writeResult{status: status, body: errorWire{Error: http.StatusText(status)}}
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	s.mu.Lock()
	s.expireLeases()
	item, ok := s.visible().items[key]
	s.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such key")
		return
	}
	writeJSON(w, http.StatusOK, itemWire{Key: key, Value: item.value, Version: item.version})
}

func (s *Store) handleList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expireLeases()
	list := s.visible().list(r.URL.Query().Get("prefix"), 0)
	s.mu.Unlock()
	list.Deleted = nil
	writeJSON(w, http.StatusOK, list)
}

// list returns the items under a prefix that changed after a revision, and the
// keys that were deleted after it.
func (d *storeData) list(prefix string, after uint64) listWire {
	keys, deleted := d.changedSince(prefix, after)
	list := listWire{Items: make([]itemWire, 0, len(keys)), Deleted: deleted, Revision: d.revision}
	for _, key := range keys {
		item := d.items[key]
		list.Items = append(list.Items, itemWire{Key: key, Value: item.value, Version: item.version})
	}
	return list
}

func (s *Store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "after is not a revision")
		return
	}
	wait := defaultWatchWait
	if text := query.Get("wait"); text != "" {
		wait, err = time.ParseDuration(text)
		if err != nil {
			writeError(w, http.StatusBadRequest, "wait is not a duration")
			return
		}
	}
	list, ok := s.watch(r.Context(), query.Get("prefix"), after, wait)
	if !ok {
		dropConnection()
	}
	writeJSON(w, http.StatusOK, list)
}

// watch waits for a change under the prefix and returns the changes after a
// revision, none if the wait ends first. It returns at once if the store shows
// a lower revision than that, as during the fault OldData. It reports false if
// an outage begins, the client disconnects or the store is closed.
func (s *Store) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (listWire, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := make(chan struct{})
	go func() {
		if sleep(ctx, s.clock, wait) {
			close(timeout)
		}
	}()
	timedOut := false
	for {
		s.mu.Lock()
		s.expireLeases()
		list := s.visible().list(prefix, after)
		changed := s.changed
		outage := s.faults.Outage != OutageNone
		s.mu.Unlock()
		if outage {
			return listWire{}, false
		}
		if timedOut || len(list.Items) > 0 || len(list.Deleted) > 0 || list.Revision < after {
			return list, true
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-s.closed:
			return listWire{}, false
		case <-ctx.Done():
			return listWire{}, false
		}
	}
}

func (s *Store) handlePut(r *http.Request, body []byte) writeResult {
	var put putWire
	if err := json.Unmarshal(body, &put); err != nil {
		return errorResult(http.StatusBadRequest)
	}
	version, status := s.put(r.PathValue("key"), put.Value, put.IfVersion, put.Lease)
	if status != http.StatusOK {
		return errorResult(status)
	}
	return writeResult{status: status, body: versionWire{Version: version}}
}

func (s *Store) handleDelete(r *http.Request, _ []byte) writeResult {
	ifVersion, err := strconv.ParseUint(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		return errorResult(http.StatusBadRequest)
	}
	status := s.deleteKey(r.PathValue("key"), ifVersion)
	if status != http.StatusOK {
		return errorResult(status)
	}
	return writeResult{status: status, body: versionWire{Version: s.data.revision}}
}

func (s *Store) handleGrant(_ *http.Request, body []byte) writeResult {
	var grant grantWire
	if err := json.Unmarshal(body, &grant); err != nil {
		return errorResult(http.StatusBadRequest)
	}
	ttl, err := time.ParseDuration(grant.TTL)
	if err != nil || ttl <= 0 {
		return errorResult(http.StatusBadRequest)
	}
	return writeResult{status: http.StatusOK, body: leaseWire{Lease: s.grantLease(ttl)}}
}

func (s *Store) handleRenew(r *http.Request, _ []byte) writeResult {
	id := r.PathValue("id")
	lease, ok := s.leases[id]
	if !ok {
		return errorResult(http.StatusNotFound)
	}
	now := s.clock.Now()
	lease.expires = now.Add(lease.ttl)
	s.scheduleExpiry(now)
	return writeResult{status: http.StatusOK, body: leaseWire{Lease: id}}
}

func (s *Store) handleRevoke(r *http.Request, _ []byte) writeResult {
	id := r.PathValue("id")
	if _, ok := s.leases[id]; !ok {
		return errorResult(http.StatusNotFound)
	}
	s.removeLease(id)
	s.notifyWatches()
	return writeResult{status: http.StatusOK, body: leaseWire{Lease: id}}
}

func (s *Store) handleFault(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if readControl(w, r, &f) {
		s.SetFaults(f)
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// lapseRequest is the body of a request to expire a lease. If Lease is empty, all
// leases expire.
type lapseRequest struct{ Lease string }

func (s *Store) handleLapse(w http.ResponseWriter, r *http.Request) {
	var request lapseRequest
	if !readControl(w, r, &request) {
		return
	}
	if request.Lease == "" {
		s.ExpireAllLeases()
	} else if !s.ExpireLease(request.Lease) {
		writeError(w, http.StatusNotFound, "no such lease")
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Store) handleCalls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Calls())
}
