package dispatch

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
)

// Defaults of Settings.
const (
	DefaultSubsetSize        = 16
	DefaultMaxRequests       = 4096
	DefaultMaxAttempts       = 3
	DefaultMaxResolves       = 8
	DefaultTimeout           = 5 * time.Minute
	DefaultResolveTimeout    = 10 * time.Second
	DefaultReadyAgentTimeout = 2 * time.Second
	DefaultBackoff           = 200 * time.Millisecond
	DefaultMaxBackoff        = 5 * time.Second
	// DefaultNeverSeenValidity must stay below the agents' answerRetention:
	// an agent that has dropped a response also reports neverSeen.
	DefaultNeverSeenValidity = time.Minute
	// DefaultAgentCapacity is assumed for agents that report no capacity.
	DefaultAgentCapacity = 64
	// DefaultOvercommitFactor admits enough requests for each engine to keep
	// a queue as long as its batch.
	DefaultOvercommitFactor = 2.0
	// admissionInterval is the time between two checks of a pool's queue.
	admissionInterval = 50 * time.Millisecond
	// initialTokenEstimate is the average request size assumed for a new pool.
	initialTokenEstimate = 256
	// maxPendingCancels bounds the cancels queued for an agent without a connection.
	maxPendingCancels = 1024
	// maxDialFailuresForCancels is the number of failed dials in a row beyond
	// which the queued cancels are dropped.
	maxDialFailuresForCancels = 5
)

type (
	// Settings are the limits and timeouts of a Reducer. A zero value selects
	// the default.
	Settings struct {
		// SubsetSize is the number of agents of each pool that the entry
		// stays connected to.
		SubsetSize int
		// MaxRequests bounds the requests in progress, including queued ones.
		MaxRequests int
		// MaxAttempts bounds the number of agents that a request is sent to.
		MaxAttempts int
		// MaxResolves bounds the resolve calls of one attempt.
		MaxResolves int
		// Timeout applies to requests on routes that set none.
		Timeout time.Duration
		// ResolveTimeout bounds the time to reconnect to the agent of a
		// dispatched request, and the time to get a reply to each resolve.
		ResolveTimeout time.Duration
		// ReadyAgentTimeout bounds how long an admitted request waits for a
		// ready agent.
		ReadyAgentTimeout time.Duration
		// Backoff is the initial delay before a failed dial is retried. It
		// doubles with each failure up to MaxBackoff.
		Backoff    time.Duration
		MaxBackoff time.Duration
		// NeverSeenValidity is how long after a dispatch an agent's neverSeen
		// is accepted as proof that the request did not run.
		NeverSeenValidity time.Duration
		// AgentCapacity is assumed for agents that report no capacity.
		AgentCapacity int
		// OvercommitFactor multiplies the reported capacities to get the
		// admission limit.
		OvercommitFactor float64
	}

	// phase is the state of a request; see the diagram in the package comment.
	phase int

	// request is a caller's request from its submission to its end.
	request struct {
		submission Submission
		route      mulberryspool.Route
		pool       *pool
		phase      phase
		deadline   time.Time
		// phaseDeadline bounds the current phase; zero for no bound.
		phaseDeadline time.Time
		// attempt counts the agents selected for the request so far.
		attempt     int
		agent       mulberryspool.InstanceID
		incarnation mulberryspool.Incarnation
		agentTime   time.Duration
		// servedVersion and servedDigest are what the agent served when the
		// start was sent.
		servedVersion string
		servedDigest  mulberryspool.Digest
		conn          ConnID
		// agentRequestID is the request ID that the agent knows. For an
		// attached request it is the ID in the claim.
		agentRequestID mulberryspool.RequestID
		// sent is set once the start of the current attempt may have been sent.
		sent bool
		// accepted is set once the agent has confirmed that it runs the request.
		accepted bool
		// mayHaveRun is set once an earlier attempt may have run the request.
		mayHaveRun   bool
		resolveCount int
		offset       int64
		checksum     *xxhash.Digest
		headSent     bool
		tried        []triedAgent
		refusal      mulberryspool.Refusal
		claim        *claims.Claim
		// attached requests read the response of an earlier request with the
		// same idempotency key.
		attached bool
		// callerGone is set when the caller has disconnected while the request
		// continues.
		callerGone      bool
		startedAt       time.Time
		timeToFirstByte time.Duration
	}

	// triedAgent is an agent incarnation that a request was sent to.
	triedAgent struct {
		instance    mulberryspool.InstanceID
		incarnation mulberryspool.Incarnation
	}

	// pool holds the routing and admission state of one pool.
	pool struct {
		name      string
		router    mulberryspool.Router
		admission mulberryspool.Admission
		// candidates holds the agents that the router was told about.
		candidates map[mulberryspool.InstanceID]bool
		// parked holds the admitted requests that wait for a ready agent,
		// oldest first.
		parked []mulberryspool.RequestID
		// queuedCount is the number of requests that wait for admission.
		queuedCount int
		// queueTimerSet is set while a timer for the next check of the queue
		// is pending.
		queueTimerSet bool
		// averageTokens is the moving average of the requests' token estimates.
		averageTokens float64
		// listedCount is the number of live agents in the instance list,
		// subsetCount the number of those in this entry's subset.
		listedCount, subsetCount int
	}

	// agent is the entry's view of one agent.
	agent struct {
		identity mulberryspool.Identity
		// listed is set while the instance list reports the agent as live.
		listed bool
		// inSubset is set while the agent is in this entry's subset.
		inSubset bool
		// leaving is set once the agent has announced that it shuts down. It
		// is reset only by a new incarnation.
		leaving bool
		// awaitingHeartbeat is set by a refusal that shows the known status to
		// be outdated, until the next heartbeat.
		awaitingHeartbeat bool
		// suspected is set when a connection goes silent or closes, until the
		// next one opens.
		suspected        bool
		conn             ConnID
		connected        bool
		status           mulberryspool.Heartbeat
		statusReceivedAt time.Time
		dialFailures     int
		redialAt         time.Time
		// requests holds the requests bound to this agent.
		requests map[mulberryspool.RequestID]*request
		// pendingCancels are sent when the next connection opens.
		pendingCancels []mulberryspool.RequestID
	}

	// claimKey identifies a pending claim write.
	claimKey struct {
		id      mulberryspool.RequestID
		attempt int
	}
)

const (
	phaseQueued phase = iota
	phaseSelecting
	phaseClaiming
	phaseStarting
	phaseRunning
	phaseReconnecting
	phaseResolving
	phaseEnded
)

// withDefaults replaces zero values with the defaults.
func (s Settings) withDefaults() Settings {
	s.SubsetSize = cmp.Or(s.SubsetSize, DefaultSubsetSize)
	s.MaxRequests = cmp.Or(s.MaxRequests, DefaultMaxRequests)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, DefaultMaxAttempts)
	s.MaxResolves = cmp.Or(s.MaxResolves, DefaultMaxResolves)
	s.Timeout = cmp.Or(s.Timeout, DefaultTimeout)
	s.ResolveTimeout = cmp.Or(s.ResolveTimeout, DefaultResolveTimeout)
	s.ReadyAgentTimeout = cmp.Or(s.ReadyAgentTimeout, DefaultReadyAgentTimeout)
	s.Backoff = cmp.Or(s.Backoff, DefaultBackoff)
	s.MaxBackoff = cmp.Or(s.MaxBackoff, DefaultMaxBackoff)
	s.NeverSeenValidity = cmp.Or(s.NeverSeenValidity, DefaultNeverSeenValidity)
	s.AgentCapacity = cmp.Or(s.AgentCapacity, DefaultAgentCapacity)
	s.OvercommitFactor = cmp.Or(s.OvercommitFactor, DefaultOvercommitFactor)
	return s
}

// ready reports whether new requests may be sent to the agent.
func (a *agent) ready() bool {
	return a.connected && !a.leaving && !a.awaitingHeartbeat && !a.suspected &&
		!a.status.Leaving && a.status.Phase == mulberryspool.PhaseServing
}

// partlyDelivered reports whether the caller may have received a part of the
// response. A buffered response reaches the caller only when it is complete.
func (q *request) partlyDelivered() bool {
	return (q.headSent || q.offset > 0) && !q.submission.Buffered
}

// resetResponse discards the record of what was received of the response.
func (q *request) resetResponse() {
	q.offset, q.headSent = 0, false
	q.checksum = xxhash.New()
}
