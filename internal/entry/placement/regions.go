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

// uncontended returns a new request, restricted to regions that no waiting request may use,
// and false if there are none. A request at its second server precedes those that wait.
func (p *Placer) uncontended(r Request) (Request, bool) {
	if len(p.waiting) == 0 || r.Reattempt {
		return r, true
	}
	if slices.ContainsFunc(p.waiting, func(q *queuedRequest) bool { return q.request.Regions == nil }) {
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
		return slices.ContainsFunc(p.waiting, func(q *queuedRequest) bool { return slices.Contains(q.request.Regions, region) })
	})
	return r, len(r.Regions) > 0
}

// blockedRegions holds the regions of waiting requests that can't be placed now.
type blockedRegions [][]string

// blocks reports whether a request that waits behind them can't be placed either.
func (b blockedRegions) blocks(r Request) bool {
	return slices.ContainsFunc(b, func(regions []string) bool {
		return regions == nil || r.Regions != nil && slices.Equal(regions, r.Regions)
	})
}

// firstPlaceable returns the index of the waiting request that precedes all others that are not
// blocked, -1 if all are.
func (p *Placer) firstPlaceable(blocked blockedRegions) int {
	if len(blocked) == 0 {
		return p.firstInQueue()
	}
	first := -1
	for i, q := range p.waiting {
		if !blocked.blocks(q.request) && (first < 0 || p.precedes(q.request, p.waiting[first].request)) {
			first = i
		}
	}
	return first
}
