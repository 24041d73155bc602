package dispatch

import (
	"fmt"

	"github.com/mulberryspool/mulberryspool"
)

// readers returns the requests that read the answer on this connection.
func (r *Reducer) readers(conn ConnID, wire mulberryspool.RequestID) []*request {
	var found []*request
	for _, q := range r.bound[wire] {
		if q.conn == conn && (q.phase == phaseStarting || q.phase == phaseRunning || q.phase == phaseResolving) {
			found = append(found, q)
		}
	}
	return found
}

func (r *Reducer) chunkArrived(e ChunkArrived) {
	for _, q := range r.readers(e.Conn, e.Notice.RequestID) {
		r.takeChunk(q, e.Notice)
	}
}

// takeChunk forwards a chunk that continues exactly where the answer is.
func (r *Reducer) takeChunk(q *request, notice mulberryspool.ChunkNotice) {
	if notice.Offset != q.offset {
		return
	}
	// A chunk proves that the start or resolve was accepted; its reply may come later.
	r.answerContinues(q)
	q.phase, q.accepted = phaseRunning, true
	q.waitUntil = zeroTime
	if q.firstByte == 0 {
		q.firstByte = max(1, r.now.Sub(q.started))
	}
	if notice.Offset == 0 && !q.head {
		r.writeHead(q, notice.Status, notice.ContentType)
	}
	if len(notice.Data) == 0 {
		return
	}
	q.offset += int64(len(notice.Data))
	_, _ = q.sum.Write(notice.Data)
	r.tell(q, CallerBytes{ID: q.sub.ID, Data: notice.Data})
}

func (r *Reducer) writeHead(q *request, status int, contentType string) {
	q.head = true
	r.tell(q, CallerHead{ID: q.sub.ID, Status: status, ContentType: contentType})
}

func (r *Reducer) endArrived(e EndArrived) {
	for _, q := range r.readers(e.Conn, e.Notice.RequestID) {
		r.takeEnd(q, e.Notice)
	}
}

// answerContinues records a resolve whose reply comes after what it replies to.
func (r *Reducer) answerContinues(q *request) {
	if q.phase == phaseResolving {
		r.record(r.event(q, mulberryspool.EventRequestResolved, "the answer continues"))
	}
}

func (r *Reducer) takeEnd(q *request, notice mulberryspool.EndNotice) {
	r.answerContinues(q)
	switch notice.Outcome {
	case mulberryspool.OutcomeDone:
		r.takeWhole(q, notice)
	case mulberryspool.OutcomeNotRun:
		if q.head || q.offset > 0 || q.attached {
			r.mismatch(q, "the agent says that it did not run the request whose answer it sent")
			return
		}
		r.notStarted(q, "")
	case mulberryspool.OutcomeFailed:
		if r.mayRepeat(q) && q.pool.admission.AllowRetry(r.now) {
			r.repeat(q, mulberryspool.OutcomeFailed)
			return
		}
		r.fail(q, Error{Outcome: mulberryspool.OutcomeFailed, Code: CodeBackendFailed, Message: notice.Message})
	default:
		if q.attached {
			r.loseAttached(q, CodeAnswerLost)
			return
		}
		if r.mayRepeat(q) && q.pool.admission.AllowRetry(r.now) {
			r.repeat(q, mulberryspool.OutcomeUnknown)
			return
		}
		r.endClaim(q, mulberryspool.OutcomeUnknown)
		r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeAnswerLost, Message: notice.Message})
	}
}

// takeWhole ends a request only if every byte of the answer was forwarded.
func (r *Reducer) takeWhole(q *request, notice mulberryspool.EndNotice) {
	if notice.Length > q.offset && q.resolves < r.Settings.MaxResolves {
		// Chunks are missing; the agent keeps the answer and sends the rest.
		r.resolve(q)
		return
	}
	if notice.Length != q.offset || notice.Checksum != q.sum.Sum64() {
		r.mismatch(q, fmt.Sprintf("the answer has %d bytes and sum %x, %d bytes with sum %x were forwarded",
			notice.Length, notice.Checksum, q.offset, q.sum.Sum64()))
		return
	}
	if !q.head {
		r.writeHead(q, notice.Status, notice.ContentType)
	}
	r.endClaim(q, mulberryspool.OutcomeDone)
	r.tell(q, CallerEnd{ID: q.sub.ID, Weights: notice.Weights, Version: r.versionOf(q, notice.Weights)})
	r.finish(q, mulberryspool.OutcomeDone, "")
}

// versionOf names the version of the weights, if the agent has told it.
func (r *Reducer) versionOf(q *request, weights mulberryspool.Digest) string {
	if a := r.agents[q.agent]; a != nil && a.status.Served == weights {
		return a.status.ServedVersion
	}
	if q.served == weights {
		return q.version
	}
	return ""
}

// mismatch ends a request whose answer contradicts itself.
func (r *Reducer) mismatch(q *request, message string) {
	if r.mayRepeat(q) && q.pool.admission.AllowRetry(r.now) {
		r.repeat(q, mulberryspool.OutcomeUnknown)
		return
	}
	r.fail(q, Error{Outcome: mulberryspool.OutcomeUnknown, Code: CodeAnswerMismatch, Message: message})
}

// resolve asks the agent on its present connection what became of the request.
func (r *Reducer) resolve(q *request) {
	a := r.agents[q.agent]
	q.phase, q.conn = phaseResolving, a.conn
	q.resolves++
	r.setWait(q, r.Settings.ResolveWindow)
	r.emit(CallResolve{ID: q.sub.ID, Conn: q.conn, Attempt: q.attempt, Params: mulberryspool.ResolveParams{
		RequestID: q.wire, Incarnation: q.incarnation, AgentTime: q.agentTime, Offset: q.offset,
	}})
}

func (r *Reducer) resolveAnswered(e ResolveAnswered) {
	q := r.requests[e.ID]
	if q == nil || q.attempt != e.Attempt || q.conn != e.Conn || q.phase != phaseResolving {
		return
	}
	r.record(r.event(q, mulberryspool.EventRequestResolved, string(e.Result.State)))
	q.waitUntil = zeroTime
	switch {
	case e.Result.Incarnation != q.incarnation:
		r.lose(q, CodeAgentRestarted)
	case e.Result.State == mulberryspool.ResolveRunning, e.Result.State == mulberryspool.ResolveDone:
		q.phase, q.accepted = phaseRunning, true
	case e.Result.State == mulberryspool.ResolveNeverSeen:
		r.neverSeen(q)
	default:
		r.lose(q, CodeAgentRestarted)
	}
}

// neverSeen trusts an agent's answer that it refuses the request from now on,
// unless that contradicts what it said before.
func (r *Reducer) neverSeen(q *request) {
	a := r.agents[q.agent]
	// An agent forgets answers after a while, so its word counts only near the start.
	age := a.status.AgentTime + r.now.Sub(a.statusAt) - q.agentTime
	switch {
	case age > r.Settings.NeverSeenTrust:
		r.lose(q, CodeAnswerLost)
	case q.attached:
		r.takeOver(q)
	case q.accepted || q.offset > 0:
		r.lose(q, CodeAnswerLost)
	default:
		r.notStarted(q, mulberryspool.RefusalResolved)
	}
}

// callFailed takes in that a start or resolve got no reply. What became of
// it is asked on a new connection.
func (r *Reducer) callFailed(id mulberryspool.RequestID, conn ConnID, attempt int, in phase) {
	q := r.requests[id]
	if q == nil || q.attempt != attempt || q.conn != conn || q.phase != in {
		return
	}
	if in == phaseResolving && q.resolves >= r.Settings.MaxResolves {
		r.lose(q, CodeAgentLost)
		return
	}
	r.connLost(conn, "without a reply")
}
