package scheduler

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/serverlimit"
)

// RecordLimit records the rate limit that a server's answer named, nil for none, to a
// request that was sent at the given time. It reports whether the limit has changed.
func (s *Scheduler) RecordLimit(name string, server mulberryspool.BackendServer, rate *float64, sentAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[name]
	if p == nil || !p.placer.RecordLimit(server.Instance, server.Born, rate, sentAt, s.Clock.Now()) {
		return false
	}
	s.decideWaiting(p)
	s.notifyLoadChanged()
	return true
}

// MergeLimits adopts what another entry reports of rate limits.
func (s *Scheduler) MergeLimits(peer string, reports []serverlimit.Report) {
	if len(reports) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.placer.MergeLimits(peer, reports, s.Clock.Now())
		s.decideWaiting(p)
	}
}

// Limits returns what other entries need to know of rate limits.
func (s *Scheduler) Limits() []serverlimit.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []serverlimit.Report
	for _, p := range s.pools {
		reports = p.placer.AddLimits(reports, s.Clock.Now())
	}
	return reports
}
