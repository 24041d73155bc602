package placement

import (
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

// newRegionalPlacer returns a placer with a server of four slots in each of the failure domains
// a, b and x. Those of a and b are in the regions r-a and r-b, that of x is in no known region.
func newRegionalPlacer() *Placer {
	p := newPlacer(0)
	p.Config.RegionOf = func(domain string) string { return map[string]string{"a": "r-a", "b": "r-b"}[domain] }
	p.SetServers(regionalEngines("a", "b", "x"))
	return p
}

func regionalEngines(domains ...string) []mulberryspool.BackendServer {
	list := engines(len(domains), 1)
	for i, domain := range domains {
		list[i].Instance, list[i].FailureDomain = mulberryspool.InstanceID("i-"+domain), domain
	}
	return list
}

func regional(now time.Time, regions ...string) Request {
	r := request(now)
	r.PromptTokens, r.Regions = 0, regions
	return r
}

// fill places requests in a region.
func (p *Placer) fill(t *testing.T, region string, requests int, now time.Time) {
	t.Helper()
	for range requests {
		if d := p.Offer(regional(now, region), now); d.Verdict != Placed {
			t.Fatalf("request for %s was not placed: %+v", region, d)
		}
	}
}

// Guards against a request that reaches a region which it must not, at its first placement and
// as a reattempt, and against one that waits although no server in its regions could serve it.
func TestRequestsStayInTheirRegions(t *testing.T) {
	for _, c := range []struct {
		regions []string
		exclude mulberryspool.InstanceID
		want    mulberryspool.InstanceID
		reason  Reason
	}{
		{regions: []string{"r-b"}, want: "i-b"},
		{regions: []string{"r-a", "r-b"}, exclude: "i-a", want: "i-b"},
		{regions: []string{"r-b"}, exclude: "i-b", reason: ReasonNoServerInRegions},
		{regions: []string{}, reason: ReasonNoServerInRegions},
		// The server in an unknown failure domain is in no region.
		{regions: []string{"", "r-c"}, reason: ReasonNoServerInRegions},
	} {
		for seed := range 20 {
			p := newRegionalPlacer()
			r := regional(start, c.regions...)
			r.Regions = c.regions
			if c.exclude != "" {
				r.Exclude, r.Reattempt = []mulberryspool.InstanceID{c.exclude}, true
			}
			d := p.Offer(r, start)
			switch {
			case c.want != "" && (d.Verdict != Placed || d.Server.Instance != c.want):
				t.Fatalf("seed %d, regions %q: decision is %+v, want %s", seed, c.regions, d, c.want)
			case c.want == "" && (d.Verdict != Refused || d.Reason != c.reason || d.RetryAfter <= 0):
				t.Fatalf("seed %d, regions %q: decision is %+v, want refused", seed, c.regions, d)
			}
		}
	}
}

// Guards against a request for a full region that holds up others, waiting or new, for regions
// with free slots, and against one that is overtaken in its own region.
func TestFullRegionDoesNotHoldUpOthers(t *testing.T) {
	p := newRegionalPlacer()
	p.fill(t, "r-a", 4, start)
	first := p.Offer(regional(start, "r-a"), start)
	if first.Verdict != Waiting {
		t.Fatalf("request for the full region is %+v, want waiting", first)
	}
	if d := p.Offer(regional(start, "r-b"), start); d.Verdict != Placed || d.Server.Instance != "i-b" {
		t.Errorf("request for the free region is %+v, want placed", d)
	}
	if d := p.Offer(regional(start), start); d.Verdict != Placed || d.Server.Instance != "i-b" {
		t.Errorf("request for all regions is %+v, want placed in the free region", d)
	}
	p.fill(t, "r-b", 2, start)
	second := p.Offer(regional(start, "r-b"), start)
	if second.Verdict != Waiting {
		t.Fatalf("request for the full region is %+v, want waiting", second)
	}
	p.RecordEnd("i-b", 0, true, Answered, 10*time.Millisecond, start)
	if d := p.DecideWaiting(start); len(d) != 1 || d[0].Ticket != second.Ticket || d[0].Verdict != Placed {
		t.Errorf("decided %+v after a slot of the second region was freed", d)
	}
	p.RecordEnd("i-a", 0, true, Answered, 10*time.Millisecond, start)
	if d := p.Offer(regional(start, "r-a"), start); d.Verdict == Placed {
		t.Errorf("new request overtook one that waits for its region: %+v", d)
	}
	if d := p.DecideWaiting(start); len(d) != 1 || d[0].Ticket != first.Ticket {
		t.Errorf("decided %+v after a slot of the first region was freed", d)
	}
}

// Guards against a new configuration that does not apply to requests which wait or are placed.
func TestNewRegionsApplyToWaitingAndPlacedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		regions []string
		want    Verdict
	}{"moved": {[]string{"r-b"}, Placed}, "lifted": {nil, Placed}, "none left": {[]string{}, Refused}} {
		t.Run(name, func(t *testing.T) {
			p := newRegionalPlacer()
			p.fill(t, "r-a", 4, start)
			if d := p.Offer(regional(start, "r-a"), start); d.Verdict != Waiting {
				t.Fatalf("request for the full region is %+v, want waiting", d)
			}
			p.UpdateRegions(func(Request) []string { return c.regions })
			d := p.DecideWaiting(start)
			if len(d) != 1 || d[0].Verdict != c.want || d[0].Verdict == Refused && d[0].Reason != ReasonNoServerInRegions {
				t.Errorf("decided %+v, want verdict %d", d, c.want)
			}
		})
	}
	p := newRegionalPlacer()
	d := p.Offer(regional(start, "r-a"), start)
	for _, c := range []struct {
		regions []string
		want    Reason
	}{{nil, ""}, {[]string{"r-a"}, ""}, {[]string{"r-b"}, ReasonServerRegion}, {[]string{}, ReasonServerRegion}} {
		if got := p.Withheld(d.Server, c.regions, start); got != c.want {
			t.Errorf("withheld with regions %v is %q, want %q", c.regions, got, c.want)
		}
	}
}
