package forward

import (
	"time"
)

const (
	// minReadTimeout is the lower bound of the time without a byte after which a backend
	// server counts as silent.
	minReadTimeout = 1200 * time.Millisecond
	// readTimeoutFactor times the latency objective, or eventGapFactor times the gap
	// objective of a stream that has begun, replaces minReadTimeout if it is longer.
	readTimeoutFactor = 3
	eventGapFactor    = 4
	// silenceInterval is the interval at which a silence is reported again, because a second
	// attempt may be possible then.
	silenceInterval = 300 * time.Millisecond
)

// nextSilence returns when the silence of the backend server is reported next, unless it sends
// something. The last attempt waits until the deadline.
func (a *attempt) nextSilence() time.Time {
	if !a.retryable() || a.number >= a.route.Attempts {
		return a.deadline
	}
	wait := max(minReadTimeout, readTimeoutFactor*a.route.Objective)
	switch {
	case a.silent:
		wait = silenceInterval
	case a.promptRead:
		wait = max(minReadTimeout, eventGapFactor*a.route.GapObjective)
	}
	if at := a.handler.Clock.Now().Add(wait); at.Before(a.deadline) {
		return at
	}
	return a.deadline
}

// setEventDeadline limits the wait for the next event to the time at which the stream
// counts as silent.
func (a *attempt) setEventDeadline() error {
	if !a.promptRead {
		return a.setStartDeadline(a.nextSilence())
	}
	return a.setReadDeadline(a.nextSilence())
}

// outlastSilence is called when a read has timed out. It reports the silence and returns
// whether the attempt waits longer: it ends only for another one, or by its own bounds.
func (a *attempt) outlastSilence() bool {
	if a.handler.Clock.Until(a.deadline) <= 0 || a.startOverdue() {
		return false
	}
	a.silent = true
	return a.post(message{kind: messageSilent}) == nil && a.extendDeadline(a.nextSilence()) == nil
}

// endSilence records that the backend server has sent a part of the response.
func (a *attempt) endSilence() {
	if a.silent {
		a.silent = false
		a.handler.count("outlasted_silences", a.route.Name, a.pool.Name, "")
	}
}
