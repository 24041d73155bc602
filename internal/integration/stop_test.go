package integration

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/caller"
	"github.com/mulberryspool/mulberryspool/internal/standin/engine"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

// leavingLimit is R6's bound on new work after the first sign of leaving.
const leavingLimit = 3 * time.Second

// stopSystem has streams of 7.5 s: longer than the 3 s after which a leaving
// agent gets nothing more, and than the 5 s for which a stopping entry still
// serves callers.
func stopSystem() *system.System {
	return &system.System{
		Builder:         &builder,
		EngineArguments: []string{"--refuse-stale-orders", "--tokens-per-second", "40", "--capacity", "32"},
	}
}

const longStream = 300

// Guards against a planned stop of an agent that cuts a stream in flight (R7),
// and against new work for an agent more than 3 s after its own SIGTERM or
// after only the instance list says that it leaves (R6).
func TestStoppingAgentCutsNothing(t *testing.T) {
	s := stopSystem()
	published := s.StartEngines(t, chatTables, 4, 2)
	long := startChats(t, s, 8, longStream)
	// Short requests bring new work all the time.
	short := startChats(t, s, 4, 10)
	stopped, listed := s.Agents[0], s.Agents[1]
	awaitInFlight(t, s, stopped, 1)
	awaitInFlight(t, s, listed, 1)

	listedAt := time.Now()
	s.SendJSON(t, http.MethodPost, s.InstanceListURL+"/admin/instances/"+string(listed.Identity.Instance)+"/leave", nil, nil)
	stoppedAt := time.Now()
	signal(t, stopped, syscall.SIGTERM)
	s.Await(t, "the 3 s are over", func(context.Context) bool { return time.Since(stoppedAt) > 2*leavingLimit })
	checkLastStart(t, s, stopped, stoppedAt)
	checkLastStart(t, s, listed, listedAt)
	awaitExit(t, s, stopped)
	short.wait(t, s, 10)
	checkAllFinished(t, s, append(long.end(), short.end()...), published)
}

// Guards against a planned stop of an entry that cuts a stream in flight (R7).
func TestStoppingEntryCutsNothing(t *testing.T) {
	s := stopSystem()
	published := s.StartEngines(t, chatTables, 3, 2)
	entry := s.Entries[1]
	long := startChats(t, s, 8, longStream)
	// The load balancer stops sending before the entry is told to stop.
	s.Await(t, "half of the requests went to the entry", func(context.Context) bool { return long.Open(entry.CallersURL) == 4 })
	long.Avoid(entry.CallersURL)
	s.Await(t, "the entry has taken what was sent to it", func(ctx context.Context) bool {
		status, err := entry.Status(ctx)
		return err == nil && status.Entry.InFlight == 4
	})
	signal(t, entry, syscall.SIGTERM)
	awaitExit(t, s, entry)
	checkAllFinished(t, s, long.end(), published)
}

func awaitExit(t *testing.T, s *system.System, m *system.Member) {
	t.Helper()
	s.Await(t, string(m.Identity.Instance)+" ends", func(context.Context) bool {
		select {
		case <-m.Process.Done():
			return true
		default:
			return false
		}
	})
	if code := m.Process.Wait(); code != 0 {
		t.Fatalf("%s ended with %d after SIGTERM\n%s", m.Identity.Instance, code, m.Process.Stderr())
	}
}

// checkAllFinished checks that each request was answered.
func checkAllFinished(t *testing.T, s *system.System, results []caller.Result, published map[mulberryspool.Digest]string) {
	t.Helper()
	checkChats(t, s, results, published)
	for _, r := range results {
		if r.Status != http.StatusOK || r.Failure != nil {
			t.Errorf("request %s: status %d, %+v, %v", r.ID, r.Status, r.Refusal, r.Failure)
		}
	}
}

// awaitInFlight waits until an agent has at least that many requests at its
// backend server.
func awaitInFlight(t *testing.T, s *system.System, m *system.Member, count int) {
	t.Helper()
	s.Await(t, fmt.Sprintf("%s has %d requests in flight", m.Identity.Instance, count), func(ctx context.Context) bool {
		status, err := m.Status(ctx)
		return err == nil && status.Agent.InFlight >= count
	})
}

// checkLastStart checks that an agent's engine started nothing more than 3 s
// after the sign, and that requests ran there at that time.
func checkLastStart(t *testing.T, s *system.System, m *system.Member, sign time.Time) {
	t.Helper()
	var list engine.ExecutionList
	s.SendJSON(t, http.MethodGet, m.BackendURL+"/admin/executions", nil, &list)
	running := 0
	for _, e := range list.Executions {
		if late := e.Started.Sub(sign); late > leavingLimit {
			t.Errorf("%s started request %s %v after the sign that it leaves", m.Identity.Instance, e.RequestID, late)
		}
		if e.Started.Before(sign) && (e.Ended.IsZero() || e.Ended.After(sign)) {
			running++
		}
	}
	if running == 0 {
		t.Errorf("%s had nothing in flight when it was told to leave", m.Identity.Instance)
	}
	t.Logf("%s: %d executions, %d in flight at the sign", m.Identity.Instance, len(list.Executions), running)
}
