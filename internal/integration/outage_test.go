package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/caller"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
	"github.com/mulberryspool/mulberryspool/internal/testkit/system"
)

// outageTables have a chat route and a plain one.
var outageTables = chatTables + `  - name: booking
    kind: plain
`

// revisionWatch polls the revisions in force of all processes.
type revisionWatch struct {
	stop context.CancelFunc
	done chan struct{}

	mu      sync.Mutex
	highest map[mulberryspool.InstanceID]mulberryspool.Revision
	falls   []string
}

// watchRevisions starts a watch over the members that exist now.
func watchRevisions(t *testing.T, s *system.System) *revisionWatch {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	w := &revisionWatch{stop: stop, done: make(chan struct{}), highest: make(map[mulberryspool.InstanceID]mulberryspool.Revision)}
	t.Cleanup(stop)
	var group sync.WaitGroup
	for _, m := range append(append([]*system.Member{}, s.Agents...), s.Entries...) {
		group.Go(func() {
			for ctx.Err() == nil {
				w.poll(ctx, m)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	go func() {
		defer close(w.done)
		group.Wait()
	}()
	return w
}

// poll ignores revision 0: a process that has just started serves nothing
// until it has confirmed a revision.
func (w *revisionWatch) poll(ctx context.Context, m *system.Member) {
	status, err := m.Status(ctx)
	if err != nil || status.Revision == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if status.Revision < w.highest[m.Identity.Instance] {
		w.falls = append(w.falls, string(m.Identity.Instance))
		return
	}
	w.highest[m.Identity.Instance] = status.Revision
}

// check ends the watch.
func (w *revisionWatch) check(t *testing.T) {
	t.Helper()
	w.stop()
	<-w.done
	if len(w.falls) > 0 {
		t.Errorf("revisions fell at %v", w.falls)
	}
}

// awaitRevision waits until the members have a revision in force.
func awaitRevision(t *testing.T, s *system.System, revision mulberryspool.Revision, members ...*system.Member) {
	t.Helper()
	for _, m := range members {
		s.Await(t, string(m.Identity.Instance)+" has the new revision", func(ctx context.Context) bool {
			status, err := m.Status(ctx)
			return err == nil && status.Revision >= revision
		})
	}
}

// changes returns the history of the tables, oldest first.
func changes(t *testing.T, s *system.System) []acceptedChange {
	t.Helper()
	var list []acceptedChange
	if err := json.Unmarshal([]byte(s.RunCommand(t, 0, "tables", "history", "--json", "--limit", "200")), &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// acceptedChange is a row of `tables history --json`.
type acceptedChange struct {
	Revision mulberryspool.Revision `json:"revision"`
	mulberryspool.Change
}

// Guards against an outage of the object API that stops requests without a
// key, the spread of tables or an accepted rollout (R1, R8), that lets a
// refused change take effect, that keeps a restarted agent from serving what
// its engine holds, and against revisions in force that fall (R8).
func TestObjectAPIOutage(t *testing.T) {
	s := &system.System{
		Builder:         &builder,
		AgentTimeouts:   []string{"heartbeatInterval: 100ms"},
		EntryTimeouts:   []string{"heartbeatInterval: 100ms"},
		EngineArguments: []string{"--refuse-stale-orders", "--tokens-per-second", "250"},
	}
	tables := strings.ReplaceAll(outageTables, "routes:\n", "routes:\n  - name: booking\n    kind: plain\n    pool: booking\n")
	published := startOutage(t, s, tables)
	watch := watchRevisions(t, s)
	load := startChats(t, s, 8, 40)

	// These learn of the change from a peer only.
	cutOff := []*system.Member{s.Agents[3], s.Entries[1]}
	for _, m := range cutOff {
		addFault(t, s, fault.Rule{Kind: fault.Unavailable, Caller: string(m.Identity.Instance)})
	}
	s.ApplyNoWait(t, withVersion(tables, "v2"))
	before := changes(t, s)
	revision := before[len(before)-1].Revision
	s.Await(t, "an agent fetches v2", func(ctx context.Context) bool {
		status, err := s.Agents[0].Status(ctx)
		return err == nil && status.Agent.Progress.Version == "v2"
	})
	addFault(t, s, fault.Rule{Kind: fault.Unavailable})

	engines := s.Agents[:4]
	keyed := submitKeyed(s)
	awaitRevision(t, s, revision, cutOff...)
	s.AwaitServing(t, "v2", engines...)
	load.wait(t, s, 16)
	checkSubmissionsInOutage(t, s)
	code, _, message := s.TryCommand(t, "--timeout", "2s", "tables", "apply", "-f", s.TablesFile(t, withVersion(tables, "v3")), "--author", "late")
	if code == 0 || !strings.Contains(message, "object API") {
		t.Errorf("apply in the outage ended with %d and %q, want an error that names the object API", code, message)
	}
	checkRestartInOutage(t, s, engines[0], revision)
	if got := <-keyed; got.Outcome != mulberryspool.OutcomeNotRun {
		t.Errorf("submission with a key in the outage ended %+v, want notRun", got)
	}
	if n := len(s.SubmissionExecutions(t, keyInOutage)); n != 0 {
		t.Error("a submission that was refused as not run ran")
	}
	load.wait(t, s, 16)

	s.SendJSON(t, http.MethodDelete, s.ObjectAPIURL+fault.AdminPath, nil, nil)
	after := changes(t, s)
	if len(after) != len(before) || after[len(after)-1].ID != before[len(before)-1].ID {
		t.Errorf("the change that was refused in the outage is in the history: %+v", after)
	}
	s.Apply(t, withVersion(tables, "v4"))
	load.wait(t, s, 16)
	watch.check(t)
	results := load.end()
	checkChats(t, s, results, published)
	for _, r := range results {
		if version := published[r.Weights]; version == "v3" {
			t.Errorf("request %s was answered by v3, whose change was refused", r.ID)
		}
	}
}

// startOutage starts four engines, a plain service and two entries.
func startOutage(t *testing.T, s *system.System, tables string) map[mulberryspool.Digest]string {
	t.Helper()
	s.Start(t)
	s.PublishVersions(t)
	for range 4 {
		s.AddEngineAgent(t, "scribe")
	}
	s.AddPlainAgent(t, "booking")
	s.AddEntry(t)
	s.AddEntry(t)
	s.Apply(t, withVersion(tables, "v1"))
	s.AwaitServing(t, "v1", s.Agents[:4]...)
	s.AwaitReadyAgents(t, "scribe", 4)
	s.AwaitReadyAgents(t, "booking", 1)
	return s.PublishedDigests(t, "v1", "v2", "v3", "v4")
}

func addFault(t *testing.T, s *system.System, rule fault.Rule) {
	t.Helper()
	s.SendJSON(t, http.MethodPost, s.ObjectAPIURL+fault.AdminPath, rule, nil)
}

// keyInOutage is the key of a submission that can't be claimed.
const keyInOutage = "in-outage"

// submitKeyed sends a submission with a key and returns its result later:
// the entry tries for a while to record the claim.
func submitKeyed(s *system.System) <-chan caller.SubmissionResult {
	result := make(chan caller.SubmissionResult, 1)
	go func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		result <- submit(client, s.Entries[0].CallersURL, caller.Submission{Key: keyInOutage, ID: mulberryspool.RequestID(uuid.NewString())})
	}()
	return result
}

// checkSubmissionsInOutage checks that submissions without a key go on.
func checkSubmissionsInOutage(t *testing.T, s *system.System) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, entry := range s.Entries {
		plain := caller.Submission{ID: mulberryspool.RequestID(uuid.NewString())}
		if got := submit(client, entry.CallersURL, plain); got.Outcome != mulberryspool.OutcomeDone || got.Executed != plain.ID {
			t.Errorf("submission without a key in the outage ended %+v", got)
		}
	}
}

// checkRestartInOutage kills an agent and checks that its next incarnation
// serves what the engine holds, without an order.
func checkRestartInOutage(t *testing.T, s *system.System, m *system.Member, revision mulberryspool.Revision) {
	t.Helper()
	orders := s.LoadOrders(t, m)
	signal(t, m, syscall.SIGKILL)
	s.Restart(t, m)
	s.AwaitServing(t, "v2", m)
	status, err := m.Status(context.Background())
	if err != nil || status.Revision != revision {
		t.Errorf("restarted agent has revision %d, error %v; want %d", status.Revision, err, revision)
	}
	if again := s.LoadOrders(t, m); len(again) != len(orders) {
		t.Errorf("the restarted agent ordered %+v", again[len(orders):])
	}
	s.AwaitReadyAgents(t, "scribe", 4)
}
