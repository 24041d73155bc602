package placement

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

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
	return p.startBy(d.Server.FailureDomain, d.Server.Instance, d.Version, now)
}

// StartsInTime reports whether the response to a request with prompt tokens that was placed
// before, and is sent now, is still expected to start by StartBy. Requests that were placed after
// it don't delay it.
func (p *Placer) StartsInTime(d Decision, promptTokens int, now time.Time) bool {
	end := p.StartBy(d, now)
	if end.IsZero() {
		return true
	}
	s := p.servers[d.Server.Instance]
	if s == nil {
		return now.Before(end)
	}
	return p.startsBefore(end, s, d.PendingPromptTokens+promptTokens, d.InFlight >= s.slots(), now)
}

// startsWithinGrace reports whether the response starts before the version grace
// of every newer named version ends.
func (p *Placer) startsWithinGrace(s *server, r Request, now time.Time) bool {
	end := p.startBy(s.FailureDomain, s.Instance, s.version, now)
	return end.IsZero() || p.startsBefore(end, s, s.pendingPromptTokens()+r.PromptTokens, s.inFlight() >= s.slots(), now)
}

// startsBefore reports whether a response is expected to start before a time, after its server
// has processed prompt tokens, and waited for a slot if it is queued. A server that has sent
// nothing for a while is expected to be silent for as long again.
func (p *Placer) startsBefore(end time.Time, s *server, promptTokens int, queued bool, now time.Time) bool {
	p.updateHeard(s)
	startsAt := now.Add(firstEventFactor*(2*p.passTime()+p.prefillTime(promptTokens)) + firstEventMargin + s.silence.Unheard(now))
	if queued {
		startsAt = startsAt.Add(queuedSlotDelay)
	}
	return startsAt.Before(end)
}

// startBy returns when requests to a server are given up that run on the version and have not
// started; zero if no newer version is named. The end of their connections takes as long to
// reach the server as they do.
func (p *Placer) startBy(domain string, server mulberryspool.InstanceID, version int64, now time.Time) time.Time {
	end := p.graceEnd(version)
	if end.IsZero() || p.Config.PathDelays == nil {
		return end
	}
	return end.Add(-p.Config.PathDelays.Max(domain, server, now))
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
