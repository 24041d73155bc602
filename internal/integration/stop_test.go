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

// leavingGracePeriod is the time within which a leaving agent may still start new
// requests (R6). It counts from SIGTERM or from the change of the agent's state in
// the instance list, whichever is first.
const leavingGracePeriod = 3 * time.Second

// newStopSystem returns a system whose engines take 7.5 s for a long stream. That
// is longer than the 3 s after which a leaving agent gets no new requests, and
// than the 5 s for which a stopping entry still serves callers.
func newStopSystem() *system.System {
	return &system.System{
		Builder:         &builder,
		EngineArguments: []string{"--refuse-stale-orders", "--tokens-per-second", "40", "--capacity", "32"},
	}
}

// longStreamTokens is the length of a long stream, at 40 tokens per second.
const longStreamTokens = 300

// Guards against an agent that interrupts streams in flight when it is stopped by
// SIGTERM (R7), and against new requests at an agent more than 3 s after it got
// SIGTERM or after it was marked as leaving in the instance list only (R6).
func TestStoppingAgentCutsNothing(t *testing.T) {
	s := newStopSystem()
	published := s.StartEngines(t, chatTables, 4, 2)
	long := startChats(t, s, 8, longStreamTokens)
	// Short requests make sure that new requests arrive all the time.
	short := startChats(t, s, 4, 10)
	stopped, listed := s.Agents[0], s.Agents[1]
	awaitInFlight(t, s, stopped, 1)
	awaitInFlight(t, s, listed, 1)

	listedAt := time.Now()
	s.SendJSON(t, http.MethodPost, s.InstanceListURL+"/admin/instances/"+string(listed.Identity.Instance)+"/leave", nil, nil)
	stoppedAt := time.Now()
	sendSignal(t, stopped, syscall.SIGTERM)
	s.Await(t, "twice the grace period has passed", func(context.Context) bool { return time.Since(stoppedAt) > 2*leavingGracePeriod })
	checkNoLateStarts(t, s, stopped, stoppedAt)
	checkNoLateStarts(t, s, listed, listedAt)
	awaitExit(t, s, stopped)
	short.awaitAnswers(t, s, 10)
	checkAllAnswered(t, s, append(long.stopAndCollect(), short.stopAndCollect()...), published)
}

// Guards against an entry that interrupts streams in flight when it is stopped by
// SIGTERM (R7).
func TestStoppingEntryCutsNothing(t *testing.T) {
	s := newStopSystem()
	published := s.StartEngines(t, chatTables, 3, 2)
	entry := s.Entries[1]
	long := startChats(t, s, 8, longStreamTokens)
	// A load balancer stops sending requests to an entry before that gets SIGTERM.
	s.Await(t, "half of the requests were sent to the entry", func(context.Context) bool { return long.InFlight(entry.CallersURL) == 4 })
	long.ExcludeEntry(entry.CallersURL)
	s.Await(t, "the entry has accepted the requests sent to it", func(ctx context.Context) bool {
		status, err := entry.Status(ctx)
		return err == nil && status.Entry.InFlight == 4
	})
	sendSignal(t, entry, syscall.SIGTERM)
	awaitExit(t, s, entry)
	checkAllAnswered(t, s, long.stopAndCollect(), published)
}

// awaitExit waits until a member's process ends, and checks its exit code.
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
		t.Fatalf("%s exited with code %d after SIGTERM\n%s", m.Identity.Instance, code, m.Process.Stderr())
	}
}

// checkAllAnswered does the checks of checkChats, and checks that each request
// was answered with status 200 and without interruption.
func checkAllAnswered(t *testing.T, s *system.System, results []caller.Result, published map[mulberryspool.Digest]string) {
	t.Helper()
	checkChats(t, s, results, published)
	for _, r := range results {
		if r.Status != http.StatusOK || r.Err != nil {
			t.Errorf("request %s: status %d, %+v, %v", r.ID, r.Status, r.Refusal, r.Err)
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

// checkNoLateStarts checks that an agent's engine started no request later than
// 3 s after the agent began to leave, and that requests were in flight when it
// began.
func checkNoLateStarts(t *testing.T, s *system.System, m *system.Member, leavingSince time.Time) {
	t.Helper()
	var list engine.ExecutionList
	s.SendJSON(t, http.MethodGet, m.BackendURL+"/admin/executions", nil, &list)
	running := 0
	for _, e := range list.Executions {
		if delay := e.Started.Sub(leavingSince); delay > leavingGracePeriod {
			t.Errorf("%s started request %s %v after it began to leave", m.Identity.Instance, e.RequestID, delay)
		}
		if e.Started.Before(leavingSince) && (e.Ended.IsZero() || e.Ended.After(leavingSince)) {
			running++
		}
	}
	if running == 0 {
		t.Errorf("%s had no requests in flight when it began to leave", m.Identity.Instance)
	}
	t.Logf("%s: %d executions, %d in flight when it began to leave", m.Identity.Instance, len(list.Executions), running)
}
