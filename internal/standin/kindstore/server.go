// Package kindstore stands in for the platform's metadata store: objects by kind and name,
// lists and watches.
//
//	process --> refused? --> GET list, GET watch, POST, PUT --> objects, versioned by one counter
//	test ----> Put, PutRaw, Delete, SetRefuse, Compact
package kindstore

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

const (
	pathPrefix      = "/v1/objects/"
	maxObjectBytes  = 1 << 20
	maxWatchTimeout = 30 * time.Second
)

type (
	// Server is the stand-in. The zero value is an empty store.
	Server struct {
		// Refuse reports whether a call is answered with 503; nil for never. Set it with
		// SetRefuse while the server runs.
		refuse func(*http.Request) bool

		mu       sync.Mutex
		revision uint64
		objects  map[string]map[string]object
		events   []change
		// compactedAt is the revision up to which the events are gone.
		compactedAt uint64
		// changed is closed at the next change.
		changed chan struct{}
		calls   int
	}

	object struct {
		revision      uint64
		specification json.RawMessage
	}

	change struct {
		kind, name string
		object     object
		deleted    bool
	}

	metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	}

	body struct {
		Metadata      metadata        `json:"metadata"`
		Specification json.RawMessage `json:"specification"`
	}
)

// Put creates or replaces an object. The specification must be encodable as JSON.
func (s *Server) Put(kind, name string, specification any) {
	encoded, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.PutRaw(kind, name, encoded)
}

// PutRaw creates or replaces an object with any bytes, which become part of pages.
func (s *Server) PutRaw(kind, name string, specification []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, specification)
}

// Delete removes an object.
func (s *Server) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[kind][name]; ok {
		delete(s.objects[kind], name)
		s.record(change{kind: kind, name: name, deleted: true})
	}
}

// Compact drops the history.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedAt = nil, s.revision
}

// SetRefuse sets which calls are answered with 503; nil for none.
func (s *Server) SetRefuse(refuse func(*http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

// Names returns the sorted names of a kind's objects.
func (s *Server) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathPrefix), "/")
	s.mu.Lock()
	s.calls++
	refuse := s.refuse
	s.mu.Unlock()
	switch {
	case refuse != nil && refuse(r):
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, kind)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Server) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var page strings.Builder
	page.WriteString(`{"items":[`)
	for i, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if i > 0 {
			page.WriteByte(',')
		}
		writeObject(&page, name, s.objects[kind][name])
	}
	page.WriteString(`],"has-more":false,"current-rev":` + strconv.FormatUint(s.revision, 10) + `}`)
	writePage(w, page.String())
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchTimeout))
	defer timer.Stop()
	for {
		page, status, changed := s.changesAfter(kind, after)
		if status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
		if changed == nil {
			writePage(w, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writePage(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns a page with the changes of a kind. While there are none, it also
// returns a channel that is closed at the next change of any kind.
func (s *Server) changesAfter(kind string, after uint64) (page string, status int, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedAt {
		return "", http.StatusGone, nil
	}
	var b strings.Builder
	b.WriteString(`{"events":[`)
	count := 0
	for _, c := range s.events {
		if c.kind != kind || c.object.revision <= after {
			continue
		}
		if count++; count > 1 {
			b.WriteByte(',')
		}
		b.WriteString(`{"object":`)
		writeObject(&b, c.name, c.object)
		b.WriteString(`,"deleted":` + strconv.FormatBool(c.deleted) + `}`)
	}
	b.WriteString(`],"current-rev":` + strconv.FormatUint(s.revision, 10) + `}`)
	if count > 0 {
		return b.String(), http.StatusOK, nil
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return b.String(), http.StatusOK, s.changed
}

func (s *Server) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var b body
	data, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
	if err == nil {
		err = json.Unmarshal(data, &b)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = b.Metadata.Name
		if _, exists := s.objects[kind][name]; exists {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	s.put(kind, name, b.Specification)
	serve.WriteJSON(w, http.StatusOK, body{Metadata: metadata{Name: name, Revision: s.revision}, Specification: b.Specification})
}

// put requires the mutex, like record.
func (s *Server) put(kind, name string, specification []byte) {
	if s.objects == nil {
		s.objects = make(map[string]map[string]object)
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o := object{revision: s.revision + 1, specification: specification}
	s.objects[kind][name] = o
	s.record(change{kind: kind, name: name, object: o})
}

func (s *Server) record(c change) {
	s.revision++
	c.object.revision = s.revision
	s.events = append(s.events, c)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// writeObject writes the specification as it is, so that it may be invalid.
func writeObject(b *strings.Builder, name string, o object) {
	specification := string(o.specification)
	if specification == "" {
		specification = "null"
	}
	b.WriteString(`{"metadata":{"name":` + strconv.Quote(name) + `,"revision":` + strconv.FormatUint(o.revision, 10) + `},"specification":` + specification + `}`)
}

func writePage(w http.ResponseWriter, page string) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, page)
}
