package scheduler

import (
	"slices"
	"time"
)

// evacuationsUnknownRetryAfter is the Retry-After hint of a process that does not know which
// failure domains are evacuated. Other entries can serve the request at once.
const evacuationsUnknownRetryAfter = 300 * time.Millisecond

// SetEvacuated replaces the failure domains that are evacuated.
func (s *Scheduler) SetEvacuated(domains []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = slices.Clone(domains)
	for _, p := range s.pools {
		p.placer.SetEvacuated(domains, s.Clock.Now())
		s.decideWaiting(p)
	}
}

func (s *Scheduler) knowsEvacuations() bool { return s.KnowsEvacuations == nil || s.KnowsEvacuations() }
