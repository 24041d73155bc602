// Package plainservice stands in for a backend server that is a plain HTTP
// service whose calls are not idempotent. It records every execution, so that
// tests can find calls that were executed twice.
//
// The HTTP interface is described in docs/protocols.md.
package plainservice

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// OperationCall is the only operation that fault rules can name.
const OperationCall = "call"

const (
	// DefaultMaxExecutions bounds the recorded executions; the oldest ones are
	// dropped.
	DefaultMaxExecutions = 1 << 17

	adminPrefix     = "/admin/"
	maxRequestBytes = 16 << 20
)

type (
	// Server is the stand-in for the service. Its exported fields must be set
	// before the first call.
	Server struct {
		Clock mulberryspool.Clock
		// Delay is the duration of a call.
		Delay time.Duration
		// MaxExecutions defaults to DefaultMaxExecutions.
		MaxExecutions int
		// Faults injects faults into the calls. With Fail, the response has
		// status 500 although the call was executed.
		Faults fault.Injector

		once       sync.Once
		mu         sync.Mutex
		delay      time.Duration
		executions []*Execution
		dropped    int
	}

	// Execution is one call. Once it is recorded, it counts as executed.
	Execution struct {
		RequestID mulberryspool.RequestID `json:"requestID"`
		Method    string                  `json:"method"`
		Path      string                  `json:"path"`
		// Body is the digest of the request's body.
		Body    mulberryspool.Digest `json:"body"`
		Started time.Time            `json:"started"`
		// Ended is zero while the call runs, and stays zero if the client
		// disconnected.
		Ended time.Time `json:"ended"`
		// Status is the HTTP status of the response; 0 if there was none.
		Status int `json:"status"`
	}

	// ExecutionList is the body of GET /admin/executions.
	ExecutionList struct {
		Executions []Execution `json:"executions"`
		// Dropped is the number of executions dropped above MaxExecutions.
		Dropped int `json:"dropped"`
	}

	// Answer is the body of the response to a call.
	Answer struct {
		RequestID mulberryspool.RequestID `json:"requestID"`
		Method    string                  `json:"method"`
		Path      string                  `json:"path"`
		// Body is the digest of the request's body.
		Body mulberryspool.Digest `json:"body"`
	}

	// Settings is the body of PUT /admin/settings.
	Settings struct {
		// Delay is in nanoseconds.
		Delay time.Duration `json:"delay"`
	}
)

// Handler returns the HTTP interface: a call can have any path except those below
// /admin/, which are the admin interface.
func (s *Server) Handler() http.Handler {
	s.init()
	router := mux.NewRouter().SkipClean(true)
	s.Faults.Register(router)
	router.HandleFunc("/admin/executions", func(w http.ResponseWriter, r *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.list(mulberryspool.RequestID(r.URL.Query().Get("requestID"))))
	}).Methods(http.MethodGet)
	router.HandleFunc("/admin/settings", func(w http.ResponseWriter, r *http.Request) {
		var body Settings
		if !serve.ReadJSON(w, r, &body) {
			return
		}
		s.SetDelay(body.Delay)
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPut)
	router.NotFoundHandler = s.Faults.Wrap(OperationCall, s.handleCall)
	return router
}

// Executions returns the recorded executions of one request, or of all requests
// if the ID is empty.
func (s *Server) Executions(id mulberryspool.RequestID) []Execution {
	return s.list(id).Executions
}

// SetDelay changes the duration of later calls.
func (s *Server) SetDelay(delay time.Duration) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// Digest returns the digest of a body, as it is recorded in Execution.Body.
func Digest(body []byte) mulberryspool.Digest {
	sum := sha256.Sum256(body)
	return mulberryspool.Digest(hex.EncodeToString(sum[:]))
}

func (s *Server) init() {
	s.once.Do(func() {
		s.Faults.Clock = s.Clock
		s.Faults.Operations = map[string][]fault.Kind{OperationCall: {fault.Stall, fault.Truncate, fault.Fail}}
		s.delay = s.Delay
		if s.MaxExecutions <= 0 {
			s.MaxExecutions = DefaultMaxExecutions
		}
	})
}

func (s *Server) list(id mulberryspool.RequestID) ExecutionList {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	matching := ExecutionList{Executions: []Execution{}, Dropped: s.dropped}
	for _, e := range s.executions {
		if id == "" || e.RequestID == id {
			matching.Executions = append(matching.Executions, *e)
		}
	}
	return matching
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request, effect fault.Effect) {
	if strings.HasPrefix(r.URL.Path, adminPrefix) {
		serve.WriteError(w, http.StatusNotFound, "notFound", "there is no such admin call")
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes+1))
	if err != nil || len(body) > maxRequestBytes {
		serve.WriteError(w, http.StatusBadRequest, "invalidBody", "the body was not received completely or is too large")
		return
	}
	answer := Answer{
		RequestID: mulberryspool.RequestID(r.Header.Get(serve.RequestIDHeader)),
		Method:    r.Method,
		Path:      r.URL.Path,
		Body:      Digest(body),
	}
	execution, delay := s.recordExecution(answer)
	if !fault.Sleep(r.Context(), s.Clock, delay) {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if effect.Kind == fault.Fail {
		status = http.StatusInternalServerError
	}
	s.mu.Lock()
	execution.Ended, execution.Status = s.Clock.Now(), status
	s.mu.Unlock()
	if status != http.StatusOK {
		serve.WriteError(w, status, "failed", "the call failed because of a fault")
		return
	}
	encoded, err := json.Marshal(answer)
	if err != nil {
		serve.WriteError(w, http.StatusInternalServerError, "failed", err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	if effect.Kind == fault.Stall || effect.Kind == fault.Truncate {
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		if effect.Kind == fault.Stall {
			effect.WaitCleared(r.Context())
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(encoded)
}

// recordExecution records the execution and returns the delay that has to pass before the
// response. It records before the delay, because a call counts as executed even
// if the client disconnects during the delay.
func (s *Server) recordExecution(answer Answer) (*Execution, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	execution := &Execution{
		RequestID: answer.RequestID,
		Method:    answer.Method,
		Path:      answer.Path,
		Body:      answer.Body,
		Started:   s.Clock.Now(),
	}
	s.executions = append(s.executions, execution)
	if len(s.executions) > s.MaxExecutions {
		s.executions = s.executions[1:]
		s.dropped++
	}
	return execution, s.delay
}
