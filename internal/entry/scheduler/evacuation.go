package scheduler

import (
	"context"
	"slices"
	"time"
)

const (
	// maxEvacuationsWait is how long a request waits until this process knows which failure
	// domains are evacuated. Other entries report that twice a second.
	maxEvacuationsWait = 500 * time.Millisecond
	// evacuationsCheckInterval is how often it checks that.
	evacuationsCheckInterval = 20 * time.Millisecond
	// evacuationsUnknownRetryAfter is the Retry-After hint if it still does not know.
	// Other entries can serve the request at once.
	evacuationsUnknownRetryAfter = 300 * time.Millisecond
)

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

// awaitEvacuations waits until this process knows which failure domains are evacuated, and returns
// false if it does not within maxEvacuationsWait or before the context is done.
func (s *Scheduler) awaitEvacuations(ctx context.Context) bool {
	if s.knowsEvacuations() {
		return true
	}
	for end := s.Clock.Now().Add(maxEvacuationsWait); s.Clock.Now().Before(end); {
		select {
		case <-ctx.Done():
			return false
		case <-s.Clock.After(evacuationsCheckInterval):
		}
		if s.knowsEvacuations() {
			return true
		}
	}
	return false
}
