// Package objectapi stands in for the platform's object API.
//
//	call --> count --> fault --> rate limit --> objects, one rising version
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
	// MaxValueBytes is the largest value, one megabyte.
	MaxValueBytes = 1_000_000
	// MaxNameBytes bounds kinds and names.
	MaxNameBytes = 512
	// MaxWatchTimeout bounds the time that a watch waits.
	MaxWatchTimeout = 5 * time.Minute
	// DefaultReadsPerSecond is the platform's stated rate of reads.
	DefaultReadsPerSecond = 2000
	// DefaultWritesPerSecond stands for the platform's "several hundred" writes.
	DefaultWritesPerSecond = 400
	// DefaultRetryAfter is the hint sent with 429 and 503.
	DefaultRetryAfter = time.Second
)

// Operations, as used by fault rules and counts.
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
	// Server is the stand-in. Set the exported fields before the first call.
	Server struct {
		Clock mulberryspool.Clock
		// ReadsPerSecond and WritesPerSecond are the defaults when they are 0.
		ReadsPerSecond  float64
		WritesPerSecond float64
		// ReadBurst and WriteBurst are a tenth of the rates when they are 0.
		ReadBurst  int
		WriteBurst int
		// RetryAfter is rounded up to whole seconds.
		RetryAfter time.Duration
		// Faults are the faults that are switched on.
		Faults fault.Injector

		once   sync.Once
		store  store
		limits limits
		counts counter
	}

	listing struct {
		Objects []mulberryspool.Object `json:"objects"`
		// Version is the newest version of any object.
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
	router.HandleFunc("/objects/{kind}", s.route(s.list, func(*http.Request) string { return OperationList })).Methods(http.MethodGet)
	router.HandleFunc("/objects/{kind}/{name}", s.route(s.read, readOperation)).Methods(http.MethodGet)
	router.HandleFunc("/objects/{kind}/{name}", s.route(s.write, writeOperation)).Methods(http.MethodPut)
	router.HandleFunc("/objects/{kind}/{name}", s.route(s.remove, func(*http.Request) string { return OperationDelete })).Methods(http.MethodDelete)
	return router
}

// Counts returns the calls since the start or the last reset.
func (s *Server) Counts() Counts {
	s.init()
	return s.counts.snapshot()
}

// ResetCounts sets all counts to 0, except for the watches that wait.
func (s *Server) ResetCounts() {
	s.init()
	s.counts.reset()
}

// Objects returns all objects of a kind without counting as a call.
func (s *Server) Objects(kind string) []mulberryspool.Object {
	s.init()
	objects, _ := s.store.list(kind, "")
	return objects
}

// Put writes an object unconditionally without counting as a call.
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

// route counts the call and applies faults and rate limits to it.
func (s *Server) route(handle func(http.ResponseWriter, *http.Request, key), operationOf func(*http.Request) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operation, caller := operationOf(r), r.Header.Get(serve.CallerHeader)
		writing := operation == OperationCreate || operation == OperationUpdate || operation == OperationDelete
		s.counts.arrived(operation, caller, writing)
		s.Faults.Wrap(operation, func(w http.ResponseWriter, r *http.Request, _ fault.Effect) {
			if !s.limits.allow(writing, s.Clock.Now()) {
				s.throttle(w, operation, caller)
				return
			}
			k, err := keyOf(r)
			if err != "" {
				serve.WriteError(w, http.StatusBadRequest, "invalidName", err)
				return
			}
			handle(w, r, k)
		})(w, r)
	}
}

func (s *Server) throttle(w http.ResponseWriter, operation, caller string) {
	s.counts.throttle(operation, caller)
	after := s.RetryAfter
	if after <= 0 {
		after = DefaultRetryAfter
	}
	seconds := int64((after + time.Second - 1) / time.Second)
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
		s.throttle(w, OperationWatch, caller)
		return
	}
	s.counts.watching(1)
	defer func() {
		s.limits.endWatch(s.Clock.Now())
		s.counts.watching(-1)
	}()
	timer := s.Clock.NewTimer(timeout)
	defer timer.Stop()
	for {
		object, found, changed, leave := s.store.follow(k)
		if found && object.Version > mulberryspool.Revision(after) {
			leave()
			writeObject(w, object)
			return
		}
		select {
		case <-changed:
			continue
		case <-timer.Chan():
			leave()
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			leave()
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
		object, ok := s.store.create(k, value)
		s.answerWrite(w, object, ok, http.StatusCreated)
		return
	}
	version, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	object, matches := s.store.update(k, value, version)
	s.answerWrite(w, object, matches, http.StatusOK)
}

func (s *Server) answerWrite(w http.ResponseWriter, object mulberryspool.Object, ok bool, status int) {
	if object.Version > 0 {
		w.Header().Set("ETag", etag(object.Version))
	}
	if !ok {
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
	s.answerWrite(w, object, matches, http.StatusNoContent)
}

// expectedVersion answers with an error and returns false if the call is not
// conditional on one version.
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

func keyOf(r *http.Request) (key, string) {
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
