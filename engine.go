package mulberryspool

import (
	"context"
	"io"
	"time"
)

type (
	// LoadReport is the load of a backend server as the server reports it. It lags
	// behind the actual load.
	LoadReport struct {
		// Running and Waiting count requests.
		Running int `json:"running"`
		Waiting int `json:"waiting"`
		// QueuedTokens estimates the tokens of all waiting requests.
		QueuedTokens int `json:"queuedTokens"`
		// Capacity is the maximum number of requests that run concurrently.
		Capacity int `json:"capacity"`
		// TokensPerSecond is the recent generation rate.
		TokensPerSecond float64 `json:"tokensPerSecond"`
		// Age is the time since the backend server created the report.
		Age time.Duration `json:"age"`
		// WorkPercent is how long work takes on the machine at present, in percent of the
		// usual time; 0 if not reported.
		WorkPercent int `json:"workPercent,omitempty"`
	}

	// BackendRequest is one call to a backend server.
	BackendRequest struct {
		RequestID   RequestID
		Route       string
		Workspace   string
		Priority    int
		Method      string
		Path        string
		ContentType string
		Body        []byte
	}

	// BackendAnswer is the response of a backend server. Reading the body returns
	// io.EOF only if the response is complete.
	BackendAnswer struct {
		Status      int
		ContentType string
		Body        io.ReadCloser
	}

	// Loaded is what an engine currently serves, as the engine reports it.
	Loaded struct {
		Version string `json:"version"`
		// Digest is computed by the engine over the loaded content.
		Digest  Digest `json:"digest"`
		Adapter string `json:"adapter,omitempty"`
		Role    string `json:"role,omitempty"`
		// Fencing is the highest fencing token that the engine has seen.
		Fencing uint64 `json:"fencing"`
	}

	// LoadOrder tells an engine to load a version from its agent.
	LoadOrder struct {
		Version string `json:"version"`
		// Source is a loopback URL that serves the whole content.
		Source  string `json:"source"`
		Size    int64  `json:"size"`
		Adapter string `json:"adapter,omitempty"`
		// AdapterSource is a loopback URL; empty without an adapter.
		AdapterSource string `json:"adapterSource,omitempty"`
		Role          string `json:"role,omitempty"`
		// Fencing is a fencing token, which increases with every order that the
		// pool's agents send to this engine.
		Fencing uint64 `json:"fencing"`
	}

	// Backend is a backend server: a model engine or a plain service.
	Backend interface {
		// Submit starts a request and returns when the head of the response has arrived.
		Submit(ctx context.Context, request BackendRequest) (BackendAnswer, error)
		// Cancel stops a request that Submit started.
		Cancel(ctx context.Context, id RequestID) error
		// Report returns the load, with its age.
		Report(ctx context.Context) (LoadReport, error)
	}

	// Engine is a model engine, which loads the content from its agent.
	Engine interface {
		Backend
		// Load sends a load order and returns when the engine has executed or
		// refused it.
		Load(ctx context.Context, order LoadOrder) error
		// Loaded reads what the engine serves now.
		Loaded(ctx context.Context) (Loaded, error)
	}
)

type (
	// EngineState is the state that a model engine on the same machine reports.
	EngineState struct {
		// Born is the start of this incarnation in Unix milliseconds; 0 if not
		// reported.
		Born int64
		// Models holds the loaded models.
		Models []LoadedModel
		// Loading is set while a load order is in progress.
		Loading bool
		// Orders is the number of load orders accepted by this incarnation.
		Orders int64
		// Running and Waiting count requests.
		Running, Waiting int
	}

	// StagedEngine is a model engine that loads content that was staged on its
	// machine before. It checks neither the staged content nor who staged it. Stage and
	// LoadStaged fail with ErrUncertain if they may still take effect.
	StagedEngine interface {
		State(ctx context.Context) (EngineState, error)
		// Stage writes a piece of a model's staged content.
		Stage(ctx context.Context, model string, piece int, data []byte) error
		// ReadStaged reads back a staged piece. It fails with ErrNotFound if there is
		// none.
		ReadStaged(ctx context.Context, model string, piece int) ([]byte, error)
		// LoadStaged orders the engine to load the staged content as the version. It
		// fails with ErrConflict if EngineState.Orders is not orders.
		LoadStaged(ctx context.Context, model string, version, orders int64) error
	}
)
