// Package dispatch is the request state machine of an entry: it decides which
// agent runs each request and what its caller receives.
//
//	Event --> Reducer.Step --> []Effect
//
//	queued -> selecting -> claiming -> starting -> running -> ended
//	              ^                        \          |
//	              |                         reconnecting -> resolving
//	              \--- refused, never seen, or idempotent ---/
//
// Only requests with an idempotency key are claimed. A request is bound to one
// connection of one agent incarnation at a time. Chunks and ends that arrive on
// another connection or at another offset are dropped. The reducer does no I/O
// and reads no clock.
package dispatch

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
)

// ConnID identifies a connection. The reducer assigns it and never reuses it.
type ConnID uint64

// Event is an input of the reducer.
type Event interface{ isEvent() }

type (
	// Held is memory that is accounted for. Release returns it, after as many further calls as
	// there were of Retain.
	Held interface {
		Retain()
		Release()
	}

	// Submission is a caller's request.
	Submission struct {
		ID          mulberryspool.RequestID
		Route       string
		Workspace   string
		Priority    int
		Method      string
		Path        string
		ContentType string
		Body        []byte
		// Held is the memory of Body, until ReleaseBody; nil if it is not accounted for.
		Held Held
		// IdempotencyKey is the Idempotency-Key, scoped to route and workspace; empty
		// for none.
		IdempotencyKey string
		// Prefix is the hash of the first part of the prompt; 0 for none.
		Prefix uint64
		// Tokens is the estimated size of the request.
		Tokens   int
		Deadline time.Time
		// Buffered is set if the caller receives nothing before the response
		// is complete.
		Buffered bool
	}

	// Submitted reports a caller's request.
	Submitted struct{ Submission Submission }
	// CallerDisconnected reports that the caller no longer waits for the response.
	CallerDisconnected struct{ ID mulberryspool.RequestID }
	// CallerTooSlow reports that the response buffer of a caller is full.
	CallerTooSlow struct{ ID mulberryspool.RequestID }

	// StartAnswered is an agent's reply to a start.
	StartAnswered struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
		Result  mulberryspool.StartResult
	}
	// StartFailed reports that a start got no reply. The request may run.
	StartFailed struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
	}
	// ChunkArrived is a part of a response.
	ChunkArrived struct {
		Conn   ConnID
		Notice mulberryspool.ChunkNotice
	}
	// EndArrived is the end of a response.
	EndArrived struct {
		Conn   ConnID
		Notice mulberryspool.EndNotice
	}
	// ResolveAnswered is an agent's reply to a resolve.
	ResolveAnswered struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
		Result  mulberryspool.ResolveResult
	}
	// ResolveFailed reports that a resolve got no reply.
	ResolveFailed struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
	}

	// ConnOpened reports that a connection is open and the agent replied to hello.
	ConnOpened struct {
		Conn  ConnID
		Hello mulberryspool.HelloResult
	}
	// ConnFailed reports that a connection could not be opened.
	ConnFailed struct {
		Conn   ConnID
		Reason string
	}
	// ConnTimedOut reports that nothing was received within the suspicion timeout.
	ConnTimedOut struct{ Conn ConnID }
	// ConnClosed reports that an open connection was closed.
	ConnClosed struct{ Conn ConnID }
	// HeartbeatArrived is an agent's heartbeat.
	HeartbeatArrived struct {
		Conn   ConnID
		Status mulberryspool.Heartbeat
	}
	// AgentLeaving reports that the agent on this connection accepts no new requests.
	AgentLeaving struct{ Conn ConnID }

	// InstancesListed is a new state of the platform's instance list.
	InstancesListed struct {
		Instances []mulberryspool.ListedInstance
	}
	// TablesChanged is a new revision of the tables.
	TablesChanged struct{ View mulberryspool.TablesView }
	// ClaimAnswered is the result of a WriteClaim effect. Exactly one of Recorded,
	// KeyInUse, Unavailable and Uncertain is set.
	ClaimAnswered struct {
		ID      mulberryspool.RequestID
		Attempt int
		// Stored is the stored claim; set with Recorded or KeyInUse.
		Stored      claims.Claim
		Recorded    bool
		KeyInUse    bool
		Unavailable bool
		Uncertain   bool
	}
	// TimerFired reports that the time of the last SetTimer effect was reached.
	TimerFired struct{}
	// Stop makes the reducer refuse new requests and finish those in progress.
	Stop struct{}
)

func (Submitted) isEvent()          {}
func (CallerDisconnected) isEvent() {}
func (CallerTooSlow) isEvent()      {}
func (StartAnswered) isEvent()      {}
func (StartFailed) isEvent()        {}
func (ChunkArrived) isEvent()       {}
func (EndArrived) isEvent()         {}
func (ResolveAnswered) isEvent()    {}
func (ResolveFailed) isEvent()      {}
func (ConnOpened) isEvent()         {}
func (ConnFailed) isEvent()         {}
func (ConnTimedOut) isEvent()       {}
func (ConnClosed) isEvent()         {}
func (HeartbeatArrived) isEvent()   {}
func (AgentLeaving) isEvent()       {}
func (InstancesListed) isEvent()    {}
func (TablesChanged) isEvent()      {}
func (ClaimAnswered) isEvent()      {}
func (TimerFired) isEvent()         {}
func (Stop) isEvent()               {}
