package mulberryspool

import (
	"context"
	"io"
	"time"
)

type (
	// LoadReport is a backend server's own view of its load. It lags.
	LoadReport struct {
		// Running and Waiting count requests.
		Running int `json:"running"`
		Waiting int `json:"waiting"`
		// QueuedTokens estimates the tokens of all waiting requests.
		QueuedTokens int `json:"queuedTokens"`
		// Capacity is the number of requests that run at once.
		Capacity int `json:"capacity"`
		// TokensPerSecond is the recent rate of generation.
		TokensPerSecond float64 `json:"tokensPerSecond"`
		// Age is the time since the backend server made the report.
		Age time.Duration `json:"age"`
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

	// BackendAnswer is the head of a backend server's answer. The body ends
	// with io.EOF only when the answer is complete.
	BackendAnswer struct {
		Status      int
		ContentType string
		Body        io.ReadCloser
	}

	// Loaded is what an engine says that it serves now.
	Loaded struct {
		Version string `json:"version"`
		// Digest is computed by the engine over the loaded content.
		Digest  Digest `json:"digest"`
		Adapter string `json:"adapter,omitempty"`
		Role    string `json:"role,omitempty"`
		// Fencing is the highest fencing number that the engine has seen.
		Fencing uint64 `json:"fencing"`
	}

	// LoadOrder tells an engine to load a version from its agent.
	LoadOrder struct {
		Version string `json:"version"`
		// Source is a loopback URL that streams the whole content.
		Source  string `json:"source"`
		Size    int64  `json:"size"`
		Adapter string `json:"adapter,omitempty"`
		// AdapterSource is a loopback URL; empty without an adapter.
		AdapterSource string `json:"adapterSource,omitempty"`
		Role          string `json:"role,omitempty"`
		// Fencing rises with every order of a pool's agents to this engine.
		Fencing uint64 `json:"fencing"`
	}

	// Backend is a backend server: a model engine or a plain service.
	Backend interface {
		// Submit starts a request and returns when the answer's head is there.
		Submit(ctx context.Context, request BackendRequest) (BackendAnswer, error)
		// Cancel stops a request that Submit started.
		Cancel(ctx context.Context, id RequestID) error
		// Report returns the load, with its age.
		Report(ctx context.Context) (LoadReport, error)
	}

	// Engine is a model engine.
	Engine interface {
		Backend
		// Load returns when the engine has loaded or refused the order.
		Load(ctx context.Context, order LoadOrder) error
		// Loaded reads back what the engine serves now.
		Loaded(ctx context.Context) (Loaded, error)
	}
)

type (
	// EngineState is what a model engine on the same machine says of itself.
	EngineState struct {
		// Born is the start of this incarnation in Unix milliseconds; 0 when not said.
		Born int64
		// Models holds what is loaded.
		Models []LoadedModel
		// Loading is set while an order is in progress.
		Loading bool
		// Orders counts the orders that the incarnation accepted.
		Orders int64
		// Running and Waiting count requests.
		Running, Waiting int
	}

	// StagedEngine is a model engine that loads what lies staged beside it.
	// It checks neither the staged bytes nor who stages them.
	StagedEngine interface {
		State(ctx context.Context) (EngineState, error)
		// Stage replaces a piece of a model's staged content.
		Stage(ctx context.Context, model string, piece int, data []byte) error
		// Staged reads a piece back; ErrNotFound if there is none.
		Staged(ctx context.Context, model string, piece int) ([]byte, error)
		// Start orders the engine to load the staged content as a version. It
		// fails with ErrConflict if the engine has accepted another number of orders.
		Start(ctx context.Context, model string, version, orders int64) error
	}
)
