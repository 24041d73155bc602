package dispatch

import (
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// averageWeight is the share of a new request in the moving average of a
// pool's token estimates.
const averageWeight = 0.05

func (r *Reducer) submit(sub Submission) {
	refuse := func(code Code, message string, after time.Duration) {
		r.emit(CallerError{ID: sub.ID, Error: Error{Outcome: mulberryspool.OutcomeNotRun, Code: code, Message: message, RetryAfter: after}})
	}
	if q := r.requests[sub.ID]; q != nil {
		// Two requests with one ID get in only when the first one's caller left.
		r.submitAgain(q, sub)
		return
	}
	if r.view.Tables == nil {
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
	route, ok := r.view.Tables.Route(sub.Route)
	if !ok {
		refuse(CodeNoRoute, "no route is named "+sub.Route, 0)
		return
	}
	p := r.pools[poolOf(route, sub.ID)]
	if p == nil {
		refuse(CodeNoPool, "the route's pool is not in the tables", 0)
		return
	}
	q := &request{sub: sub, route: route, pool: p, wire: sub.ID}
	q.clearAnswer()
	timeout := route.Timeout
	if timeout == 0 {
		timeout = r.Settings.Timeout
	}
	q.deadline = r.now.Add(timeout)
	if !sub.Deadline.IsZero() && sub.Deadline.Before(q.deadline) {
		q.deadline = sub.Deadline
	}
	p.tokens += averageWeight * (float64(max(1, sub.Tokens)) - p.tokens)
	decision := p.admission.Offer(mulberryspool.AdmissionRequest{
		ID: sub.ID, Workspace: sub.Workspace, Priority: sub.Priority, Tokens: sub.Tokens, Deadline: q.deadline,
	}, r.now)
	if !decision.Admitted && !decision.Queued {
		refuse(CodeOverload, "refused by admission: "+decision.Reason, decision.RetryAfter)
		return
	}
	r.requests[sub.ID] = q
	r.wakeAt(timer{at: q.deadline, request: sub.ID})
	if decision.Queued {
		q.phase = phaseQueued
		p.queued++
		r.pumpLater(p)
		return
	}
	r.admitted(q)
}

func (r *Reducer) admitted(q *request) {
	r.record(r.event(q, mulberryspool.EventRequestAdmitted, ""))
	q.phase = phaseChoosing
	r.choose(q)
}

// pump takes the requests from the queue that are admitted or expired now.
func (r *Reducer) pump(p *pool) {
	if p.queued == 0 {
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
			p.queued--
			r.admitted(q)
		}
	}
	if p.queued > 0 {
		r.pumpLater(p)
	}
}

func (r *Reducer) pumpLater(p *pool) {
	if !p.ticking {
		p.ticking = true
		r.wakeAt(timer{at: r.now.Add(admissionInterval), pool: p.name})
	}
}

// choose binds the request to a ready agent or parks it.
func (r *Reducer) choose(q *request) {
	if q.attempt >= r.Settings.MaxAttempts {
		r.fail(q, r.refusedError(q))
		return
	}
	id, ok := q.pool.router.Choose(mulberryspool.RoutingRequest{
		Workspace: q.sub.Workspace, Prefix: q.sub.Prefix, Tokens: q.sub.Tokens, Now: r.now, Exclude: r.excluded(q),
	})
	a := r.agents[id]
	if !ok || a == nil || !a.ready() {
		q.phase = phaseChoosing
		q.pool.parked = append(q.pool.parked, q.sub.ID)
		if q.waitUntil.IsZero() {
			r.setWait(q, r.Settings.ChooseWait)
		}
		return
	}
	q.waitUntil = time.Time{}
	q.attempt++
	q.agent, q.incarnation, q.agentTime = id, a.identity.Incarnation, a.status.AgentTime
	q.sent, q.accepted, q.resolves = false, false, 0
	if q.sub.Key != "" {
		r.claim(q)
		return
	}
	r.start(q, a)
}

// excluded lists the agents whose present incarnation was tried.
func (r *Reducer) excluded(q *request) []mulberryspool.InstanceID {
	var ids []mulberryspool.InstanceID
	for _, t := range q.tried {
		if a := r.agents[t.instance]; a != nil && a.identity.Incarnation == t.incarnation {
			ids = append(ids, t.instance)
		}
	}
	return ids
}

func (r *Reducer) start(q *request, a *agent) {
	q.phase, q.conn, q.sent = phaseStarting, a.conn, true
	q.started, q.firstByte = r.now, 0
	q.version, q.served = a.status.ServedVersion, a.status.Served
	q.tried = append(q.tried, triedAgent{q.agent, q.incarnation})
	r.bind(q, a)
	r.emit(CallStart{ID: q.sub.ID, Conn: q.conn, Attempt: q.attempt, Params: mulberryspool.StartParams{
		RequestID:   q.wire,
		Incarnation: q.incarnation,
		AgentTime:   q.agentTime,
		Route:       q.route.Name,
		Pool:        q.pool.name,
		Workspace:   q.sub.Workspace,
		Priority:    q.sub.Priority,
		Remaining:   q.deadline.Sub(r.now),
		Idempotent:  q.route.Idempotent,
		Method:      q.sub.Method,
		Path:        q.sub.Path,
		ContentType: q.sub.ContentType,
		Body:        q.sub.Body,
	}})
	r.record(r.event(q, mulberryspool.EventRequestStarted, string(a.identity.Instance)))
}

func (r *Reducer) bind(q *request, a *agent) {
	a.requests[q.sub.ID] = q
	r.bound[q.wire] = append(r.bound[q.wire], q)
	q.pool.router.Started(q.agent, q.sub.Tokens, r.now)
}

// unbind ends the present attempt at its agent.
func (r *Reducer) unbind(q *request, outcome mulberryspool.Outcome) {
	a := r.agents[q.agent]
	if a == nil || a.requests[q.sub.ID] == nil {
		return
	}
	delete(a.requests, q.sub.ID)
	readers := slices.DeleteFunc(r.bound[q.wire], func(other *request) bool { return other == q })
	if len(readers) == 0 {
		delete(r.bound, q.wire)
	} else {
		r.bound[q.wire] = readers
	}
	q.pool.router.Ended(q.agent, mulberryspool.RoutingResult{
		Outcome: outcome, FirstByte: q.firstByte, Tokens: q.sub.Tokens, Now: r.now,
	})
	q.conn = 0
	r.release(a)
}

func (r *Reducer) startAnswered(e StartAnswered) {
	q := r.requests[e.ID]
	if q == nil || q.attempt != e.Attempt || q.conn != e.Conn || q.phase != phaseStarting {
		return
	}
	if e.Result.Accepted {
		q.phase, q.accepted = phaseRunning, true
		return
	}
	if e.Result.Incarnation != q.incarnation {
		// A refusal speaks only for the run of the agent that gives it.
		r.lose(q, CodeAgentRestarted)
		return
	}
	if r.now.Sub(q.started) > r.Settings.NeverSeenTrust {
		// By now the agent may have run and forgotten the request.
		r.lose(q, CodeAnswerLost)
		return
	}
	a := r.agents[q.agent]
	switch e.Result.Refusal {
	case mulberryspool.RefusalDuplicate:
		// The agent has this ID from another submission, whose answer is not this caller's.
		r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeDuplicateID,
			Message: "the agent has seen this request ID before"})
		return
	case mulberryspool.RefusalExpired:
		r.fail(q, Error{Outcome: mulberryspool.OutcomeNotRun, Code: CodeDeadline, Message: "the deadline passed before the start"})
		return
	case mulberryspool.RefusalLeaving:
		a.leaving = true
	case mulberryspool.RefusalNotServing, mulberryspool.RefusalStale, mulberryspool.RefusalIncarnation, mulberryspool.RefusalWrongPool:
		a.blocked = true
	}
	r.notStarted(q, e.Result.Refusal)
	r.route(a)
}

// notStarted takes in that the present agent has not run the request and
// never will.
func (r *Reducer) notStarted(q *request, refusal mulberryspool.Refusal) {
	r.record(r.event(q, mulberryspool.EventRequestRefused, string(refusal)))
	r.unbind(q, mulberryspool.OutcomeNotRun)
	q.refusal, q.sent, q.accepted = refusal, false, false
	if refusal == mulberryspool.RefusalOverload && !q.pool.admission.AllowRetry(r.now) {
		r.fail(q, r.refusedError(q))
		return
	}
	q.phase = phaseChoosing
	r.choose(q)
}

// refusedError is the truthful refusal of a request that no agent has run.
func (r *Reducer) refusedError(q *request) Error {
	code, message := CodeNoAgent, "no agent of the pool takes new work"
	if q.refusal == mulberryspool.RefusalOverload {
		code, message = CodeOverload, "the agents tried are overloaded"
	}
	return Error{Outcome: mulberryspool.OutcomeNotRun, Code: code, Message: message, RetryAfter: time.Second}
}

// mayRepeat reports whether a lost request may run again elsewhere.
func (r *Reducer) mayRepeat(q *request) bool {
	return q.route.Idempotent && !q.attached && !q.reached() && q.attempt < r.Settings.MaxAttempts
}

// lose ends an attempt whose outcome can't be learned.
func (r *Reducer) lose(q *request, code Code) {
	if q.attached {
		r.loseAttached(q, code)
		return
	}
	if r.mayRepeat(q) && q.pool.admission.AllowRetry(r.now) {
		r.repeat(q, mulberryspool.OutcomeUnknown)
		return
	}
	message := "the agent can't be reached and may have run the request"
	if code == CodeAgentRestarted {
		message = "the agent restarted and may have run the request before"
		r.endClaim(q, mulberryspool.OutcomeUnknown)
	}
	r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: code, Message: message})
}

// repeat runs an idempotent request again from the beginning.
func (r *Reducer) repeat(q *request, outcome mulberryspool.Outcome) {
	r.cancel(q)
	r.unbind(q, outcome)
	q.mayHaveRun = true
	if q.head || q.offset > 0 {
		r.tell(q, CallerReset{ID: q.sub.ID})
	}
	q.clearAnswer()
	q.phase, q.waitUntil = phaseChoosing, time.Time{}
	r.choose(q)
}

// fail ends the request with an error for its caller.
func (r *Reducer) fail(q *request, err Error) {
	if q.phase == phaseEnded {
		return
	}
	if q.phase == phaseClaiming {
		r.abandoned[claimKey{q.sub.ID, q.attempt}] = struct{}{}
	}
	if q.mayHaveRun && err.Outcome == mulberryspool.OutcomeNotRun {
		err.Outcome = mulberryspool.OutcomeUnknown
	}
	if err.Outcome == mulberryspool.OutcomeNotRun || err.Outcome == mulberryspool.OutcomeFailed {
		r.endClaim(q, err.Outcome)
	}
	r.tell(q, CallerError{ID: q.sub.ID, Error: err})
	r.finish(q, err.Outcome, string(err.Code))
}

func (r *Reducer) finish(q *request, outcome mulberryspool.Outcome, detail string) {
	r.unbind(q, outcome)
	if q.phase == phaseQueued {
		q.pool.queued--
	}
	q.phase = phaseEnded
	delete(r.requests, q.sub.ID)
	q.pool.admission.Release(q.sub.ID, r.now)
	event := r.event(q, mulberryspool.EventRequestEnded, string(q.agent))
	event.Detail = string(outcome) + " " + detail
	r.record(event)
	r.pump(q.pool)
}

// tell emits an effect for the caller, if it is still there.
func (r *Reducer) tell(q *request, e Effect) {
	if !q.left {
		r.emit(e)
	}
}

func (r *Reducer) record(event mulberryspool.Event) {
	r.emit(RecordEvent{Event: event})
}

func (r *Reducer) event(q *request, kind mulberryspool.EventKind, detail string) mulberryspool.Event {
	return mulberryspool.Event{
		Kind: kind, RequestID: q.sub.ID, Route: q.route.Name, Pool: q.pool.name, Version: q.version,
		Revision: r.view.Revision, Peer: string(q.agent), Detail: detail,
	}
}
