package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// store is a stand-in of the platform's metadata store: objects by kind and name, one
	// revision counter, lists, watches and conditional writes.
	store struct {
		mu       sync.Mutex
		changed  chan struct{}
		revision uint64
		objects  map[string]map[string]*object
		history  map[string][]change
	}

	object struct {
		Metadata      metadata        `json:"metadata"`
		Specification json.RawMessage `json:"specification"`
		Status        json.RawMessage `json:"status"`
	}

	metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Marked     bool     `json:"marked-for-deletion"`
	}

	change struct {
		Object  *object `json:"object"`
		Deleted bool    `json:"deleted"`
	}
)

func newStore() *store {
	return &store{changed: make(chan struct{}), revision: 100, objects: map[string]map[string]*object{}, history: map[string][]change{}}
}

// put writes an object, as a service or the operator does, and returns the revision.
func (s *store) put(kind, name string, specification any) uint64 {
	encoded, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, name, encoded).Metadata.Revision
}

func (s *store) set(kind, name string, specification json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	old := s.objects[kind][name]
	if old != nil && string(old.Specification) == string(specification) {
		return old
	}
	s.revision++
	o := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Specification: specification, Status: json.RawMessage("null")}
	if old != nil {
		o.Metadata.Created = old.Metadata.Created
	}
	s.objects[kind][name] = o
	s.history[kind] = append(s.history[kind], change{Object: o})
	s.wake()
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.revision++
	gone := *o
	gone.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.history[kind] = append(s.history[kind], change{Object: &gone, Deleted: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && name == "":
		items := []*object{}
		for _, o := range s.objects[kind] {
			if o.Metadata.Name > r.URL.Query().Get("after") {
				items = append(items, o)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
		reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "current-rev": s.revision})
	case r.Method == http.MethodGet:
		if o := s.objects[kind][name]; o != nil {
			reply(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		var o object
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Method == http.MethodPost {
			name = o.Metadata.Name
		}
		old := s.objects[kind][name]
		switch {
		case r.Method == http.MethodPost && old != nil:
			reply(w, http.StatusConflict, old)
		case r.Method == http.MethodPut && old == nil:
			w.WriteHeader(http.StatusNotFound)
		case r.Method == http.MethodPut && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
			reply(w, http.StatusConflict, old)
		default:
			reply(w, http.StatusOK, s.set(kind, name, o.Specification))
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history[kind] {
			if c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		changed := s.changed
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": s.revision})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
