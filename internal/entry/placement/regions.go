package placement

import "slices"

// The load pattern: requests that only some regions may serve come together with others. Those
// whose regions are full must not hold up the others, nor count as waiting ahead of them.

// Reasons of decisions on requests that only some regions may serve.
const (
	// ReasonNoServerInRegions means that only backend servers in other regions could serve
	// the request.
	ReasonNoServerInRegions Reason = "noServerInRegions"
	// ReasonServerRegion means that the server of a placed request is not in the regions that
	// may get it now.
	ReasonServerRegion Reason = "region"
)

// permits reports whether a backend server in the failure domain may get a request that is
// restricted to the regions. One in an unknown failure domain is in none of them.
func (c Config) permits(domain string, regions []string) bool {
	if regions == nil {
		return true
	}
	region := c.regionOf(domain)
	return region != "" && slices.Contains(regions, region)
}

func (c Config) regionOf(domain string) string {
	if c.RegionOf == nil {
		return ""
	}
	return c.RegionOf(domain)
}

// UpdateRegions sets the regions of the waiting requests anew. DecideWaiting must follow.
func (p *Placer) UpdateRegions(regions func(Request) []string) {
	for _, q := range p.waiting {
		q.request.Regions = regions(q.request)
	}
}

// competes reports whether a backend server may exist that may get either request.
func competes(a, b Request) bool {
	return a.Regions == nil || b.Regions == nil || slices.ContainsFunc(a.Regions, func(region string) bool { return slices.Contains(b.Regions, region) })
}

// uncontended returns a new request, restricted to regions that no waiting request ahead of it
// may use, and false if there are none. A request at its second server precedes those that wait.
func (p *Placer) uncontended(q *queuedRequest) (Request, bool) {
	r := q.request
	var ahead []Request
	for _, w := range p.waiting {
		if !p.precedes(q, w) {
			ahead = append(ahead, w.request)
		}
	}
	if len(ahead) == 0 || r.Reattempt {
		return r, true
	}
	if slices.ContainsFunc(ahead, func(w Request) bool { return w.Regions == nil }) {
		return r, false
	}
	allowed := []string{}
	for _, s := range p.ordered {
		region := p.Config.regionOf(s.FailureDomain)
		if region != "" && p.Config.permits(s.FailureDomain, r.Regions) && !slices.Contains(allowed, region) {
			allowed = append(allowed, region)
		}
	}
	r.Regions = slices.DeleteFunc(allowed, func(region string) bool {
		return slices.ContainsFunc(ahead, func(w Request) bool { return slices.Contains(w.Regions, region) })
	})
	return r, len(r.Regions) > 0
}

// skippedRequests counts the waiting requests that can't be placed now, by their regions.
type skippedRequests []skippedRegions

type skippedRegions struct {
	regions  []string
	requests int
}

// add counts a request.
func (s skippedRequests) add(r Request) skippedRequests {
	for i := range s {
		if sameRegions(s[i].regions, r.Regions) {
			s[i].requests++
			return s
		}
	}
	return append(s, skippedRegions{regions: r.Regions, requests: 1})
}

// exhausted reports whether so many requests for the same servers, or for all servers, can't be
// placed that the request isn't tried.
func (s skippedRequests) exhausted(r Request) bool {
	return slices.ContainsFunc(s, func(skipped skippedRegions) bool {
		return skipped.requests >= maxTries && (skipped.regions == nil || sameRegions(skipped.regions, r.Regions))
	})
}

func sameRegions(a, b []string) bool {
	return (a == nil) == (b == nil) && slices.Equal(a, b)
}
