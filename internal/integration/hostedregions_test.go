package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/testkit/hostedsystem"
	"github.com/mulberryspool/mulberryspool/platform"
)

// Guards against requests that leave the regions of their route, also while all servers there are
// silent, after a change of the regions, or when they allow no server, and against a rejection that
// comes late.
func TestRequestsStayInRegionsOfRoute(t *testing.T) {
	t.Parallel()
	const (
		phase = 2500 * time.Millisecond
		// maxRejection is how long most rejections may take on a busy machine; a request could
		// wait for its objective of 500 ms.
		maxRejection = 300 * time.Millisecond
	)
	s := startRestored(t, restoreMode{}, &hostedsystem.System{
		Backends: 2, Entries: 2, Domains: []string{keptDomain, evacuatedDomain}, Regions: []string{hostedsystem.Region(keptDomain)},
	})
	s.probe(hostedsystem.Call{Prefix: hostedsystem.LookupPrefix}, 20*time.Millisecond)
	s.probe(hostedsystem.Call{Prefix: hostedsystem.OrderPrefix}, 20*time.Millisecond)
	restrict := func(regions ...string) time.Time {
		s.Regions = regions
		s.version++
		s.PutConfiguration(s.version)
		return time.Now()
	}
	time.Sleep(phase)
	s.Servers[0].Pause(phase)
	time.Sleep(phase)
	movedAt := restrict(hostedsystem.Region(evacuatedDomain))
	time.Sleep(restoreBound + phase)
	noneAt := restrict("r-none")
	time.Sleep(restoreBound + phase)
	s.endProbes()
	lookups := func(server int, from, until time.Time) int {
		n := 0
		for _, run := range s.Servers[server].Runs() {
			if s.results[run.ID].Call.Prefix == hostedsystem.LookupPrefix && run.StartedAt.After(from) && run.StartedAt.Before(until) {
				n++
			}
		}
		return n
	}
	if n, allowed := lookups(1, time.Time{}, movedAt), lookups(0, time.Time{}, movedAt); n > 0 || allowed == 0 {
		t.Errorf("%d requests in the first region, %d outside it", allowed, n)
	}
	if n, allowed := lookups(0, movedAt.Add(restoreBound), s.stoppedAt), lookups(1, movedAt.Add(restoreBound), noneAt); n > 0 || allowed == 0 {
		t.Errorf("%d requests in the second region, %d outside it", allowed, n)
	}
	if n := lookups(1, noneAt.Add(restoreBound), s.stoppedAt); n > 0 {
		t.Errorf("%d requests outside regions without servers", n)
	}
	rejected, late := 0, 0
	for _, r := range s.results {
		if r.Call.Prefix != hostedsystem.LookupPrefix || r.SentAt.Before(noneAt.Add(restoreBound)) {
			continue
		}
		if rejected++; r.Status != http.StatusServiceUnavailable {
			t.Errorf("request without servers in its regions got status %d (%v) after %v", r.Status, r.Err, r.Took)
		}
		if r.Took > maxRejection {
			late++
		}
	}
	if rejected == 0 || 10*late > rejected {
		t.Errorf("%d requests were rejected, %d of them late", rejected, late)
	}
	for c, n := range s.Store.Calls() {
		if c.Kind == platform.KindEvacuations {
			t.Errorf("%d calls to %s evacuations, although the settings have no bound for them", n, c.Operation)
		}
	}
	orders := 0
	for _, run := range s.Servers[1].Runs() {
		if s.results[run.ID].Call.Prefix == hostedsystem.OrderPrefix {
			orders++
		}
	}
	if orders == 0 {
		t.Error("requests without regions did not use the second region")
	}
}
