package dispatch

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
)

// Effect is an action that the reducer asks its caller to carry out.
type Effect interface{ isEffect() }

type (
	// OpenConnection opens a connection and sends hello. The result is
	// ConnOpened or ConnFailed.
	OpenConnection struct {
		Conn     ConnID
		Instance mulberryspool.InstanceID
		Address  string
		// FailureDomain determines the suspicion timeout.
		FailureDomain string
	}
	// CloseConnection closes a connection. Later events of it are ignored.
	CloseConnection struct{ Conn ConnID }
	// CallStart asks an agent to run a request. The result is StartAnswered
	// or StartFailed.
	CallStart struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
		Params  mulberryspool.StartParams
		// Held is the memory of the body; nil if it is not accounted for.
		Held Held
	}
	// CallResolve asks an agent for the state of a request. The result is
	// ResolveAnswered or ResolveFailed.
	CallResolve struct {
		ID      mulberryspool.RequestID
		Conn    ConnID
		Attempt int
		Params  mulberryspool.ResolveParams
	}
	// CallCancel asks an agent to stop a request. It has no result.
	CallCancel struct {
		Conn   ConnID
		Params mulberryspool.CancelParams
	}
	// WriteClaim records the claim of an idempotency key before a dispatch. The
	// result is ClaimAnswered.
	WriteClaim struct {
		ID       mulberryspool.RequestID
		Attempt  int
		Expected *claims.Claim
		Next     claims.Claim
	}
	// WriteClaimOutcome records the outcome of a claimed request. It has no result.
	WriteClaimOutcome struct {
		Expected claims.Claim
		Next     claims.Claim
	}

	// CallerHead passes status and content type to the caller.
	CallerHead struct {
		ID          mulberryspool.RequestID
		Status      int
		ContentType string
	}
	// CallerData passes a part of the response body to the caller.
	CallerData struct {
		ID   mulberryspool.RequestID
		Data []byte
	}
	// CallerReset discards what was buffered of a response.
	CallerReset struct{ ID mulberryspool.RequestID }
	// CallerEnd completes a response.
	CallerEnd struct {
		ID      mulberryspool.RequestID
		Weights mulberryspool.Digest
		Version string
	}
	// CallerError ends a request whose response is not complete.
	CallerError struct {
		ID    mulberryspool.RequestID
		Error Error
	}

	// ReleaseBody returns the memory of a body that the reducer does not use any more.
	ReleaseBody struct{ Held Held }
	// RecordEvent adds an event to the timeline.
	RecordEvent struct{ Event mulberryspool.Event }
	// SetTimer asks for a TimerFired event at the given time and replaces the
	// previous timer.
	SetTimer struct{ At time.Time }
	// Stopped reports that no request is left after a Stop.
	Stopped struct{}
)

func (OpenConnection) isEffect()    {}
func (CloseConnection) isEffect()   {}
func (CallStart) isEffect()         {}
func (CallResolve) isEffect()       {}
func (CallCancel) isEffect()        {}
func (WriteClaim) isEffect()        {}
func (WriteClaimOutcome) isEffect() {}
func (CallerHead) isEffect()        {}
func (CallerData) isEffect()        {}
func (CallerReset) isEffect()       {}
func (CallerEnd) isEffect()         {}
func (CallerError) isEffect()       {}
func (ReleaseBody) isEffect()       {}
func (RecordEvent) isEffect()       {}
func (SetTimer) isEffect()          {}
func (Stopped) isEffect()           {}

// Code is the reason why a request ended without a complete response.
type Code string

// Error codes.
const (
	CodeNotReady              Code = "notReady"
	CodeStopping              Code = "stopping"
	CodeNoRoute               Code = "noRoute"
	CodeNoPool                Code = "noPool"
	CodeDuplicateID           Code = "duplicateRequestID"
	CodeOverload              Code = "overload"
	CodeNoAgent               Code = "noAgent"
	CodeDeadline              Code = "deadlineExceeded"
	CodeCallerDisconnected    Code = "callerLeft"
	CodeCallerTooSlow         Code = "callerTooSlow"
	CodeAnswerTooLarge        Code = "answerTooLarge"
	CodeAgentLost             Code = "agentLost"
	CodeAgentRestarted        Code = "agentRestarted"
	CodeAnswerMismatch        Code = "answerMismatch"
	CodeAnswerLost            Code = "answerLost"
	CodeBackendFailed         Code = "backendFailed"
	CodeClaimUnrecorded       Code = "claimNotRecorded"
	CodeKeyReused             Code = "idempotencyKeyReused"
	CodeAlreadyRan            Code = "alreadyRan"
	CodeEarlierOutcomeUnknown Code = "earlierOutcomeUnknown"
)

// Error is the error that a caller gets in place of a complete response.
type Error struct {
	// Outcome is notRun, unknown or failed.
	Outcome mulberryspool.Outcome
	Code    Code
	Message string
	// RetryAfter is a hint when to retry; 0 for none.
	RetryAfter time.Duration
}
