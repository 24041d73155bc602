// Package engine stands in for a model engine with continuous batching.
//
//	POST /v1/chat/completions --> fault --> batch (capacity, priorities)
//	     --> prefix cache --> tokens at a rate, each a hash of body and loaded digest
//	POST /engine/load --> fencing --> read the order's source, SHA-256 --> swap weights
//	test --> /admin/, or the Go methods: faults, executions, orders, settings
//
// The generated text depends on the loaded weights, so that tests can tell which
// weights generated it.
//
// The HTTP interface is described in docs/protocols.md.
package engine

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/ratelimit"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
)

// Operations that fault rules can name.
const (
	OperationComplete    = "complete"
	OperationCancel      = "cancel"
	OperationLoad        = "load"
	OperationLoaded      = "loaded"
	OperationReport      = "report"
	OperationCacheEvents = "cacheEvents"
)

const (
	// DefaultCapacity is the number of requests that run at the same time.
	DefaultCapacity = 8
	// DefaultMaxWaiting bounds the requests that wait for a slot in the batch.
	DefaultMaxWaiting = 1024
	// DefaultCacheBlocks bounds the blocks in the prefix cache.
	DefaultCacheBlocks = 4096
	// DefaultMaxExecutions bounds the recorded executions; the oldest ones are
	// dropped.
	DefaultMaxExecutions = 1 << 17

	// PriorityHeader carries the priority; waiting requests with a higher one
	// run first.
	PriorityHeader = "X-Priority"
	// WorkspaceHeader carries the workspace of a request.
	WorkspaceHeader = "X-Workspace"
)

var operations = map[string][]fault.Kind{
	OperationComplete:    {fault.Stall, fault.Truncate, fault.EndEarly},
	OperationCancel:      nil,
	OperationLoad:        {fault.Corrupt, fault.ApplyLate, fault.Fail},
	OperationLoaded:      nil,
	OperationReport:      nil,
	OperationCacheEvents: nil,
}

type (
	// Server is the stand-in for the engine. Its exported fields must be set
	// before the first call.
	Server struct {
		Clock mulberryspool.Clock
		// Random selects the cache events that are lost. The server must be its
		// only user. It may be nil if CacheEventLoss is 0.
		Random *rand.Rand
		// InitialLoaded is the version that is loaded at the start. Without a digest,
		// none is.
		InitialLoaded mulberryspool.Loaded
		// TokensPerSecond is the rate at which one request generates tokens; 0
		// is unlimited.
		TokensPerSecond float64
		// PrefillTokensPerSecond is the rate at which the uncached part of a
		// prompt is processed; 0 is unlimited.
		PrefillTokensPerSecond float64
		// Capacity, MaxWaiting, CacheBlocks and MaxExecutions default to
		// DefaultCapacity and so on.
		Capacity      int
		MaxWaiting    int
		CacheBlocks   int
		MaxExecutions int
		// CacheEventDelay is the time until a cache event can be read.
		CacheEventDelay time.Duration
		// CacheEventLoss is the share of cache events that are lost, 0 to 1.
		CacheEventLoss float64
		// ReportLag is the age of load reports.
		ReportLag time.Duration
		// LoadBytesPerSecond is the rate at which weights are read; 0 is
		// unlimited.
		LoadBytesPerSecond int64
		// RefusesStaleOrders makes the engine refuse a load order whose fencing
		// number is lower than one that it has received before.
		RefusesStaleOrders bool
		// Faults injects faults into the calls.
		Faults fault.Injector

		once        sync.Once
		batch       batch
		cache       cache
		reports     reports
		records     records
		loadLimiter *ratelimit.Limiter
		// loading holds one value while an order is executed, so that orders
		// run one after the other.
		loading chan struct{}

		mu       sync.Mutex
		loaded   mulberryspool.Loaded
		orders   []OrderRecord
		settings Settings
	}

	// Settings are the settings that can be changed while the engine runs. They
	// are the body of PUT /admin/settings.
	Settings struct {
		TokensPerSecond        float64 `json:"tokensPerSecond"`
		PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	}
)

// Handler returns the HTTP interface, with the admin interface below /admin/.
func (s *Server) Handler() http.Handler {
	s.init()
	router := mux.NewRouter()
	s.Faults.Register(router)
	router.HandleFunc("/v1/chat/completions", s.Faults.Wrap(OperationComplete, s.complete)).Methods(http.MethodPost)
	router.HandleFunc("/v1/requests/{requestID}/cancel", s.Faults.Wrap(OperationCancel, s.cancel)).Methods(http.MethodPost)
	router.HandleFunc("/engine/load", s.Faults.Wrap(OperationLoad, s.load)).Methods(http.MethodPost)
	router.HandleFunc("/engine/loaded", s.Faults.Wrap(OperationLoaded, func(w http.ResponseWriter, _ *http.Request, _ fault.Effect) {
		serve.WriteJSON(w, http.StatusOK, s.Loaded())
	})).Methods(http.MethodGet)
	router.HandleFunc("/engine/report", s.Faults.Wrap(OperationReport, func(w http.ResponseWriter, _ *http.Request, _ fault.Effect) {
		serve.WriteJSON(w, http.StatusOK, s.reports.delayedReport(s.Clock.Now()))
	})).Methods(http.MethodGet)
	router.HandleFunc("/engine/cache-events", s.Faults.Wrap(OperationCacheEvents, s.cacheEvents)).Methods(http.MethodGet)
	router.HandleFunc("/admin/executions", func(w http.ResponseWriter, r *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.records.read(mulberryspool.RequestID(r.URL.Query().Get("requestID"))))
	}).Methods(http.MethodGet)
	router.HandleFunc("/admin/orders", func(w http.ResponseWriter, _ *http.Request) {
		serve.WriteJSON(w, http.StatusOK, s.Orders())
	}).Methods(http.MethodGet)
	router.HandleFunc("/admin/settings", func(w http.ResponseWriter, r *http.Request) {
		var body Settings
		if !serve.ReadJSON(w, r, &body) {
			return
		}
		s.SetSettings(body)
		w.WriteHeader(http.StatusNoContent)
	}).Methods(http.MethodPut)
	return router
}

// Executions returns the recorded executions of one request, or of all requests
// if the ID is empty.
func (s *Server) Executions(id mulberryspool.RequestID) []Execution {
	s.init()
	return s.records.read(id).Executions
}

// Loaded returns the version that is loaded.
func (s *Server) Loaded() mulberryspool.Loaded {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// SetSettings replaces the settings. They apply to running requests, too.
func (s *Server) SetSettings(settings Settings) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
}

func (s *Server) init() {
	s.once.Do(func() {
		s.Faults.Clock = s.Clock
		s.Faults.Operations = operations
		s.batch.init(orDefault(s.Capacity, DefaultCapacity), orDefault(s.MaxWaiting, DefaultMaxWaiting))
		s.cache.init(s)
		s.reports.init(s)
		s.batch.onChange = s.reports.record
		s.records.init(orDefault(s.MaxExecutions, DefaultMaxExecutions))
		s.loadLimiter = ratelimit.NewLimiter(s.Clock, s.LoadBytesPerSecond)
		s.loading = make(chan struct{}, 1)
		s.loaded = s.InitialLoaded
		s.settings = Settings{TokensPerSecond: s.TokensPerSecond, PrefillTokensPerSecond: s.PrefillTokensPerSecond}
	})
}

func orDefault(value, defaultValue int) int {
	if value > 0 {
		return value
	}
	return defaultValue
}

func (s *Server) currentSettings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request, _ fault.Effect) {
	if !s.records.cancel(mulberryspool.RequestID(mux.Vars(r)["requestID"])) {
		serve.WriteError(w, http.StatusNotFound, "notFound", "no such request runs or waits")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
