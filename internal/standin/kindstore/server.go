// Package kindstore stands in for the platform's metadata store: objects by kind and name,
// lists and watches.
//
//	process --> refused? --> GET list, GET watch, POST, PUT --> objects, versioned by one counter
//	test ----> Put, PutRaw, Delete, SetRefuse, Compact
//	test ----> Copy --> Restore: objects and revision of the copy, the next era
package kindstore

import (
	"cmp"
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

// HeaderEra carries the number of the store's era in all responses. It starts at 1 and rises
// by one with each restore.
const HeaderEra = "Store-Era"

// Operations of calls.
const (
	List    Operation = "list"
	Watch   Operation = "watch"
	Create  Operation = "create"
	Replace Operation = "replace"
	Other   Operation = "other"
)

type (
	// Server is the stand-in. The zero value is an empty store.
	Server struct {
		// OmitEra is set for a store that sends no HeaderEra. Set it before the first call.
		OmitEra bool
		// PageSize is the maximum number of objects on a page of a list; 0 for no limit. Set
		// it before the first call.
		PageSize int

		// Refuse reports whether a call is answered with 503; nil for never. Set it with
		// SetRefuse while the server runs.
		refuse func(*http.Request) bool
		// betweenPages is called before each page of a list but the first; nil for nothing.
		betweenPages func(kind string)

		mu sync.Mutex
		// content is that of the current era, which begins at revision eraStart.
		content  content
		restores int
		eraStart uint64
		// changed is closed at the next change, and cutOff at the next restore that cuts off
		// waiting watches.
		changed, cutOff chan struct{}
		calls           map[Call]int
	}

	// Operation is what a call does.
	Operation string

	// Call is what calls are counted by.
	Call struct {
		Kind      string
		Operation Operation
	}

	content struct {
		revision uint64
		objects  map[string]map[string]object
		events   []change
		// compactedAt is the revision up to which the events are gone.
		compactedAt uint64
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
	if _, ok := s.content.objects[kind][name]; ok {
		delete(s.content.objects[kind], name)
		s.record(change{kind: kind, name: name, deleted: true})
	}
}

// Compact drops the history.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.events, s.content.compactedAt = nil, s.content.revision
}

// SetRefuse sets which calls are answered with 503; nil for none.
func (s *Server) SetRefuse(refuse func(*http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

// SetBetweenPages sets what is called before each page of a list but the first; nil for
// nothing. It may call the methods of the server.
func (s *Server) SetBetweenPages(call func(kind string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.betweenPages = call
}

// Names returns the sorted names of a kind's objects.
func (s *Server) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.content.objects[kind]))
}

// Revision returns the revision of the last change.
func (s *Server) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.revision
}

// Calls returns the number of calls so far, with those that were refused.
func (s *Server) Calls() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathPrefix), "/")
	operation := operationOf(r)
	s.mu.Lock()
	if s.calls == nil {
		s.calls = make(map[Call]int)
	}
	s.calls[Call{kind, operation}]++
	refuse := s.refuse
	s.setEra(w)
	s.mu.Unlock()
	switch {
	case refuse != nil && refuse(r):
		w.WriteHeader(http.StatusServiceUnavailable)
	case operation == Watch:
		s.serveWatch(w, r, kind)
	case operation == List:
		s.serveList(w, r, kind)
	case operation == Create || operation == Replace:
		s.serveWrite(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func operationOf(r *http.Request) Operation {
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		return Watch
	case r.Method == http.MethodGet:
		return List
	case r.Method == http.MethodPost:
		return Create
	case r.Method == http.MethodPut:
		return Replace
	}
	return Other
}

// setEra sets the header of a response to what is known now. It requires the mutex, which
// must be held since the content of the response was read.
func (s *Server) setEra(w http.ResponseWriter) {
	if !s.OmitEra {
		w.Header().Set(HeaderEra, strconv.Itoa(1+s.restores))
	}
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	if after != "" {
		s.mu.Lock()
		betweenPages := s.betweenPages
		s.mu.Unlock()
		if betweenPages != nil {
			betweenPages(kind)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	names := slices.Sorted(maps.Keys(s.content.objects[kind]))
	names = slices.DeleteFunc(names, func(name string) bool { return name <= after && after != "" })
	length := min(len(names), cmp.Or(s.PageSize, len(names)))
	var page strings.Builder
	page.WriteString(`{"items":[`)
	for i, name := range names[:length] {
		if i > 0 {
			page.WriteByte(',')
		}
		writeObject(&page, name, s.content.objects[kind][name])
	}
	page.WriteString(`],"has-more":` + strconv.FormatBool(length < len(names)) + `,"current-rev":` + strconv.FormatUint(s.content.revision, 10) + `}`)
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
	p := watchPosition{kind: kind, after: after, era: -1}
	for {
		page, status, changed, cutOff := s.changesAfter(w, &p)
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
		case <-cutOff:
			// Closes the connection without a response.
			panic(http.ErrAbortHandler)
		case <-timer.C:
			writePage(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// watchPosition is where a watch is in the history of a kind.
type watchPosition struct {
	kind  string
	after uint64
	// era is the number of restores before after; -1 before the watch has begun to wait.
	era int
}

// changesAfter returns a page with the changes of a kind, and sets the era of the response.
// While there are none, it also returns channels that are closed at the next change of any
// kind, or when the watch is cut off.
func (s *Server) changesAfter(w http.ResponseWriter, p *watchPosition) (page string, status int, changed, cutOff chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	switch {
	case p.era < 0:
		p.era = s.restores
	case p.era < s.restores:
		p.era, p.after = s.restores, min(p.after, s.eraStart)
	}
	if p.after < s.content.compactedAt || p.after > s.content.revision {
		return "", http.StatusGone, nil, nil
	}
	var b strings.Builder
	b.WriteString(`{"events":[`)
	count := 0
	for _, c := range s.content.events {
		if c.kind != p.kind || c.object.revision <= p.after {
			continue
		}
		if count++; count > 1 {
			b.WriteByte(',')
		}
		b.WriteString(`{"object":`)
		writeObject(&b, c.name, c.object)
		b.WriteString(`,"deleted":` + strconv.FormatBool(c.deleted) + `}`)
	}
	b.WriteString(`],"current-rev":` + strconv.FormatUint(s.content.revision, 10) + `}`)
	if count > 0 {
		return b.String(), http.StatusOK, nil, nil
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if s.cutOff == nil {
		s.cutOff = make(chan struct{})
	}
	return b.String(), http.StatusOK, s.changed, s.cutOff
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
	s.setEra(w)
	if r.Method == http.MethodPost {
		name = b.Metadata.Name
		if _, exists := s.content.objects[kind][name]; exists {
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	s.put(kind, name, b.Specification)
	serve.WriteJSON(w, http.StatusOK, body{Metadata: metadata{Name: name, Revision: s.content.revision}, Specification: b.Specification})
}

// put requires the mutex, like record.
func (s *Server) put(kind, name string, specification []byte) {
	if s.content.objects == nil {
		s.content.objects = make(map[string]map[string]object)
	}
	if s.content.objects[kind] == nil {
		s.content.objects[kind] = make(map[string]object)
	}
	o := object{revision: s.content.revision + 1, specification: specification}
	s.content.objects[kind][name] = o
	s.record(change{kind: kind, name: name, object: o})
}

func (s *Server) record(c change) {
	s.content.revision++
	c.object.revision = s.content.revision
	s.content.events = append(s.content.events, c)
	s.wakeWatches()
}

// wakeWatches requires the mutex.
func (s *Server) wakeWatches() {
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
