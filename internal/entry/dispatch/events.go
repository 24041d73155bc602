// Package dispatch is the entry's reducer: it decides where each request
// runs and what its caller gets.
//
//	Event --> Reducer.Step --> []Effect
//
//	queued -> choosing -> claiming -> starting -> running -> ended
//	              ^                        \          |
//	              |                         reconnecting -> resolving
//	              \--- refused, never seen, or idempotent ---/
//
// A request is bound to one connection of one agent incarnation at a time.
// Chunks and ends that come on another connection or at another offset are
// dropped. The reducer does no I/O and reads no clock.
package dispatch

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
)

// ConnID names a connection; the reducer gives it out and never uses it again.
type ConnID uint64

// Event is what happened outside the reducer.
type Event interface{ isEvent() }

type (
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
		// Key scopes the Idempotency-Key to route and workspace; empty for none.
		Key string
		// Prefix is the hash of the prompt's first part; 0 for none.
		Prefix uint64
		// Tokens estimates the size of the request.
		Tokens   int
		Deadline time.Time
		// Buffered is set when nothing reaches the caller before the end.
		Buffered bool
	}

	// Submitted brings a caller's request.
	Submitted struct{ Submission Submission }
	// CallerLeft says that nobody waits for the answer any more.
	CallerLeft struct{ ID mulberryspool.RequestID }
	// CallerStalled says that the caller reads too slowly for its buffer.
	CallerStalled struct{ ID mulberryspool.RequestID }

	// StartAnswered brings an agent's reply to a start.
	StartAnswered struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
		Result  mulberryspool.StartResult
	}
	// StartFailed says that a start got no reply; it may have been executed.
	StartFailed struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
	}
	// ChunkArrived brings a part of an answer.
	ChunkArrived struct {
		Conn   ConnID
		Notice mulberryspool.ChunkNotice
	}
	// EndArrived brings the end of an answer.
	EndArrived struct {
		Conn   ConnID
		Notice mulberryspool.EndNotice
	}
	// ResolveAnswered brings an agent's reply to a resolve.
	ResolveAnswered struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
		Result  mulberryspool.ResolveResult
	}
	// ResolveFailed says that a resolve got no reply.
	ResolveFailed struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
	}

	// ConnOpened says that a connection is open and the agent answered hello.
	ConnOpened struct {
		Conn  ConnID
		Hello mulberryspool.HelloResult
	}
	// ConnFailed says that a connection could not be opened.
	ConnFailed struct {
		Conn   ConnID
		Reason string
	}
	// ConnSilent says that nothing came within the suspicion timeout.
	ConnSilent struct{ Conn ConnID }
	// ConnClosed says that an open connection ended.
	ConnClosed struct{ Conn ConnID }
	// HeartbeatArrived brings an agent's state.
	HeartbeatArrived struct {
		Conn   ConnID
		Status mulberryspool.Heartbeat
	}
	// AgentLeaving says that the agent on this connection takes no new work.
	AgentLeaving struct{ Conn ConnID }

	// InstancesListed brings the platform's instance list.
	InstancesListed struct {
		Instances []mulberryspool.ListedInstance
	}
	// TablesChanged brings the tables in force.
	TablesChanged struct{ View mulberryspool.TablesView }
	// ClaimAnswered brings the result of a Claim effect. Exactly one of
	// Recorded, Taken, Unavailable and Uncertain is set.
	ClaimAnswered struct {
		ID      mulberryspool.RequestID
		Attempt int
		// Present is the claim as recorded; valid with Recorded and Taken.
		Present     claims.Claim
		Recorded    bool
		Taken       bool
		Unavailable bool
		Uncertain   bool
	}
	// Tick says that the time of a SetTimer effect has come.
	Tick struct{}
	// Stop asks to refuse new requests and to finish those in flight.
	Stop struct{}
)

func (Submitted) isEvent()        {}
func (CallerLeft) isEvent()       {}
func (CallerStalled) isEvent()    {}
func (StartAnswered) isEvent()    {}
func (StartFailed) isEvent()      {}
func (ChunkArrived) isEvent()     {}
func (EndArrived) isEvent()       {}
func (ResolveAnswered) isEvent()  {}
func (ResolveFailed) isEvent()    {}
func (ConnOpened) isEvent()       {}
func (ConnFailed) isEvent()       {}
func (ConnSilent) isEvent()       {}
func (ConnClosed) isEvent()       {}
func (HeartbeatArrived) isEvent() {}
func (AgentLeaving) isEvent()     {}
func (InstancesListed) isEvent()  {}
func (TablesChanged) isEvent()    {}
func (ClaimAnswered) isEvent()    {}
func (Tick) isEvent()             {}
func (Stop) isEvent()             {}
