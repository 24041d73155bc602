// Package instancelist stands in for the platform's list of live and leaving
// instances. A change becomes visible after a configurable lag.
//
// The HTTP interface is described in docs/protocols.md.
package instancelist

import (
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// OperationList is the only operation that fault rules can name.
const OperationList = "list"

type (
	// Server is the stand-in for the instance list. Its exported fields must be
	// set before the first call.
	Server struct {
		Clock mulberryspool.Clock
		// Faults injects faults into the calls.
		Faults fault.Injector

		once sync.Once
		mu   sync.Mutex
		lag  time.Duration
		// current holds the instances with all changes applied, visible those
		// that clients see; pending holds the changes between them, oldest first.
		current map[mulberryspool.InstanceID]mulberryspool.ListedInstance
		visible map[mulberryspool.InstanceID]mulberryspool.ListedInstance
		pending []change
		// calls counts the list calls by the X-Caller header.
		calls map[string]int
	}

	// Listing is the body of GET /instances.
	Listing struct {
		Instances []mulberryspool.ListedInstance `json:"instances"`
	}

	// Lag is the body of PUT /admin/lag.
	Lag struct {
		// Lag applies to later changes. It is in nanoseconds.
		Lag time.Duration `json:"lag"`
	}

	// change is the registration, update or removal of an instance.
	change struct {
		visibleAt time.Time
		instance  mulberryspool.ListedInstance
		removed   bool
	}
)

// Handler returns the HTTP interface, with the admin interface below /admin/.
func (s *Server) Handler() http.Handler {
	s.init()
	router := mux.NewRouter()
	s.Faults.Register(router)
	router.HandleFunc("/instances", s.Faults.Wrap(OperationList, s.list)).Methods(http.MethodGet)
	router.HandleFunc("/admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Calls())
	}).Methods(http.MethodGet)
	router.HandleFunc("/admin/lag", s.putLag).Methods(http.MethodPut)
	router.HandleFunc("/admin/instances/{instance}", s.putInstance).Methods(http.MethodPut)
	router.HandleFunc("/admin/instances/{instance}", func(w http.ResponseWriter, r *http.Request) {
		respondFound(w, s.Remove(mulberryspool.InstanceID(mux.Vars(r)["instance"])))
	}).Methods(http.MethodDelete)
	router.HandleFunc("/admin/instances/{instance}/leave", func(w http.ResponseWriter, r *http.Request) {
		respondFound(w, s.MarkLeaving(mulberryspool.InstanceID(mux.Vars(r)["instance"])))
	}).Methods(http.MethodPost)
	return router
}

// Register adds a live instance, or replaces the one with the same ID. The list
// doesn't show incarnations.
func (s *Server) Register(identity mulberryspool.Identity) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	identity.Incarnation = ""
	instance := mulberryspool.ListedInstance{Identity: identity, State: mulberryspool.InstanceLive}
	s.current[identity.Instance] = instance
	s.schedule(change{instance: instance})
}

// MarkLeaving marks an instance as leaving. It returns false if the instance is
// unknown.
func (s *Server) MarkLeaving(id mulberryspool.InstanceID) bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	instance, found := s.current[id]
	if !found {
		return false
	}
	instance.State = mulberryspool.InstanceLeaving
	s.current[id] = instance
	s.schedule(change{instance: instance})
	return true
}

// Remove removes an instance. It returns false if the instance is unknown.
func (s *Server) Remove(id mulberryspool.InstanceID) bool {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	instance, found := s.current[id]
	if !found {
		return false
	}
	delete(s.current, id)
	s.schedule(change{instance: instance, removed: true})
	return true
}

// SetLag sets the time until later changes become visible.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = max(0, lag)
}

// Instances returns the visible instances, sorted by ID.
func (s *Server) Instances() []mulberryspool.ListedInstance {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDue()
	instances := make([]mulberryspool.ListedInstance, 0, len(s.visible))
	for _, instance := range s.visible {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b mulberryspool.ListedInstance) int {
		return cmp.Compare(a.Instance, b.Instance)
	})
	return instances
}

// Calls returns the number of list calls by the X-Caller header.
func (s *Server) Calls() map[string]int {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for caller, n := range s.calls {
		calls[caller] = n
	}
	return calls
}

func (s *Server) init() {
	s.once.Do(func() {
		s.Faults.Clock = s.Clock
		s.Faults.Operations = map[string][]fault.Kind{OperationList: nil}
		s.current = make(map[mulberryspool.InstanceID]mulberryspool.ListedInstance)
		s.visible = make(map[mulberryspool.InstanceID]mulberryspool.ListedInstance)
		s.calls = make(map[string]int)
	})
}

// schedule makes a change visible after the lag, but not before the changes that
// precede it. The caller must hold s.mu.
func (s *Server) schedule(c change) {
	c.visibleAt = s.Clock.Now().Add(s.lag)
	if n := len(s.pending); n > 0 && s.pending[n-1].visibleAt.After(c.visibleAt) {
		c.visibleAt = s.pending[n-1].visibleAt
	}
	s.pending = append(s.pending, c)
	s.applyDue()
}

// applyDue makes the pending changes visible whose time has come. The caller must
// hold s.mu.
func (s *Server) applyDue() {
	now := s.Clock.Now()
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(now) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.removed {
			delete(s.visible, c.instance.Instance)
		} else {
			s.visible[c.instance.Instance] = c.instance
		}
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, _ fault.Effect) {
	s.mu.Lock()
	s.calls[r.Header.Get(serve.CallerHeader)]++
	s.mu.Unlock()
	body, err := json.Marshal(Listing{Instances: s.Instances()})
	if err != nil {
		serve.WriteError(w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(body)
	_ = compressed.Close()
}

func (s *Server) putLag(w http.ResponseWriter, r *http.Request) {
	var body Lag
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	if body.Lag < 0 {
		serve.WriteError(w, http.StatusBadRequest, "invalidLag", "the lag must not be negative")
		return
	}
	s.SetLag(body.Lag)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) putInstance(w http.ResponseWriter, r *http.Request) {
	var identity mulberryspool.Identity
	if !serve.ReadJSON(w, r, &identity) {
		return
	}
	if name := mux.Vars(r)["instance"]; string(identity.Instance) != name {
		serve.WriteError(w, http.StatusBadRequest, "invalidInstance", "the body names another instance than the path")
		return
	}
	s.Register(identity)
	w.WriteHeader(http.StatusNoContent)
}

// respondFound responds with status 204, or 404 if the instance is unknown.
func respondFound(w http.ResponseWriter, found bool) {
	if !found {
		serve.WriteError(w, http.StatusNotFound, "notFound", "there is no such instance")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
