// Package admin serves a process's health, readiness, metrics, events and
// status over HTTP.
//
//	/healthz   200 while the process runs
//	/readyz    200 while Ready returns nil, else 503 with the reason
//	/metrics   Prometheus text
//	/events    timeline.Dump as JSON, filtered by query parameters
//	/status    Status as JSON
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/timeline"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// stopTimeout bounds the wait for running answers at the end.
	stopTimeout = 2 * time.Second
)

// Server is the admin listener of one process. Set the exported fields
// before the first call; any of them may be nil.
type Server struct {
	// Ready returns why the process takes no work, nil if it does.
	Ready func() error
	// Status is called for each request of /status. It must be safe for
	// concurrent use.
	Status func() Status
	// Metrics serves /metrics.
	Metrics http.Handler
	// Events is the process's time line.
	Events *timeline.Ring
}

// Handler returns the routes.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	if s.Metrics != nil {
		router.Handle("/metrics", s.Metrics).Methods(http.MethodGet)
	}
	if s.Events != nil {
		router.HandleFunc("/events", s.events).Methods(http.MethodGet)
	}
	if s.Status != nil {
		router.HandleFunc("/status", s.status).Methods(http.MethodGet)
	}
	return router
}

// Serve answers requests until the context ends. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if server.Shutdown(bounded) != nil {
			_ = server.Close()
		}
	})
	err := server.Serve(listener)
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return mulberryspool.AtStep(err, "serve admin requests", listener.Addr().String())
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, state{State: "running"})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready == nil {
		writeJSON(w, http.StatusOK, state{State: "ready"})
		return
	}
	if err := s.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, state{State: "notReady", Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, state{State: "ready"})
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	filter, err := timeline.ParseFilter(r.URL.Query())
	if err != nil {
		writeJSON(w, http.StatusBadRequest, state{State: "badFilter", Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, s.Events.Dump(filter))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Status())
}

// state is the body of health and readiness answers and of errors.
type state struct {
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	// A caller that has gone away needs no answer.
	_, _ = w.Write(encoded)
}
