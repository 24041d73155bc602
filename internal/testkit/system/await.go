package system

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/observe/admin"
)

// Status reads the status from a member's admin listener.
func (m *Member) Status(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Identity.Admin+"/status", http.NoBody)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	return status, json.NewDecoder(response.Body).Decode(&status)
}

// AwaitServing waits until all given agents are ready and serve the version.
func (s *System) AwaitServing(t testing.TB, version string, agents ...*Member) {
	t.Helper()
	for _, m := range agents {
		s.Await(t, fmt.Sprintf("%s serves %s", m.Identity.Instance, version), func(ctx context.Context) bool {
			status, err := m.Status(ctx)
			return err == nil && status.Ready && status.Agent.Heartbeat.ServedVersion == version
		})
	}
}

// AwaitReadyAgents waits until each entry is ready and counts exactly that many
// ready agents in a pool.
func (s *System) AwaitReadyAgents(t testing.TB, pool string, ready int) {
	t.Helper()
	for _, m := range s.Entries {
		s.Await(t, fmt.Sprintf("%s has %d ready agents of %s", m.Identity.Instance, ready, pool), func(ctx context.Context) bool {
			status, err := m.Status(ctx)
			if err != nil || !status.Ready {
				return false
			}
			for _, p := range status.Entry.Pools {
				if p.Pool == pool {
					return p.Ready == ready
				}
			}
			return false
		})
	}
}

// Await polls until the condition holds; it fails the test after WaitTimeout.
func (s *System) Await(t testing.TB, what string, condition func(ctx context.Context) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	for !condition(ctx) {
		if ctx.Err() != nil {
			t.Fatalf("condition not met within %v: %s", WaitTimeout, what)
		}
		time.Sleep(pollInterval)
	}
}

// SendJSON sends a request with in as its JSON body and decodes the JSON answer into
// out, unless that is nil. It fails the test if the status is 300 or higher.
func (s *System) SendJSON(t testing.TB, method, url string, in, out any) {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		t.Fatalf("%s %s answered %s", method, url, response.Status)
	}
	if out == nil {
		return
	}
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		t.Fatal(err)
	}
}
