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

// Guards against an agent that was frozen and sends a load order after its lease
// has expired. An engine that ignores fencing numbers would then load a version
// that the tables no longer name for the pool (R2, R20), and answer with it.
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
	// The agent that will be frozen reaches the object API through a proxy of its
	// own. While the agent is frozen, the proxy starts to refuse connections, so
	// that the agent can't read a newer change before it might send the order.
	direct := s.ObjectAPIURL
	objectAPIProxy, err := faultproxy.Start(strings.TrimPrefix(direct, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(objectAPIProxy.Close)
	s.ObjectAPIURL = "http://" + objectAPIProxy.Address()
	frozen := s.AddEngineAgent(t, "scribe")
	s.ObjectAPIURL = direct
	s.AddEngineAgent(t, "scribe")
	s.AddEngineAgent(t, "scribe")
	s.AddEntry(t)
	s.Apply(t, withVersion(tables, "v1"))
	s.AwaitServing(t, "v1", s.Agents...)
	s.AwaitReadyAgents(t, "scribe", 3)
	published := s.PublishedDigests(t, "v1", "v2", "v3")
	load := startChats(t, s, 8, 200)

	// A draining agent has everything that it needs for the order, and waits only
	// until the requests in flight have ended. Three of them stall at the engine
	// and are interrupted while the agent is frozen, so that it could send the
	// order as soon as it resumes: after an interrupted answer it does not read
	// back the loaded version, which would show the newer order.
	const stalled = 3
	faults := frozen.BackendURL + fault.AdminPath
	s.SendJSON(t, http.MethodPost, faults, fault.Rule{Kind: fault.Stall, Operations: []string{engine.OperationComplete}, Calls: stalled}, nil)
	s.Await(t, "requests are stalled at the engine", func(context.Context) bool {
		var rules []fault.Rule
		s.SendJSON(t, http.MethodGet, faults, nil, &rules)
		return len(rules) == 0
	})
	s.ApplyNoWait(t, withVersion(tables, "v2"))
	s.Await(t, "the agent is draining and only the stalled requests are in flight", func(ctx context.Context) bool {
		status, err := frozen.Status(ctx)
		return err == nil && status.Agent.Heartbeat.Phase == mulberryspool.PhaseDraining && status.Agent.InFlight == stalled
	})
	frozen.Process.Freeze(t)
	if orders := s.LoadOrders(t, frozen); len(orders) != 1 {
		t.Fatalf("the agent sent orders other than that for v1 before it was frozen: %+v", orders)
	}

	s.SendJSON(t, http.MethodDelete, faults, nil, nil)
	objectAPIProxy.Refuse(true)
	objectAPIProxy.Cut()

	// A replacement of the agent loads v3 at the same engine.
	replacement := s.StartReplacement(t, frozen)
	s.ApplyNoWait(t, withVersion(tables, "v3"))
	s.AwaitServing(t, "v3", s.Agents...)
	load.awaitAnswers(t, s, 8)
	orders := len(s.LoadOrders(t, replacement))
	sendSignal(t, frozen, syscall.SIGCONT)
	load.awaitAnswers(t, s, 16)
	for _, m := range s.Agents {
		s.Await(t, string(m.Identity.Instance)+" has run a request with v3", func(context.Context) bool {
			return hasRun(t, s, m, published, "v3")
		})
	}

	for _, order := range s.LoadOrders(t, replacement)[orders:] {
		if order.Order.Version != "v3" {
			t.Errorf("the engine received an order for %s after v3 was in force: %+v", order.Order.Version, order)
		}
	}
	checkChats(t, s, load.stopAndCollect(), published)
	checkNoOtherStarts(t, s, published, "v3")
}

// hasRun reports whether an agent's engine has started a request with a version.
func hasRun(t *testing.T, s *system.System, m *system.Member, published map[mulberryspool.Digest]string, version string) bool {
	t.Helper()
	var list engine.ExecutionList
	s.SendJSON(t, http.MethodGet, m.BackendURL+"/admin/executions", nil, &list)
	return slices.ContainsFunc(list.Executions, func(e engine.Execution) bool { return published[e.StartDigest] == version })
}

// checkNoOtherStarts checks that each engine has run requests with the version,
// and has started none with another version after the first of them.
func checkNoOtherStarts(t *testing.T, s *system.System, published map[mulberryspool.Digest]string, version string) {
	t.Helper()
	for _, m := range s.Agents {
		var list engine.ExecutionList
		s.SendJSON(t, http.MethodGet, m.BackendURL+"/admin/executions", nil, &list)
		var firstStart time.Time
		for _, e := range list.Executions {
			switch {
			case published[e.StartDigest] == version && firstStart.IsZero():
				firstStart = e.Started
			case published[e.StartDigest] != version && !firstStart.IsZero() && e.Started.After(firstStart):
				t.Errorf("%s: request %s ran with %s after %s was in force", m.Identity.Instance, e.RequestID, published[e.StartDigest], version)
			}
		}
		if firstStart.IsZero() {
			t.Errorf("%s ran no request with %s", m.Identity.Instance, version)
		}
	}
}
