package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
)

var zeroTime time.Time

// RequestHash returns a hash of method, path and body, by which the reuse of an
// idempotency key for another request is detected.
func RequestHash(submission Submission) uint64 {
	sum := xxhash.New()
	for _, part := range [][]byte{[]byte(submission.Method), []byte(submission.Path), submission.Body} {
		_, _ = sum.Write(part)
		_, _ = sum.Write([]byte{0})
	}
	return sum.Sum64()
}

// writeClaim records that the selected agent may run the request, before the
// start is sent.
func (r *Reducer) writeClaim(q *request) {
	q.phase = phaseClaiming
	r.emit(WriteClaim{ID: q.submission.ID, Attempt: q.attempt, Expected: q.claim, Next: r.newClaim(q)})
}

func (r *Reducer) newClaim(q *request) claims.Claim {
	// The attempt number increases with each claim of the key, so that a
	// delayed write of an earlier claim never matches.
	attempt := 1
	if q.claim != nil {
		attempt = q.claim.Attempt + 1
	}
	return claims.Claim{
		Key: q.submission.IdempotencyKey, RequestID: q.submission.ID, Attempt: attempt, RequestHash: RequestHash(q.submission), Entry: r.Self.Instance,
		Agent: q.agent, Incarnation: q.incarnation, AgentTime: q.agentTime, ChangedAt: r.now,
	}
}

func (r *Reducer) handleClaimResult(e ClaimAnswered) {
	key := claimKey{e.ID, e.Attempt}
	if _, ok := r.abandonedClaims[key]; ok {
		delete(r.abandonedClaims, key)
		if e.Recorded {
			r.emit(WriteClaimOutcome{Expected: e.Stored, Next: withOutcome(e.Stored, mulberryspool.OutcomeNotRun, r.now)})
		}
		return
	}
	q := r.requests[e.ID]
	if q == nil || q.attempt != e.Attempt || q.phase != phaseClaiming {
		return
	}
	q.phase = phaseSelecting
	switch {
	case e.Recorded:
		current := e.Stored
		q.claim = &current
		r.recordEvent(r.newEvent(q, mulberryspool.EventSubmissionClaim, string(q.agent)))
		r.sendClaimedStart(q)
	case e.KeyInUse:
		r.handleKeyInUse(q, e.Stored)
	default:
		// Nothing is dispatched without a recorded claim. A later retry either
		// finds no claim, or resolves one whose request never reached its agent.
		message := "the claim could not be recorded"
		if e.Uncertain {
			message = "it is not known whether the claim was recorded"
		}
		r.fail(q, Error{Outcome: mulberryspool.OutcomeNotRun, Code: CodeClaimUnrecorded, Message: message, RetryAfter: time.Second})
	}
}

// sendClaimedStart sends the request to the agent named in its claim, or
// selects another one if that agent is no longer ready.
func (r *Reducer) sendClaimedStart(q *request) {
	a := r.agents[q.agent]
	if a != nil && a.ready() && a.identity.Incarnation == q.incarnation {
		r.sendStart(q, a)
		return
	}
	r.selectAgent(q)
}

// handleKeyInUse decides how to proceed with a request whose key is already
// claimed.
func (r *Reducer) handleKeyInUse(q *request, current claims.Claim) {
	if current.RequestHash != RequestHash(q.submission) {
		r.fail(q, Error{Outcome: mulberryspool.OutcomeNotRun, Code: CodeKeyReused,
			Message: "the idempotency key was used for a request with another body"})
		return
	}
	if q.claim != nil && q.claim.RequestID == q.submission.ID && current.RequestID != q.submission.ID {
		// A retry has resolved this request as never seen and claimed the key.
		r.fail(q, Error{Outcome: mulberryspool.OutcomeNotRun, Code: CodeKeyReused,
			Message: "a retry with the same idempotency key runs in place of this request", RetryAfter: time.Second})
		return
	}
	switch current.Outcome {
	case mulberryspool.OutcomeNotRun:
		q.claim = &current
		r.writeClaim(q)
	case mulberryspool.OutcomeUnknown:
		r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeEarlierOutcomeUnknown,
			Message: "the outcome of an earlier request with this key is unknown"})
	case mulberryspool.OutcomeFailed:
		r.fail(q, Error{Outcome: mulberryspool.OutcomeFailed, Code: CodeAlreadyRan,
			Message: "an earlier request with this key has run and failed"})
	default:
		r.attachToClaimHolder(q, current)
	}
}

// attachToClaimHolder makes the request read the response of the earlier
// request that claimed the key.
func (r *Reducer) attachToClaimHolder(q *request, current claims.Claim) {
	q.claim, q.attached, q.agentRequestID = &current, true, current.RequestID
	q.agent, q.incarnation, q.agentTime = current.Agent, current.Incarnation, current.AgentTime
	a := r.agents[q.agent]
	switch {
	case a == nil:
		r.failAttached(q, CodeAgentLost)
	case a.connected && a.identity.Incarnation != q.incarnation:
		r.failAttached(q, CodeAgentRestarted)
	case a.connected:
		r.bind(q, a)
		r.sendResolve(q)
	default:
		r.bind(q, a)
		q.phase, q.conn = phaseReconnecting, 0
		r.setPhaseTimeout(q, r.Settings.ResolveTimeout)
		r.openConnIfNeeded(a)
	}
}

// takeOver runs the request in place of an earlier one that never reached its
// agent.
func (r *Reducer) takeOver(q *request) {
	if q.claim.Outcome != "" || q.offset > 0 {
		r.failAttached(q, CodeAnswerLost)
		return
	}
	r.unbind(q, mulberryspool.OutcomeNotRun)
	q.attached, q.agentRequestID, q.sent = false, q.submission.ID, false
	q.resetResponse()
	q.phase = phaseSelecting
	r.selectAgent(q)
}

// failAttached fails an attached request whose response can't be obtained.
func (r *Reducer) failAttached(q *request, code Code) {
	if q.claim.Outcome == mulberryspool.OutcomeDone {
		r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeAlreadyRan,
			Message: "an earlier request with this key has run; its answer is no longer kept"})
		return
	}
	if code == CodeAgentRestarted {
		r.recordClaimOutcome(q, mulberryspool.OutcomeUnknown)
	}
	r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeEarlierOutcomeUnknown,
		Message: "an earlier request with this key may have run, and its agent can't be asked"})
}

// recordClaimOutcome records the outcome in the claim, unless the claim already
// has one, or belongs to an earlier request whose outcome this request doesn't
// know.
func (r *Reducer) recordClaimOutcome(q *request, outcome mulberryspool.Outcome) {
	if q.claim == nil || q.claim.Outcome != "" {
		return
	}
	if q.attached && outcome == mulberryspool.OutcomeNotRun {
		return
	}
	if !q.attached && q.claim.RequestID != q.submission.ID {
		return
	}
	next := withOutcome(*q.claim, outcome, r.now)
	if outcome == mulberryspool.OutcomeDone {
		next.AnswerSum, next.AnswerLength = q.checksum.Sum64(), q.offset
	}
	r.emit(WriteClaimOutcome{Expected: *q.claim, Next: next})
	q.claim = &next
}

func withOutcome(claim claims.Claim, outcome mulberryspool.Outcome, now time.Time) claims.Claim {
	claim.Outcome, claim.ChangedAt = outcome, now
	return claim
}

// reattachCaller handles a retry, under the same ID, of a keyed request that
// continues after its caller has disconnected. The retrying caller gets the
// response from the beginning.
func (r *Reducer) reattachCaller(q *request, submission Submission) {
	if !q.callerGone {
		return
	}
	if q.submission.IdempotencyKey != submission.IdempotencyKey || RequestHash(q.submission) != RequestHash(submission) {
		r.emit(CallerError{ID: submission.ID, Error: Error{Outcome: mulberryspool.OutcomeNotRun, Code: CodeDuplicateID,
			Message: "a request with this ID is in progress"}})
		return
	}
	q.callerGone, q.submission.Buffered = false, submission.Buffered
	if !q.headSent && q.offset == 0 {
		return
	}
	q.resetResponse()
	if q.conn != 0 {
		r.sendResolve(q)
	}
}
