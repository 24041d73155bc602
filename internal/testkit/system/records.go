package system

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/engine"
	"github.com/mulberryspool/mulberryspool/internal/standin/origin"
	"github.com/mulberryspool/mulberryspool/internal/standin/plainservice"
)

// ChatExecutions returns the executions that all engines recorded, by request ID.
func (s *System) ChatExecutions(t testing.TB) map[string][]engine.Execution {
	t.Helper()
	executions := make(map[string][]engine.Execution)
	for _, m := range s.Agents {
		if m.Identity.Pool != "scribe" {
			continue
		}
		var list engine.ExecutionList
		s.SendJSON(t, http.MethodGet, m.BackendURL+"/admin/executions", nil, &list)
		for _, e := range list.Executions {
			executions[string(e.RequestID)] = append(executions[string(e.RequestID)], e)
		}
	}
	return executions
}

// SubmissionExecutions returns the IDs of the requests that the plain services
// executed, by idempotency key, for the given keys. The services record the
// digest of the body, and tests send the key as the body.
func (s *System) SubmissionExecutions(t testing.TB, keys ...string) map[string][]mulberryspool.RequestID {
	t.Helper()
	byDigest := make(map[mulberryspool.Digest]string)
	for _, key := range keys {
		byDigest[plainservice.Digest([]byte(key))] = key
	}
	executions := make(map[string][]mulberryspool.RequestID)
	for _, m := range s.Agents {
		if m.Identity.Pool != "booking" {
			continue
		}
		var list plainservice.ExecutionList
		s.SendJSON(t, http.MethodGet, m.BackendURL+"/admin/executions", nil, &list)
		for _, e := range list.Executions {
			if key, known := byDigest[e.Body]; known {
				executions[key] = append(executions[key], e.RequestID)
			}
		}
	}
	return executions
}

// LoadOrders returns the load orders that an agent's engine received.
func (s *System) LoadOrders(t testing.TB, m *Member) []engine.OrderRecord {
	t.Helper()
	var orders []engine.OrderRecord
	s.SendJSON(t, http.MethodGet, m.BackendURL+"/admin/orders", nil, &orders)
	return orders
}

// PublishedDigests returns published versions by the digest of their weights.
func (s *System) PublishedDigests(t testing.TB, versions ...string) map[mulberryspool.Digest]string {
	t.Helper()
	digests := make(map[mulberryspool.Digest]string)
	for _, version := range versions {
		var manifest mulberryspool.Manifest
		if err := json.Unmarshal([]byte(s.RunCommand(t, 0, "weights", "show", version, "--json")), &manifest); err != nil {
			t.Fatal(err)
		}
		digests[manifest.Digest] = version
	}
	return digests
}

// PublishVersions publishes v1 to v4. Half of their content is the same.
func (s *System) PublishVersions(t testing.TB) {
	t.Helper()
	for i := range uint64(4) {
		path := fmt.Sprintf("scribe-%d", i+1)
		s.PutContent(t, path, origin.Generated{Seed: 99, Size: 1 << 19}, origin.Generated{Seed: i, Size: 1 << 19})
		s.Publish(t, fmt.Sprintf("v%d", i+1), path, "64 KiB")
	}
}

// StartEngines starts the platform, entries, and agents with engines, publishes
// v1 to v4, waits until v1 is served and returns the versions by digest. It
// replaces VERSION in the tables by v1.
func (s *System) StartEngines(t testing.TB, tables string, agents, entries int) map[mulberryspool.Digest]string {
	t.Helper()
	s.Start(t)
	s.PublishVersions(t)
	for range agents {
		s.AddEngineAgent(t, "scribe")
	}
	for range entries {
		s.AddEntry(t)
	}
	s.Apply(t, strings.ReplaceAll(tables, "VERSION", "v1"))
	s.AwaitServing(t, "v1", s.Agents...)
	s.AwaitReadyAgents(t, "scribe", agents)
	return s.PublishedDigests(t, "v1", "v2", "v3", "v4")
}
