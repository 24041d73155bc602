package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/deferred"
	"github.com/mulberryspool/mulberryspool/internal/standin/caller"
	"github.com/mulberryspool/mulberryspool/internal/standin/plainservice"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

// Guards against tables that are lost or revert to an earlier revision (R8), a
// submission that runs again for the same idempotency key (R5), and a deferred
// submission that is lost, runs twice or has no receipt (R9), when all agents and
// entries are killed at once and restarted.
func TestAllProcessesReplacedAtOnce(t *testing.T) {
	s := &system.System{
		Builder:       &builder,
		AgentTimeouts: []string{"heartbeatInterval: 100ms"},
		EntryTimeouts: []string{"heartbeatInterval: 100ms"},
	}
	s.Start(t)
	for range 2 {
		s.AddPlainAgent(t, "booking")
	}
	s.AddEntry(t)
	s.AddEntry(t)
	s.Apply(t, strings.ReplaceAll(bookingTables, "timeout: 15s", "timeout: 15s\n    deferred: true"))
	s.AwaitReadyAgents(t, "booking", 2)
	before := readHistory(t, s)
	revision := before[len(before)-1].Revision
	tables := s.RunCommand(t, 0, "tables", "get")

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answered := make(map[string]caller.SubmissionResult)
	for i := range 10 {
		key := fmt.Sprintf("before-%d", i)
		answered[key] = submit(client, s.Entries[i%2].CallersURL, caller.Submission{Key: key, ID: mulberryspool.RequestID(uuid.NewString())})
		if answered[key].Outcome != mulberryspool.OutcomeDone {
			t.Fatalf("submission %s: result %+v", key, answered[key])
		}
	}
	early := submitDeferred(t, s, "early", 4)
	awaitEnded(t, s, early)
	// Slow calls make sure that some of the later submissions are running and
	// others are only accepted when the processes are killed: an entry runs 16 at
	// once.
	for _, m := range s.Agents {
		s.SendJSON(t, http.MethodPut, m.BackendURL+"/admin/settings", plainservice.Settings{Delay: time.Second}, nil)
	}
	late := submitDeferred(t, s, "late", 60)
	s.Await(t, "some deferred submissions are running", func(context.Context) bool {
		return len(s.SubmissionExecutions(t, keysOf(late)...)) >= 4
	})

	members := append(append([]*system.Member{}, s.Agents...), s.Entries...)
	for _, m := range members {
		sendSignal(t, m, syscall.SIGKILL)
	}
	for _, m := range members {
		s.Restart(t, m)
	}
	for _, m := range s.Agents {
		s.SendJSON(t, http.MethodPut, m.BackendURL+"/admin/settings", plainservice.Settings{}, nil)
	}
	s.AwaitReadyAgents(t, "booking", 2)
	awaitRevision(t, s, revision, members...)
	if got := s.RunCommand(t, 0, "tables", "get"); got != tables {
		t.Errorf("tables after the restart are\n%swant\n%s", got, tables)
	}
	for _, m := range members {
		if status, err := m.Status(context.Background()); err != nil || status.Revision != revision {
			t.Errorf("%s has revision %d, error %v; want %d", m.Identity.Instance, status.Revision, err, revision)
		}
	}
	checkNotRunAgain(t, s, client, answered)
	receipts := awaitEnded(t, s, early)
	for key, r := range awaitEnded(t, s, late) {
		receipts[key] = r
	}
	checkReceipts(t, s, receipts)
}

// checkNotRunAgain sends each submission again through all entries, and checks
// that it was executed only the first time.
func checkNotRunAgain(t *testing.T, s *system.System, client *http.Client, answered map[string]caller.SubmissionResult) {
	t.Helper()
	for key, first := range answered {
		var again caller.SubmissionResult
		for _, entry := range s.Entries {
			again = submit(client, entry.CallersURL, caller.Submission{Key: key, ID: mulberryspool.RequestID(uuid.NewString())})
			if again.Outcome == mulberryspool.OutcomeDone && again.ExecutedID != first.ExecutedID {
				t.Errorf("submission %s was answered from execution %s, before from %s", key, again.ExecutedID, first.ExecutedID)
			}
		}
		ran := s.SubmissionExecutions(t, key)[key]
		if len(ran) != 1 || ran[0] != first.ExecutedID {
			t.Errorf("submission %s ran as %v, want once as %s; the last retry returned %+v", key, ran, first.ExecutedID, again)
		}
	}
}

// submitDeferred sends deferred submissions and returns their receipts by body.
func submitDeferred(t *testing.T, s *system.System, prefix string, count int) map[string]deferred.Receipt {
	t.Helper()
	receipts := make(map[string]deferred.Receipt)
	for i := range count {
		key := fmt.Sprintf("%s-%d", prefix, i)
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
			s.Entries[i%len(s.Entries)].CallersURL+"/booking/confirm", strings.NewReader(key))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Prefer", "respond-async")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		var receipt deferred.Receipt
		err = json.NewDecoder(response.Body).Decode(&receipt)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusAccepted {
			t.Fatalf("deferred submission %s: %s, %v", key, response.Status, err)
		}
		receipts[key] = receipt
	}
	return receipts
}

// awaitEnded waits until each deferred submission has ended, and returns the
// final receipts.
func awaitEnded(t *testing.T, s *system.System, receipts map[string]deferred.Receipt) map[string]deferred.Receipt {
	t.Helper()
	ended := make(map[string]deferred.Receipt)
	for key, receipt := range receipts {
		s.Await(t, "deferred submission "+key+" has ended", func(context.Context) bool {
			var read deferred.Receipt
			s.SendJSON(t, http.MethodGet, s.Entries[len(key)%2].CallersURL+"/deferred/"+receipt.ID, nil, &read)
			ended[key] = read
			return read.State != deferred.StateAccepted && read.State != deferred.StateClaimed
		})
	}
	return ended
}

// checkReceipts compares final receipts with the executions that the plain
// services recorded.
func checkReceipts(t *testing.T, s *system.System, receipts map[string]deferred.Receipt) {
	t.Helper()
	executions := s.SubmissionExecutions(t, keysOf(receipts)...)
	states := make(map[deferred.State]int)
	for key, r := range receipts {
		states[r.State]++
		ran := executions[key]
		if len(ran) > 1 {
			t.Errorf("deferred submission %s ran %d times: %v", key, len(ran), ran)
		}
		if r.State != deferred.StateDone {
			continue
		}
		var got plainservice.Answer
		if r.Answer == nil || json.Unmarshal(r.Answer.Body, &got) != nil || len(ran) != 1 || got.RequestID != ran[0] {
			t.Errorf("receipt of %s has the answer %+v, but it ran as %v", key, r.Answer, ran)
		}
	}
	t.Logf("deferred submissions: %v", states)
	if states[deferred.StateDone] == 0 || states[deferred.StateFailed] > 0 {
		t.Errorf("deferred submissions ended as %v, want some done and none failed", states)
	}
}

func keysOf(receipts map[string]deferred.Receipt) []string {
	var keys []string
	for key := range receipts {
		keys = append(keys, key)
	}
	return keys
}
