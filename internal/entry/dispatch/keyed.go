package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
)

var zeroTime time.Time

// BodySum identifies what a keyed submission asks for.
func BodySum(sub Submission) uint64 {
	sum := xxhash.New()
	for _, part := range [][]byte{[]byte(sub.Method), []byte(sub.Path), sub.Body} {
		_, _ = sum.Write(part)
		_, _ = sum.Write([]byte{0})
	}
	return sum.Sum64()
}

// claim records that the chosen agent may run the request, before it is asked to.
func (r *Reducer) claim(q *request) {
	q.phase = phaseClaiming
	r.emit(Claim{ID: q.sub.ID, Attempt: q.attempt, Expected: q.claim, Next: r.ownClaim(q)})
}

func (r *Reducer) ownClaim(q *request) claims.Claim {
	// The attempt rises along the key's claims, so that a late write of an
	// earlier one never matches.
	attempt := 1
	if q.claim != nil {
		attempt = q.claim.Attempt + 1
	}
	return claims.Claim{
		Key: q.sub.Key, RequestID: q.sub.ID, Attempt: attempt, Body: BodySum(q.sub), Entry: r.Self.Instance,
		Agent: q.agent, Incarnation: q.incarnation, AgentTime: q.agentTime, Changed: r.now,
	}
}

func (r *Reducer) claimAnswered(e ClaimAnswered) {
	key := claimKey{e.ID, e.Attempt}
	if _, ok := r.abandoned[key]; ok {
		delete(r.abandoned, key)
		if e.Recorded {
			r.emit(EndClaim{Expected: e.Present, Next: ended(e.Present, mulberryspool.OutcomeNotRun, r.now)})
		}
		return
	}
	q := r.requests[e.ID]
	if q == nil || q.attempt != e.Attempt || q.phase != phaseClaiming {
		return
	}
	q.phase = phaseChoosing
	switch {
	case e.Recorded:
		present := e.Present
		q.claim = &present
		r.record(r.event(q, mulberryspool.EventSubmissionClaim, string(q.agent)))
		r.startClaimed(q)
	case e.Taken:
		r.keyTaken(q, e.Present)
	default:
		// Without a recorded claim nothing was dispatched, and a later retry
		// either finds no claim or resolves one whose request never arrived.
		message := "the claim could not be recorded"
		if e.Uncertain {
			message = "it is not known whether the claim was recorded"
		}
		r.fail(q, Error{Outcome: mulberryspool.OutcomeNotRun, Code: CodeClaimUnrecorded, Message: message, RetryAfter: time.Second})
	}
}

// startClaimed dispatches to the agent that the claim names, if it is still there.
func (r *Reducer) startClaimed(q *request) {
	a := r.agents[q.agent]
	if a != nil && a.ready() && a.identity.Incarnation == q.incarnation {
		r.start(q, a)
		return
	}
	r.choose(q)
}

// keyTaken decides what a repeated key gets.
func (r *Reducer) keyTaken(q *request, present claims.Claim) {
	if present.Body != BodySum(q.sub) {
		r.fail(q, Error{Outcome: mulberryspool.OutcomeNotRun, Code: CodeKeyReused,
			Message: "the idempotency key was used for a request with another body"})
		return
	}
	if q.claim != nil && q.claim.RequestID == q.sub.ID && present.RequestID != q.sub.ID {
		// A retry has resolved this request as never seen and taken over its key.
		r.fail(q, Error{Outcome: mulberryspool.OutcomeNotRun, Code: CodeKeyReused,
			Message: "a retry with the same idempotency key runs in place of this request", RetryAfter: time.Second})
		return
	}
	switch present.Outcome {
	case mulberryspool.OutcomeNotRun:
		q.claim = &present
		r.claim(q)
	case mulberryspool.OutcomeUnknown:
		r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeKeyUnknown,
			Message: "the outcome of an earlier request with this key is unknown"})
	case mulberryspool.OutcomeFailed:
		r.fail(q, Error{Outcome: mulberryspool.OutcomeFailed, Code: CodeAlreadyRan,
			Message: "an earlier request with this key has run and failed"})
	default:
		r.attach(q, present)
	}
}

// attach reads the answer of the request that holds the key.
func (r *Reducer) attach(q *request, present claims.Claim) {
	q.claim, q.attached, q.wire = &present, true, present.RequestID
	q.agent, q.incarnation, q.agentTime = present.Agent, present.Incarnation, present.AgentTime
	a := r.agents[q.agent]
	switch {
	case a == nil:
		r.loseAttached(q, CodeAgentLost)
	case a.open && a.identity.Incarnation != q.incarnation:
		r.loseAttached(q, CodeAgentRestarted)
	case a.open:
		r.bind(q, a)
		r.resolve(q)
	default:
		r.bind(q, a)
		q.phase, q.conn = phaseReconnecting, 0
		r.setWait(q, r.Settings.ResolveWindow)
		r.ensureConn(a)
	}
}

// takeOver runs the request in place of one that never arrived at its agent.
func (r *Reducer) takeOver(q *request) {
	if q.claim.Outcome != "" || q.offset > 0 {
		r.loseAttached(q, CodeAnswerLost)
		return
	}
	r.unbind(q, mulberryspool.OutcomeNotRun)
	q.attached, q.wire, q.sent = false, q.sub.ID, false
	q.clearAnswer()
	q.phase = phaseChoosing
	r.choose(q)
}

// loseAttached ends a repeated key whose answer can't be had.
func (r *Reducer) loseAttached(q *request, code Code) {
	if q.claim.Outcome == mulberryspool.OutcomeDone {
		r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeAlreadyRan,
			Message: "an earlier request with this key has run; its answer is no longer kept"})
		return
	}
	if code == CodeAgentRestarted {
		r.endClaim(q, mulberryspool.OutcomeUnknown)
	}
	r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeKeyUnknown,
		Message: "an earlier request with this key may have run, and its agent can't be asked"})
}

// endClaim records the outcome, unless the claim has one or is another's
// that this request has not read to its end.
func (r *Reducer) endClaim(q *request, outcome mulberryspool.Outcome) {
	if q.claim == nil || q.claim.Outcome != "" {
		return
	}
	if q.attached && outcome == mulberryspool.OutcomeNotRun {
		return
	}
	if !q.attached && q.claim.RequestID != q.sub.ID {
		return
	}
	next := ended(*q.claim, outcome, r.now)
	if outcome == mulberryspool.OutcomeDone {
		next.Answer, next.Length = q.sum.Sum64(), q.offset
	}
	r.emit(EndClaim{Expected: *q.claim, Next: next})
	q.claim = &next
}

func ended(claim claims.Claim, outcome mulberryspool.Outcome, now time.Time) claims.Claim {
	claim.Outcome, claim.Changed = outcome, now
	return claim
}

// submitAgain gives the answer of a keyed request whose caller has left to
// the caller who repeats it under the same ID.
func (r *Reducer) submitAgain(q *request, sub Submission) {
	if !q.left {
		return
	}
	if q.sub.Key != sub.Key || BodySum(q.sub) != BodySum(sub) {
		r.emit(CallerError{ID: sub.ID, Error: Error{Outcome: mulberryspool.OutcomeNotRun, Code: CodeDuplicateID,
			Message: "a request with this ID is in progress"}})
		return
	}
	q.left, q.sub.Buffered = false, sub.Buffered
	if !q.head && q.offset == 0 {
		return
	}
	q.clearAnswer()
	if q.conn != 0 {
		r.resolve(q)
	}
}
