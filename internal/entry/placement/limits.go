package placement

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/serverlimit"
)

// RecordLimit records the rate limit that an answer named, nil for none, to a request
// that was sent at the given time. It reports whether the limit has changed.
func (p *Placer) RecordLimit(id mulberryspool.InstanceID, born int64, rate *float64, sentAt, now time.Time) bool {
	s := p.servers[id]
	if s == nil || s.Born != born {
		return false
	}
	if rate == nil {
		return s.limit.Lift(sentAt, now)
	}
	return s.limit.Name(*rate, now)
}

// MergeLimits adopts what another entry reports of rate limits.
func (p *Placer) MergeLimits(peer string, reports []serverlimit.Report, now time.Time) {
	for _, r := range reports {
		if s := p.servers[r.Instance]; s != nil && s.Born == r.Born {
			s.limit.Merge(peer, r, now)
		}
	}
}

// AddLimits adds what other entries need to know of rate limits to the list.
func (p *Placer) AddLimits(reports []serverlimit.Report, now time.Time) []serverlimit.Report {
	for _, s := range p.ordered {
		if r, ok := s.limit.Report(now); ok {
			r.Instance, r.Born = s.Instance, s.Born
			reports = append(reports, r)
		}
	}
	return reports
}
