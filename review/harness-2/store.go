package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// store is the platform's metadata store.
	store struct {
		address string

		mu       sync.Mutex
		revision uint64
		kinds    map[string]map[string]*object
		events   []event
		changed  chan struct{}
		// watches holds when the last watch of a kind was answered, by kind and machine.
		watches map[string]map[string]time.Time
	}

	object struct {
		Metadata      metadata        `json:"metadata"`
		Specification json.RawMessage `json:"specification,omitempty"`
		Status        json.RawMessage `json:"status,omitempty"`
	}

	metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    int64    `json:"created"`
		Finalizers []string `json:"finalizers"`
	}

	event struct {
		kind     string
		revision uint64
		Object   object `json:"object"`
		Deleted  bool   `json:"deleted"`
	}
)

func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, storePort))
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 1, kinds: make(map[string]map[string]*object), changed: make(chan struct{}), watches: make(map[string]map[string]time.Time)}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes an object as the operator or a server does, and returns the revision.
func (s *store) put(kind, name string, specification any) uint64 {
	encoded, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, encoded)
}

// write requires the mutex.
func (s *store) write(kind, name string, specification json.RawMessage) uint64 {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*object)
	}
	o := s.kinds[kind][name]
	if o != nil && string(o.Specification) == string(specification) {
		return o.Metadata.Revision
	}
	s.revision++
	next := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: time.Now().UnixMilli(), Finalizers: []string{}}, Specification: specification}
	s.kinds[kind][name] = next
	s.publish(event{kind: kind, revision: s.revision, Object: *next})
	return s.revision
}

// publish requires the mutex.
func (s *store) publish(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[kind][name]
	if o == nil {
		return false
	}
	delete(s.kinds[kind], name)
	s.revision++
	s.publish(event{kind: kind, revision: s.revision, Object: *o, Deleted: true})
	return true
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.Split(rest, "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o := s.kinds[kind][name]
		s.mu.Unlock()
		if o == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		respond(w, http.StatusOK, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.change(w, r, kind, name)
	case r.Method == http.MethodDelete:
		if !s.remove(kind, name) {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		respond(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]*object, 0, len(s.kinds[kind]))
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	respond(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "current-rev": revision})
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	known := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && known != nil:
		respond(w, http.StatusConflict, known)
		return
	case r.Method == http.MethodPut && known == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case o.Metadata.Revision > 0 && known != nil && o.Metadata.Revision != known.Metadata.Revision:
		respond(w, http.StatusConflict, known)
		return
	}
	s.write(kind, name, o.Specification)
	respond(w, http.StatusOK, s.kinds[kind][name])
}

// watch answers with the events after a revision as soon as there is one, or with none at
// the end of the wait.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || query.Get("wait-ms") != "" && waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	machine, _, _ := net.SplitHostPort(r.RemoteAddr)
	defer s.recordWatch(machine, kind)
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			respond(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) recordWatch(machine, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches[kind] == nil {
		s.watches[kind] = make(map[string]time.Time)
	}
	s.watches[kind][machine] = time.Now()
}

// watchers returns the machines that have watched a kind in the last seconds, with the time
// of the last answer.
func (s *store) watchers(kind string) map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := make(map[string]time.Time)
	for machine, at := range s.watches[kind] {
		if time.Since(at) < 2500*time.Millisecond {
			recent[machine] = at
		}
	}
	return recent
}

func respond(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
