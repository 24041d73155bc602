package scheduler

import "github.com/mulberryspool/mulberryspool"

// RecordLoad records the load that a backend server reports in an answer.
func (s *Scheduler) RecordLoad(name string, server mulberryspool.BackendServer, report mulberryspool.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[name]; p != nil {
		p.placer.RecordLoad(server.Instance, server.Born, report, s.Clock.Now())
	}
}

// Reported calls report for each pool with the number of requests that only its backend
// servers know of, and the number of servers whose machines are slow by their reports.
func (s *Scheduler) Reported(report func(pool string, foreign, slow int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, p := range s.pools {
		foreign, slow := p.placer.Reported(s.Clock.Now())
		report(name, foreign, slow)
	}
}
