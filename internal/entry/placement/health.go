package placement

import (
	"math"
	"time"
)

const (
	// scoreJitter is the upper bound of the random part of a score.
	scoreJitter = 8 * time.Millisecond
	// misdirectedBackoff is how long a server that answered Misdirected is
	// skipped, unless the server list or its agent reports a newer version.
	misdirectedBackoff = 2500 * time.Millisecond
	// suspicionHalfLife is the time in which the weight of past failures halves.
	suspicionHalfLife = 1500 * time.Millisecond
	// suspicionThreshold is the suspicion from which a server gets only probes.
	suspicionThreshold = 1.0
	// suspicionDelay is what a suspicion of 1 adds to the expected time.
	suspicionDelay = 80 * time.Millisecond
	// successFactor is the share of the suspicion that remains after a success.
	successFactor = 0.6
	// probeInterval is the time between two probes of an avoided server.
	probeInterval = 500 * time.Millisecond
)

// health is the state of a backend server as derived from the outcomes of its
// requests.
type health struct {
	suspicion  float64
	updatedAt  time.Time
	lastSentAt time.Time
}

// suspicionWeight is what an outcome adds to the suspicion. Failed counts
// little because single requests fail regularly in some pools.
func suspicionWeight(o Outcome) float64 {
	switch o {
	case Failed:
		return 0.15
	case Broken:
		return 0.5
	case TimedOut, Unreachable:
		return 1.2
	}
	return 0
}

func (h *health) recordOutcome(o Outcome, now time.Time) {
	h.decay(now)
	switch o {
	case Answered:
		h.suspicion *= successFactor
	default:
		h.suspicion = min(4, h.suspicion+suspicionWeight(o))
	}
}

func (h *health) decay(now time.Time) {
	if !h.updatedAt.IsZero() && now.After(h.updatedAt) {
		h.suspicion *= math.Exp2(-float64(now.Sub(h.updatedAt)) / float64(suspicionHalfLife))
	}
	h.updatedAt = now
}

func (h *health) recordSent(now time.Time) {
	h.lastSentAt = now
}

// avoided reports whether the server gets no requests at present. Above the
// suspicion threshold, a server gets one probe per probeInterval.
func (h *health) avoided(now time.Time) bool {
	h.decay(now)
	return h.suspicion >= suspicionThreshold && now.Sub(h.lastSentAt) < probeInterval
}

// penalty is added to the server's expected time to the first event.
func (h *health) penalty(now time.Time) time.Duration {
	h.decay(now)
	return time.Duration(h.suspicion * float64(suspicionDelay))
}
