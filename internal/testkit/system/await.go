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

// Status returns a member's status.
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

// AwaitServing waits until the agents serve the version.
func (s *System) AwaitServing(t testing.TB, version string, agents ...*Member) {
	t.Helper()
	for _, m := range agents {
		s.Await(t, fmt.Sprintf("%s serves %s", m.Identity.Instance, version), func(ctx context.Context) bool {
			status, err := m.Status(ctx)
			return err == nil && status.Ready && status.Agent.Heartbeat.ServedVersion == version
		})
	}
}

// AwaitAgents waits until each entry may send work to that many agents of a pool.
func (s *System) AwaitAgents(t testing.TB, pool string, ready int) {
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

// Await polls until the condition holds.
func (s *System) Await(t testing.TB, what string, condition func(ctx context.Context) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitLimit)
	defer cancel()
	for !condition(ctx) {
		if ctx.Err() != nil {
			t.Fatalf("not so after %v: %s", WaitLimit, what)
		}
		time.Sleep(pollInterval)
	}
}

// Send makes a call with JSON bodies; in and out may be nil.
func (s *System) Send(t testing.TB, method, url string, in, out any) {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), WaitLimit)
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
