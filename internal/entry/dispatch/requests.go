package dispatch

import (
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// tokenAverageWeight is the weight of a new request in a pool's moving average
// of token estimates.
const tokenAverageWeight = 0.05

// handleSubmission checks a caller's request and offers it to the admission
// control of its pool.
func (r *Reducer) handleSubmission(submission Submission) {
	refuse := func(code Code, message string, retryAfter time.Duration) {
		r.releaseBody(submission)
		r.emit(CallerError{ID: submission.ID, Error: Error{Outcome: mulberryspool.OutcomeNotRun, Code: code, Message: message, RetryAfter: retryAfter}})
	}
	if q := r.requests[submission.ID]; q != nil {
		// The callers package rejects a request ID that is in progress, unless
		// the caller of the first request has disconnected.
		r.reattachCaller(q, submission)
		r.releaseBody(submission)
		return
	}
	if r.tablesView.Tables == nil {
		refuse(CodeNotReady, "no tables revision is confirmed yet", time.Second)
		return
	}
	if r.stopping {
		refuse(CodeStopping, "this entry is stopping", time.Second)
		return
	}
	if len(r.requests) >= r.Settings.MaxRequests {
		refuse(CodeOverload, "this entry has as many requests in progress as it may", time.Second)
		return
	}
	route, ok := r.tablesView.Tables.Route(submission.Route)
	if !ok {
		refuse(CodeNoRoute, "no route is named "+submission.Route, 0)
		return
	}
	p := r.pools[poolOf(route, submission.ID)]
	if p == nil {
		refuse(CodeNoPool, "the route's pool is not in the tables", 0)
		return
	}
	q := &request{submission: submission, route: route, pool: p, agentRequestID: submission.ID}
	q.resetResponse()
	timeout := route.Timeout
	if timeout == 0 {
		timeout = r.Settings.Timeout
	}
	q.deadline = r.now.Add(timeout)
	if !submission.Deadline.IsZero() && submission.Deadline.Before(q.deadline) {
		q.deadline = submission.Deadline
	}
	p.averageTokens += tokenAverageWeight * (float64(max(1, submission.Tokens)) - p.averageTokens)
	decision := p.admission.Offer(mulberryspool.AdmissionRequest{
		ID: submission.ID, Workspace: submission.Workspace, Priority: submission.Priority, Tokens: submission.Tokens, Deadline: q.deadline,
	}, r.now)
	if !decision.Admitted && !decision.Queued {
		refuse(CodeOverload, "refused by admission: "+decision.Reason, decision.RetryAfter)
		return
	}
	r.requests[submission.ID] = q
	r.addTimer(timer{due: q.deadline, request: submission.ID})
	if decision.Queued {
		q.phase = phaseQueued
		p.queuedCount++
		r.scheduleQueueCheck(p)
		return
	}
	r.admit(q)
}

func (r *Reducer) admit(q *request) {
	r.recordEvent(r.newEvent(q, mulberryspool.EventRequestAdmitted, ""))
	q.phase = phaseSelecting
	r.selectAgent(q)
}

// processQueue dispatches the queued requests that are admitted by now and
// fails those that can no longer meet their deadline.
func (r *Reducer) processQueue(p *pool) {
	if p.queuedCount == 0 {
		return
	}
	admitted, expired := p.admission.Next(r.now)
	for _, id := range expired {
		if q := r.requests[id]; q != nil && q.phase == phaseQueued {
			r.fail(q, Error{Outcome: mulberryspool.OutcomeNotRun, Code: CodeOverload,
				Message: "the deadline can no longer be met", RetryAfter: time.Second})
		}
	}
	for _, id := range admitted {
		if q := r.requests[id]; q != nil && q.phase == phaseQueued {
			p.queuedCount--
			r.admit(q)
		}
	}
	if p.queuedCount > 0 {
		r.scheduleQueueCheck(p)
	}
}

func (r *Reducer) scheduleQueueCheck(p *pool) {
	if !p.queueTimerSet {
		p.queueTimerSet = true
		r.addTimer(timer{due: r.now.Add(admissionInterval), pool: p.name})
	}
}

// selectAgent sends the request to a ready agent, or parks it until one is ready.
func (r *Reducer) selectAgent(q *request) {
	if q.attempt >= r.Settings.MaxAttempts {
		r.fail(q, r.notRunError(q))
		return
	}
	id, ok := q.pool.router.Choose(mulberryspool.RoutingRequest{
		Workspace: q.submission.Workspace, Prefix: q.submission.Prefix, Tokens: q.submission.Tokens, Now: r.now, Exclude: r.excludedAgents(q),
	})
	a := r.agents[id]
	if !ok || a == nil || !a.ready() {
		q.phase = phaseSelecting
		q.pool.parked = append(q.pool.parked, q.submission.ID)
		if q.phaseDeadline.IsZero() {
			r.setPhaseTimeout(q, r.Settings.ReadyAgentTimeout)
		}
		return
	}
	q.phaseDeadline = time.Time{}
	q.attempt++
	q.agent, q.incarnation, q.agentTime = id, a.identity.Incarnation, a.status.AgentTime
	q.sent, q.accepted, q.resolveCount = false, false, 0
	if q.submission.IdempotencyKey != "" {
		r.writeClaim(q)
		return
	}
	r.sendStart(q, a)
}

// excludedAgents returns the agents whose current incarnation was tried already.
func (r *Reducer) excludedAgents(q *request) []mulberryspool.InstanceID {
	var ids []mulberryspool.InstanceID
	for _, t := range q.tried {
		if a := r.agents[t.instance]; a != nil && a.identity.Incarnation == t.incarnation {
			ids = append(ids, t.instance)
		}
	}
	return ids
}

// sendStart asks the agent to run the request.
func (r *Reducer) sendStart(q *request, a *agent) {
	q.phase, q.conn, q.sent = phaseStarting, a.conn, true
	q.startedAt, q.timeToFirstByte = r.now, 0
	q.servedVersion, q.servedDigest = a.status.ServedVersion, a.status.Served
	q.tried = append(q.tried, triedAgent{q.agent, q.incarnation})
	r.bind(q, a)
	r.emit(CallStart{ID: q.submission.ID, Conn: q.conn, Attempt: q.attempt, Held: q.submission.Held, Params: mulberryspool.StartParams{
		RequestID:   q.agentRequestID,
		Incarnation: q.incarnation,
		AgentTime:   q.agentTime,
		Route:       q.route.Name,
		Pool:        q.pool.name,
		Workspace:   q.submission.Workspace,
		Priority:    q.submission.Priority,
		Remaining:   q.deadline.Sub(r.now),
		Idempotent:  q.route.Idempotent,
		Method:      q.submission.Method,
		Path:        q.submission.Path,
		ContentType: q.submission.ContentType,
		Body:        q.submission.Body,
	}})
	r.recordEvent(r.newEvent(q, mulberryspool.EventRequestStarted, string(a.identity.Instance)))
}

// bind registers the request as a reader of its agent's response.
func (r *Reducer) bind(q *request, a *agent) {
	a.requests[q.submission.ID] = q
	r.byAgentRequestID[q.agentRequestID] = append(r.byAgentRequestID[q.agentRequestID], q)
	q.pool.router.RecordStart(q.agent, q.submission.Tokens, r.now)
}

// unbind ends the current attempt: it removes the request from its agent and
// reports the outcome to the router.
func (r *Reducer) unbind(q *request, outcome mulberryspool.Outcome) {
	a := r.agents[q.agent]
	if a == nil || a.requests[q.submission.ID] == nil {
		return
	}
	delete(a.requests, q.submission.ID)
	readers := slices.DeleteFunc(r.byAgentRequestID[q.agentRequestID], func(other *request) bool { return other == q })
	if len(readers) == 0 {
		delete(r.byAgentRequestID, q.agentRequestID)
	} else {
		r.byAgentRequestID[q.agentRequestID] = readers
	}
	q.pool.router.RecordEnd(q.agent, mulberryspool.RoutingResult{
		Outcome: outcome, FirstByte: q.timeToFirstByte, Tokens: q.submission.Tokens, Now: r.now,
	})
	q.conn = 0
	r.closeIfUnused(a)
}

func (r *Reducer) handleStartResult(e StartAnswered) {
	q := r.requests[e.ID]
	if q == nil || q.attempt != e.Attempt || q.conn != e.Conn || q.phase != phaseStarting {
		return
	}
	if e.Result.Accepted {
		q.phase, q.accepted = phaseRunning, true
		return
	}
	if e.Result.Incarnation != q.incarnation {
		// A refusal is valid only for the agent incarnation that sends it.
		r.handleLostAttempt(q, CodeAgentRestarted)
		return
	}
	if r.now.Sub(q.startedAt) > r.Settings.NeverSeenValidity {
		// The agent may have run the request and dropped its record of it since.
		r.handleLostAttempt(q, CodeAnswerLost)
		return
	}
	a := r.agents[q.agent]
	switch e.Result.Refusal {
	case mulberryspool.RefusalDuplicate:
		// The agent knows this ID from another submission, whose response must
		// not go to this caller.
		r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeDuplicateID,
			Message: "the agent has seen this request ID before"})
		return
	case mulberryspool.RefusalExpired:
		r.fail(q, Error{Outcome: mulberryspool.OutcomeNotRun, Code: CodeDeadline, Message: "the deadline passed before the start"})
		return
	case mulberryspool.RefusalLeaving:
		a.leaving = true
	case mulberryspool.RefusalNotServing, mulberryspool.RefusalStale, mulberryspool.RefusalIncarnation, mulberryspool.RefusalWrongPool:
		a.awaitingHeartbeat = true
	}
	r.handleNotRun(q, e.Result.Refusal)
	r.updateRouter(a)
}

// handleNotRun continues a request that the current agent has not run and
// never will: it is sent to another agent, or fails when the agent was
// overloaded and the retry budget is used up.
func (r *Reducer) handleNotRun(q *request, refusal mulberryspool.Refusal) {
	r.recordEvent(r.newEvent(q, mulberryspool.EventRequestRefused, string(refusal)))
	r.unbind(q, mulberryspool.OutcomeNotRun)
	q.refusal, q.sent, q.accepted = refusal, false, false
	if refusal == mulberryspool.RefusalOverload && !q.pool.admission.AllowRetry(r.now) {
		r.fail(q, r.notRunError(q))
		return
	}
	q.phase = phaseSelecting
	r.selectAgent(q)
}

// notRunError returns the error for a request that no agent has run.
func (r *Reducer) notRunError(q *request) Error {
	code, message := CodeNoAgent, "no agent of the pool takes new work"
	if q.refusal == mulberryspool.RefusalOverload {
		code, message = CodeOverload, "the agents tried are overloaded"
	}
	return Error{Outcome: mulberryspool.OutcomeNotRun, Code: code, Message: message, RetryAfter: time.Second}
}

// mayRetry reports whether a request with a failed or unknown outcome may run
// again on another agent.
func (r *Reducer) mayRetry(q *request) bool {
	return q.route.Idempotent && !q.attached && !q.partlyDelivered() && q.attempt < r.Settings.MaxAttempts
}

// handleLostAttempt ends an attempt whose outcome can't be determined. The
// request is retried if that is allowed, and fails otherwise.
func (r *Reducer) handleLostAttempt(q *request, code Code) {
	if q.attached {
		r.failAttached(q, code)
		return
	}
	if r.mayRetry(q) && q.pool.admission.AllowRetry(r.now) {
		r.retry(q, mulberryspool.OutcomeUnknown)
		return
	}
	message := "the agent can't be reached and may have run the request"
	if code == CodeAgentRestarted {
		message = "the agent restarted and may have run the request before"
		r.recordClaimOutcome(q, mulberryspool.OutcomeUnknown)
	}
	r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: code, Message: message})
}

// retry runs an idempotent request again from the beginning.
func (r *Reducer) retry(q *request, outcome mulberryspool.Outcome) {
	r.cancel(q)
	r.unbind(q, outcome)
	q.mayHaveRun = true
	if q.headSent || q.offset > 0 {
		r.notifyCaller(q, CallerReset{ID: q.submission.ID})
	}
	q.resetResponse()
	q.phase, q.phaseDeadline = phaseSelecting, time.Time{}
	r.selectAgent(q)
}

// fail ends the request and reports the error to its caller. A request that an
// earlier attempt may have run is never reported as notRun.
func (r *Reducer) fail(q *request, err Error) {
	if q.phase == phaseEnded {
		return
	}
	if q.phase == phaseClaiming {
		r.abandonedClaims[claimKey{q.submission.ID, q.attempt}] = struct{}{}
	}
	if q.mayHaveRun && err.Outcome == mulberryspool.OutcomeNotRun {
		err.Outcome = mulberryspool.OutcomeUnknown
	}
	if err.Outcome == mulberryspool.OutcomeNotRun || err.Outcome == mulberryspool.OutcomeFailed {
		r.recordClaimOutcome(q, err.Outcome)
	}
	r.notifyCaller(q, CallerError{ID: q.submission.ID, Error: err})
	r.finish(q, err.Outcome, string(err.Code))
}

// finish removes an ended request and releases its admission slot.
func (r *Reducer) finish(q *request, outcome mulberryspool.Outcome, detail string) {
	r.unbind(q, outcome)
	if q.phase == phaseQueued {
		q.pool.queuedCount--
	}
	q.phase = phaseEnded
	delete(r.requests, q.submission.ID)
	r.releaseBody(q.submission)
	q.pool.admission.Release(q.submission.ID, r.now)
	event := r.newEvent(q, mulberryspool.EventRequestEnded, string(q.agent))
	event.Detail = string(outcome) + " " + detail
	r.recordEvent(event)
	r.processQueue(q.pool)
}

// releaseBody emits an effect for a submission whose body is not used any more.
func (r *Reducer) releaseBody(submission Submission) {
	if submission.Held != nil {
		r.emit(ReleaseBody{Held: submission.Held})
	}
}

// notifyCaller emits an effect for the caller unless it has disconnected.
func (r *Reducer) notifyCaller(q *request, e Effect) {
	if !q.callerGone {
		r.emit(e)
	}
}

func (r *Reducer) recordEvent(event mulberryspool.Event) {
	r.emit(RecordEvent{Event: event})
}

func (r *Reducer) newEvent(q *request, kind mulberryspool.EventKind, detail string) mulberryspool.Event {
	return mulberryspool.Event{
		Kind: kind, RequestID: q.submission.ID, Route: q.route.Name, Pool: q.pool.name, Version: q.servedVersion,
		Revision: r.tablesView.Revision, Peer: string(q.agent), Detail: detail,
	}
}
