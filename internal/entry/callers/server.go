// Package callers is the HTTP API that an entry offers to callers.
//
//	HTTP request --> Submission --> Server.Submit --> ResponseBuffer --> HTTP response
//
// POST /v1/chat/completions accepts chat requests; the model is the name of the
// route. /{route}/{rest} accepts any method for plain routes. A response is
// completed only after the dispatcher has verified its end.
package callers

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/deferred"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// HTTP headers and trailers.
const (
	HeaderRequestID      = "X-Request-ID"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderWorkspace      = "X-Workspace"
	HeaderDeadline       = "X-Deadline"
	HeaderPriority       = "X-Priority"
	HeaderWeightsDigest  = "X-Weights-Digest"
	HeaderModelVersion   = "X-Model-Version"
)

// Default limits, in bytes.
const (
	DefaultMaxBody             = 8 << 20
	DefaultMaxBufferedResponse = 16 << 20
)

const chatPath = "/v1/chat/completions"

type (
	// Server implements the HTTP API. Set the exported fields before calling
	// Handler.
	Server struct {
		// Submit starts a request, whose response is written to the buffer.
		// It returns false if a request with the same ID is in progress.
		Submit func(sub dispatch.Submission, buffer *ResponseBuffer) bool
		// OnDisconnect reports that the caller no longer waits for the response.
		OnDisconnect func(id mulberryspool.RequestID)
		// OnBufferFull reports that the response buffer of a caller is full.
		OnBufferFull func(id mulberryspool.RequestID)
		// Tables returns the current tables, false if none are confirmed yet.
		Tables func() (mulberryspool.TablesView, bool)
		// Deferred stores the submissions that are run later; nil for none.
		Deferred Deferred
		Clock    mulberryspool.Clock
		Metrics  tally.Scope
		// Bodies is the memory for bodies; nil for no bound.
		Bodies *bodybudget.Budget
		// MaxBody limits the size of request bodies, MaxBufferedResponse the bytes of a
		// response that are buffered for the caller.
		MaxBody             int64
		MaxBufferedResponse int64
	}

	// Deferred stores submissions that are run later.
	Deferred interface {
		// Accept returns when the submission is durable. Errors are
		// deferred.ErrKeyReused, deferred.ErrTooLarge and those of an ObjectStore.
		Accept(ctx context.Context, sub dispatch.Submission) (deferred.Receipt, error)
		Receipt(ctx context.Context, id string) (deferred.Receipt, error)
		// Remove fails with mulberryspool.ErrConflict while the submission runs.
		Remove(ctx context.Context, id string) error
	}

	modelList struct {
		Object string      `json:"object"`
		Data   []modelItem `json:"data"`
	}

	modelItem struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
)

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	if s.MaxBody == 0 {
		s.MaxBody = DefaultMaxBody
	}
	if s.MaxBufferedResponse == 0 {
		s.MaxBufferedResponse = DefaultMaxBufferedResponse
	}
	if s.Metrics == nil {
		s.Metrics = tally.NoopScope
	}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(chatPath, s.handleChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", s.handleModels).Methods(http.MethodGet)
	router.HandleFunc("/deferred/{id}", s.handleGetReceipt).Methods(http.MethodGet)
	router.HandleFunc("/deferred/{id}", s.handleDeleteReceipt).Methods(http.MethodDelete)
	for _, path := range []string{chatPath, "/v1/models", "/deferred/{id}"} {
		router.HandleFunc(path, s.handleWrongMethod)
	}
	// The first elements of the fixed paths can't be used as route names.
	router.PathPrefix("/v1/").HandlerFunc(s.handleUnknownPath)
	router.PathPrefix("/deferred/").HandlerFunc(s.handleUnknownPath)
	router.HandleFunc("/{route}", s.handlePlain)
	router.HandleFunc("/{route}/{rest:.*}", s.handlePlain)
	router.NotFoundHandler = http.HandlerFunc(s.handleUnknownPath)
	return router
}

func (s *Server) handleModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	view, ok := s.Tables()
	if !ok {
		writeError(w, "", retryableError(dispatch.CodeNotReady, "no tables revision is confirmed yet"))
		return
	}
	for _, route := range view.Tables.Routes {
		if route.Kind == mulberryspool.RouteChat {
			list.Data = append(list.Data, modelItem{ID: route.Name, Object: "model", OwnedBy: route.Pool})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) handleUnknownPath(w http.ResponseWriter, request *http.Request) {
	writeError(w, "", notRunError(dispatch.CodeNoRoute, "nothing is served at "+request.URL.Path))
}

func (s *Server) handleWrongMethod(w http.ResponseWriter, request *http.Request) {
	writeError(w, "", notRunError(CodeMethodNotAllowed, request.Method+" is not served at "+request.URL.Path))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		writeError(w, "", dispatch.Error{Outcome: mulberryspool.OutcomeFailed, Code: CodeBadRequest, Message: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
