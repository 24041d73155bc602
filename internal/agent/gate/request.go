package gate

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// stage is the progress of an accepted request.
type stage int

const (
	// stageAccepted: waiting for the read-back that precedes submission.
	stageAccepted stage = iota
	// stageSubmitted: waiting for the end of the backend server's answer.
	stageSubmitted
	// stageVerifying: waiting for the read-back that follows the answer.
	stageVerifying
	stageEnded
)

// request is an accepted request with its answer.
type request struct {
	id        mulberryspool.RequestID
	agentTime time.Duration
	deadline  time.Duration
	stage     stage
	// subscribers are the connections that the answer is sent to. There can be
	// several: a request that repeats an idempotency key gets the same answer
	// as the first caller.
	subscribers []ConnID
	// params.Body is cleared when the request is submitted.
	params mulberryspool.StartParams
	// weights are those served at acceptance, then those read back before submission.
	weights mulberryspool.Loaded
	// buffer holds the bytes of the answer from offset bufferStart up to length.
	buffer      []byte
	bufferStart int64
	length      int64
	checksum    *xxhash.Digest
	status      int
	contentType string
	// cancelled is the reason if the request was cancelled after its submission.
	cancelled string
	// weightsChanged is set if the engine's weights changed during generation.
	weightsChanged bool
	endedAt        time.Duration
	end            mulberryspool.EndNotice
}

func (g *Gate) submit(r *request) {
	r.stage = stageSubmitted
	p := r.params
	g.emit(Submit{Request: mulberryspool.BackendRequest{
		RequestID: r.id, Route: p.Route, Workspace: p.Workspace, Priority: p.Priority,
		Method: p.Method, Path: p.Path, ContentType: p.ContentType, Body: p.Body,
	}})
	r.params.Body = nil
	g.record(mulberryspool.EventRequestStarted, r, "")
}

func (g *Gate) answerHead(e AnswerHead) {
	r, ok := g.requests[e.ID]
	if !ok || r.stage != stageSubmitted {
		return
	}
	r.status, r.contentType = e.Status, e.ContentType
}

func (g *Gate) answerChunk(e AnswerChunk) {
	r, ok := g.requests[e.ID]
	if !ok || r.stage != stageSubmitted || len(e.Data) == 0 {
		return
	}
	// Digest.Write never returns an error.
	_, _ = r.checksum.Write(e.Data)
	offset := r.length
	r.length += int64(len(e.Data))
	r.buffer = append(r.buffer, e.Data...)
	g.bufferedBytes += int64(len(e.Data))
	if !r.weightsChanged {
		for _, conn := range r.subscribers {
			g.sendChunk(r, conn, offset, e.Data)
		}
	}
	g.enforceBufferLimit(r)
}

func (g *Gate) answerEnd(now time.Duration, e AnswerEnd) {
	r, ok := g.requests[e.ID]
	if !ok || r.stage != stageSubmitted {
		return
	}
	switch {
	case e.NotSent && r.status == 0 && r.length == 0:
		g.finish(now, r, mulberryspool.OutcomeNotRun, e.Error)
	case e.Error != "" && r.cancelled != "":
		g.finish(now, r, mulberryspool.OutcomeUnknown, r.cancelled)
	case e.Uncertain:
		g.finish(now, r, mulberryspool.OutcomeUnknown, e.Error)
	case e.Error != "":
		g.finish(now, r, mulberryspool.OutcomeFailed, e.Error)
	case r.weightsChanged:
		g.finish(now, r, mulberryspool.OutcomeUnknown, r.cancelled)
	case g.settings.ReadBack:
		r.stage = stageVerifying
		g.emit(ReadBack{ID: r.id})
	default:
		g.finish(now, r, mulberryspool.OutcomeDone, "")
	}
}

func (g *Gate) readBackDone(now time.Duration, e ReadBackDone) {
	r, ok := g.requests[e.ID]
	switch {
	case !ok:
	case e.Before && r.stage == stageAccepted:
		g.checkBeforeSubmit(now, r, e)
	case !e.Before && r.stage == stageVerifying:
		g.checkAfterAnswer(now, r, e)
	}
}

func (g *Gate) checkBeforeSubmit(now time.Duration, r *request, e ReadBackDone) {
	switch {
	case e.Error != "":
		g.finish(now, r, mulberryspool.OutcomeNotRun, "weights not read back before submission: "+e.Error)
	case !sameWeights(e.Loaded, r.weights):
		g.finish(now, r, mulberryspool.OutcomeNotRun, "the engine serves other weights than the agent gates")
		g.emit(WeightsMismatch{Loaded: e.Loaded})
	case now >= r.deadline:
		g.finish(now, r, mulberryspool.OutcomeNotRun, "deadline passed before it was submitted")
	default:
		r.weights = e.Loaded
		g.submit(r)
	}
}

func (g *Gate) checkAfterAnswer(now time.Duration, r *request, e ReadBackDone) {
	switch {
	case e.Error != "":
		g.finish(now, r, mulberryspool.OutcomeUnknown, "weights not read back after the answer: "+e.Error)
	case e.Loaded != r.weights || r.weightsChanged:
		// The comparison includes the fencing number: if the weights were
		// replaced and restored meanwhile, the number is higher.
		g.finish(now, r, mulberryspool.OutcomeUnknown, "the engine's weights changed during the answer")
		g.emit(WeightsMismatch{Loaded: e.Loaded})
	default:
		g.finish(now, r, mulberryspool.OutcomeDone, "")
	}
}

// sameWeights compares weights without their fencing numbers, because it does
// not matter here which order loaded them.
func sameWeights(a, b mulberryspool.Loaded) bool {
	a.Fencing, b.Fencing = 0, 0
	return a == b
}

// finish sets the outcome of a request. It is called once for each request.
func (g *Gate) finish(now time.Duration, r *request, outcome mulberryspool.Outcome, message string) {
	r.stage = stageEnded
	r.endedAt = now
	r.end = mulberryspool.EndNotice{
		RequestID: r.id, Outcome: outcome, Length: r.length, Checksum: r.checksum.Sum64(),
		Status: r.status, ContentType: r.contentType, Message: message,
	}
	if outcome == mulberryspool.OutcomeDone {
		r.end.Weights = r.weights.Digest
	} else {
		// Only the answer of a done request may be delivered in full, so the
		// buffered part is dropped.
		g.dropBuffer(r)
	}
	r.params.Body = nil
	g.inFlight = slices.DeleteFunc(g.inFlight, func(other *request) bool { return other == r })
	g.ended = append(g.ended, r)
	for _, conn := range r.subscribers {
		g.emit(SendEnd{Conn: conn, Notice: r.end})
	}
	detail := string(outcome)
	if message != "" {
		detail += ": " + message
	}
	g.record(mulberryspool.EventRequestEnded, r, detail)
}

// subscribe sends the answer from the offset on to a connection, in addition
// to those that receive it already.
func (g *Gate) subscribe(r *request, conn ConnID, offset int64) {
	r.unsubscribe(conn)
	undeliverable := offset < r.bufferStart || offset > r.length
	done := r.stage == stageEnded && r.end.Outcome == mulberryspool.OutcomeDone
	if undeliverable && (done || r.stage != stageEnded) {
		// The request continues, because the answer may still be complete for
		// another connection, but this one gets no part of it.
		g.emit(SendEnd{Conn: conn, Notice: answerLostNotice(r.id)})
		return
	}
	r.subscribers = append(r.subscribers, conn)
	if !undeliverable && !r.weightsChanged {
		g.resend(r, conn, offset)
	}
	if r.stage == stageEnded {
		g.emit(SendEnd{Conn: conn, Notice: r.end})
	}
}

func (r *request) unsubscribe(conn ConnID) {
	r.subscribers = slices.DeleteFunc(r.subscribers, func(other ConnID) bool { return other == conn })
}

func (g *Gate) resend(r *request, conn ConnID, offset int64) {
	rest := r.buffer[offset-r.bufferStart:]
	for len(rest) > 0 {
		part := rest[:min(len(rest), maxResendChunk)]
		// The notice is encoded later, when the buffer may have changed.
		g.sendChunk(r, conn, offset, slices.Clone(part))
		offset += int64(len(part))
		rest = rest[len(part):]
	}
}

func (g *Gate) sendChunk(r *request, conn ConnID, offset int64, data []byte) {
	notice := mulberryspool.ChunkNotice{RequestID: r.id, Offset: offset, Data: data}
	if offset == 0 {
		notice.Status, notice.ContentType = r.status, r.contentType
	}
	g.emit(SendChunk{Conn: conn, Notice: notice})
}

// answerLostNotice ends a request that was or may have been executed, and whose
// answer is no longer stored.
func answerLostNotice(id mulberryspool.RequestID) mulberryspool.EndNotice {
	return mulberryspool.EndNotice{
		RequestID: id, Outcome: mulberryspool.OutcomeUnknown, Message: "the answer is no longer kept",
	}
}
