// Package messagedelay estimates how long the messages of other processes were delayed.
//
//	Record (a message: the sender's clock, its arrival) --> Estimator --> delay
//
// The monotonic clocks of two processes differ by a constant that neither knows. The
// fastest of a sender's recent messages shows it, except for the shortest delay of the
// path itself, so the delay of each other message is known beyond that.
package messagedelay

import "time"

const (
	// minMessages and minSpan are how many messages of a sender, and over which time,
	// must have arrived before its delays count as known.
	minMessages = 3
	minSpan     = 2 * time.Second
	// epochLength is the time after which the fastest message is forgotten, at the
	// latest after twice as long. A process that was suspended has a new difference.
	epochLength = 30 * time.Second
)

type (
	// Estimator estimates the delays of messages. It does no I/O, and is not safe for
	// concurrent use.
	Estimator struct {
		// reference is the time from which differences to the senders' clocks are measured.
		reference time.Time
		senders   map[string]*sender
	}

	sender struct {
		// boot identifies the incarnation whose clock the differences refer to.
		boot              int64
		firstAt, lastAt   time.Time
		messages          int
		epochAt           time.Time
		current, previous time.Duration
	}
)

// Record records a message that was sent at a time of its sender's monotonic clock. It
// returns how much longer the message was on its way than the fastest one, and false
// while too few messages of this incarnation of the sender have arrived.
func (e *Estimator) Record(name string, boot int64, sent time.Duration, now time.Time) (time.Duration, bool) {
	if e.senders == nil {
		e.reference, e.senders = now, make(map[string]*sender)
	}
	difference := now.Sub(e.reference) - sent
	s := e.senders[name]
	if s == nil || s.boot != boot {
		e.removeSilent(now)
		s = &sender{boot: boot, firstAt: now, epochAt: now, current: difference, previous: difference}
		e.senders[name] = s
	}
	if now.Sub(s.epochAt) > epochLength {
		s.epochAt, s.previous, s.current = now, s.current, difference
	}
	s.lastAt, s.current = now, min(s.current, difference)
	s.messages++
	if s.messages < minMessages || now.Sub(s.firstAt) < minSpan {
		return 0, false
	}
	return difference - min(s.current, s.previous), true
}

// removeSilent removes the senders whose differences are outdated.
func (e *Estimator) removeSilent(now time.Time) {
	for name, s := range e.senders {
		if now.Sub(s.lastAt) > 2*epochLength {
			delete(e.senders, name)
		}
	}
}
