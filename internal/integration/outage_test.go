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

// outageTables have a pool of engines with a chat route, and a pool of plain
// services, whose route the test adds.
var outageTables = chatTables + `  - name: booking
    kind: plain
`

// revisionMonitor polls the revision of the tables in force in each process and
// records processes where it decreases.
type revisionMonitor struct {
	stop context.CancelFunc
	done chan struct{}

	mu        sync.Mutex
	highest   map[mulberryspool.InstanceID]mulberryspool.Revision
	decreases []string
}

// monitorRevisions starts polling the current members of the system.
func monitorRevisions(t *testing.T, s *system.System) *revisionMonitor {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	r := &revisionMonitor{stop: stop, done: make(chan struct{}), highest: make(map[mulberryspool.InstanceID]mulberryspool.Revision)}
	t.Cleanup(stop)
	var group sync.WaitGroup
	for _, m := range append(append([]*system.Member{}, s.Agents...), s.Entries...) {
		group.Go(func() {
			for ctx.Err() == nil {
				r.poll(ctx, m)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	go func() {
		defer close(r.done)
		group.Wait()
	}()
	return r
}

// poll reads a member's revision once. It ignores revision 0: a process that has
// just started has none, and serves nothing, until it has confirmed a revision.
func (r *revisionMonitor) poll(ctx context.Context, m *system.Member) {
	status, err := m.Status(ctx)
	if err != nil || status.Revision == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if status.Revision < r.highest[m.Identity.Instance] {
		r.decreases = append(r.decreases, string(m.Identity.Instance))
		return
	}
	r.highest[m.Identity.Instance] = status.Revision
}

// stopAndCheck stops polling and fails the test if a revision decreased.
func (r *revisionMonitor) stopAndCheck(t *testing.T) {
	t.Helper()
	r.stop()
	<-r.done
	if len(r.decreases) > 0 {
		t.Errorf("revisions decreased at %v", r.decreases)
	}
}

// awaitRevision waits until the members have this revision or a later one in
// force.
func awaitRevision(t *testing.T, s *system.System, revision mulberryspool.Revision, members ...*system.Member) {
	t.Helper()
	for _, m := range members {
		s.Await(t, string(m.Identity.Instance)+" has the revision in force", func(ctx context.Context) bool {
			status, err := m.Status(ctx)
			return err == nil && status.Revision >= revision
		})
	}
}

// readHistory reads the history of the tables, oldest change first.
func readHistory(t *testing.T, s *system.System) []acceptedChange {
	t.Helper()
	var list []acceptedChange
	if err := json.Unmarshal([]byte(s.RunCommand(t, 0, "tables", "history", "--json", "--limit", "200")), &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// acceptedChange is an element of `tables history --json`.
type acceptedChange struct {
	Revision mulberryspool.Revision `json:"revision"`
	mulberryspool.Change
}

// Guards against an outage of the object API that stops requests without an
// idempotency key, the propagation of tables between peers or an accepted rollout
// (R1, R8), against a change that takes effect although it was refused, against a
// restarted agent that does not serve the version its engine has loaded, and
// against revisions in force that decrease (R8).
func TestObjectAPIOutage(t *testing.T) {
	s := &system.System{
		Builder:         &builder,
		AgentTimeouts:   []string{"heartbeatInterval: 100ms"},
		EntryTimeouts:   []string{"heartbeatInterval: 100ms"},
		EngineArguments: []string{"--refuse-stale-orders", "--tokens-per-second", "250"},
	}
	tables := strings.ReplaceAll(outageTables, "routes:\n", "routes:\n  - name: booking\n    kind: plain\n    pool: booking\n")
	published := startEnginesAndService(t, s, tables)
	monitor := monitorRevisions(t, s)
	load := startChats(t, s, 8, 40)

	// These can get the change only from a peer.
	isolated := []*system.Member{s.Agents[3], s.Entries[1]}
	for _, m := range isolated {
		addFault(t, s, fault.Rule{Kind: fault.Unavailable, Caller: string(m.Identity.Instance)})
	}
	s.ApplyNoWait(t, withVersion(tables, "v2"))
	before := readHistory(t, s)
	revision := before[len(before)-1].Revision
	s.Await(t, "an agent is fetching v2", func(ctx context.Context) bool {
		status, err := s.Agents[0].Status(ctx)
		return err == nil && status.Agent.Progress.Version == "v2"
	})
	addFault(t, s, fault.Rule{Kind: fault.Unavailable})

	engines := s.Agents[:4]
	keyed := submitKeyed(s)
	awaitRevision(t, s, revision, isolated...)
	s.AwaitServing(t, "v2", engines...)
	load.awaitAnswers(t, s, 16)
	checkSubmissionsInOutage(t, s)
	code, _, message := s.TryCommand(t, "--timeout", "2s", "tables", "apply", "-f", s.TablesFile(t, withVersion(tables, "v3")), "--author", "late")
	if code == 0 || !strings.Contains(message, "object API") {
		t.Errorf("apply in the outage exited with code %d and %q, want an error that names the object API", code, message)
	}
	checkRestartInOutage(t, s, engines[0], revision)
	if got := <-keyed; got.Outcome != mulberryspool.OutcomeNotRun {
		t.Errorf("submission with a key in the outage: result %+v, want notRun", got)
	}
	if n := len(s.SubmissionExecutions(t, keyInOutage)); n != 0 {
		t.Error("a submission was refused as notRun, but ran")
	}
	load.awaitAnswers(t, s, 16)

	s.SendJSON(t, http.MethodDelete, s.ObjectAPIURL+fault.AdminPath, nil, nil)
	after := readHistory(t, s)
	if len(after) != len(before) || after[len(after)-1].ID != before[len(before)-1].ID {
		t.Errorf("the change that was refused in the outage is in the history: %+v", after)
	}
	s.Apply(t, withVersion(tables, "v4"))
	load.awaitAnswers(t, s, 16)
	monitor.stopAndCheck(t)
	results := load.stopAndCollect()
	checkChats(t, s, results, published)
	for _, r := range results {
		if version := published[r.Weights]; version == "v3" {
			t.Errorf("request %s was answered by v3, although the change to it was refused", r.ID)
		}
	}
}

// startEnginesAndService starts four engines and a plain service with their
// agents, and two entries, and waits until v1 is served.
func startEnginesAndService(t *testing.T, s *system.System, tables string) map[mulberryspool.Digest]string {
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

// addFault adds a fault rule to the object API.
func addFault(t *testing.T, s *system.System, rule fault.Rule) {
	t.Helper()
	s.SendJSON(t, http.MethodPost, s.ObjectAPIURL+fault.AdminPath, rule, nil)
}

// keyInOutage is the key of a submission whose claim can't be written.
const keyInOutage = "in-outage"

// submitKeyed sends a submission with a key in the background, because the entry
// tries to write the claim for some time before it refuses.
func submitKeyed(s *system.System) <-chan caller.SubmissionResult {
	result := make(chan caller.SubmissionResult, 1)
	go func() {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		result <- submit(client, s.Entries[0].CallersURL, caller.Submission{Key: keyInOutage, ID: mulberryspool.RequestID(uuid.NewString())})
	}()
	return result
}

// checkSubmissionsInOutage checks that submissions without a key are answered.
func checkSubmissionsInOutage(t *testing.T, s *system.System) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, entry := range s.Entries {
		plain := caller.Submission{ID: mulberryspool.RequestID(uuid.NewString())}
		if got := submit(client, entry.CallersURL, plain); got.Outcome != mulberryspool.OutcomeDone || got.ExecutedID != plain.ID {
			t.Errorf("submission without a key in the outage: result %+v", got)
		}
	}
}

// checkRestartInOutage kills and restarts an agent, and checks that its new
// incarnation serves the version that the engine has loaded, without a load order.
func checkRestartInOutage(t *testing.T, s *system.System, m *system.Member, revision mulberryspool.Revision) {
	t.Helper()
	orders := s.LoadOrders(t, m)
	sendSignal(t, m, syscall.SIGKILL)
	s.Restart(t, m)
	s.AwaitServing(t, "v2", m)
	status, err := m.Status(context.Background())
	if err != nil || status.Revision != revision {
		t.Errorf("restarted agent has revision %d, error %v; want %d", status.Revision, err, revision)
	}
	if again := s.LoadOrders(t, m); len(again) != len(orders) {
		t.Errorf("the restarted agent sent load orders %+v", again[len(orders):])
	}
	s.AwaitReadyAgents(t, "scribe", 4)
}
