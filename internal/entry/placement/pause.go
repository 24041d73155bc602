package placement

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// RecordPause records that a backend server has refused a request and wants none for
// the given time. It reports whether that begins a pause.
func (p *Placer) RecordPause(b mulberryspool.BackendServer, pause time.Duration, now time.Time) bool {
	return p.pauses.Begin(b.Instance, b.Born, pause, now)
}

// Paused returns the number of backend servers that want no requests now.
func (p *Placer) Paused(now time.Time) int { return p.pauses.Active(now) }

// Withheld returns why a request that was placed at the backend server and that the regions,
// nil for all, may get must not be sent any more, empty if it may be.
func (p *Placer) Withheld(b mulberryspool.BackendServer, regions []string, now time.Time) Reason {
	s := p.servers[b.Instance]
	switch {
	case s == nil || s.Born != b.Born:
		return ReasonServerGone
	case s.Leaving:
		return ReasonServerLeaving
	case !p.pausedUntil(s, now).IsZero():
		return ReasonServerPaused
	case p.Evacuated(s.FailureDomain):
		return ReasonServerEvacuated
	case !p.Config.permits(s.FailureDomain, regions):
		return ReasonServerRegion
	}
	return ""
}

// PauseLeft returns the time until the first usable server of a pool wants requests; 0
// if one wants them now, or none is usable. Only those in the regions count, nil for all.
func (p *Placer) PauseLeft(regions []string, now time.Time) time.Duration {
	if c := p.usableCapacity(Request{Regions: regions}, now, now); c.servers == 0 && !c.pausedUntil.IsZero() {
		return c.pausedUntil.Sub(now)
	}
	return 0
}

// pausedUntil returns the end of the server's pause; zero if it has none.
func (p *Placer) pausedUntil(s *server, now time.Time) time.Time {
	return p.pauses.Until(s.Instance, s.Born, now)
}

// allPaused reports whether all servers that could serve the request, at least one,
// are paused for longer than until the given time.
func (p *Placer) allPaused(r Request, by, now time.Time) bool {
	paused := false
	for _, s := range p.ordered {
		if !p.usable(s, r, now) {
			continue
		}
		if !p.pausedUntil(s, now).After(by) {
			return false
		}
		paused = true
	}
	return paused
}
