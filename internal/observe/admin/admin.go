// Package admin serves the health, readiness, metrics, events and status of a
// process over HTTP.
//
//	/healthz   200 while the process runs
//	/readyz    200 if Ready returns nil, otherwise 503 with the reason
//	/metrics   metrics in the Prometheus text format
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
	"github.com/mulberryspool/mulberryspool/internal/peer/httpguard"
)

const (
	// headerTimeout limits reading the header of a request.
	headerTimeout = 5 * time.Second
	// stopTimeout limits the wait for requests in flight during shutdown.
	stopTimeout = 2 * time.Second
)

// Server is the admin server of one process. Set the exported fields before the
// first call. Any of them may be nil: without Ready, the process is always
// ready; the paths of the other fields are not served.
type Server struct {
	// Ready returns nil if the process accepts work, otherwise the reason why
	// not.
	Ready func() error
	// Status is called for each request to /status. It must be safe for
	// concurrent use.
	Status func() Status
	// Metrics serves /metrics.
	Metrics http.Handler
	// Events holds the events that /events serves.
	Events *timeline.Ring
}

// Handler returns the handler for all paths.
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

// Serve serves requests until the context ends, and closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: headerTimeout}
	httpguard.Attach(server, listener)
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
	writeJSON(w, http.StatusOK, stateBody{State: "running"})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready == nil {
		writeJSON(w, http.StatusOK, stateBody{State: "ready"})
		return
	}
	if err := s.Ready(); err != nil {
		writeJSON(w, http.StatusServiceUnavailable, stateBody{State: "notReady", Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, stateBody{State: "ready"})
}

func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	filter, err := timeline.ParseFilter(r.URL.Query())
	if err != nil {
		writeJSON(w, http.StatusBadRequest, stateBody{State: "badFilter", Reason: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, s.Events.Dump(filter))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Status())
}

// stateBody is the response body of /healthz and /readyz, and of errors.
type stateBody struct {
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
	// The write fails only if the client has disconnected.
	_, _ = w.Write(encoded)
}
