package scheduler

import (
	"github.com/mulberryspool/mulberryspool/internal/entry/shedding"
)

// MergeDemand adopts what another entry reports of the load of overloaded pools.
func (s *Scheduler) MergeDemand(peer string, reports map[string]shedding.Report) {
	if len(reports) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, report := range reports {
		if p := s.pools[name]; p != nil {
			p.placer.SetPeerDemand(peer, report, s.Clock.Now())
		}
	}
}

// Demand returns what other entries need to know of the load of overloaded pools; nil if there
// are none.
func (s *Scheduler) Demand() map[string]shedding.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports map[string]shedding.Report
	for name, p := range s.pools {
		if report, ok := p.placer.Demand(s.Clock.Now()); ok {
			if reports == nil {
				reports = make(map[string]shedding.Report)
			}
			reports[name] = report
		}
	}
	return reports
}

// Shares calls report for each pool with the part of the new requests of each priority that
// is admitted, the most urgent one first.
func (s *Scheduler) Shares(report func(pool string, overloaded bool, shares []shedding.Share)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for name, p := range s.pools {
		overloaded, shares := p.placer.Shares(now)
		report(name, overloaded, shares)
	}
}
