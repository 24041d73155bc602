package placement

import (
	"sync/atomic"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/silence"
)

const (
	// maxObserveInterval is the interval between two calls of ObserveSilence above which
	// this entry itself was delayed.
	maxObserveInterval = 400 * time.Millisecond
	// silenceProbeInterval is the time between two probes of a silent server.
	silenceProbeInterval = 500 * time.Millisecond
)

type (
	// Activity records when a backend server last sent something. It is safe for
	// concurrent use, and a nil one records nothing.
	Activity struct {
		base time.Time
		// last is the time since base of the last byte; 0 before the first one.
		last atomic.Int64
	}

	// SilenceChange is a backend server that has become silent, or is not any more.
	SilenceChange struct {
		Server mulberryspool.BackendServer
		Silent bool
	}
)

// Heard records that the backend server has sent something.
func (a *Activity) Heard(now time.Time) {
	if a != nil {
		a.last.Store(max(1, int64(now.Sub(a.base))))
	}
}

// heardAt returns when the backend server last sent something, and false if it did not.
func (a *Activity) heardAt() (time.Time, bool) {
	if a == nil {
		return time.Time{}, false
	}
	last := a.last.Load()
	return a.base.Add(time.Duration(last)), last > 0
}

// ObserveSilence records which backend servers have sent nothing although they have
// requests of this entry. Call it at least every maxObserveInterval.
func (p *Placer) ObserveSilence(now time.Time) {
	delayed := now.Sub(p.silenceObservedAt) > maxObserveInterval
	p.silenceObservedAt = now
	var silent []*server
	waiting := 0
	for _, s := range p.ordered {
		p.updateHeard(s)
		if delayed {
			s.silence.Excuse(now)
			continue
		}
		waits, isSilent := s.silence.Waits(now)
		if waits {
			waiting++
		}
		if isSilent {
			silent = append(silent, s)
		}
	}
	// If there are more, the fault may be this entry's own.
	if len(silent) == 1 || 2*len(silent) <= waiting {
		for _, s := range silent {
			s.silence.Observe(now)
		}
	}
	p.updateSilent(now)
}

func (p *Placer) updateHeard(s *server) {
	if at, ok := s.activity.heardAt(); ok {
		s.silence.Heard(at)
	}
}

// updateSilent updates which backend servers are silent. It is called after each change of
// what is known, as decisions look at all servers.
func (p *Placer) updateSilent(now time.Time) {
	for _, s := range p.ordered {
		p.updateHeard(s)
		s.silent = s.silence.Silent(now)
	}
}

// MergeSilences adopts what another entry has reported of silent backend servers in a
// message that was delayed. It may have waited while this entry was suspended.
func (p *Placer) MergeSilences(reports []silence.Report, delay time.Duration, now time.Time) {
	for _, r := range reports {
		if s := p.servers[r.Instance]; s != nil && s.Born == r.Born {
			s.silence.Merge(r, now.Add(-delay))
		}
	}
	p.updateSilent(now)
}

// AddSilences adds what other entries need to know of silent backend servers to the list.
func (p *Placer) AddSilences(reports []silence.Report, now time.Time) []silence.Report {
	for _, s := range p.ordered {
		p.updateHeard(s)
		if r, ok := s.silence.Report(now); ok {
			r.Instance, r.Born = s.Instance, s.Born
			reports = append(reports, r)
		}
	}
	return reports
}

// SilenceChanges returns the backend servers that have become silent, or are not any more,
// since the last call.
func (p *Placer) SilenceChanges() []SilenceChange {
	var changes []SilenceChange
	for _, s := range p.ordered {
		if s.silent != s.reportedSilent {
			s.reportedSilent = s.silent
			changes = append(changes, SilenceChange{Server: s.BackendServer, Silent: s.silent})
		}
	}
	return changes
}

// SilentToProbe returns the silent engines that this entry has to probe now. Of the entries
// that know each other, one probes each of them.
func (p *Placer) SilentToProbe(now time.Time) []mulberryspool.BackendServer {
	if p.pool.Engine == nil {
		return nil
	}
	var due []mulberryspool.BackendServer
	for _, s := range p.ordered {
		if s.Leaving || p.Evacuated(s.FailureDomain) || now.Sub(s.probedAt) < silenceProbeInterval || !s.silent || !p.probes(s) {
			continue
		}
		s.probedAt = now
		due = append(due, s.BackendServer)
	}
	return due
}

// probes reports whether this entry is the one that probes the backend server.
func (p *Placer) probes(s *server) bool {
	own := turnKey(p.Config.EntryName, s)
	for name := range p.peers {
		if turnKey(name, s) < own {
			return false
		}
	}
	return true
}

// RecordProbe records whether a probe of a silent backend server was answered.
func (p *Placer) RecordProbe(b mulberryspool.BackendServer, answered bool, now time.Time) {
	s := p.servers[b.Instance]
	switch {
	case s == nil || s.Born != b.Born:
	case answered:
		s.silence.Heard(now)
	default:
		s.silence.Observe(now)
	}
	p.updateSilent(now)
}

// mayAvoid reports whether at most half of the servers would be avoided now, without those that
// are evacuated. If more would be, the fault may be the entry's own, and none is avoided.
func (p *Placer) mayAvoid(now time.Time) bool {
	avoided, evacuated := 0, 0
	for _, s := range p.ordered {
		if p.Evacuated(s.FailureDomain) {
			evacuated++
			continue
		}
		if s.silent || s.health.avoided(now) {
			avoided++
		}
	}
	return 2*avoided <= len(p.ordered)-evacuated
}
