package integration

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/engine"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/testkit/faultproxy"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

// Guards against a frozen agent that sends an order after its lease is over
// to an engine that ignores fencing numbers, and so brings back a version
// that its pool no longer names (R2, R20), and against answers by those weights.
func TestFrozenAgentDoesNotOrderAfterItsLease(t *testing.T) {
	s := &system.System{
		Builder: &builder, EngineArguments: []string{"--tokens-per-second", "250"},
		AgentTimeouts: []string{"heartbeatInterval: 100ms", "leaseDuration: 1500ms", "maxOrderDelay: 500ms", "loadTimeout: 3s"},
		EntryTimeouts: []string{"heartbeatInterval: 100ms", "suspicionTimeout: 300ms", "resolveTimeout: 3s"},
	}
	tables := strings.ReplaceAll(chatTables, "maxUnavailable: 2", "maxUnavailable: 2\n    ignoresFencing: true")
	tables = strings.ReplaceAll(tables, "idempotent: true", "idempotent: true\n    timeout: 10s")
	s.Start(t)
	s.PublishVersions(t)
	// The agent that will be frozen has its own way to the object API, which
	// is cut, so that it can't learn of a newer change before it might order.
	direct := s.ObjectAPIURL
	way, err := faultproxy.Start(strings.TrimPrefix(direct, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(way.Close)
	s.ObjectAPIURL = "http://" + way.Address()
	old := s.AddEngineAgent(t, "scribe")
	s.ObjectAPIURL = direct
	s.AddEngineAgent(t, "scribe")
	s.AddEngineAgent(t, "scribe")
	s.AddEntry(t)
	s.Apply(t, withVersion(tables, "v1"))
	s.AwaitServing(t, "v1", s.Agents...)
	s.AwaitReadyAgents(t, "scribe", 3)
	published := s.PublishedDigests(t, "v1", "v2", "v3")
	load := startChats(t, s, 8, 200)

	// A draining agent has everything that the order needs; it waits only for
	// the end of the requests in flight. Three of them stall at the engine.
	// They break off while the agent is frozen, so that nothing keeps it from
	// ordering as soon as it goes on: an answer that breaks off is not
	// followed by a read-back, which would show the newer order.
	const stalled = 3
	faults := old.BackendURL + fault.AdminPath
	s.SendJSON(t, http.MethodPost, faults, fault.Rule{Kind: fault.Stall, Operations: []string{engine.OperationComplete}, Calls: stalled}, nil)
	s.Await(t, "requests stall at the engine", func(context.Context) bool {
		var rules []fault.Rule
		s.SendJSON(t, http.MethodGet, faults, nil, &rules)
		return len(rules) == 0
	})
	s.ApplyNoWait(t, withVersion(tables, "v2"))
	s.Await(t, "the agent drains and only the stalled requests are left", func(ctx context.Context) bool {
		status, err := old.Status(ctx)
		return err == nil && status.Agent.Heartbeat.Phase == mulberryspool.PhaseDraining && status.Agent.InFlight == stalled
	})
	old.Process.Freeze(t)
	if orders := s.LoadOrders(t, old); len(orders) != 1 {
		t.Fatalf("the agent had ordered v2 before it was frozen: %+v", orders)
	}

	s.SendJSON(t, http.MethodDelete, faults, nil, nil)
	way.Refuse(true)
	way.Cut()

	// A replacement at the same engine brings v3 into force there.
	replacement := s.StartReplacement(t, old)
	s.ApplyNoWait(t, withVersion(tables, "v3"))
	s.AwaitServing(t, "v3", s.Agents...)
	load.wait(t, s, 8)
	orders := len(s.LoadOrders(t, replacement))
	signal(t, old, syscall.SIGCONT)
	load.wait(t, s, 16)
	for _, m := range s.Agents {
		s.Await(t, string(m.Identity.Instance)+" runs a request with v3", func(context.Context) bool {
			return runs(t, s, m, published, "v3")
		})
	}

	for _, order := range s.LoadOrders(t, replacement)[orders:] {
		if order.Order.Version != "v3" {
			t.Errorf("the engine got an order for %s after v3 was in force: %+v", order.Order.Version, order)
		}
	}
	checkChats(t, s, load.end(), published)
	checkNoOldStarts(t, s, published, "v3")
}

// runs reports whether an agent's engine has started a request with a version.
func runs(t *testing.T, s *system.System, m *system.Member, published map[mulberryspool.Digest]string, version string) bool {
	t.Helper()
	var list engine.ExecutionList
	s.SendJSON(t, http.MethodGet, m.BackendURL+"/admin/executions", nil, &list)
	return slices.ContainsFunc(list.Executions, func(e engine.Execution) bool { return published[e.StartDigest] == version })
}

// checkNoOldStarts checks that each engine serves the version and started
// nothing with another one after its first start with it.
func checkNoOldStarts(t *testing.T, s *system.System, published map[mulberryspool.Digest]string, version string) {
	t.Helper()
	for _, m := range s.Agents {
		var list engine.ExecutionList
		s.SendJSON(t, http.MethodGet, m.BackendURL+"/admin/executions", nil, &list)
		var since time.Time
		for _, e := range list.Executions {
			switch {
			case published[e.StartDigest] == version && since.IsZero():
				since = e.Started
			case published[e.StartDigest] != version && !since.IsZero() && e.Started.After(since):
				t.Errorf("%s: request %s ran with %s after %s was in force", m.Identity.Instance, e.RequestID, published[e.StartDigest], version)
			}
		}
		if since.IsZero() {
			t.Errorf("%s ran nothing with %s", m.Identity.Instance, version)
		}
	}
}
