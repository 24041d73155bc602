package gate

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// storeRefusal stores an ID as refused permanently. It keeps the first
// reason and updates the time, so that a resolve also refuses starts that were
// sent between the first refusal and the resolve.
func (g *Gate) storeRefusal(now time.Duration, id mulberryspool.RequestID, reason mulberryspool.Refusal) {
	if known, ok := g.refused[id]; ok {
		reason = known.reason
	}
	g.refused[id] = refusal{reason: reason, at: now}
	g.refusalOrder = append(g.refusalOrder, refusedID{id: id, at: now})
	for len(g.refusalOrder) > g.settings.MaxRefused {
		// Without the stored ID, copies of the start must be refused as stale.
		g.staleUpTo = max(g.staleUpTo, g.refusalOrder[0].at)
		g.dropOldestRefused()
	}
}

// dropRefused drops refused IDs after StartFreshness. All copies of their
// starts carry an agent time from before the refusal, so they are stale by then.
func (g *Gate) dropRefused(now time.Duration) {
	for len(g.refusalOrder) > 0 && now-g.refusalOrder[0].at > g.settings.StartFreshness {
		g.dropOldestRefused()
	}
}

func (g *Gate) dropOldestRefused() {
	oldest := g.refusalOrder[0]
	g.refusalOrder = g.refusalOrder[1:]
	if g.refused[oldest.id].at == oldest.at {
		delete(g.refused, oldest.id)
	}
}

// dropEnded drops requests that ended longer ago than AnswerRetention.
func (g *Gate) dropEnded(now time.Duration) {
	for len(g.ended) > 0 && now-g.ended[0].endedAt > g.settings.AnswerRetention {
		r := g.ended[0]
		g.ended = g.ended[1:]
		g.dropBuffer(r)
		delete(g.requests, r.id)
		g.newestDropped = max(g.newestDropped, r.agentTime)
		g.hasDropped = true
	}
}

// mayHaveBeenDropped reports whether a start with an unknown ID may be a copy of
// one that was accepted and whose request has been dropped since.
func (g *Gate) mayHaveBeenDropped(params mulberryspool.StartParams) bool {
	_, refused := g.refused[params.RequestID]
	return !refused && g.hasDroppedSince(params.AgentTime)
}

// hasDroppedSince reports whether any dropped request had this agent time or a
// newer one.
func (g *Gate) hasDroppedSince(agentTime time.Duration) bool {
	return g.hasDropped && agentTime <= g.newestDropped
}

// enforceBufferLimit drops the buffer of the request whose answer has grown if it
// takes most of the limit. Otherwise it drops those of ended requests, those that
// ended first before the others, and then of the oldest requests in flight. The
// requests themselves are kept.
func (g *Gate) enforceBufferLimit(grown *request) {
	if g.bufferedBytes > g.settings.MaxBufferedBytes && int64(len(grown.buffer)) > g.settings.MaxBufferedBytes/2 {
		g.dropBuffer(grown)
	}
	for _, r := range g.ended {
		if g.bufferedBytes <= g.settings.MaxBufferedBytes {
			return
		}
		g.dropBuffer(r)
	}
	for _, r := range g.inFlight {
		if g.bufferedBytes <= g.settings.MaxBufferedBytes {
			return
		}
		g.dropBuffer(r)
	}
}

func (g *Gate) dropBuffer(r *request) {
	g.bufferedBytes -= int64(len(r.buffer))
	r.bufferStart = r.length
	r.buffer = nil
}
