package dispatch

import "github.com/mulberryspool/mulberryspool"

// handleCallerDisconnected cancels a request whose caller has disconnected,
// unless it is keyed and may be running already.
func (r *Reducer) handleCallerDisconnected(id mulberryspool.RequestID) {
	q := r.requests[id]
	if q == nil || q.callerGone {
		return
	}
	if q.submission.IdempotencyKey != "" && q.sent && !q.attached {
		// The request goes on, so that a retry with the same key can read its
		// response.
		q.callerGone = true
		return
	}
	r.cancel(q)
	q.callerGone = true
	r.fail(q, r.abortError(q, CodeCallerDisconnected, "the caller left"))
}

// handleCallerTooSlow ends a response that the caller reads too slowly, or
// that is too large to be buffered.
func (r *Reducer) handleCallerTooSlow(id mulberryspool.RequestID) {
	q := r.requests[id]
	if q == nil || q.callerGone {
		return
	}
	err := r.abortError(q, CodeCallerTooSlow, "the caller reads the answer too slowly")
	if q.submission.Buffered {
		err.Code, err.Message = CodeAnswerTooLarge, "the answer is larger than the entry collects"
	}
	if q.submission.IdempotencyKey != "" && q.sent && !q.attached {
		r.notifyCaller(q, CallerError{ID: id, Error: err})
		q.callerGone = true
		return
	}
	r.cancel(q)
	r.fail(q, err)
}

func (r *Reducer) deadlinePassed(q *request) {
	r.cancel(q)
	r.fail(q, r.abortError(q, CodeDeadline, "the deadline passed"))
}

// abortError returns the error for a request that is ended before its
// response is complete. The outcome is notRun only if no agent may be running
// the request.
func (r *Reducer) abortError(q *request, code Code, message string) Error {
	outcome := mulberryspool.OutcomeNotRun
	if q.sent || q.attached {
		outcome = mulberryspool.OutcomeUnknown
	}
	return Error{Outcome: outcome, Code: code, Message: message}
}

// cancel asks the agent to stop the request, now or when the next
// connection opens.
func (r *Reducer) cancel(q *request) {
	if !q.sent || q.attached {
		return
	}
	if q.conn != 0 {
		r.emit(CallCancel{Conn: q.conn, Params: mulberryspool.CancelParams{RequestID: q.agentRequestID}})
		return
	}
	if a := r.agents[q.agent]; a != nil && len(a.pendingCancels) < maxPendingCancels {
		a.pendingCancels = append(a.pendingCancels, q.agentRequestID)
	}
}
