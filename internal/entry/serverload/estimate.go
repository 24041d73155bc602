// Package serverload estimates the speed of a backend server, and its load that the entries
// don't know of.
//
//	intervals of events --------------> Estimate --> Slowdown
//	reports in answers, known load ---/         \--> Work, Foreign
//
// The load pattern: the machine of a server is shared, and slows down by a factor of 3 for
// half a second; a server runs requests of entries that are partitioned from this one, or of
// others than the entries. The server reports both in its answers, but an entry gets few
// answers of each server, and a report is some 100 ms old.
//
// Therefore what the entries know themselves goes first. A report counts only where it
// exceeds that: by how long work takes, until its events show it, and by the requests beyond
// all that the entries had in flight at about that time. It counts for a second at most.
//
// An Estimate does no I/O and reads no clock. It must be used by one goroutine at a time.
package serverload

import (
	"math"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// intervalGain is the weight of a new mean interval in the moving average.
	intervalGain = 0.1
	// maxSlowdown bounds the effect of a single observation.
	maxSlowdown = 8.0
	// holdTime is how long a report counts in full, maxAge when it counts no longer. In
	// between its weight falls, as it says less and less of the present.
	holdTime = 200 * time.Millisecond
	maxAge   = time.Second
	// settleTime is how long after a report the entries' heartbeats may still bring requests
	// that it includes.
	settleTime = 100 * time.Millisecond
	// peakInterval is the time whose most requests in flight are kept, for the current and the
	// last interval: a report may include requests that have ended since it was made.
	peakInterval = 200 * time.Millisecond
)

type (
	// Estimate is that of one incarnation of a backend server. The zero value is a server of
	// usual speed.
	Estimate struct {
		// meanInterval is the moving average of the intervals between events, as a ratio to
		// the interval in the pool's engine profile; 0 before the first one.
		meanInterval float64
		// work is how much longer than usual work takes on the machine, as reported at workAt.
		work   float64
		workAt time.Time
		// foreign is the number of requests beyond those that are known, as reported at
		// foreignAt.
		foreign   int
		foreignAt time.Time
		// pending is a report whose requests are not compared yet.
		pending pendingReport
		known   peak
	}

	pendingReport struct {
		set      bool
		at       time.Time
		requests int
		// known is the most requests that were known at about the time of the report.
		known int
	}

	// peak is the most requests that were known to be in flight recently.
	peak struct {
		since         time.Time
		current, last int
	}
)

// RecordInterval records the mean interval between the events of a response, as a ratio to
// the interval in the pool's engine profile.
func (e *Estimate) RecordInterval(ratio float64) {
	if e.meanInterval == 0 {
		e.meanInterval = 1
	}
	e.meanInterval += intervalGain * (min(ratio, maxSlowdown) - e.meanInterval)
}

// RecordKnown records the number of requests that the entries are known to have in flight.
// Call it before the number falls and after it has risen.
func (e *Estimate) RecordKnown(requests int, now time.Time) {
	e.settle(now)
	e.known.add(requests, now)
	if e.pending.set {
		e.pending.known = max(e.pending.known, requests)
	}
}

// RecordReport records a report in an answer of the server, while the entries are known to
// have the given number of requests in flight.
func (e *Estimate) RecordReport(r mulberryspool.LoadReport, known int, now time.Time) {
	if r.WorkPercent > 0 {
		e.work, e.workAt = min(max(1, float64(r.WorkPercent)/100), maxSlowdown), now
	}
	e.RecordKnown(known, now)
	// A report that arrives while another one is pending is not needed.
	if !e.pending.set {
		e.pending = pendingReport{set: true, at: now, requests: r.Running + r.Waiting, known: e.known.most(now)}
	}
}

// Work returns how much longer than usual work takes by the last report; at least 1.
func (e *Estimate) Work(now time.Time) float64 {
	if e.work <= 1 {
		return 1
	}
	return 1 + (e.work-1)*weight(now.Sub(e.workAt))
}

// Slowdown returns how much slower the server is than the engine profile says, by its events
// and by the last report; at least 1.
func (e *Estimate) Slowdown(now time.Time) float64 {
	byEvents := max(1, e.meanInterval)
	if e.work <= byEvents {
		return byEvents
	}
	return byEvents + (e.work-byEvents)*weight(now.Sub(e.workAt))
}

// Foreign returns the number of requests at the server beyond those that are known.
func (e *Estimate) Foreign(now time.Time) int {
	e.settle(now)
	if e.foreign == 0 {
		return 0
	}
	return int(math.Round(float64(e.foreign) * weight(now.Sub(e.foreignAt))))
}

// settle compares the pending report once the requests that it includes are known.
func (e *Estimate) settle(now time.Time) {
	if e.pending.set && now.Sub(e.pending.at) >= settleTime {
		e.foreign, e.foreignAt = max(0, e.pending.requests-e.pending.known), e.pending.at
		e.pending.set = false
	}
}

// weight returns the weight of a report of the given age.
func weight(age time.Duration) float64 {
	return min(1, max(0, float64(maxAge-age)/float64(maxAge-holdTime)))
}

func (p *peak) add(requests int, now time.Time) {
	p.rotate(now)
	p.current = max(p.current, requests)
}

func (p *peak) most(now time.Time) int {
	p.rotate(now)
	return max(p.current, p.last)
}

func (p *peak) rotate(now time.Time) {
	switch elapsed := now.Sub(p.since); {
	case elapsed >= 2*peakInterval:
		p.since, p.current, p.last = now, 0, 0
	case elapsed >= peakInterval:
		p.since, p.current, p.last = p.since.Add(peakInterval), 0, p.current
	}
}
