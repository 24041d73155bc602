package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store: objects by kind and name, one
// revision counter, lists, watches, and writes without a condition.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	events   []storedEvent
	changed  chan struct{}
}

type storedObject struct {
	Metadata struct {
		Name     string   `json:"name"`
		Revision uint64   `json:"revision"`
		Created  uint64   `json:"created"`
		Final    []string `json:"finalizers"`
		Marked   bool     `json:"marked-for-deletion"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type storedEvent struct {
	kind     string
	revision uint64
	Object   storedObject `json:"object"`
	Deleted  bool         `json:"deleted"`
}

func newStore() *store {
	return &store{revision: 100, objects: map[string]map[string]storedObject{}, changed: make(chan struct{})}
}

// listen serves the store on a free loopback port and returns the address.
func (s *store) listen(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("store: %v", err)
	}
	go http.Serve(l, s)
	return l.Addr().String()
}

// put writes an object and returns when the store has accepted it.
func (s *store) put(kind, name string, specification any) {
	raw, err := json.Marshal(specification)
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(storedEvent{kind: kind, revision: s.revision, Object: o, Deleted: true})
}

func (s *store) write(kind, name string, raw json.RawMessage) storedObject {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	o, known := s.objects[kind][name]
	if !known {
		o.Metadata.Created = s.revision
	}
	o.Metadata.Name, o.Metadata.Revision, o.Metadata.Final = name, s.revision, []string{}
	o.Specification = raw
	s.objects[kind][name] = o
	s.record(storedEvent{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *store) record(e storedEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []storedObject{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "current-rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storedEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o storedObject
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
		if known, ok := s.objects[kind][name]; ok {
			reply(w, http.StatusConflict, known)
			return
		}
	} else if _, ok := s.objects[kind][name]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, s.write(kind, name, o.Specification))
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	w.Write(raw)
}
