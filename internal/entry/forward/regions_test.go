package forward

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/scheduler"
)

// restricted returns a version of the configuration in which the routes other than "open" are
// limited to a region.
func restricted(version int64, region string) mulberryspool.Ingress {
	i := ingress()
	i.Version = version
	for n := range i.Routes {
		if !i.Routes[n].Public {
			i.Routes[n].Regions = []string{region}
		}
	}
	return i
}

// newRegionalEntry returns an entry whose backend servers are each in the region that is their
// name.
func newRegionalEntry(t *testing.T, backends ...*backend) *entry {
	t.Helper()
	e := newEntry(t)
	e.scheduler = &scheduler.Scheduler{
		Clock: e.scheduler.Clock, Random: e.scheduler.Random, Placement: e.scheduler.Placement, RetryBudget: e.scheduler.RetryBudget,
	}
	e.scheduler.Placement.RegionOf = func(domain string) string { return domain }
	e.handler.Scheduler = e.scheduler
	servers := make(map[mulberryspool.InstanceID]mulberryspool.BackendServer)
	for _, b := range backends {
		server := b.server("p")
		server.FailureDomain = b.id
		servers[server.Instance] = server
	}
	e.scheduler.SetIngress(restricted(1, "i-1"))
	e.scheduler.SetServers(servers)
	return e
}

// Guards against a request, a retry or a resumed stream that reaches a server outside its
// regions, and against a restricted request that is held, or that fails other than not run,
// although only such servers are left.
func TestRequestsReachOnlyTheirRegions(t *testing.T) {
	inside := newBackend(t, "i-1", func(w *bufio.Writer, r *http.Request, _ int) bool {
		switch {
		case strings.HasPrefix(r.URL.Path, "/stream/"):
			writeEvents(w, r, 1, 2, false)
			return false
		case strings.HasSuffix(r.URL.Path, "/rejected"):
			return respond(w, r, http.StatusServiceUnavailable, refused)
		}
		return writeResponse(w, r, http.StatusOK, "ok")
	})
	outside := newBackend(t, "i-2", func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, http.StatusOK, "ok") })
	e := newRegionalEntry(t, inside, outside)
	for i := range 10 {
		id := strconv.Itoa(i)
		if head, _, _ := e.call(t, http.MethodGet, "/read/1", "", "X-Attempt-Id", "read"+id); head.StatusCode != http.StatusOK {
			t.Errorf("response is %d, want 200", head.StatusCode)
		}
		if head, body, _ := e.call(t, http.MethodGet, "/read/rejected", "", "X-Attempt-Id", "rejected"+id); head.StatusCode != http.StatusServiceUnavailable || head.Header.Get("Retry-After") == "" || !strings.Contains(body, "noServerInRegions") {
			t.Errorf("response is %d %s, want 503", head.StatusCode, body)
		}
	}
	if _, _, complete := e.call(t, http.MethodGet, "/stream/1", "", "X-Attempt-Id", "stream"); complete {
		t.Error("stream that broke off was completed elsewhere")
	}
	if n := outside.requests.Load(); n != 0 {
		t.Errorf("server outside the regions got %d requests", n)
	}
	// The workspace binds on a public route too.
	workspace := ingress()
	workspace.Version, workspace.Workspaces[0].Regions = 2, []string{"i-2"}
	e.scheduler.SetIngress(workspace)
	before := inside.requests.Load()
	for _, path := range []string{"/read/1", "/open/1"} {
		if head, _, _ := e.call(t, http.MethodGet, path, ""); head.StatusCode != http.StatusOK {
			t.Errorf("response is %d, want 200", head.StatusCode)
		}
	}
	if n := inside.requests.Load() - before; n != 0 {
		t.Errorf("server outside the workspace's regions got %d requests", n)
	}
}

// Guards against a request that is sent to a region which a new configuration has excluded
// while its connection was opened.
func TestNewRegionsApplyToPlacedRequests(t *testing.T) {
	dialing, changed := make(chan struct{}), make(chan struct{})
	ok := func(w *bufio.Writer, r *http.Request, _ int) bool { return writeResponse(w, r, http.StatusOK, "ok") }
	first, second := newBackend(t, "i-1", ok), newBackend(t, "i-2", ok)
	e := newRegionalEntry(t, first, second)
	var once sync.Once
	var dials atomic.Int32
	e.delayDials(first.address, func() (none time.Duration) {
		dials.Add(1)
		once.Do(func() { close(dialing) })
		wait(changed)
		return none
	})
	go func() {
		wait(dialing)
		e.scheduler.SetIngress(restricted(2, "i-2"))
		close(changed)
	}()
	if head, _, _ := e.call(t, http.MethodPost, "/write/1", "x"); head.StatusCode != http.StatusOK {
		t.Errorf("response is %d, want 200", head.StatusCode)
	}
	if n, m := first.requests.Load(), second.requests.Load(); n != 0 || m != 1 || dials.Load() == 0 {
		t.Errorf("servers got %d and %d requests, want 0 and 1", n, m)
	}
}
