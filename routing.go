package mulberryspool

import "time"

type (
	// Candidate is an agent that a Router may choose.
	Candidate struct {
		Instance      InstanceID
		FailureDomain string
		Region        string
		// Ready is false while the agent accepts no new requests.
		Ready bool
		Load  LoadReport
		// ReportedAt is when the load report was received.
		ReportedAt time.Time
	}

	// RoutingRequest describes a request to a Router.
	RoutingRequest struct {
		Workspace string
		// Prefix is the hash of the prompt's prefix; 0 for none.
		Prefix uint64
		// Tokens estimates the size of the request.
		Tokens int
		Now    time.Time
		// Exclude lists agents to which the request was sent already.
		Exclude []InstanceID
	}

	// RoutingResult is the result of a request at an agent.
	RoutingResult struct {
		Outcome Outcome
		// FirstByte is the time from the start to the first byte; 0 if none arrived.
		FirstByte time.Duration
		Tokens    int
		// CacheHit is set if the backend server reported a prefix cache hit.
		CacheHit bool
		Now      time.Time
	}

	// Router chooses among the agents of one pool. It does no I/O, reads no clock
	// and is not safe for concurrent use.
	Router interface {
		// Update adds an agent or replaces its state by that of a newer heartbeat.
		Update(candidate Candidate)
		Remove(id InstanceID)
		// Choose returns false if no agent is ready.
		Choose(request RoutingRequest) (InstanceID, bool)
		// RecordStart and RecordEnd record the start and the end of each request sent
		// to an agent.
		RecordStart(id InstanceID, tokens int, now time.Time)
		RecordEnd(id InstanceID, result RoutingResult)
	}
)
