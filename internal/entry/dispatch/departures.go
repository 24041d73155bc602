package dispatch

import "github.com/mulberryspool/mulberryspool"

func (r *Reducer) callerLeft(id mulberryspool.RequestID) {
	q := r.requests[id]
	if q == nil || q.left {
		return
	}
	if q.sub.Key != "" && q.sent && !q.attached {
		// The answer is kept for a retry with the same key.
		q.left = true
		return
	}
	r.cancel(q)
	q.left = true
	r.fail(q, r.endedEarly(q, CodeCallerLeft, "the caller left"))
}

func (r *Reducer) callerStalled(id mulberryspool.RequestID) {
	q := r.requests[id]
	if q == nil || q.left {
		return
	}
	err := r.endedEarly(q, CodeCallerStalled, "the caller reads the answer too slowly")
	if q.sub.Buffered {
		err.Code, err.Message = CodeAnswerTooLarge, "the answer is larger than the entry collects"
	}
	if q.sub.Key != "" && q.sent && !q.attached {
		r.tell(q, CallerError{ID: id, Error: err})
		q.left = true
		return
	}
	r.cancel(q)
	r.fail(q, err)
}

func (r *Reducer) deadlinePassed(q *request) {
	r.cancel(q)
	r.fail(q, r.endedEarly(q, CodeDeadline, "the deadline passed"))
}

// endedEarly is notRun only if no start may be at an agent.
func (r *Reducer) endedEarly(q *request, code Code, message string) Error {
	outcome := mulberryspool.OutcomeNotRun
	if q.sent || q.attached {
		outcome = mulberryspool.OutcomeUnknown
	}
	return Error{Outcome: outcome, Code: code, Message: message}
}

// cancel asks the agent to stop, at once or when it is reached again.
func (r *Reducer) cancel(q *request) {
	if !q.sent || q.attached {
		return
	}
	if q.conn != 0 {
		r.emit(CallCancel{Conn: q.conn, Params: mulberryspool.CancelParams{RequestID: q.wire}})
		return
	}
	if a := r.agents[q.agent]; a != nil && len(a.cancels) < maxLateCancels {
		a.cancels = append(a.cancels, q.wire)
	}
}
