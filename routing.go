package mulberryspool

import "time"

type (
	// Candidate is an agent as a Router knows it.
	Candidate struct {
		Instance      InstanceID
		FailureDomain string
		Region        string
		// Ready is false while the agent starts no new work.
		Ready bool
		Load  LoadReport
		// ReportedAt is when the load report was received.
		ReportedAt time.Time
	}

	// RoutingRequest is what a Router looks at.
	RoutingRequest struct {
		Workspace string
		// Prefix is the hash of the prompt's first part; 0 for none.
		Prefix uint64
		// Tokens estimates the size of the request.
		Tokens int
		Now    time.Time
		// Exclude lists agents that were tried already.
		Exclude []InstanceID
	}

	// RoutingResult says how a request at an agent ended.
	RoutingResult struct {
		Outcome Outcome
		// FirstByte is the time from start to first byte; 0 if none came.
		FirstByte time.Duration
		Tokens    int
		// CacheHit is what the backend server said of its prefix cache.
		CacheHit bool
		Now      time.Time
	}

	// Router chooses among the agents of one pool. It is a plain data
	// structure: it reads no clock and is used by one goroutine.
	Router interface {
		// Update adds an agent or takes over its newest heartbeat.
		Update(candidate Candidate)
		Remove(id InstanceID)
		// Choose returns false when no agent is ready.
		Choose(request RoutingRequest) (InstanceID, bool)
		// Started and Ended bracket each request that was sent to an agent.
		Started(id InstanceID, tokens int, now time.Time)
		Ended(id InstanceID, result RoutingResult)
	}
)
