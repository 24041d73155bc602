package placement

import "time"

// SetNamedVersions replaces the named versions, with the time at which each was
// named. The caller must not change the map before the next call.
func (p *Placer) SetNamedVersions(namedVersions map[int64]time.Time) {
	p.namedVersions = namedVersions
}

// StartBy returns Decision.StartBy for a request that was placed before, by what is known
// now.
func (p *Placer) StartBy(d Decision, now time.Time) time.Time {
	if p.pool.Model == "" {
		return time.Time{}
	}
	return p.startBy(d.Server.FailureDomain, d.Version, now)
}

// startsWithinGrace reports whether the response starts before the version grace
// of every newer named version ends.
func (p *Placer) startsWithinGrace(s *server, r Request, now time.Time) bool {
	end := p.startBy(s.FailureDomain, s.version, now)
	if end.IsZero() {
		return true
	}
	startsAt := now.Add(firstEventFactor*(2*p.passTime()+p.prefillTime(s.pendingPromptTokens()+r.PromptTokens)) + firstEventMargin)
	if s.inFlight() >= s.slots() {
		startsAt = startsAt.Add(queuedSlotDelay)
	}
	return startsAt.Before(end)
}

// startBy returns when requests to a server of the failure domain are given up that run on
// the version and have not started; zero if no newer version is named. The end of their
// connections takes as long to reach the server as they do.
func (p *Placer) startBy(domain string, version int64, now time.Time) time.Time {
	end := p.graceEnd(version)
	if end.IsZero() || p.Config.PathDelays == nil {
		return end
	}
	return end.Add(-p.Config.PathDelays.Max(domain, now))
}

// graceEnd returns when the first version grace of the versions that are newer
// than the given one ends; zero if there is none.
func (p *Placer) graceEnd(version int64) time.Time {
	var end time.Time
	for newer, since := range p.namedVersions {
		if at := since.Add(p.Config.VersionGrace); newer > version && (end.IsZero() || at.Before(end)) {
			end = at
		}
	}
	return end
}
