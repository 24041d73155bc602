package quarantine

import (
	"slices"
	"time"
)

// Merge adopts the findings of another process. It reports whether this entry knows more
// that the others need to know: that answers with a part that is new here have begun, or
// that an exchange it has abandoned was at a server that crashed.
func (q *Quarantine) Merge(sender string, findings []Finding, now time.Time) bool {
	knowsMore := false
	for _, f := range findings {
		if len(f.Crashes) == 0 {
			continue
		}
		_, known := q.suspects[f.Part]
		s := q.suspect(f.Part)
		if !known && s.proven && !f.Proven {
			s.changedAt, knowsMore = now, true
		}
		s.proven = s.proven || f.Proven
		for _, c := range f.Crashes[:min(len(f.Crashes), maxCrashes)] {
			s.add(crash{server: c.Server, at: now.Add(-age(c.AgeMillis)), refuted: c.Refuted, trial: c.Trial})
		}
		s.mergeTrial(sender, f, now)
	}
	knowsMore = len(q.addAbandoned(now)) > 0 || knowsMore
	q.recount()
	q.limit()
	return knowsMore
}

// Findings returns what other processes need to know, the newest crashes first: the
// rejected parts, and those that have changed within reportTime.
func (q *Quarantine) Findings(now time.Time) []Finding {
	return q.findings(now, func(s *suspect) bool {
		return s.level(now) == Rejected || now.Sub(s.changedAt) <= reportTime
	})
}

// ChangedFindings returns the parts that have changed since the given time.
func (q *Quarantine) ChangedFindings(since, now time.Time) []Finding {
	return q.findings(now, func(s *suspect) bool { return !s.changedAt.Before(since) })
}

// RejectedFindings returns the rejected parts.
func (q *Quarantine) RejectedFindings(now time.Time) []Finding {
	return q.findings(now, func(s *suspect) bool { return s.level(now) == Rejected })
}

func (q *Quarantine) findings(now time.Time, report func(*suspect) bool) []Finding {
	var findings []Finding
	for _, p := range q.byLastCrash() {
		if len(findings) == maxFindings {
			break
		}
		s := q.suspects[p]
		if !report(s) {
			continue
		}
		f := Finding{Part: p, Proven: s.proven}
		for _, c := range s.crashes {
			f.Crashes = append(f.Crashes, CrashFinding{Server: c.server, AgeMillis: now.Sub(c.at).Milliseconds(), Refuted: c.refuted, Trial: c.trial})
		}
		if s.trial.entry == q.Entry && s.trial.running(now) {
			f.TrialRequest, f.TrialAgeMillis = s.trial.request, now.Sub(s.trial.at).Milliseconds()
		}
		findings = append(findings, f)
	}
	return findings
}

// mergeTrial adopts or ends the trial of another entry. Of two trials that were announced
// at about the same time, that of the entry with the smaller name is kept, and
// otherwise the one that was announced first.
func (s *suspect) mergeTrial(sender string, f Finding, now time.Time) {
	other := trial{entry: sender, request: f.TrialRequest, at: now.Add(-age(f.TrialAgeMillis))}
	if s.trial.entry == sender && s.trial.request != other.request {
		s.trial = trial{}
	}
	if other.request == "" || !other.running(now) || slices.ContainsFunc(s.crashes, func(c crash) bool { return c.at.After(other.at) }) {
		return
	}
	if s.trial.running(now) {
		gap := other.at.Sub(s.trial.at)
		if gap > trialSettleTime || gap >= -trialSettleTime && s.trial.entry <= other.entry {
			return
		}
	}
	s.trial = other
}

func age(millis int64) time.Duration {
	return time.Duration(max(0, millis)) * time.Millisecond
}
