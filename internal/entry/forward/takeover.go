package forward

import (
	"context"

	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

// takeover is what a stream needs to go on at another backend server. It is taken before the
// attempt at a silent one is given up, because a sound server may be silent for a while.
type takeover struct {
	// decision is the placement, nil if there is none.
	decision *placement.Decision
	// budgeted is set once the attempt was taken from the retry budget.
	budgeted bool
}

// outlastSilence is called when a read has timed out. It reports whether the attempt waits
// longer: the stream has begun to reach its caller and can't go on at another backend server
// now, so that giving up would break it off.
func (a *attempt) outlastSilence() bool {
	now := a.handler.Clock.Now()
	if a.stream == nil || !a.deadline.After(now) || a.startOverdue() || a.prepareTakeover() {
		return false
	}
	a.handler.count("outlasted_silences", a.route.Name, a.pool.Name, "")
	return a.setEventDeadline() == nil
}

// prepareTakeover reserves a place at another backend server and a retry, and reports whether
// it got both.
func (a *attempt) prepareTakeover() bool {
	r := a.placementRequest(false)
	r.Exclude, r.Reattempt = append(r.Exclude[:len(r.Exclude):len(r.Exclude)], a.decision.Server.Instance), true
	ctx, cancel := context.WithCancel(a.incoming.Context())
	// Only a place that is free now counts.
	cancel()
	decision := a.handler.Scheduler.Place(ctx, a.pool.Name, r)
	if decision.Verdict != placement.Placed {
		return false
	}
	a.takeover.decision = &decision
	if a.retryRefusal(a.sentCount+1, len(a.tried)+1, true) != "" {
		a.releaseTakeover()
		return false
	}
	return true
}

// place returns the reserved placement, or a new one. One for a trial needs a server with few
// requests.
func (q *request) place(ctx context.Context, trial bool) placement.Decision {
	if trial {
		q.releaseTakeover()
	}
	if d := q.takeover.decision; d != nil {
		q.takeover.decision = nil
		return *d
	}
	return q.handler.Scheduler.Place(ctx, q.pool.Name, q.placementRequest(trial))
}

// releaseTakeover frees the reserved place.
func (q *request) releaseTakeover() {
	if d := q.takeover.decision; d != nil {
		q.takeover.decision = nil
		q.reportEnded(*d, false, placement.Cancelled, 0)
	}
}
