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
	DefaultSubsetSize    = 16
	DefaultMaxRequests   = 4096
	DefaultMaxAttempts   = 3
	DefaultMaxResolves   = 8
	DefaultTimeout       = 5 * time.Minute
	DefaultResolveWindow = 10 * time.Second
	DefaultChooseWait    = 2 * time.Second
	DefaultBackoff       = 200 * time.Millisecond
	DefaultBackoffCap    = 5 * time.Second
	// DefaultNeverSeenTrust must stay below the agents' answerRetention.
	DefaultNeverSeenTrust = time.Minute
	// DefaultAgentCapacity is used for agents that report none.
	DefaultAgentCapacity = 64
	// DefaultHeadroom lets engines keep a queue as long as their batch.
	DefaultHeadroom = 2.0
	// admissionInterval is how often queued requests are looked at again.
	admissionInterval = 50 * time.Millisecond
	// firstTokenEstimate stands in until a pool has had a request.
	firstTokenEstimate = 256
	// maxLateCancels bounds the cancels kept for an agent without a connection.
	maxLateCancels = 1024
	// maxCancelFailures is after how many failed connections they are dropped.
	maxCancelFailures = 5
)

type (
	// Settings bound what the reducer does; zero values mean the defaults.
	Settings struct {
		// SubsetSize is the number of agents of each pool that the entry
		// keeps connections to.
		SubsetSize int
		// MaxRequests bounds the requests in progress, queued ones included.
		MaxRequests int
		// MaxAttempts bounds the agents that a request is sent to.
		MaxAttempts int
		// MaxResolves bounds the resolves of one attempt.
		MaxResolves int
		// Timeout is the deadline of requests on routes without one.
		Timeout time.Duration
		// ResolveWindow bounds the wait for a connection to the agent of a
		// dispatched request.
		ResolveWindow time.Duration
		// ChooseWait bounds the wait of an admitted request for a ready agent.
		ChooseWait time.Duration
		// Backoff and BackoffCap space the attempts to reach an agent.
		Backoff    time.Duration
		BackoffCap time.Duration
		// NeverSeenTrust is how long after a claimed dispatch an agent's
		// neverSeen is taken as proof that the request did not run.
		NeverSeenTrust time.Duration
		AgentCapacity  int
		// Headroom multiplies the reported capacities for admission.
		Headroom float64
	}

	phase int

	request struct {
		sub      Submission
		route    mulberryspool.Route
		pool     *pool
		phase    phase
		deadline time.Time
		// waitUntil bounds the wait in the present phase; zero for none.
		waitUntil time.Time
		// attempt counts the agents that the request was bound to.
		attempt     int
		agent       mulberryspool.InstanceID
		incarnation mulberryspool.Incarnation
		agentTime   time.Duration
		// version and served are what the agent served at the start.
		version string
		served  mulberryspool.Digest
		conn    ConnID
		// wire is the ID at the agent: that of the claim for an attached request.
		wire mulberryspool.RequestID
		// sent is set once the present attempt's start may have left.
		sent bool
		// accepted is set once the agent has said that it runs the request.
		accepted bool
		// mayHaveRun is set once an earlier attempt may have run the request.
		mayHaveRun bool
		resolves   int
		offset     int64
		sum        *xxhash.Digest
		head       bool
		tried      []triedAgent
		refusal    mulberryspool.Refusal
		claim      *claims.Claim
		// attached requests read the answer of an earlier one with the same key.
		attached bool
		// left is set when the caller is gone but the request goes on.
		left      bool
		started   time.Time
		firstByte time.Duration
	}

	triedAgent struct {
		instance    mulberryspool.InstanceID
		incarnation mulberryspool.Incarnation
	}

	pool struct {
		name      string
		router    mulberryspool.Router
		admission mulberryspool.Admission
		// routed holds the agents that the router knows.
		routed map[mulberryspool.InstanceID]bool
		// parked requests are admitted and wait for a ready agent, oldest first.
		parked []mulberryspool.RequestID
		queued int
		// ticking is set while a timer for the queue is pending.
		ticking bool
		// tokens is the moving average of the requests' estimates.
		tokens float64
		// listed is the number of agents in the instance list, chosen those in the subset.
		listed, chosen int
	}

	agent struct {
		identity mulberryspool.Identity
		// listed is set while the instance list has the agent as live.
		listed bool
		// wanted is set while the agent is in this entry's subset.
		wanted bool
		// leaving is final for an instance.
		leaving bool
		// blocked is set by a refusal until the next heartbeat.
		blocked bool
		// suspected is set from a silent or closed connection until the next opens.
		suspected bool
		conn      ConnID
		open      bool
		status    mulberryspool.Heartbeat
		statusAt  time.Time
		failures  int
		retryAt   time.Time
		// requests holds those bound to this agent.
		requests map[mulberryspool.RequestID]*request
		// cancels are sent when a connection opens.
		cancels []mulberryspool.RequestID
	}

	claimKey struct {
		id      mulberryspool.RequestID
		attempt int
	}
)

const (
	phaseQueued phase = iota
	phaseChoosing
	phaseClaiming
	phaseStarting
	phaseRunning
	phaseReconnecting
	phaseResolving
	phaseEnded
)

// withDefaults fills in zero values.
func (s Settings) withDefaults() Settings {
	s.SubsetSize = cmp.Or(s.SubsetSize, DefaultSubsetSize)
	s.MaxRequests = cmp.Or(s.MaxRequests, DefaultMaxRequests)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, DefaultMaxAttempts)
	s.MaxResolves = cmp.Or(s.MaxResolves, DefaultMaxResolves)
	s.Timeout = cmp.Or(s.Timeout, DefaultTimeout)
	s.ResolveWindow = cmp.Or(s.ResolveWindow, DefaultResolveWindow)
	s.ChooseWait = cmp.Or(s.ChooseWait, DefaultChooseWait)
	s.Backoff = cmp.Or(s.Backoff, DefaultBackoff)
	s.BackoffCap = cmp.Or(s.BackoffCap, DefaultBackoffCap)
	s.NeverSeenTrust = cmp.Or(s.NeverSeenTrust, DefaultNeverSeenTrust)
	s.AgentCapacity = cmp.Or(s.AgentCapacity, DefaultAgentCapacity)
	s.Headroom = cmp.Or(s.Headroom, DefaultHeadroom)
	return s
}

// ready reports whether the agent may get new work.
func (a *agent) ready() bool {
	return a.open && !a.leaving && !a.blocked && !a.suspected &&
		!a.status.Leaving && a.status.Phase == mulberryspool.PhaseServing
}

// reached reports whether a part of the answer may be with the caller.
func (q *request) reached() bool {
	return (q.head || q.offset > 0) && !q.sub.Buffered
}

func (q *request) clearAnswer() {
	q.offset, q.head = 0, false
	q.sum = xxhash.New()
}
