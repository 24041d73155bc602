package gate

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

// stage is how far an accepted request is.
type stage int

const (
	// stageWaiting waits for the reading before the request is submitted.
	stageWaiting stage = iota
	// stageSubmitted waits for the end of the backend server's answer.
	stageSubmitted
	// stageVerifying waits for the reading after the answer.
	stageVerifying
	stageEnded
)

// request is an accepted request and its answer.
type request struct {
	id        mulberryspool.RequestID
	agentTime time.Duration
	deadline  time.Duration
	stage     stage
	// readers are the connections that get the answer. There can be several,
	// because a repeated key reads the answer beside the first caller.
	readers []ConnID
	// params lose their body when the request is submitted.
	params mulberryspool.StartParams
	// weights are those gated at acceptance, then those read back before submission.
	weights mulberryspool.Loaded
	// buffer holds the answer from offset base up to length.
	buffer []byte
	base   int64
	length int64
	sum    *xxhash.Digest
	status int
	// contentType is that of the backend server's answer.
	contentType string
	// cancelled says why the request was cancelled after its submission.
	cancelled string
	// tainted is set when the weights changed during generation.
	tainted bool
	endedAt time.Duration
	end     mulberryspool.EndNotice
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

func (g *Gate) head(e Head) {
	r, ok := g.requests[e.ID]
	if !ok || r.stage != stageSubmitted {
		return
	}
	r.status, r.contentType = e.Status, e.ContentType
}

func (g *Gate) chunk(e Chunk) {
	r, ok := g.requests[e.ID]
	if !ok || r.stage != stageSubmitted || len(e.Data) == 0 {
		return
	}
	// Write of a hash never fails.
	_, _ = r.sum.Write(e.Data)
	offset := r.length
	r.length += int64(len(e.Data))
	r.buffer = append(r.buffer, e.Data...)
	g.buffered += int64(len(e.Data))
	if !r.tainted {
		for _, conn := range r.readers {
			g.sendChunk(r, conn, offset, e.Data)
		}
	}
	g.boundBuffer()
}

func (g *Gate) backendEnd(now time.Duration, e End) {
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
	case r.tainted:
		g.finish(now, r, mulberryspool.OutcomeUnknown, r.cancelled)
	case g.settings.ReadBack:
		r.stage = stageVerifying
		g.emit(ReadBack{ID: r.id})
	default:
		g.finish(now, r, mulberryspool.OutcomeDone, "")
	}
}

func (g *Gate) readBack(now time.Duration, e ReadBackDone) {
	r, ok := g.requests[e.ID]
	switch {
	case !ok:
	case e.Before && r.stage == stageWaiting:
		g.readBefore(now, r, e)
	case !e.Before && r.stage == stageVerifying:
		g.readAfter(now, r, e)
	}
}

func (g *Gate) readBefore(now time.Duration, r *request, e ReadBackDone) {
	switch {
	case e.Error != "":
		g.finish(now, r, mulberryspool.OutcomeNotRun, "weights not read back before submission: "+e.Error)
	case !sameWeights(e.Loaded, r.weights):
		g.finish(now, r, mulberryspool.OutcomeNotRun, "the engine serves other weights than the agent gates")
		g.emit(Mismatch{Loaded: e.Loaded})
	case now >= r.deadline:
		g.finish(now, r, mulberryspool.OutcomeNotRun, "deadline passed before it was submitted")
	default:
		r.weights = e.Loaded
		g.submit(r)
	}
}

func (g *Gate) readAfter(now time.Duration, r *request, e ReadBackDone) {
	switch {
	case e.Error != "":
		g.finish(now, r, mulberryspool.OutcomeUnknown, "weights not read back after the answer: "+e.Error)
	case e.Loaded != r.weights || r.tainted:
		// The fencing number counts too: weights that changed and changed
		// back have been loaded by an order with a higher number.
		g.finish(now, r, mulberryspool.OutcomeUnknown, "the engine's weights changed during the answer")
		g.emit(Mismatch{Loaded: e.Loaded})
	default:
		g.finish(now, r, mulberryspool.OutcomeDone, "")
	}
}

// sameWeights compares what the engine serves, whoever ordered it.
func sameWeights(a, b mulberryspool.Loaded) bool {
	a.Fencing, b.Fencing = 0, 0
	return a == b
}

// finish sets the only outcome that a request ever gets.
func (g *Gate) finish(now time.Duration, r *request, outcome mulberryspool.Outcome, message string) {
	r.stage = stageEnded
	r.endedAt = now
	r.end = mulberryspool.EndNotice{
		RequestID: r.id, Outcome: outcome, Length: r.length, Checksum: r.sum.Sum64(),
		Status: r.status, ContentType: r.contentType, Message: message,
	}
	if outcome == mulberryspool.OutcomeDone {
		r.end.Weights = r.weights.Digest
	} else {
		// Only a done answer may be delivered, so the rest is withheld.
		g.dropBuffer(r)
	}
	r.params.Body = nil
	g.running = slices.DeleteFunc(g.running, func(other *request) bool { return other == r })
	g.ended = append(g.ended, r)
	for _, conn := range r.readers {
		g.emit(SendEnd{Conn: conn, Notice: r.end})
	}
	detail := string(outcome)
	if message != "" {
		detail += ": " + message
	}
	g.record(mulberryspool.EventRequestEnded, r, detail)
}

// attach gives the rest of an answer to a connection, besides those that get
// it already.
func (g *Gate) attach(r *request, conn ConnID, offset int64) {
	r.detach(conn)
	undeliverable := offset < r.base || offset > r.length
	done := r.stage == stageEnded && r.end.Outcome == mulberryspool.OutcomeDone
	if undeliverable && (done || r.stage != stageEnded) {
		// A running request goes on, because its answer may be complete at
		// another offset; this connection gets no part of it.
		g.emit(SendEnd{Conn: conn, Notice: lostNotice(r.id)})
		return
	}
	r.readers = append(r.readers, conn)
	if !undeliverable && !r.tainted {
		g.resend(r, conn, offset)
	}
	if r.stage == stageEnded {
		g.emit(SendEnd{Conn: conn, Notice: r.end})
	}
}

func (r *request) detach(conn ConnID) {
	r.readers = slices.DeleteFunc(r.readers, func(other ConnID) bool { return other == conn })
}

func (g *Gate) resend(r *request, conn ConnID, offset int64) {
	rest := r.buffer[offset-r.base:]
	for len(rest) > 0 {
		part := rest[:min(len(rest), resendBytes)]
		// The buffer may be changed before the notice is encoded.
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

// lostNotice ends a request that was or may have been executed, and whose
// answer is no longer kept.
func lostNotice(id mulberryspool.RequestID) mulberryspool.EndNotice {
	return mulberryspool.EndNotice{
		RequestID: id, Outcome: mulberryspool.OutcomeUnknown, Message: "the answer is no longer kept",
	}
}
