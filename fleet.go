package mulberryspool

import (
	"net/http"
	"time"
)

// Kinds of routes by the requests that may be retried.
const (
	// Idempotent requests may be executed more than once.
	Idempotent RequestKind = iota
	// NonIdempotent requests are executed at most once.
	NonIdempotent
	// Streaming requests are answered with a stream of events.
	Streaming
)

type (
	// RequestKind says which requests of a route may be retried.
	RequestKind int

	// Ingress is one version of the configuration of an entry: its routes, pools and
	// workspaces. It is immutable after it has been published to readers.
	Ingress struct {
		// Version increases with each change that operators make.
		Version int64                  `json:"version,omitzero"`
		Routes  []IngressRoute         `json:"routes,omitzero"`
		Pools   map[string]IngressPool `json:"pools,omitzero"`
		// Workspaces is empty if callers need no key.
		Workspaces []Workspace `json:"workspaces,omitzero"`
		// MaxBodyBytes is the maximum size of a request body.
		MaxBodyBytes int64 `json:"maxBodyBytes,omitzero"`
		// Limits holds the other limits of callers.
		Limits CallerLimits `json:"limits,omitzero"`
	}

	// CallerLimits bounds what a caller may send. A field is 0 if the operators set no limit.
	CallerLimits struct {
		// MaxHeadBytes is the maximum size of a request's line and headers.
		MaxHeadBytes int64 `json:"maxHeadBytes,omitzero"`
		// HeadTimeout is how long a caller may take to send them.
		HeadTimeout time.Duration `json:"headTimeout,omitzero"`
		// IdleTimeout is how long a connection may be idle between two requests.
		IdleTimeout time.Duration `json:"idleTimeout,omitzero"`
	}

	// IngressRoute maps the requests to a host and a path prefix to pools.
	IngressRoute struct {
		Name string `json:"name,omitzero"`
		Host string `json:"host,omitzero"`
		// PathPrefix begins and ends with a slash.
		PathPrefix string      `json:"pathPrefix,omitzero"`
		Kind       RequestKind `json:"kind,omitzero"`
		// Timeout is the maximum time that a caller waits.
		Timeout time.Duration `json:"timeout,omitzero"`
		// Objective is the latency objective: the time to the first event of a stream
		// or to the complete response.
		Objective time.Duration `json:"objective,omitzero"`
		// GapObjective is the latency objective for the time between two events; 0
		// for routes without events.
		GapObjective time.Duration `json:"gapObjective,omitzero"`
		// Priority 0 is the most urgent.
		Priority int `json:"priority,omitzero"`
		// Attempts is the maximum number of backend servers that a request is sent to.
		Attempts int `json:"attempts,omitzero"`
		// Public routes need no key.
		Public bool `json:"public,omitzero"`
		// Resumable streams may be continued at another backend server.
		Resumable bool `json:"resumable,omitzero"`
		// Regions are the regions whose backend servers may get the requests; empty for all.
		Regions []string `json:"regions,omitzero"`
		// Pools holds at least one pool. Requests are split by the weights.
		Pools []WeightedPool `json:"pools,omitzero"`
	}

	// WeightedPool is a pool with its share of a route's requests.
	WeightedPool struct {
		Pool   string `json:"pool,omitzero"`
		Weight int    `json:"weight,omitzero"`
	}

	// IngressPool describes the backend servers behind a pool.
	IngressPool struct {
		Name string `json:"name,omitzero"`
		// Connections is the maximum number of connections to one backend server
		// from all its clients together; 0 means unknown.
		Connections int `json:"connections,omitzero"`
		// Model is the model of the pool's engines; empty for plain services.
		Model string `json:"model,omitzero"`
		// Engine is nil for plain services.
		Engine *EngineProfile `json:"engine,omitzero"`
		// Origin is the address of the origin of the weights; empty for other pools.
		Origin string `json:"origin,omitzero"`
		// OriginBytesPerSecond is the bandwidth of the origin's link; 0 if not known.
		OriginBytesPerSecond int64 `json:"originBytesPerSecond,omitzero"`
		// ColdTime is how long a backend server is cold after a start during traffic, and
		// ColdRate the requests per second that it bears then, from all entries together.
		// They are 0 for pools whose servers are never cold.
		ColdTime time.Duration `json:"coldTime,omitzero"`
		ColdRate float64       `json:"coldRate,omitzero"`
	}

	// EngineProfile holds the published performance of a pool's model engines.
	EngineProfile struct {
		// Slots is the maximum number of requests that run concurrently.
		Slots int `json:"slots,omitzero"`
		// TokenTime is the time of one token in a small batch. Each further request in
		// the batch adds TokenTimePerRequest.
		TokenTime           time.Duration `json:"step,omitzero"`
		TokenTimePerRequest time.Duration `json:"perSequence,omitzero"`
		// PromptTokensPerSecond is the rate at which prompts are processed.
		PromptTokensPerSecond float64 `json:"promptTokensPerSecond,omitzero"`
		// TokensPerEvent is the number of tokens in one event.
		TokensPerEvent int `json:"stepsPerPass,omitzero"`
		// MeanPromptTokens and MeanAnswerTokens are the mean token counts of
		// prompts and answers.
		MeanPromptTokens int `json:"usualPrompt,omitzero"`
		MeanAnswerTokens int `json:"usualAnswer,omitzero"`
		// LoadTime is the time that an engine takes to load staged weights.
		LoadTime time.Duration `json:"loadTime,omitzero"`
		// Chunks is the number of chunks in the content of a version, of ChunkBytes each.
		Chunks     int   `json:"chunks,omitzero"`
		ChunkBytes int64 `json:"chunkBytes,omitzero"`
	}

	// Workspace is a tenant with the API keys of its callers.
	Workspace struct {
		Name string   `json:"name,omitzero"`
		Keys []string `json:"keys,omitzero"`
		// Priority overrides that of the route; nil for none.
		Priority *int `json:"priority,omitzero"`
		// Regions are the regions whose backend servers may get the requests, besides those
		// of the route, which bind too; empty for all.
		Regions []string `json:"regions,omitzero"`
	}

	// BackendServer is a backend server as it describes itself in the store.
	BackendServer struct {
		Instance InstanceID `json:"instance,omitzero"`
		// Born is the start of this incarnation in Unix milliseconds.
		Born          int64  `json:"born,omitzero"`
		Pool          string `json:"pool,omitzero"`
		Address       string `json:"address,omitzero"`
		FailureDomain string `json:"failureDomain,omitzero"`
		Slots         int    `json:"slots,omitzero"`
		// ColdFor is how long the backend server was still cold when it wrote this.
		ColdFor time.Duration `json:"coldFor,omitzero"`
		// Leaving backend servers accept no new requests.
		Leaving bool `json:"leaving,omitzero"`
		// Models holds the completely loaded models; empty for plain services.
		Models []LoadedModel `json:"models,omitzero"`
		// Revision is the store's revision of the last change of the backend server's
		// object; 0 if not known.
		Revision Revision `json:"revision,omitzero"`
		// Era is that of Revision.
		Era Era `json:"era,omitzero"`
	}

	// LoadedModel is a model version that a backend server serves.
	LoadedModel struct {
		Model   string `json:"model,omitzero"`
		Version int64  `json:"version,omitzero"`
	}

	// NamedVersion is the version of a model that the platform's operators want
	// served.
	NamedVersion struct {
		Model   string `json:"model,omitzero"`
		Version int64  `json:"version,omitzero"`
		// Revision is the store's revision of the last change of the version's object.
		Revision Revision `json:"revision,omitzero"`
		// Era is that of Revision.
		Era Era `json:"era,omitzero"`
	}

	// RequestHead is the information in the headers of a live request.
	RequestHead struct {
		ID RequestID
		// Deadline is how long the caller waits; 0 if not specified.
		Deadline time.Duration
		// Key is the caller's API key.
		Key   string
		Model string
		// PromptParts holds the IDs of the parts of the prompt, in order. Requests
		// may share all parts but the last one. It is empty if not specified.
		PromptParts []string
		// PromptTokens and MaxTokens are 0 if not specified.
		PromptTokens, MaxTokens int
		// ExpectedTokens is the caller's estimate of the answer's tokens; 0 if not
		// specified.
		ExpectedTokens int
		// LastEvent is the ID of the last event that the caller has received; empty
		// for none.
		LastEvent string
	}

	// OutgoingHead is the information that an entry adds to the headers of a
	// request to a backend server.
	OutgoingHead struct {
		// Instance is the backend server that must execute the request.
		Instance  InstanceID
		Workspace string
		// Remaining is the time remaining until the deadline.
		Remaining time.Duration
		// Version is the required model version; 0 for any.
		Version int64
		// Priority is the priority in the backend server's queue; 0 is the most urgent.
		Priority int
		// LastEvent resumes a stream after the event with this ID; empty keeps the
		// caller's value.
		LastEvent string
	}

	// AnswerHead is the information in the headers of a backend server's response.
	AnswerHead struct {
		// ID is the request that is answered; empty if not specified.
		ID RequestID
		// NotRun means that the request was not executed and never will be.
		NotRun bool
		// Signed means that the response carries the backend server's signature.
		Signed bool
		// Version is the model version that produced the answer; 0 if not specified.
		Version int64
		// Load is nil if not specified.
		Load *LoadReport
		// ColdFor is how long the backend server is still cold; nil if not specified.
		ColdFor *time.Duration
		// RateLimit is the number of requests per second that the backend server
		// accepts from all entries together; nil if it names none.
		RateLimit *float64
		// RetryAfter is how long the backend server, which has refused the request, wants
		// none from this entry; 0 if not specified.
		RetryAfter time.Duration
		// Leaving means that the backend server is about to end.
		Leaving bool
		// Instance is the backend server that answered; empty if not specified.
		Instance InstanceID
	}

	// HeaderCodec reads and writes the platform's headers of live requests and
	// responses.
	HeaderCodec interface {
		// DecodeRequest decodes the headers of a caller's request.
		DecodeRequest(h http.Header) RequestHead
		// PrepareRequest turns a copy of a caller's headers into those for a backend
		// server.
		PrepareRequest(h http.Header, out OutgoingHead)
		// DecodeAnswer decodes the headers of a backend server's response.
		DecodeAnswer(status int, h http.Header) AnswerHead
		// RemoveHopHeaders removes the hop-by-hop headers from a backend server's
		// response.
		RemoveHopHeaders(h http.Header)
		// SetRefusal sets the headers of a response that the entry itself generates.
		SetRefusal(h http.Header, id RequestID, retryAfter time.Duration)
		// EventVersion returns the model version in the first line of an event, 0
		// for none.
		EventVersion(event []byte) int64
	}
)

// Position returns the store's position of the last change of the backend server's object.
func (s BackendServer) Position() Position { return Position{Era: s.Era, Revision: s.Revision} }

// Serves returns the version of the model that the backend server has loaded, 0
// for none.
func (s BackendServer) Serves(model string) int64 {
	for _, m := range s.Models {
		if m.Model == model {
			return m.Version
		}
	}
	return 0
}
