package placement

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// slowWork is how many times longer than usual work takes on a machine that is reported as
// slow in metrics.
const slowWork = 1.5

// RecordLoad records the load that a backend server reports in an answer.
func (p *Placer) RecordLoad(id mulberryspool.InstanceID, born int64, report mulberryspool.LoadReport, now time.Time) {
	if s := p.servers[id]; s != nil && s.Born == born {
		s.load.RecordReport(report, s.inFlight(), now)
	}
}

// occupied is the number of requests in flight at a backend server, with those that only the
// server knows of. They alone never fill a server: the report may be wrong, and only an
// answer brings the next one.
func (p *Placer) occupied(s *server, now time.Time) int {
	known := s.inFlight()
	if foreign := s.load.Foreign(now); foreign > 0 {
		return known + min(foreign, max(0, p.capacity(s)-1))
	}
	return known
}

// Reported returns the number of requests that only the backend servers know of, and the
// number of servers whose machines are slow by their reports.
func (p *Placer) Reported(now time.Time) (foreign, slow int) {
	for _, s := range p.ordered {
		foreign += s.load.Foreign(now)
		if s.load.Work(now) >= slowWork {
			slow++
		}
	}
	return foreign, slow
}
