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
	// MethodManifestFetch lets an agent read a manifest while the object API is down.
	MethodManifestFetch = "manifests.fetch"
)

type (
	// Phase is how far an agent is with the version that its pool names.
	Phase string
	// Outcome says what is known of a request's execution.
	Outcome string
	// Refusal says why an agent did not start a request.
	Refusal string
	// ResolveState is an agent's knowledge of a request.
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
	// OutcomeDone means executed once, with a whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means not executed, now or later.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means executed at most once, with the answer lost.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the backend server answered with an error or broke off.
	OutcomeFailed Outcome = "failed"
)

// Reasons for which an agent does not start a request.
const (
	RefusalNotServing  Refusal = "notServing"
	RefusalLeaving     Refusal = "leaving"
	RefusalStale       Refusal = "stale"
	RefusalIncarnation Refusal = "incarnation"
	RefusalResolved    Refusal = "resolved"
	// RefusalDuplicate says that the agent accepted, or may have accepted, a
	// start with this ID before. It is the only refusal of a request that may
	// run or have run here.
	RefusalDuplicate Refusal = "duplicate"
	RefusalOverload  Refusal = "overload"
	RefusalExpired   Refusal = "expired"
	RefusalWrongPool Refusal = "wrongPool"
)

// States in the answer to a resolve.
const (
	ResolveRunning     ResolveState = "running"
	ResolveDone        ResolveState = "done"
	ResolveNeverSeen   ResolveState = "neverSeen"
	ResolveIncarnation ResolveState = "incarnation"
)

type (
	// HelloParams opens a connection.
	HelloParams struct {
		Identity Identity `json:"identity"`
		Revision Revision `json:"revision"`
	}

	// HelloResult answers HelloParams.
	HelloResult struct {
		Identity Identity  `json:"identity"`
		Status   Heartbeat `json:"status"`
	}

	// HeartbeatParams says which revision the sender has in force.
	HeartbeatParams struct {
		Instance InstanceID `json:"instance"`
		Revision Revision   `json:"revision"`
	}

	// Heartbeat is an agent's state as told to entries and other agents.
	Heartbeat struct {
		Incarnation Incarnation `json:"incarnation"`
		// AgentTime is the time since the agent's start on its monotonic
		// clock. Entries send it back with each start.
		AgentTime time.Duration `json:"agentTime"`
		// Phase is PhaseServing whenever requests may start, with the old
		// version too while a newer one is fetched.
		Phase Phase `json:"phase"`
		// Served is the digest that the engine read back; empty unless serving.
		Served Digest `json:"served,omitempty"`
		// ServedVersion is the version that Served belongs to.
		ServedVersion string `json:"servedVersion,omitempty"`
		// Target is the version that the agent works towards.
		Target string `json:"target,omitempty"`
		// FailedVersion is a version whose load failed in this pool.
		FailedVersion string     `json:"failedVersion,omitempty"`
		Load          LoadReport `json:"load"`
		Revision      Revision   `json:"revision"`
		Leaving       bool       `json:"leaving,omitempty"`
		// Settled is set while this agent and all before it in its chain of
		// the rolling update serve Target; its successor may then swap.
		Settled bool `json:"settled,omitempty"`
	}

	// LeavingParams tells connected entries that an agent takes no new work.
	LeavingParams struct {
		Instance    InstanceID  `json:"instance"`
		Incarnation Incarnation `json:"incarnation"`
	}

	// StartParams asks an agent to run a request.
	StartParams struct {
		RequestID RequestID `json:"requestID"`
		// Incarnation is the only run of the agent that may accept.
		Incarnation Incarnation `json:"incarnation"`
		// AgentTime is the newest that the entry has had from this agent.
		AgentTime time.Duration `json:"agentTime"`
		Route     string        `json:"route"`
		Pool      string        `json:"pool"`
		Workspace string        `json:"workspace,omitempty"`
		Priority  int           `json:"priority,omitempty"`
		// Remaining is the time left until the request's deadline.
		Remaining   time.Duration `json:"remaining"`
		Idempotent  bool          `json:"idempotent,omitempty"`
		Method      string        `json:"method"`
		Path        string        `json:"path"`
		ContentType string        `json:"contentType,omitempty"`
		Body        []byte        `json:"body,omitempty"`
	}

	// StartResult answers StartParams.
	StartResult struct {
		Accepted bool `json:"accepted"`
		// Refusal is set when Accepted is false; the request will never run
		// here, unless it is RefusalDuplicate.
		Refusal     Refusal     `json:"refusal,omitempty"`
		Incarnation Incarnation `json:"incarnation"`
	}

	// ChunkNotice carries a part of an answer.
	ChunkNotice struct {
		RequestID RequestID `json:"requestID"`
		// Offset counts the answer's bytes before Data.
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
		// Length counts all bytes of the answer.
		Length int64 `json:"length"`
		// Checksum is the XXH64 sum of all bytes of the answer.
		Checksum uint64 `json:"checksum,string"`
		// Weights is the digest that the engine read back at both ends of the answer.
		Weights Digest `json:"weights,omitempty"`
		Status  int    `json:"status,omitempty"`
		// ContentType repeats that of the first chunk, for answers without a body.
		ContentType string `json:"contentType,omitempty"`
		// Message says why the outcome is not done.
		Message string `json:"message,omitempty"`
	}

	// ResolveParams asks what became of a request and, unless it was never
	// seen, for the rest of its answer on this connection.
	ResolveParams struct {
		RequestID   RequestID   `json:"requestID"`
		Incarnation Incarnation `json:"incarnation"`
		// AgentTime is the one that the start carried.
		AgentTime time.Duration `json:"agentTime"`
		// Offset counts the answer's bytes that the entry has.
		Offset int64 `json:"offset"`
	}

	// ResolveResult answers ResolveParams.
	ResolveResult struct {
		State       ResolveState `json:"state"`
		Incarnation Incarnation  `json:"incarnation"`
	}

	// CancelParams asks an agent to stop a request.
	CancelParams struct {
		RequestID RequestID `json:"requestID"`
	}

	// TablesFetchParams asks for tables above a revision.
	TablesFetchParams struct {
		Above Revision `json:"above"`
	}

	// ManifestFetchParams asks for the manifest of a version; the answer is a
	// Manifest, with an empty version if the agent does not have it.
	ManifestFetchParams struct {
		Version string `json:"version"`
	}

	// ChunksHaveParams tells an agent which chunks of a manifest the sender holds.
	ChunksHaveParams struct {
		Instance InstanceID `json:"instance"`
		Manifest Digest     `json:"manifest"`
		// Have is a bit set in the order of the manifest's chunks, lowest bit first.
		Have []byte `json:"have"`
	}

	// ChunksHaveResult answers with the chunks that the receiver holds.
	ChunksHaveResult struct {
		Have []byte `json:"have"`
	}
)
