package gate

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// remember records an ID as refused permanently. The first reason stands, and
// the time is renewed: a later resolve covers starts sent until then.
func (g *Gate) remember(now time.Duration, id mulberryspool.RequestID, reason mulberryspool.Refusal) {
	if known, ok := g.refused[id]; ok {
		reason = known.reason
	}
	g.refused[id] = refusal{reason: reason, at: now}
	g.refusedOrder = append(g.refusedOrder, refusedAt{id: id, at: now})
	for len(g.refusedOrder) > g.settings.MaxRefused {
		// Every copy of the dropped start is made stale in place of its ID.
		g.staleUpTo = max(g.staleUpTo, g.refusedOrder[0].at)
		g.dropOldestRefused()
	}
}

// forgetRefused drops IDs whose starts are stale by now: all copies were sent
// with an agent time from before the refusal.
func (g *Gate) forgetRefused(now time.Duration) {
	for len(g.refusedOrder) > 0 && now-g.refusedOrder[0].at > g.settings.StartFreshness {
		g.dropOldestRefused()
	}
}

func (g *Gate) dropOldestRefused() {
	oldest := g.refusedOrder[0]
	g.refusedOrder = g.refusedOrder[1:]
	if g.refused[oldest.id].at == oldest.at {
		delete(g.refused, oldest.id)
	}
}

// forgetEnded drops requests that ended longer ago than AnswerRetention.
func (g *Gate) forgetEnded(now time.Duration) {
	for len(g.ended) > 0 && now-g.ended[0].endedAt > g.settings.AnswerRetention {
		r := g.ended[0]
		g.ended = g.ended[1:]
		g.dropBuffer(r)
		delete(g.requests, r.id)
		g.forgotten = max(g.forgotten, r.agentTime)
		g.hasForgotten = true
	}
}

// mayBeForgotten reports whether a start's request is unknown, but may have
// been accepted once.
func (g *Gate) mayBeForgotten(params mulberryspool.StartParams) bool {
	_, refused := g.refused[params.RequestID]
	return !refused && g.wasForgotten(params.AgentTime)
}

// wasForgotten reports whether requests with this agent time were forgotten.
func (g *Gate) wasForgotten(agentTime time.Duration) bool {
	return g.hasForgotten && agentTime <= g.forgotten
}

// boundBuffer drops the buffers of the requests that ended first, then those
// of the oldest running ones. The requests themselves stay known.
func (g *Gate) boundBuffer() {
	for _, r := range g.ended {
		if g.buffered <= g.settings.BufferBytes {
			return
		}
		g.dropBuffer(r)
	}
	for _, r := range g.running {
		if g.buffered <= g.settings.BufferBytes {
			return
		}
		g.dropBuffer(r)
	}
}

func (g *Gate) dropBuffer(r *request) {
	g.buffered -= int64(len(r.buffer))
	r.base = r.length
	r.buffer = nil
}
