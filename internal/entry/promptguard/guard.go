// Package promptguard lets requests wait for the decisions of package quarantine,
// and reports to it how their exchanges with backend servers end.
//
//	Admit --> Exchange: Event, Complete, Broken, Abandoned, Close --> quarantine.Quarantine
//
// Its findings are shared between the entries as heartbeats carry them.
package promptguard

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
)

// pollInterval is the interval at which a waiting request asks again.
const pollInterval = 20 * time.Millisecond

type (
	// Guard is shared by all requests of an entry. Set the exported fields before
	// the first call.
	Guard struct {
		Clock   mulberryspool.Clock
		Logger  zerolog.Logger
		Metrics tally.Scope
		// Quarantine is used under the guard's lock only.
		Quarantine *quarantine.Quarantine
		// Changed is called when ChangedFindings should be reported to the other
		// entries soon; it must not block. It may be nil.
		Changed func()

		mu sync.Mutex
		// levels holds the levels last logged.
		levels map[quarantine.Part]quarantine.Level
		// starting holds the exchanges whose answers have not begun.
		starting map[*Exchange]struct{}
	}

	// Exchange is a request that is sent to a backend server, until its answer has
	// begun. It must be used by one goroutine at a time.
	Exchange struct {
		guard  *Guard
		id     mulberryspool.RequestID
		parts  []quarantine.Part
		server quarantine.Server
		// isTrial is set if the request is the trial of one of the parts.
		isTrial bool
		cancel  context.CancelFunc
		// firstEventAt is zero before the first event.
		firstEventAt time.Time
		// settled is set once the result is recorded.
		settled bool
	}
)

// Parts returns the parts of a prompt that other requests may share: all but the
// last one.
func Parts(model string, ids []string) []quarantine.Part {
	if len(ids) < 2 {
		return nil
	}
	parts := make([]quarantine.Part, len(ids)-1)
	for i := range parts {
		parts[i] = quarantine.PartOf(model, ids[i])
	}
	return parts
}

// Check decides on a request without waiting.
func (g *Guard) Check(id mulberryspool.RequestID, parts []quarantine.Part) quarantine.Decision {
	if len(parts) == 0 {
		return quarantine.Decision{}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	d := g.Quarantine.Decide(id, parts, now)
	if d.Announced {
		g.Logger.Info().Str("requestID", string(id)).Str("part", string(d.Part)).Int("crashes", d.Crashes).Msg("request is a trial of a suspected part of prompts")
		g.notifyChanged()
	}
	return d
}

// CheckBeside decides on a second attempt beside one that is in flight. A prompt with a part
// under suspicion is not sent to two backend servers at a time.
func (g *Guard) CheckBeside(parts []quarantine.Part) quarantine.Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.Quarantine.IsClear(parts, g.Clock.Now()) {
		return quarantine.Decision{Verdict: quarantine.Wait}
	}
	return quarantine.Decision{}
}

// Admit waits until the request may be sent to a backend server or is rejected, at
// most until the given time.
func (g *Guard) Admit(ctx context.Context, id mulberryspool.RequestID, parts []quarantine.Part, until time.Time) quarantine.Decision {
	for {
		d := g.Check(id, parts)
		now := g.Clock.Now()
		if d.Verdict != quarantine.Wait || !now.Before(until) {
			return d
		}
		select {
		case <-g.Clock.After(min(pollInterval, max(0, d.Until.Sub(now)))):
		case <-ctx.Done():
			return d
		}
	}
}

// Start records that a request is about to be sent to a backend server. If its prompt
// is rejected by now, or later before its answer has begun, cancel is called.
func (g *Guard) Start(id mulberryspool.RequestID, parts []quarantine.Part, server mulberryspool.BackendServer, cancel context.CancelFunc) *Exchange {
	e := &Exchange{guard: g, id: id, parts: parts, server: quarantine.ServerOf(server), cancel: cancel}
	if len(parts) == 0 {
		e.settled = true
		return e
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Quarantine.Rejects(parts, g.Clock.Now()) {
		cancel()
		return e
	}
	e.isTrial = g.Quarantine.IsTrial(id, parts)
	if g.starting == nil {
		g.starting = make(map[*Exchange]struct{})
	}
	g.starting[e] = struct{}{}
	return e
}

// Event records that an event of the answer was received.
func (e *Exchange) Event() {
	if e.settled {
		return
	}
	now := e.guard.Clock.Now()
	if e.firstEventAt.IsZero() {
		e.firstEventAt = now
	}
	if now.Sub(e.firstEventAt) >= quarantine.BeginTime {
		e.Complete()
	}
}

// Complete records that the answer has begun, or that all of it was received.
func (e *Exchange) Complete() {
	e.settle(func(q *quarantine.Quarantine, now time.Time) bool { return len(q.RecordBegun(e.parts, now)) > 0 })
}

// Broken records that the connection broke.
func (e *Exchange) Broken() {
	e.settle(func(q *quarantine.Quarantine, now time.Time) bool {
		added := q.RecordBroken(e.parts, e.server, e.isTrial, now)
		e.guard.Metrics.Counter("prompt_part_crashes").Inc(int64(len(added)))
		return len(added) > 0
	})
}

// Abandoned records that this entry ended the exchange before its answer had begun.
func (e *Exchange) Abandoned() {
	e.settle(func(q *quarantine.Quarantine, now time.Time) bool {
		ended := q.EndTrial(e.id, e.parts, now)
		return len(q.RecordAbandoned(e.parts, e.server, e.isTrial, now)) > 0 || ended
	})
}

// Close ends an exchange that may have had no result. It must be called for each one.
func (e *Exchange) Close() {
	e.settle(func(q *quarantine.Quarantine, now time.Time) bool { return q.EndTrial(e.id, e.parts, now) })
}

// settle records the result of the exchange, unless it has one.
func (e *Exchange) settle(record func(q *quarantine.Quarantine, now time.Time) bool) {
	if e.settled {
		return
	}
	e.settled = true
	g := e.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.starting, e)
	now := g.Clock.Now()
	if record(g.Quarantine, now) {
		g.apply(now, string(e.id), "")
		g.notifyChanged()
	}
}

// Withdraw ends the trial of a request that is not sent.
func (g *Guard) Withdraw(id mulberryspool.RequestID, parts []quarantine.Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.Quarantine.EndTrial(id, parts, g.Clock.Now()) {
		g.notifyChanged()
	}
}

// Merge adopts the findings of another process.
func (g *Guard) Merge(peer string, findings []quarantine.Finding) {
	if len(findings) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	if g.Quarantine.Merge(peer, findings, now) {
		g.notifyChanged()
	}
	g.apply(now, "", peer)
}

// ChangedFindings returns what has changed since the given time.
func (g *Guard) ChangedFindings(since time.Time) []quarantine.Finding {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Quarantine.ChangedFindings(since, g.Clock.Now())
}

// Findings returns what the other processes need to know.
func (g *Guard) Findings() []quarantine.Finding {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Quarantine.Findings(g.Clock.Now())
}

// Expire forgets what no longer counts. Call it regularly.
func (g *Guard) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.Clock.Now()
	g.Quarantine.Expire(now)
	g.apply(now, "", "")
}

// apply cancels the exchanges with parts that are now rejected, and logs which parts
// have changed their level. The request or the peer is the source of the change.
func (g *Guard) apply(now time.Time, request, peer string) {
	for e := range g.starting {
		if g.Quarantine.Rejects(e.parts, now) {
			delete(g.starting, e)
			e.cancel()
		}
	}
	levels := g.Quarantine.Levels(now)
	if len(levels) == 0 && len(g.levels) == 0 {
		return
	}
	for p, level := range levels {
		if before := g.levels[p]; before != level {
			g.logLevel(p, before, level, request, peer)
		}
	}
	for p, before := range g.levels {
		if _, ok := levels[p]; !ok {
			g.logLevel(p, before, quarantine.Clear, request, peer)
		}
	}
	g.levels = levels
	g.reportMetrics()
}

func (g *Guard) logLevel(p quarantine.Part, before, level quarantine.Level, request, peer string) {
	g.Logger.Info().Str("part", string(p)).Stringer("before", before).Stringer("level", level).
		Str("requestID", request).Str("peer", peer).Msg("level of a part of prompts has changed")
}

func (g *Guard) reportMetrics() {
	counts := make(map[quarantine.Level]int)
	for _, level := range g.levels {
		counts[level]++
	}
	for _, level := range []quarantine.Level{quarantine.Suspected, quarantine.Rejected} {
		g.Metrics.Tagged(map[string]string{"reason": level.String()}).Gauge("prompt_parts").Update(float64(counts[level]))
	}
}

func (g *Guard) notifyChanged() {
	if g.Changed != nil {
		g.Changed()
	}
}
