package scheduler

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
)

// RecordPause records that a backend server has refused a request and wants none from
// this entry for the given time. It reports whether that begins a pause.
func (s *Scheduler) RecordPause(name string, server mulberryspool.BackendServer, pause time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	if p == nil {
		return false
	}
	began := p.placer.RecordPause(server, pause, s.Clock.Now())
	s.decideWaiting(p)
	return began
}

// Withheld returns why a request of the scope that was placed at the backend server must not be
// sent any more, empty if it may be. Check it when the request is about to be written.
func (s *Scheduler) Withheld(name string, server mulberryspool.BackendServer, scope Scope) placement.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	if p == nil {
		return placement.ReasonServerGone
	}
	if !s.knowsEvacuations() {
		return placement.ReasonEvacuationsUnknown
	}
	return p.placer.Withheld(server, s.regions(scope), s.Clock.Now())
}

// PauseLeft returns the time until the first backend server of a pool wants requests
// again that may get requests of the scope; 0 if one wants them now, or there is none.
func (s *Scheduler) PauseLeft(name string, scope Scope) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		return p.placer.PauseLeft(s.regions(scope), s.Clock.Now())
	}
	return 0
}

// Paused calls report for each pool with the number of its backend servers that want no
// requests from this entry.
func (s *Scheduler) Paused(report func(pool string, servers int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.pools {
		report(name, p.placer.Paused(s.Clock.Now()))
	}
}
