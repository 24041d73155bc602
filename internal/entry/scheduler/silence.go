package scheduler

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/silence"
)

// ObserveSilence records which backend servers have sent nothing for too long. It returns
// those that have become silent, or are not any more, and the silent ones that this entry
// has to probe.
func (s *Scheduler) ObserveSilence() (changes []placement.SilenceChange, probe []mulberryspool.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, p := range s.pools {
		p.placer.ObserveSilence(now)
		changes = append(changes, p.placer.SilenceChanges()...)
		probe = append(probe, p.placer.SilentToProbe(now)...)
	}
	return changes, probe
}

// RecordProbe records whether a probe of a silent backend server was answered.
func (s *Scheduler) RecordProbe(server mulberryspool.BackendServer, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[server.Pool]; p != nil {
		p.placer.RecordProbe(server, answered, s.Clock.Now())
		s.decideWaiting(p)
	}
}

// MergeSilences adopts what another entry has reported of silent backend servers in a
// message that was delayed.
func (s *Scheduler) MergeSilences(reports []silence.Report, delay time.Duration) {
	if len(reports) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.placer.MergeSilences(reports, delay, s.Clock.Now())
		s.decideWaiting(p)
	}
}

// Silences returns what other entries need to know of silent backend servers.
func (s *Scheduler) Silences() []silence.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []silence.Report
	for _, p := range s.pools {
		reports = p.placer.AddSilences(reports, s.Clock.Now())
	}
	return reports
}
