package mulberryspool

import (
	"net/http"
	"time"
)

// Kinds of routes, which say what may be repeated.
const (
	// Idempotent requests may run more than once.
	Idempotent RepeatKind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

type (
	// RepeatKind says what may be repeated on a route.
	RepeatKind int

	// Ingress is one version of the routes, pools and workspaces that an
	// entry serves. It is never changed after it was handed out.
	Ingress struct {
		// Version rises with each change of the operators.
		Version int64                  `json:"version,omitzero"`
		Routes  []IngressRoute         `json:"routes,omitzero"`
		Pools   map[string]IngressPool `json:"pools,omitzero"`
		// Workspaces is empty when callers need no key.
		Workspaces []Workspace `json:"workspaces,omitzero"`
		// MaxBodyBytes bounds what a caller may send.
		MaxBodyBytes int64 `json:"maxBodyBytes,omitzero"`
	}

	// IngressRoute sends the requests of a host below a path to pools.
	IngressRoute struct {
		Name string `json:"name,omitzero"`
		Host string `json:"host,omitzero"`
		// PathPrefix begins and ends with a slash.
		PathPrefix string     `json:"pathPrefix,omitzero"`
		Kind       RepeatKind `json:"kind,omitzero"`
		// Timeout is the longest time that a caller is kept waiting.
		Timeout time.Duration `json:"timeout,omitzero"`
		// Objective is the time to the first event, or to the whole answer,
		// within which an answer is on time.
		Objective time.Duration `json:"objective,omitzero"`
		// GapObjective is the longest pause between events; 0 without events.
		GapObjective time.Duration `json:"gapObjective,omitzero"`
		// Priority 0 is the most urgent.
		Priority int `json:"priority,omitzero"`
		// Attempts bounds the backend servers that one request is sent to.
		Attempts int `json:"attempts,omitzero"`
		// Public routes need no key.
		Public bool `json:"public,omitzero"`
		// Resumable streams may go on at another backend server.
		Resumable bool `json:"resumable,omitzero"`
		// Pools holds at least one pool; the weights say how requests are split.
		Pools []WeightedPool `json:"pools,omitzero"`
	}

	// WeightedPool is a pool's share of a route.
	WeightedPool struct {
		Pool   string `json:"pool,omitzero"`
		Weight int    `json:"weight,omitzero"`
	}

	// IngressPool describes the backend servers behind a pool.
	IngressPool struct {
		Name string `json:"name,omitzero"`
		// Connections bounds the connections to one backend server from all
		// callers together; 0 means unknown.
		Connections int `json:"connections,omitzero"`
		// Model is the model that the pool's engines serve; empty for plain services.
		Model string `json:"model,omitzero"`
		// Engine is nil for plain services.
		Engine *EngineFigures `json:"engine,omitzero"`
		// Origin is the address that hands out weights; empty for other pools.
		Origin string `json:"origin,omitzero"`
	}

	// EngineFigures are the published speeds of a pool's model engines.
	EngineFigures struct {
		// Slots is the number of requests that run at once.
		Slots int `json:"slots,omitzero"`
		// Step is the time of one token for a small batch, PerSequence what
		// each further request in the batch adds to it.
		Step        time.Duration `json:"step,omitzero"`
		PerSequence time.Duration `json:"perSequence,omitzero"`
		// PromptTokensPerSecond is the rate at which prompts are read.
		PromptTokensPerSecond float64 `json:"promptTokensPerSecond,omitzero"`
		// StepsPerPass is the number of tokens that one event holds.
		StepsPerPass int `json:"stepsPerPass,omitzero"`
		// UsualPrompt and UsualAnswer are mean token counts.
		UsualPrompt int `json:"usualPrompt,omitzero"`
		UsualAnswer int `json:"usualAnswer,omitzero"`
		// LoadTime is how long an engine takes to load staged weights.
		LoadTime time.Duration `json:"loadTime,omitzero"`
		// Chunks of ChunkBytes each are the content of a version.
		Chunks     int   `json:"chunks,omitzero"`
		ChunkBytes int64 `json:"chunkBytes,omitzero"`
	}

	// Workspace is a tenant and the keys of its callers.
	Workspace struct {
		Name string   `json:"name,omitzero"`
		Keys []string `json:"keys,omitzero"`
		// Priority goes before that of the route; nil for none.
		Priority *int `json:"priority,omitzero"`
	}

	// BackendServer is a backend server as it describes itself.
	BackendServer struct {
		Instance InstanceID `json:"instance,omitzero"`
		// Born is the start of this incarnation in Unix milliseconds.
		Born          int64  `json:"born,omitzero"`
		Pool          string `json:"pool,omitzero"`
		Address       string `json:"address,omitzero"`
		FailureDomain string `json:"failureDomain,omitzero"`
		Slots         int    `json:"slots,omitzero"`
		// Leaving backend servers take no new requests.
		Leaving bool `json:"leaving,omitzero"`
		// Models holds what is loaded completely; empty for plain services.
		Models []LoadedModel `json:"models,omitzero"`
	}

	// LoadedModel is a model version that a backend server serves.
	LoadedModel struct {
		Model   string `json:"model,omitzero"`
		Version int64  `json:"version,omitzero"`
	}

	// NamedVersion says which version of a model is to be served.
	NamedVersion struct {
		Model   string `json:"model,omitzero"`
		Version int64  `json:"version,omitzero"`
	}

	// RequestHead is what a live request says of itself.
	RequestHead struct {
		ID RequestID
		// Deadline is how long the caller waits; 0 means not said.
		Deadline time.Duration
		Key      string
		Model    string
		// PromptTokens and MaxTokens are 0 when not said.
		PromptTokens, MaxTokens int
		// ExpectedTokens is the caller's own estimate of the answer; 0 means not said.
		ExpectedTokens int
		// LastEvent is the last event that the caller has; empty for none.
		LastEvent string
	}

	// Delivery is what an entry tells a backend server beside the request.
	Delivery struct {
		Instance  InstanceID
		Workspace string
		// Left is the time until the answer is of no use.
		Left time.Duration
		// Version is the version that the answer must come from; 0 for any.
		Version int64
		// Priority is the rank in the backend server's queue, 0 first.
		Priority int
		// LastEvent resumes a stream behind that event; empty keeps the caller's own.
		LastEvent string
	}

	// AnswerHead is what a backend server says in the head of its answer.
	AnswerHead struct {
		// ID is the request that the answer belongs to; empty when not said.
		ID RequestID
		// NotRun says that the request has not run and never will.
		NotRun bool
		// Signed says that the answer carries the backend server's signature.
		Signed bool
		// Version is the version that the answer comes from; 0 when not said.
		Version int64
		// Load is nil when not said.
		Load *LoadReport
		// Instance is who answered, when said.
		Instance InstanceID
	}

	// Dialect reads and writes the headers of live requests.
	Dialect interface {
		Request(h http.Header) RequestHead
		// Outgoing turns a copy of the caller's headers into those for a backend server.
		Outgoing(h http.Header, d Delivery)
		// Answer reads a backend server's headers.
		Answer(status int, h http.Header) AnswerHead
		// Returned takes headers that concern only this hop out of an answer.
		Returned(h http.Header)
		// Refusal fills in the headers of an answer of the entry's own.
		Refusal(h http.Header, id RequestID, retryAfter time.Duration)
		// EventVersion returns the version that an event's first line names, 0 for none.
		EventVersion(event []byte) int64
	}
)

// Serves returns the version of the model that the backend server has loaded, 0 for none.
func (s BackendServer) Serves(model string) int64 {
	for _, m := range s.Models {
		if m.Model == model {
			return m.Version
		}
	}
	return 0
}
