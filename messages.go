package mulberryspool

import "time"

// Methods of the jsonrpc2 protocol between processes.
const (
	MethodHello       = "agent.hello"
	MethodHeartbeat   = "agent.heartbeat"
	MethodLeaving     = "agent.leaving"
	MethodStart       = "request.start"
	MethodChunk       = "request.chunk"
	MethodEnd         = "request.end"
	MethodResolve     = "request.resolve"
	MethodCancel      = "request.cancel"
	MethodTablesFetch = "tables.fetch"
	MethodChunksHave  = "chunks.have"
	// MethodManifestFetch reads a manifest from another agent, also while the object
	// API is down.
	MethodManifestFetch = "manifests.fetch"
)

type (
	// Phase is the progress of an agent towards its pool's version.
	Phase string
	// Outcome is the result of a request as far as it is known.
	Outcome string
	// Refusal is the reason why an agent did not start a request.
	Refusal string
	// ResolveState is the state of a request at an agent.
	ResolveState string
)

// Phases of an agent, in the usual order.
const (
	PhaseStarting  Phase = "starting"
	PhaseFetching  Phase = "fetching"
	PhaseStaged    Phase = "staged"
	PhaseDraining  Phase = "draining"
	PhaseLoading   Phase = "loading"
	PhaseVerifying Phase = "verifying"
	PhaseServing   Phase = "serving"
	PhaseLeaving   Phase = "leaving"
	PhaseFailed    Phase = "failed"
)

// Outcomes of a request.
const (
	// OutcomeDone means executed once, with a complete answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means not executed, neither now nor later.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means executed at most once, with the answer lost.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the backend server returned an error or an
	// incomplete answer.
	OutcomeFailed Outcome = "failed"
)

// Reasons for which an agent does not start a request.
const (
	RefusalNotServing  Refusal = "notServing"
	RefusalLeaving     Refusal = "leaving"
	RefusalStale       Refusal = "stale"
	RefusalIncarnation Refusal = "incarnation"
	RefusalResolved    Refusal = "resolved"
	// RefusalDuplicate means that the agent has accepted, or may have accepted, a
	// start with this ID before. It is the only refusal after which the request
	// may run, or may have run, at this agent.
	RefusalDuplicate Refusal = "duplicate"
	RefusalOverload  Refusal = "overload"
	RefusalExpired   Refusal = "expired"
	RefusalWrongPool Refusal = "wrongPool"
)

// States of a request at an agent.
const (
	ResolveRunning     ResolveState = "running"
	ResolveDone        ResolveState = "done"
	ResolveNeverSeen   ResolveState = "neverSeen"
	ResolveIncarnation ResolveState = "incarnation"
)

type (
	// HelloParams is the first message on a connection.
	HelloParams struct {
		Identity Identity `json:"identity"`
		Revision Revision `json:"revision"`
	}

	// HelloResult is the reply to HelloParams.
	HelloResult struct {
		Identity Identity  `json:"identity"`
		Status   Heartbeat `json:"status"`
	}

	// HeartbeatParams carries the revision of the tables that the sender uses.
	HeartbeatParams struct {
		Instance InstanceID `json:"instance"`
		Revision Revision   `json:"revision"`
	}

	// Heartbeat is an agent's state as sent to entries and other agents.
	Heartbeat struct {
		Incarnation Incarnation `json:"incarnation"`
		// AgentTime is the time since the agent's start on its monotonic clock.
		// Entries return it with each StartParams.
		AgentTime time.Duration `json:"agentTime"`
		// Phase is PhaseServing whenever requests may start, also with the old
		// version while a newer one is fetched.
		Phase Phase `json:"phase"`
		// Served is the digest that was read back from the engine; empty unless
		// serving.
		Served Digest `json:"served,omitempty"`
		// ServedVersion is the version with the digest Served.
		ServedVersion string `json:"servedVersion,omitempty"`
		// Target is the version that the agent is to serve.
		Target string `json:"target,omitempty"`
		// FailedVersion is a version that could not be loaded in this pool.
		FailedVersion string     `json:"failedVersion,omitempty"`
		Load          LoadReport `json:"load"`
		Revision      Revision   `json:"revision"`
		Leaving       bool       `json:"leaving,omitempty"`
		// Settled is set while this agent and all its predecessors in its chain of
		// the rolling update serve Target. Its successor may then change versions.
		Settled bool `json:"settled,omitempty"`
	}

	// LeavingParams notifies connected entries that an agent accepts no new requests.
	LeavingParams struct {
		Instance    InstanceID  `json:"instance"`
		Incarnation Incarnation `json:"incarnation"`
	}

	// StartParams asks an agent to run a request.
	StartParams struct {
		RequestID RequestID `json:"requestID"`
		// Incarnation is the only incarnation of the agent that may accept.
		Incarnation Incarnation `json:"incarnation"`
		// AgentTime is the newest one that the entry has received from this agent.
		AgentTime time.Duration `json:"agentTime"`
		Route     string        `json:"route"`
		Pool      string        `json:"pool"`
		Workspace string        `json:"workspace,omitempty"`
		Priority  int           `json:"priority,omitempty"`
		// Remaining is the time remaining until the request's deadline.
		Remaining   time.Duration `json:"remaining"`
		Idempotent  bool          `json:"idempotent,omitempty"`
		Method      string        `json:"method"`
		Path        string        `json:"path"`
		ContentType string        `json:"contentType,omitempty"`
		Body        []byte        `json:"body,omitempty"`
	}

	// StartResult is the reply to StartParams.
	StartResult struct {
		Accepted bool `json:"accepted"`
		// Refusal is set if Accepted is false. The request will then never run at
		// this agent, unless Refusal is RefusalDuplicate.
		Refusal     Refusal     `json:"refusal,omitempty"`
		Incarnation Incarnation `json:"incarnation"`
	}

	// ChunkNotice carries a part of an answer.
	ChunkNotice struct {
		RequestID RequestID `json:"requestID"`
		// Offset is the number of the answer's bytes before Data.
		Offset int64 `json:"offset"`
		// Status and ContentType are set in the notice with offset 0.
		Status      int    `json:"status,omitempty"`
		ContentType string `json:"contentType,omitempty"`
		Data        []byte `json:"data,omitempty"`
	}

	// EndNotice ends an answer.
	EndNotice struct {
		RequestID RequestID `json:"requestID"`
		Outcome   Outcome   `json:"outcome"`
		// Length is the number of bytes of the answer.
		Length int64 `json:"length"`
		// Checksum is the XXH64 sum of all bytes of the answer.
		Checksum uint64 `json:"checksum,string"`
		// Weights is the digest that was read back from the engine at the start and
		// at the end of the answer.
		Weights Digest `json:"weights,omitempty"`
		Status  int    `json:"status,omitempty"`
		// ContentType repeats that of the first chunk, for answers without a body.
		ContentType string `json:"contentType,omitempty"`
		// Message explains an outcome other than OutcomeDone.
		Message string `json:"message,omitempty"`
	}

	// ResolveParams asks for the state of a request and, unless the agent has never
	// seen it, for the rest of its answer on this connection.
	ResolveParams struct {
		RequestID   RequestID   `json:"requestID"`
		Incarnation Incarnation `json:"incarnation"`
		// AgentTime is that of the request's StartParams.
		AgentTime time.Duration `json:"agentTime"`
		// Offset is the number of the answer's bytes that the entry has received.
		Offset int64 `json:"offset"`
	}

	// ResolveResult is the reply to ResolveParams.
	ResolveResult struct {
		State       ResolveState `json:"state"`
		Incarnation Incarnation  `json:"incarnation"`
	}

	// CancelParams asks an agent to stop a request.
	CancelParams struct {
		RequestID RequestID `json:"requestID"`
	}

	// TablesFetchParams asks for the tables if their revision is above Above.
	TablesFetchParams struct {
		Above Revision `json:"above"`
	}

	// ManifestFetchParams asks for the manifest of a version. The reply is a
	// Manifest, with an empty Version if the agent does not have it.
	ManifestFetchParams struct {
		Version string `json:"version"`
	}

	// ChunksHaveParams says which chunks of a manifest the sender holds.
	ChunksHaveParams struct {
		Instance InstanceID `json:"instance"`
		Manifest Digest     `json:"manifest"`
		// Have is a bit set in the order of the manifest's chunks, lowest bit first.
		Have []byte `json:"have"`
	}

	// ChunksHaveResult is the reply to ChunksHaveParams.
	ChunksHaveResult struct {
		// Have is a bit set of the chunks that the receiver holds.
		Have []byte `json:"have"`
	}
)
