package placement

import (
	"math"
	"time"
)

const (
	// jitter is the random part of a score.
	jitter = 8 * time.Millisecond
	// misdirectedFor is how long a server whose version was wrong is passed
	// over, unless it or its agent says something new.
	misdirectedFor = 2500 * time.Millisecond
	// suspicionHalfLife is how fast old failures are forgotten.
	suspicionHalfLife = 1500 * time.Millisecond
	// avoidAbove is the suspicion from which a server gets only trials.
	avoidAbove = 1.0
	// suspicionDelay is what a suspicion of 1 adds to the expected time.
	suspicionDelay = 80 * time.Millisecond
	// successCredit is the share of the suspicion that a success leaves.
	successCredit = 0.6
	// trialPause is the time between two trials of an avoided server.
	trialPause = 500 * time.Millisecond
	// slowest bounds the pace that is believed.
	slowest = 8.0
)

// health is what a backend server's own outcomes say of it.
type health struct {
	suspicion float64
	at        time.Time
	lastSent  time.Time
	// rate is the moving mean of the pauses between events against the published ones.
	rate float64
}

// weights of failures. A request that fails by itself is usual at some pools.
func weight(o Outcome) float64 {
	switch o {
	case Failed:
		return 0.15
	case Broken:
		return 0.5
	case Silent, Unreached:
		return 1.2
	}
	return 0
}

func (h *health) ended(o Outcome, now time.Time) {
	h.decay(now)
	switch o {
	case Answered:
		h.suspicion *= successCredit
	default:
		h.suspicion = min(4, h.suspicion+weight(o))
	}
}

func (h *health) decay(now time.Time) {
	if !h.at.IsZero() && now.After(h.at) {
		h.suspicion *= math.Exp2(-float64(now.Sub(h.at)) / float64(suspicionHalfLife))
	}
	h.at = now
}

func (h *health) sent(now time.Time) {
	h.lastSent = now
}

func (h *health) paced(ratio float64) {
	if h.rate == 0 {
		h.rate = 1
	}
	h.rate += smoothing * (min(ratio, slowest) - h.rate)
}

// pace is over 1 for a server that is slower than published.
func (h *health) pace() float64 {
	return max(1, h.rate)
}

// avoided servers get no requests but trials.
func (h *health) avoided(now time.Time) bool {
	h.decay(now)
	return h.suspicion >= avoidAbove && now.Sub(h.lastSent) < trialPause
}

func (h *health) penalty(now time.Time) time.Duration {
	h.decay(now)
	return time.Duration(h.suspicion * float64(suspicionDelay))
}
