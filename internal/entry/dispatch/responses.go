package dispatch

import (
	"fmt"

	"github.com/mulberryspool/mulberryspool"
)

// requestsReading returns the requests that read the response to the agent's
// request ID on this connection.
func (r *Reducer) requestsReading(conn ConnID, agentRequestID mulberryspool.RequestID) []*request {
	var found []*request
	for _, q := range r.byAgentRequestID[agentRequestID] {
		if q.conn == conn && (q.phase == phaseStarting || q.phase == phaseRunning || q.phase == phaseResolving) {
			found = append(found, q)
		}
	}
	return found
}

func (r *Reducer) handleChunk(e ChunkArrived) {
	for _, q := range r.requestsReading(e.Conn, e.Notice.RequestID) {
		r.relayChunk(q, e.Notice)
	}
}

// relayChunk forwards a chunk to the caller. A chunk that does not start at the
// current offset is dropped.
func (r *Reducer) relayChunk(q *request, notice mulberryspool.ChunkNotice) {
	if notice.Offset != q.offset {
		return
	}
	// A chunk implies that the start or resolve was accepted, even if the
	// reply arrives later.
	r.recordImpliedResolve(q)
	q.phase, q.accepted = phaseRunning, true
	q.phaseDeadline = zeroTime
	if q.timeToFirstByte == 0 {
		q.timeToFirstByte = max(1, r.now.Sub(q.startedAt))
	}
	if notice.Offset == 0 && !q.headSent {
		r.sendHead(q, notice.Status, notice.ContentType)
	}
	if len(notice.Data) == 0 {
		return
	}
	q.offset += int64(len(notice.Data))
	_, _ = q.checksum.Write(notice.Data)
	r.notifyCaller(q, CallerData{ID: q.submission.ID, Data: notice.Data})
}

func (r *Reducer) sendHead(q *request, status int, contentType string) {
	q.headSent = true
	r.notifyCaller(q, CallerHead{ID: q.submission.ID, Status: status, ContentType: contentType})
}

func (r *Reducer) handleEnd(e EndArrived) {
	for _, q := range r.requestsReading(e.Conn, e.Notice.RequestID) {
		r.finishAttempt(q, e.Notice)
	}
}

// recordImpliedResolve records a resolve as answered when the response goes on
// before the reply to the resolve has arrived.
func (r *Reducer) recordImpliedResolve(q *request) {
	if q.phase == phaseResolving {
		r.recordEvent(r.newEvent(q, mulberryspool.EventRequestResolved, "the answer continues"))
	}
}

// finishAttempt processes the end of a response: the request completes, is
// sent to another agent, or fails.
func (r *Reducer) finishAttempt(q *request, notice mulberryspool.EndNotice) {
	r.recordImpliedResolve(q)
	switch notice.Outcome {
	case mulberryspool.OutcomeDone:
		r.verifyResponse(q, notice)
	case mulberryspool.OutcomeNotRun:
		if q.headSent || q.offset > 0 || q.attached {
			r.handleMismatch(q, "the agent says that it did not run the request whose answer it sent")
			return
		}
		r.handleNotRun(q, "")
	case mulberryspool.OutcomeFailed:
		if r.mayRetry(q) && q.pool.admission.AllowRetry(r.now) {
			r.retry(q, mulberryspool.OutcomeFailed)
			return
		}
		r.fail(q, Error{Outcome: mulberryspool.OutcomeFailed, Code: CodeBackendFailed, Message: notice.Message})
	default:
		if q.attached {
			r.failAttached(q, CodeAnswerLost)
			return
		}
		if r.mayRetry(q) && q.pool.admission.AllowRetry(r.now) {
			r.retry(q, mulberryspool.OutcomeUnknown)
			return
		}
		r.recordClaimOutcome(q, mulberryspool.OutcomeUnknown)
		r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeAnswerLost, Message: notice.Message})
	}
}

// verifyResponse completes a request only if every byte of the response was
// forwarded, as checked by length and checksum.
func (r *Reducer) verifyResponse(q *request, notice mulberryspool.EndNotice) {
	if notice.Length > q.offset && q.resolveCount < r.Settings.MaxResolves {
		// Chunks are missing. The agent retains the response, so a resolve
		// makes it send the rest.
		r.sendResolve(q)
		return
	}
	if notice.Length != q.offset || notice.Checksum != q.checksum.Sum64() {
		r.handleMismatch(q, fmt.Sprintf("the answer has %d bytes and sum %x, %d bytes with sum %x were forwarded",
			notice.Length, notice.Checksum, q.offset, q.checksum.Sum64()))
		return
	}
	if !q.headSent {
		r.sendHead(q, notice.Status, notice.ContentType)
	}
	r.recordClaimOutcome(q, mulberryspool.OutcomeDone)
	r.notifyCaller(q, CallerEnd{ID: q.submission.ID, Weights: notice.Weights, Version: r.versionOf(q, notice.Weights)})
	r.finish(q, mulberryspool.OutcomeDone, "")
}

// versionOf returns the version of the weights, empty if the agent has not
// reported it.
func (r *Reducer) versionOf(q *request, weights mulberryspool.Digest) string {
	if a := r.agents[q.agent]; a != nil && a.status.Served == weights {
		return a.status.ServedVersion
	}
	if q.servedDigest == weights {
		return q.servedVersion
	}
	return ""
}

// handleMismatch retries or fails a request whose response is inconsistent.
func (r *Reducer) handleMismatch(q *request, message string) {
	if r.mayRetry(q) && q.pool.admission.AllowRetry(r.now) {
		r.retry(q, mulberryspool.OutcomeUnknown)
		return
	}
	r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeAnswerMismatch, Message: message})
}

// sendResolve asks the agent, on its current connection, for the state of the
// request and the rest of its response.
func (r *Reducer) sendResolve(q *request) {
	a := r.agents[q.agent]
	q.phase, q.conn = phaseResolving, a.conn
	q.resolveCount++
	r.setPhaseTimeout(q, r.Settings.ResolveTimeout)
	r.emit(CallResolve{ID: q.submission.ID, Conn: q.conn, Attempt: q.attempt, Params: mulberryspool.ResolveParams{
		RequestID: q.agentRequestID, Incarnation: q.incarnation, AgentTime: q.agentTime, Offset: q.offset,
	}})
}

func (r *Reducer) handleResolveResult(e ResolveAnswered) {
	q := r.requests[e.ID]
	if q == nil || q.attempt != e.Attempt || q.conn != e.Conn || q.phase != phaseResolving {
		return
	}
	r.recordEvent(r.newEvent(q, mulberryspool.EventRequestResolved, string(e.Result.State)))
	q.phaseDeadline = zeroTime
	switch {
	case e.Result.Incarnation != q.incarnation:
		r.handleLostAttempt(q, CodeAgentRestarted)
	case e.Result.State == mulberryspool.ResolveRunning, e.Result.State == mulberryspool.ResolveDone:
		q.phase, q.accepted = phaseRunning, true
	case e.Result.State == mulberryspool.ResolveNeverSeen:
		r.handleNeverSeen(q)
	default:
		r.handleLostAttempt(q, CodeAgentRestarted)
	}
}

// handleNeverSeen processes a resolve reply which states that the agent has
// never seen the request. The agent refuses the request from then on. The reply
// is accepted unless it is too late or contradicts what the agent sent before.
func (r *Reducer) handleNeverSeen(q *request) {
	a := r.agents[q.agent]
	// An agent drops responses after its retention time, so neverSeen proves
	// something only for a limited time after the start.
	age := a.status.AgentTime + r.now.Sub(a.statusReceivedAt) - q.agentTime
	switch {
	case age > r.Settings.NeverSeenValidity:
		r.handleLostAttempt(q, CodeAnswerLost)
	case q.attached:
		r.takeOver(q)
	case q.accepted || q.offset > 0:
		r.handleLostAttempt(q, CodeAnswerLost)
	default:
		r.handleNotRun(q, mulberryspool.RefusalResolved)
	}
}

// handleCallFailure handles a start or resolve that got no reply. The
// connection is replaced, and the request is resolved on the new one.
func (r *Reducer) handleCallFailure(id mulberryspool.RequestID, conn ConnID, attempt int, in phase) {
	q := r.requests[id]
	if q == nil || q.attempt != attempt || q.conn != conn || q.phase != in {
		return
	}
	if in == phaseResolving && q.resolveCount >= r.Settings.MaxResolves {
		r.handleLostAttempt(q, CodeAgentLost)
		return
	}
	r.handleConnLost(conn, "without a reply")
}
