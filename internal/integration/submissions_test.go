package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/caller"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/standin/plainservice"
	"github.com/mulberryspool/mulberryspool/internal/testkit/faultproxy"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

// bookingTables have a route to a pool of plain services.
const bookingTables = `
routes:
  - name: booking
    kind: plain
    pool: booking
    timeout: 15s
pools:
  - name: booking
    kind: plain
`

type (
	// executionRecord is the input of an operation that reads the executions of a
	// key, as the backend servers recorded them.
	executionRecord struct{ key string }

	// recorder collects the operations of all callers for the linearizability
	// check.
	recorder struct {
		startedAt  time.Time
		mu         sync.Mutex
		operations []porcupine.Operation
	}
)

// submissionModel is a linearizability model: a register for each idempotency key
// that is set at most once. The state is the ID of the request that ran, or "" if
// none did. A submission with an unknown outcome may have run or not. The last
// operation of each key reads the executions that the backend servers recorded.
var submissionModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			byKey[keyOf(op.Input)] = append(byKey[keyOf(op.Input)], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{mulberryspool.RequestID("")} },
	Step: func(state, input, output any) []any {
		ran := state.(mulberryspool.RequestID)
		if _, isRecord := input.(executionRecord); isRecord {
			return stepExecutions(ran, output.([]mulberryspool.RequestID))
		}
		return stepSubmission(ran, input.(caller.Submission), output.(caller.SubmissionResult))
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

func keyOf(input any) string {
	if record, isRecord := input.(executionRecord); isRecord {
		return record.key
	}
	return input.(caller.Submission).Key
}

// stepSubmission returns the possible states after a submission; none if the
// result is not possible.
func stepSubmission(ran mulberryspool.RequestID, s caller.Submission, r caller.SubmissionResult) []any {
	switch {
	case r.Outcome == mulberryspool.OutcomeDone && ran == "":
		if r.ExecutedID != s.ID {
			return nil
		}
		return []any{s.ID}
	case r.Outcome == mulberryspool.OutcomeDone:
		if r.ExecutedID != ran {
			return nil
		}
		return []any{ran}
	case r.Outcome == mulberryspool.OutcomeNotRun:
		// This request did not run, but an earlier one with the same key may have.
		if ran == s.ID {
			return nil
		}
		return []any{ran}
	case ran == "":
		return []any{ran, s.ID}
	}
	return []any{ran}
}

// stepExecutions allows only executions that match the state: none, or one by the
// request that ran.
func stepExecutions(ran mulberryspool.RequestID, executions []mulberryspool.RequestID) []any {
	if ran == "" && len(executions) == 0 || len(executions) == 1 && executions[0] == ran {
		return []any{ran}
	}
	return nil
}

func (r *recorder) add(client int, input, output any, call, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: client, Input: input, Output: output, Call: int64(call.Sub(r.startedAt)), Return: int64(end.Sub(r.startedAt)),
	})
}

// submit sends a submission to the booking route.
func submit(client *http.Client, entry string, s caller.Submission) caller.SubmissionResult {
	c := caller.Caller{HTTP: client}
	return c.Submit(context.Background(), entry+"/booking/confirm", s)
}

// submitKeys runs callers that submit new keys until the context ends. A
// submission whose outcome is not done is retried up to twice, each time through
// the other entry.
func submitKeys(ctx context.Context, s *system.System, r *recorder, count int) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for n := 0; ctx.Err() == nil; n++ {
				key := fmt.Sprintf("order-%d-%d", i, n)
				for attempt := range 3 {
					submission := caller.Submission{Key: key, ID: mulberryspool.RequestID(uuid.NewString())}
					call := time.Now()
					result := submit(client, s.Entries[(i+attempt)%len(s.Entries)].CallersURL, submission)
					r.add(i, submission, result, call, time.Now())
					if result.Outcome == mulberryspool.OutcomeDone {
						break
					}
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

// checkSubmissions adds the executions that the backend servers recorded to the
// history, and checks that it is linearizable.
func checkSubmissions(t *testing.T, s *system.System, r *recorder) {
	t.Helper()
	// The backend servers record the digest of the body, which is the key.
	keys := make(map[mulberryspool.Digest]string)
	executions := make(map[string][]mulberryspool.RequestID)
	outcomes := make(map[mulberryspool.Outcome]int)
	for _, op := range r.operations {
		key := keyOf(op.Input)
		keys[plainservice.Digest([]byte(key))] = key
		executions[key] = nil
		outcomes[op.Output.(caller.SubmissionResult).Outcome]++
	}
	for _, m := range s.Agents {
		var list plainservice.ExecutionList
		s.SendJSON(t, http.MethodGet, m.BackendURL+"/admin/executions", nil, &list)
		for _, e := range list.Executions {
			key, known := keys[e.Body]
			if !known {
				t.Fatalf("execution %+v has a body that no caller sent", e)
			}
			executions[key] = append(executions[key], e.RequestID)
		}
	}
	end := time.Now()
	for key, ids := range executions {
		r.add(len(r.operations), executionRecord{key: key}, ids, end, end.Add(time.Nanosecond))
	}
	t.Logf("%d keys, outcomes %v", len(executions), outcomes)
	if outcomes[mulberryspool.OutcomeDone] == 0 {
		t.Error("no submission was answered")
	}
	model := submissionModel.ToModel()
	if porcupine.CheckOperations(model, r.operations) {
		return
	}
	for _, part := range submissionModel.Partition(r.operations) {
		if porcupine.CheckOperations(model, part) {
			continue
		}
		for _, op := range part {
			t.Errorf("client %d: %s", op.ClientId, submissionModel.DescribeOperation(op.Input, op.Output))
		}
	}
}

// Guards against a submission that runs twice, the refusal notRun for one that
// did run, and an answer that belongs to another request. Meanwhile connections
// are reset, stalled or delayed, agents are killed or frozen, entries are killed,
// and the object API is unavailable, slow, or loses or withholds answers.
func TestSubmissionsRunAtMostOnceUnderFaults(t *testing.T) {
	s := &system.System{
		Builder:       &builder,
		EntryTimeouts: []string{"heartbeatInterval: 100ms", "suspicionTimeout: 300ms", "resolveTimeout: 3s"},
	}
	s.Start(t)
	for range 3 {
		s.AddPlainAgent(t, "booking")
	}
	s.AddEntry(t)
	s.AddEntry(t)
	s.Apply(t, bookingTables)
	s.AwaitReadyAgents(t, "booking", 3)
	// Slow calls are likely to be in flight when a fault is injected.
	for _, m := range s.Agents {
		s.SendJSON(t, http.MethodPut, m.BackendURL+"/admin/settings", plainservice.Settings{Delay: 100 * time.Millisecond}, nil)
	}
	r := &recorder{startedAt: time.Now()}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		submitKeys(ctx, s, r, 24)
	}()
	injectFaults(t, s, rand.New(rand.NewPCG(11, 1)), 40)
	s.AwaitReadyAgents(t, "booking", 3)
	time.Sleep(time.Second)
	stop()
	<-done
	checkSubmissions(t, s, r)
}

// injectFaults injects a number of faults, one or two at a time.
func injectFaults(t *testing.T, s *system.System, random *rand.Rand, count int) {
	t.Helper()
	objectAPIFaults := s.ObjectAPIURL + fault.AdminPath
	kinds := []func(m *system.Member){
		func(m *system.Member) { m.Proxy.Cut() },
		func(m *system.Member) { m.Proxy.Stall(faultproxy.Both) },
		func(m *system.Member) { m.Proxy.Stall(faultproxy.ToClient) },
		func(m *system.Member) { m.Proxy.Stall(faultproxy.ToTarget) },
		func(m *system.Member) { m.Proxy.CutAnswers(1); m.Proxy.Cut() },
		func(m *system.Member) {
			m.Proxy.Delay(faultproxy.Both, 50*time.Millisecond)
			time.Sleep(200 * time.Millisecond)
			m.Proxy.Delay(faultproxy.Both, 0)
		},
		func(m *system.Member) {
			sendSignal(t, m, syscall.SIGSTOP)
			time.Sleep(700 * time.Millisecond)
			sendSignal(t, m, syscall.SIGCONT)
		},
		func(m *system.Member) {
			sendSignal(t, m, syscall.SIGKILL)
			s.Restart(t, m)
		},
		func(*system.Member) {
			entry := s.Entries[random.IntN(len(s.Entries))]
			sendSignal(t, entry, syscall.SIGKILL)
			s.Restart(t, entry)
		},
		func(*system.Member) {
			s.SendJSON(t, http.MethodPost, objectAPIFaults, fault.Rule{Kind: fault.LoseAnswer, Calls: 5}, nil)
		},
		func(*system.Member) {
			s.SendJSON(t, http.MethodPost, objectAPIFaults, fault.Rule{Kind: fault.Unavailable}, nil)
			time.Sleep(400 * time.Millisecond)
			s.SendJSON(t, http.MethodDelete, objectAPIFaults, nil, nil)
		},
		func(*system.Member) {
			s.SendJSON(t, http.MethodPost, objectAPIFaults, fault.Rule{Kind: fault.Slow, Delay: 300 * time.Millisecond}, nil)
			time.Sleep(time.Second)
			s.SendJSON(t, http.MethodDelete, objectAPIFaults, nil, nil)
		},
		func(*system.Member) {
			s.SendJSON(t, http.MethodPost, objectAPIFaults, fault.Rule{Kind: fault.HangAnswer, Calls: 3}, nil)
			time.Sleep(500 * time.Millisecond)
			s.SendJSON(t, http.MethodDelete, objectAPIFaults, nil, nil)
		},
	}
	for i := range count {
		// The first faults are one of each kind, later ones are random.
		kind := i
		if kind >= len(kinds) {
			kind = random.IntN(len(kinds))
		}
		kinds[kind](s.Agents[random.IntN(len(s.Agents))])
		// There is no pause after every other fault, so that two faults coincide.
		if i%2 == 0 {
			time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
		}
	}
	s.SendJSON(t, http.MethodDelete, objectAPIFaults, nil, nil)
}

func sendSignal(t *testing.T, m *system.Member, sig syscall.Signal) {
	t.Helper()
	if err := m.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}
