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
	// executionCount is the backend servers' own record of a key.
	executionCount struct{ key string }

	// recorder collects the history of all callers.
	recorder struct {
		began time.Time
		mu    sync.Mutex
		ops   []porcupine.Operation
	}
)

// submissionModel is a register for each key that is set at most once. The
// state is the ID of the request that ran; "" before. A submission with an
// unknown outcome may have run. The last operation of a key reads the backend
// servers' record.
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
		if _, isCount := input.(executionCount); isCount {
			return stepCount(ran, output.([]mulberryspool.RequestID))
		}
		return stepSubmission(ran, input.(caller.Submission), output.(caller.SubmissionResult))
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

func keyOf(input any) string {
	if count, isCount := input.(executionCount); isCount {
		return count.key
	}
	return input.(caller.Submission).Key
}

func stepSubmission(ran mulberryspool.RequestID, s caller.Submission, r caller.SubmissionResult) []any {
	switch {
	case r.Outcome == mulberryspool.OutcomeDone && ran == "":
		if r.Executed != s.ID {
			return nil
		}
		return []any{s.ID}
	case r.Outcome == mulberryspool.OutcomeDone:
		if r.Executed != ran {
			return nil
		}
		return []any{ran}
	case r.Outcome == mulberryspool.OutcomeNotRun:
		// This request did not run; an earlier one with the key may have.
		if ran == s.ID {
			return nil
		}
		return []any{ran}
	case ran == "":
		return []any{ran, s.ID}
	}
	return []any{ran}
}

func stepCount(ran mulberryspool.RequestID, executions []mulberryspool.RequestID) []any {
	if ran == "" && len(executions) == 0 || len(executions) == 1 && executions[0] == ran {
		return []any{ran}
	}
	return nil
}

func (r *recorder) add(client int, input, output any, call, end time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: client, Input: input, Output: output, Call: int64(call.Sub(r.began)), Return: int64(end.Sub(r.began)),
	})
}

// submit sends a keyed submission to the booking route.
func submit(client *http.Client, entry string, s caller.Submission) caller.SubmissionResult {
	c := caller.Caller{HTTP: client}
	return c.Submit(context.Background(), entry+"/booking/confirm", s)
}

// callers submit keys until the context ends; a key whose outcome is not done
// is tried again through the other entry.
func callers(ctx context.Context, s *system.System, r *recorder, count int) {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			for n := 0; ctx.Err() == nil; n++ {
				key := fmt.Sprintf("order-%d-%d", i, n)
				for try := range 3 {
					sub := caller.Submission{Key: key, ID: mulberryspool.RequestID(uuid.NewString())}
					call := time.Now()
					result := submit(client, s.Entries[(i+try)%len(s.Entries)].CallersURL, sub)
					r.add(i, sub, result, call, time.Now())
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

// check adds the backend servers' records to the history and checks it.
func check(t *testing.T, s *system.System, r *recorder) {
	t.Helper()
	// Keys are the bodies; the record holds their digests.
	keys := make(map[mulberryspool.Digest]string)
	executions := make(map[string][]mulberryspool.RequestID)
	outcomes := make(map[mulberryspool.Outcome]int)
	for _, op := range r.ops {
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
				t.Fatalf("execution %+v has a body that nobody sent", e)
			}
			executions[key] = append(executions[key], e.RequestID)
		}
	}
	end := time.Now()
	for key, ids := range executions {
		r.add(len(r.ops), executionCount{key: key}, ids, end, end.Add(time.Nanosecond))
	}
	t.Logf("%d keys, outcomes %v", len(executions), outcomes)
	if outcomes[mulberryspool.OutcomeDone] == 0 {
		t.Error("no submission was answered")
	}
	model := submissionModel.ToModel()
	if porcupine.CheckOperations(model, r.ops) {
		return
	}
	for _, part := range submissionModel.Partition(r.ops) {
		if porcupine.CheckOperations(model, part) {
			continue
		}
		for _, op := range part {
			t.Errorf("client %d: %s", op.ClientId, submissionModel.DescribeOperation(op.Input, op.Output))
		}
	}
}

// Guards against a submission that runs twice, a refusal as not run of one
// that ran, and an answer that belongs to another request, while connections
// are cut or go silent, agents are killed or frozen, an entry is killed, and
// the object API is down, slow, or loses or withholds answers.
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
	// Calls that take long are likely to be under way when a fault comes.
	for _, m := range s.Agents {
		s.SendJSON(t, http.MethodPut, m.BackendURL+"/admin/settings", plainservice.Settings{Delay: 100 * time.Millisecond}, nil)
	}
	r := &recorder{began: time.Now()}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		callers(ctx, s, r, 24)
	}()
	injectFaults(t, s, rand.New(rand.NewPCG(11, 1)), 40)
	s.AwaitReadyAgents(t, "booking", 3)
	time.Sleep(time.Second)
	stop()
	<-done
	check(t, s, r)
}

// injectFaults causes a number of faults, one or two at a time.
func injectFaults(t *testing.T, s *system.System, random *rand.Rand, count int) {
	t.Helper()
	objectFaults := s.ObjectAPIURL + fault.AdminPath
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
			signal(t, m, syscall.SIGSTOP)
			time.Sleep(700 * time.Millisecond)
			signal(t, m, syscall.SIGCONT)
		},
		func(m *system.Member) {
			signal(t, m, syscall.SIGKILL)
			s.Restart(t, m)
		},
		func(*system.Member) {
			entry := s.Entries[random.IntN(len(s.Entries))]
			signal(t, entry, syscall.SIGKILL)
			s.Restart(t, entry)
		},
		func(*system.Member) {
			s.SendJSON(t, http.MethodPost, objectFaults, fault.Rule{Kind: fault.LoseAnswer, Calls: 5}, nil)
		},
		func(*system.Member) {
			s.SendJSON(t, http.MethodPost, objectFaults, fault.Rule{Kind: fault.Unavailable}, nil)
			time.Sleep(400 * time.Millisecond)
			s.SendJSON(t, http.MethodDelete, objectFaults, nil, nil)
		},
		func(*system.Member) {
			s.SendJSON(t, http.MethodPost, objectFaults, fault.Rule{Kind: fault.Slow, Delay: 300 * time.Millisecond}, nil)
			time.Sleep(time.Second)
			s.SendJSON(t, http.MethodDelete, objectFaults, nil, nil)
		},
		func(*system.Member) {
			s.SendJSON(t, http.MethodPost, objectFaults, fault.Rule{Kind: fault.HangAnswer, Calls: 3}, nil)
			time.Sleep(500 * time.Millisecond)
			s.SendJSON(t, http.MethodDelete, objectFaults, nil, nil)
		},
	}
	for i := range count {
		// Each kind comes at least once before the order becomes random.
		kind := i
		if kind >= len(kinds) {
			kind = random.IntN(len(kinds))
		}
		kinds[kind](s.Agents[random.IntN(len(s.Agents))])
		// Every other fault comes together with the next one.
		if i%2 == 0 {
			time.Sleep(time.Duration(100+random.IntN(300)) * time.Millisecond)
		}
	}
	s.SendJSON(t, http.MethodDelete, objectFaults, nil, nil)
}

func signal(t *testing.T, m *system.Member, sig syscall.Signal) {
	t.Helper()
	if err := m.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}
