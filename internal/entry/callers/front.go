// Package callers is the entry's HTTP interface.
//
//	HTTP request --> Submission --> Front.Submit --> Exchange --> HTTP answer
//
// POST /v1/chat/completions takes chat requests, whose model names the
// route. /{route}/{rest} takes any method for plain routes. An answer is
// finished towards the caller only after its end was verified.
package callers

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/deferred"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// Headers and trailers.
const (
	HeaderRequestID = "X-Request-ID"
	HeaderKey       = "Idempotency-Key"
	HeaderWorkspace = "X-Workspace"
	HeaderDeadline  = "X-Deadline"
	HeaderPriority  = "X-Priority"
	HeaderWeights   = "X-Weights-Digest"
	HeaderVersion   = "X-Model-Version"
)

// Defaults of the bounds, in bytes.
const (
	DefaultMaxBody   = 8 << 20
	DefaultMaxAnswer = 16 << 20
)

const chatPath = "/v1/chat/completions"

type (
	// Front answers callers. Set the exported fields before Handler is called.
	Front struct {
		// Submit starts a request, or returns false if one with its ID is in
		// progress; the exchange gets its answer.
		Submit func(sub dispatch.Submission, answer *Exchange) bool
		// Leave says that the caller no longer waits.
		Leave func(id mulberryspool.RequestID)
		// Stalled says that the caller reads too slowly.
		Stalled func(id mulberryspool.RequestID)
		Tables  func() (mulberryspool.TablesView, bool)
		// Deferred keeps submissions for later.
		Deferred Deferred
		Clock    mulberryspool.Clock
		Metrics  tally.Scope
		// MaxBody bounds a request's body, MaxAnswer the bytes of an answer
		// that wait in memory for the caller.
		MaxBody   int64
		MaxAnswer int64
	}

	// Deferred keeps submissions for later.
	Deferred interface {
		// Accept returns when the submission is durable. Errors are
		// deferred.ErrKeyReused and those of an ObjectStore.
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

// Handler returns the HTTP interface.
func (f *Front) Handler() http.Handler {
	if f.MaxBody == 0 {
		f.MaxBody = DefaultMaxBody
	}
	if f.MaxAnswer == 0 {
		f.MaxAnswer = DefaultMaxAnswer
	}
	if f.Metrics == nil {
		f.Metrics = tally.NoopScope
	}
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.HandleFunc(chatPath, f.chat).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", f.models).Methods(http.MethodGet)
	router.HandleFunc("/deferred/{id}", f.receipt).Methods(http.MethodGet)
	router.HandleFunc("/deferred/{id}", f.collect).Methods(http.MethodDelete)
	for _, path := range []string{chatPath, "/v1/models", "/deferred/{id}"} {
		router.HandleFunc(path, f.wrongMethod)
	}
	// The first path elements of the fixed paths are no route names.
	router.PathPrefix("/v1/").HandlerFunc(f.unknownPath)
	router.PathPrefix("/deferred/").HandlerFunc(f.unknownPath)
	router.HandleFunc("/{route}", f.plain)
	router.HandleFunc("/{route}/{rest:.*}", f.plain)
	router.NotFoundHandler = http.HandlerFunc(f.unknownPath)
	return router
}

func (f *Front) models(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	view, ok := f.Tables()
	if !ok {
		writeError(w, "", notRunLater(dispatch.CodeNotReady, "no tables revision is confirmed yet"))
		return
	}
	for _, route := range view.Tables.Routes {
		if route.Kind == mulberryspool.RouteChat {
			list.Data = append(list.Data, modelItem{ID: route.Name, Object: "model", OwnedBy: route.Pool})
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (f *Front) unknownPath(w http.ResponseWriter, request *http.Request) {
	writeError(w, "", notRun(dispatch.CodeNoRoute, "nothing is served at "+request.URL.Path))
}

func (f *Front) wrongMethod(w http.ResponseWriter, request *http.Request) {
	writeError(w, "", notRun(CodeMethod, request.Method+" is not served at "+request.URL.Path))
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
