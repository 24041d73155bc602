// Package objectapi stands in for the platform's object API, a store of versioned
// objects with conditional writes, watches and rate limits.
//
//	call --> count --> fault --> rate limit --> objects, versioned by one counter
//	                                  \-------> watch: wait for a version above "after"
//	test --> /admin/faults, /admin/counts, or the Go methods
//
// The HTTP interface is described in docs/protocols.md.
package objectapi

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

const (
	// MaxValueBytes bounds the size of a value, one megabyte.
	MaxValueBytes = 1_000_000
	// MaxNameBytes bounds the length of kinds and names.
	MaxNameBytes = 512
	// MaxWatchTimeout bounds the timeout of a watch.
	MaxWatchTimeout = 5 * time.Minute
	// DefaultReadsPerSecond is the rate of reads that the platform specifies.
	DefaultReadsPerSecond = 2000
	// DefaultWritesPerSecond is the rate of writes; the platform specifies only
	// "several hundred".
	DefaultWritesPerSecond = 400
	// DefaultRetryAfter is the Retry-After value sent with status 429 and 503.
	DefaultRetryAfter = time.Second
)

// Operations that fault rules can name and that the counts are keyed by.
const (
	OperationGet    = "get"
	OperationList   = "list"
	OperationWatch  = "watch"
	OperationCreate = "create"
	OperationUpdate = "update"
	OperationDelete = "delete"
)

var operations = map[string][]fault.Kind{
	OperationGet: nil, OperationList: nil, OperationWatch: nil,
	OperationCreate: nil, OperationUpdate: nil, OperationDelete: nil,
}

type (
	// Server is the stand-in for the object API. Its exported fields must be
	// set before the first call.
	Server struct {
		Clock mulberryspool.Clock
		// ReadsPerSecond and WritesPerSecond default to DefaultReadsPerSecond
		// and DefaultWritesPerSecond.
		ReadsPerSecond  float64
		WritesPerSecond float64
		// ReadBurst and WriteBurst default to a tenth of the rates.
		ReadBurst  int
		WriteBurst int
		// RetryAfter is rounded up to whole seconds. It defaults to
		// DefaultRetryAfter.
		RetryAfter time.Duration
		// Faults injects faults into the calls.
		Faults fault.Injector

		once   sync.Once
		store  store
		limits limits
		counts counter
	}

	// listing is the body of GET /objects/{kind}.
	listing struct {
		Objects []mulberryspool.Object `json:"objects"`
		// Version is the latest version given to an object of any kind,
		// including removals.
		Version mulberryspool.Revision `json:"version"`
	}
)

// Handler returns the HTTP interface, with the admin interface below /admin/.
func (s *Server) Handler() http.Handler {
	s.init()
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	s.Faults.Register(router)
	router.HandleFunc("/admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Counts())
	}).Methods(http.MethodGet)
	router.HandleFunc("/admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		s.ResetCounts()
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodDelete)
	router.HandleFunc("/objects/{kind}", s.handle(s.list, func(*http.Request) string { return OperationList })).Methods(http.MethodGet)
	router.HandleFunc("/objects/{kind}/{name}", s.handle(s.read, readOperation)).Methods(http.MethodGet)
	router.HandleFunc("/objects/{kind}/{name}", s.handle(s.write, writeOperation)).Methods(http.MethodPut)
	router.HandleFunc("/objects/{kind}/{name}", s.handle(s.remove, func(*http.Request) string { return OperationDelete })).Methods(http.MethodDelete)
	return router
}

// Counts returns the counts since the start or the last reset.
func (s *Server) Counts() Counts {
	s.init()
	return s.counts.snapshot()
}

// ResetCounts sets all counts to 0, except that the waiting watches stay counted.
func (s *Server) ResetCounts() {
	s.init()
	s.counts.reset()
}

// Objects returns all objects of a kind. It doesn't count as a call.
func (s *Server) Objects(kind string) []mulberryspool.Object {
	s.init()
	objects, _ := s.store.list(kind, "")
	return objects
}

// Put writes an object unconditionally. It doesn't count as a call.
func (s *Server) Put(kind, name string, value []byte) mulberryspool.Object {
	s.init()
	return s.store.put(kind, name, value)
}

func (s *Server) init() {
	s.once.Do(func() {
		s.Faults.Clock = s.Clock
		s.Faults.Operations = operations
		s.store.init()
		s.limits.init(s)
		s.counts.clock = s.Clock
		s.counts.reset()
	})
}

func readOperation(r *http.Request) string {
	if r.URL.Query().Has("after") {
		return OperationWatch
	}
	return OperationGet
}

func writeOperation(r *http.Request) string {
	if r.Header.Get("If-None-Match") != "" {
		return OperationCreate
	}
	return OperationUpdate
}

// handle returns a handler that counts the call and applies faults and the rate
// limits to it before it calls next.
func (s *Server) handle(next func(http.ResponseWriter, *http.Request, key), operationOf func(*http.Request) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operation, caller := operationOf(r), r.Header.Get(serve.CallerHeader)
		isWrite := operation == OperationCreate || operation == OperationUpdate || operation == OperationDelete
		s.counts.recordCall(operation, caller, isWrite)
		s.Faults.Wrap(operation, func(w http.ResponseWriter, r *http.Request, _ fault.Effect) {
			if !s.limits.allow(isWrite, s.Clock.Now()) {
				s.respondThrottled(w, operation, caller)
				return
			}
			k, err := parseKey(r)
			if err != "" {
				serve.WriteError(w, http.StatusBadRequest, "invalidName", err)
				return
			}
			next(w, r, k)
		})(w, r)
	}
}

func (s *Server) respondThrottled(w http.ResponseWriter, operation, caller string) {
	s.counts.recordThrottled(operation, caller)
	retryAfter := s.RetryAfter
	if retryAfter <= 0 {
		retryAfter = DefaultRetryAfter
	}
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	serve.WriteError(w, http.StatusTooManyRequests, "throttled", "the rate limit is reached")
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, k key) {
	objects, version := s.store.list(k.kind, r.URL.Query().Get("prefix"))
	serve.WriteJSON(w, http.StatusOK, listing{Objects: objects, Version: version})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, k key) {
	query := r.URL.Query()
	if query.Has("after") {
		s.watch(w, r, k)
		return
	}
	object, found := s.store.get(k)
	if !found {
		serve.WriteError(w, http.StatusNotFound, "notFound", "the object does not exist")
		return
	}
	writeObject(w, object)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, k key) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "invalidAfter", "after must be a version, such as 17")
		return
	}
	timeout, err := time.ParseDuration(query.Get("timeout"))
	if err != nil || timeout < 0 || timeout > MaxWatchTimeout {
		serve.WriteError(w, http.StatusBadRequest, "invalidTimeout", "timeout must be a duration from 0s to "+MaxWatchTimeout.String())
		return
	}
	caller := r.Header.Get(serve.CallerHeader)
	if !s.limits.beginWatch(s.Clock.Now()) {
		s.respondThrottled(w, OperationWatch, caller)
		return
	}
	s.counts.addWatches(1)
	defer func() {
		s.limits.endWatch(s.Clock.Now())
		s.counts.addWatches(-1)
	}()
	timer := s.Clock.NewTimer(timeout)
	defer timer.Stop()
	for {
		object, found, changed, unsubscribe := s.store.subscribe(k)
		if found && object.Version > mulberryspool.Revision(after) {
			unsubscribe()
			writeObject(w, object)
			return
		}
		select {
		case <-changed:
			continue
		case <-timer.Chan():
			unsubscribe()
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			unsubscribe()
			return
		}
	}
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, k key) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		serve.WriteError(w, http.StatusBadRequest, "invalidBody", "the value was not received completely")
		return
	}
	if len(value) > MaxValueBytes {
		serve.WriteError(w, http.StatusRequestEntityTooLarge, "tooLarge", "a value has at most "+strconv.Itoa(MaxValueBytes)+" bytes")
		return
	}
	if r.Header.Get("If-None-Match") == "*" && r.Header.Get("If-Match") == "" {
		object, created := s.store.create(k, value)
		s.respondWrite(w, object, created, http.StatusCreated)
		return
	}
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	object, matches := s.store.update(k, value, version)
	s.respondWrite(w, object, matches, http.StatusOK)
}

// respondWrite responds to a conditional write with the given status, or 412 if
// its condition was not met.
func (s *Server) respondWrite(w http.ResponseWriter, object mulberryspool.Object, applied bool, status int) {
	if object.Version > 0 {
		w.Header().Set("ETag", etag(object.Version))
	}
	if !applied {
		serve.WriteError(w, http.StatusPreconditionFailed, "conflict", "the object has another version, or none")
		return
	}
	w.WriteHeader(status)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, k key) {
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	object, matches := s.store.remove(k, version)
	s.respondWrite(w, object, matches, http.StatusNoContent)
}

// expectedVersion returns the version in the If-Match header. If the call is not
// conditional on one version, it responds with an error and returns false.
func expectedVersion(w http.ResponseWriter, r *http.Request) (mulberryspool.Revision, bool) {
	header := r.Header.Get("If-Match")
	if header == "" || r.Header.Get("If-None-Match") != "" {
		serve.WriteError(w, http.StatusPreconditionRequired, "preconditionRequired",
			`a write needs either If-Match with a version or "If-None-Match: *"`)
		return 0, false
	}
	text, quoted := strings.CutPrefix(header, `"`)
	text, closed := strings.CutSuffix(text, `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if !quoted || !closed || err != nil {
		serve.WriteError(w, http.StatusBadRequest, "invalidVersion", `If-Match must be a quoted version, such as "17"`)
		return 0, false
	}
	return mulberryspool.Revision(version), true
}

// parseKey returns the key in the path, or an error message for the response.
func parseKey(r *http.Request) (key, string) {
	vars := mux.Vars(r)
	kind, err := url.PathUnescape(vars["kind"])
	if err != nil || kind == "" || len(kind) > MaxNameBytes {
		return key{}, "the kind must have 1 to " + strconv.Itoa(MaxNameBytes) + " bytes"
	}
	name, err := url.PathUnescape(vars["name"])
	if err != nil || len(name) > MaxNameBytes {
		return key{}, "the name must have 1 to " + strconv.Itoa(MaxNameBytes) + " bytes"
	}
	return key{kind: kind, name: name}, ""
}

func etag(version mulberryspool.Revision) string {
	return `"` + strconv.FormatUint(uint64(version), 10) + `"`
}

func writeObject(w http.ResponseWriter, object mulberryspool.Object) {
	w.Header().Set("ETag", etag(object.Version))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(object.Value)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(object.Value)
}
