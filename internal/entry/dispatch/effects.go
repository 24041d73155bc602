package dispatch

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
)

// Effect is what the adapters do for the reducer.
type Effect interface{ isEffect() }

type (
	// OpenConnection asks for a connection and a hello; it is answered by
	// ConnOpened or ConnFailed.
	OpenConnection struct {
		Conn     ConnID
		Instance mulberryspool.InstanceID
		Address  string
		// FailureDomain chooses the suspicion timeout.
		FailureDomain string
	}
	// CloseConnection ends a connection; no event of it counts any more.
	CloseConnection struct{ Conn ConnID }
	// CallStart is answered by StartAnswered or StartFailed.
	CallStart struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
		Params  mulberryspool.StartParams
	}
	// CallResolve is answered by ResolveAnswered or ResolveFailed.
	CallResolve struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
		Params  mulberryspool.ResolveParams
	}
	// CallCancel asks the agent to stop a request; nothing answers it.
	CallCancel struct {
		Conn   ConnID
		Params mulberryspool.CancelParams
	}
	// Claim records a claim before a dispatch; it is answered by ClaimAnswered.
	Claim struct {
		ID       mulberryspool.RequestID
		Attempt  int
		Expected *claims.Claim
		Next     claims.Claim
	}
	// EndClaim records an outcome; nothing answers it.
	EndClaim struct {
		Expected claims.Claim
		Next     claims.Claim
	}

	// CallerHead writes status and content type.
	CallerHead struct {
		ID          mulberryspool.RequestID
		Status      int
		ContentType string
	}
	// CallerBytes writes a part of the answer.
	CallerBytes struct {
		ID   mulberryspool.RequestID
		Data []byte
	}
	// CallerReset drops the head and bytes of a buffered answer.
	CallerReset struct{ ID mulberryspool.RequestID }
	// CallerEnd ends a whole answer.
	CallerEnd struct {
		ID      mulberryspool.RequestID
		Weights mulberryspool.Digest
		Version string
	}
	// CallerError ends a request without a whole answer.
	CallerError struct {
		ID    mulberryspool.RequestID
		Error Error
	}

	// RecordEvent puts an event on the time line.
	RecordEvent struct{ Event mulberryspool.Event }
	// SetTimer asks for a Tick at the given time, in place of any earlier one.
	SetTimer struct{ At time.Time }
	// Stopped says that a stopping reducer has no request left.
	Stopped struct{}
)

func (OpenConnection) isEffect()  {}
func (CloseConnection) isEffect() {}
func (CallStart) isEffect()       {}
func (CallResolve) isEffect()     {}
func (CallCancel) isEffect()      {}
func (Claim) isEffect()           {}
func (EndClaim) isEffect()        {}
func (CallerHead) isEffect()      {}
func (CallerBytes) isEffect()     {}
func (CallerReset) isEffect()     {}
func (CallerEnd) isEffect()       {}
func (CallerError) isEffect()     {}
func (RecordEvent) isEffect()     {}
func (SetTimer) isEffect()        {}
func (Stopped) isEffect()         {}

// Code says precisely why a request ended without a whole answer.
type Code string

// Codes of errors.
const (
	CodeNotReady        Code = "notReady"
	CodeStopping        Code = "stopping"
	CodeNoRoute         Code = "noRoute"
	CodeNoPool          Code = "noPool"
	CodeDuplicateID     Code = "duplicateRequestID"
	CodeOverload        Code = "overload"
	CodeNoAgent         Code = "noAgent"
	CodeDeadline        Code = "deadlineExceeded"
	CodeCallerLeft      Code = "callerLeft"
	CodeCallerStalled   Code = "callerTooSlow"
	CodeAnswerTooLarge  Code = "answerTooLarge"
	CodeAgentLost       Code = "agentLost"
	CodeAgentRestarted  Code = "agentRestarted"
	CodeAnswerMismatch  Code = "answerMismatch"
	CodeAnswerLost      Code = "answerLost"
	CodeBackendFailed   Code = "backendFailed"
	CodeClaimUnrecorded Code = "claimNotRecorded"
	CodeKeyReused       Code = "idempotencyKeyReused"
	CodeAlreadyRan      Code = "alreadyRan"
	CodeKeyUnknown      Code = "earlierOutcomeUnknown"
)

// Error is what a caller is told of a request without a whole answer.
type Error struct {
	// Outcome is notRun, unknown or failed.
	Outcome mulberryspool.Outcome
	Code    Code
	Message string
	// RetryAfter is a hint; 0 for none.
	RetryAfter time.Duration
}
