// Package gracefulstop decides which requests an entry may still pass on during a planned
// stop, and when those in flight have to be answered.
//
//	Arrive, End (each request) --\
//	Begin (the signal) ------------> Stop --> Accepts, AnswerBy, CloseIdleBy, EndBy
//
// The load pattern: the platform takes the entry out of rotation within seconds, and
// callers go on to use their open connections. A request that is passed on and can't end
// before the process does is lost, and one that may not be repeated is lost for good. So
// it is refused as not run while there is another entry to go to. A stream that takes longer
// than all before it, or whose backend server pauses, is broken off if it was passed on late.
//
// A Stop does no I/O and reads no clock. It must be used by one goroutine at a time.
package gracefulstop

import "time"

const (
	// maxIdleTime is how long after the signal idle connections stay open. The platform
	// stops opening new ones after two failed readiness checks, which are a second apart.
	// A request that arrives while its connection is closed costs its caller time.
	maxIdleTime = 2800 * time.Millisecond
	// answerMargin and endMargin are the times before the process is killed at which the
	// last answers are written and the last connections are closed; answerShare and
	// endShare bound them in short stops.
	answerMargin = 800 * time.Millisecond
	endMargin    = 300 * time.Millisecond
	answerShare  = 5
	endShare     = 10
	// idleShare bounds maxIdleTime in short stops.
	idleShare = 2
	// durationFactor and durationMargin are the allowance for a request that takes longer
	// than those before it.
	durationFactor = 1.25
	durationMargin = 250 * time.Millisecond
	// epochLength is how long the longest duration of a route is kept, at least.
	epochLength = 30 * time.Second
)

type (
	// Stop is the state of a planned stop, before and after it has begun.
	Stop struct {
		// Grace is the time from the signal until the process is killed.
		Grace time.Duration

		beganAt time.Time
		// running holds the requests in flight.
		running map[Ticket]running
		last    Ticket
		// current and previous hold the longest duration of each route in two epochs.
		current, previous map[string]time.Duration
		epochAt           time.Time
	}

	// Ticket identifies a request in flight.
	Ticket uint64

	running struct {
		route   string
		arrived time.Time
	}

	// Request is a request that could be passed on.
	Request struct {
		Route string
		// Deadline is when the request ends in any case.
		Deadline time.Time
		// ArrivedAt is when it arrived, also if it is passed on once more.
		ArrivedAt time.Time
		// Repeatable requests may be sent again after they were broken off.
		Repeatable bool
		// Stream is set if the response is passed on as it arrives, so that one that has
		// begun can only be broken off.
		Stream bool
	}
)

// Arrive records that a request has arrived. End must be called at its end.
func (s *Stop) Arrive(route string, now time.Time) Ticket {
	if s.running == nil {
		s.running = make(map[Ticket]running)
	}
	s.last++
	s.running[s.last] = running{route: route, arrived: now}
	return s.last
}

// End records the end of a request, and how long it took if it was answered.
func (s *Stop) End(t Ticket, answered bool, now time.Time) {
	r := s.running[t]
	delete(s.running, t)
	if !answered {
		return
	}
	if s.current == nil || now.Sub(s.epochAt) > epochLength {
		s.previous, s.current, s.epochAt = s.current, make(map[string]time.Duration), now
	}
	s.current[r.route] = max(s.current[r.route], now.Sub(r.arrived))
}

// Begin records the signal. Later calls have no effect.
func (s *Stop) Begin(now time.Time) {
	if s.beganAt.IsZero() {
		s.beganAt = now
	}
}

// Accepts reports whether a request can end before the last answers are written. What the
// durations of earlier requests promise is not certain, so streams that arrive when idle
// connections are closed, or later, need a deadline before that.
func (s *Stop) Accepts(r Request, now time.Time) bool {
	if s.beganAt.IsZero() {
		return true
	}
	end := s.AnswerBy()
	if !r.Deadline.After(end) {
		return true
	}
	if !r.Repeatable || r.Stream && !r.ArrivedAt.Before(s.CloseIdleBy()) {
		return false
	}
	longest := s.longest(r.Route, now)
	if longest == 0 {
		return false
	}
	expected := time.Duration(durationFactor*float64(longest)) + durationMargin
	return !now.Add(expected).After(end)
}

// longest returns the longest duration of a route's requests: those that were answered, and
// those in flight so far, which show that backend servers have become slow.
func (s *Stop) longest(route string, now time.Time) time.Duration {
	longest := max(s.current[route], s.previous[route])
	for _, r := range s.running {
		if r.route == route {
			longest = max(longest, now.Sub(r.arrived))
		}
	}
	return longest
}

// CloseIdleBy returns when idle connections are closed.
func (s *Stop) CloseIdleBy() time.Time {
	return s.beganAt.Add(min(maxIdleTime, s.Grace/idleShare))
}

// AnswerBy returns when the requests in flight get their answers: that they have not run, or
// that it is not known.
func (s *Stop) AnswerBy() time.Time {
	return s.beganAt.Add(s.Grace - min(answerMargin, s.Grace/answerShare))
}

// EndBy returns when the last connections are closed.
func (s *Stop) EndBy() time.Time {
	return s.beganAt.Add(s.Grace - min(endMargin, s.Grace/endShare))
}
