package placement

import (
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// The load pattern: a failure domain is evacuated under full load. Its servers count as lost for
// new requests, so that the others take the load at once, and finish the requests in flight there.

// Reasons of decisions while failure domains are evacuated.
const (
	// ReasonEvacuated means that only backend servers in evacuated failure domains could serve
	// the request.
	ReasonEvacuated Reason = "serversEvacuated"
	// ReasonServerEvacuated means that the server of a placed request is in a failure domain that
	// is evacuated since.
	ReasonServerEvacuated Reason = "evacuated"
	// ReasonEvacuationsUnknown means that this process, which has just started or was suspended,
	// does not know yet which failure domains are evacuated.
	ReasonEvacuationsUnknown Reason = "evacuationsUnknown"
)

// evacuations holds which failure domains are evacuated, and when the evacuations of others ended.
type evacuations struct {
	domains []string
	endedAt map[string]time.Time
}

// SetEvacuated replaces the failure domains that are evacuated. DecideWaiting must follow.
func (p *Placer) SetEvacuated(domains []string, now time.Time) {
	e := &p.evacuations
	for _, domain := range e.domains {
		if slices.Contains(domains, domain) {
			continue
		}
		if e.endedAt == nil {
			e.endedAt = make(map[string]time.Time)
		}
		e.endedAt[domain] = now
	}
	for _, domain := range domains {
		delete(e.endedAt, domain)
	}
	e.domains = slices.Clone(domains)
}

// Evacuated reports whether the failure domain is evacuated.
func (p *Placer) Evacuated(domain string) bool { return slices.Contains(p.evacuations.domains, domain) }

// EvacuationEndedAt returns when this process learned that the last evacuation of the failure
// domain had ended; false if it is evacuated, or was not since the start of this process.
func (p *Placer) EvacuationEndedAt(domain string) (time.Time, bool) {
	at, ok := p.evacuations.endedAt[domain]
	return at, ok
}

// admits reports whether the backend server may get the request by its region and failure domain.
func (p *Placer) admits(b mulberryspool.BackendServer, r Request) bool {
	return !p.Evacuated(b.FailureDomain) && p.Config.permits(b.FailureDomain, r.Regions)
}

// excludedReason returns why none of the backend servers that could serve the request may get it:
// all are outside its regions or evacuated. It is empty if one may, or none could serve it.
func (p *Placer) excludedReason(r Request, now time.Time) Reason {
	if r.Regions == nil && len(p.evacuations.domains) == 0 {
		return ""
	}
	reason := Reason("")
	for _, s := range p.ordered {
		switch {
		case !p.able(s, r, now):
		case p.admits(s.BackendServer, r):
			return ""
		case p.Config.permits(s.FailureDomain, r.Regions):
			reason = ReasonEvacuated
		case reason == "":
			reason = ReasonNoServerInRegions
		}
	}
	return reason
}
