package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/admin"
	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
	"github.com/mulberryspool/mulberryspool/internal/observe/timeline"
	"github.com/mulberryspool/mulberryspool/internal/operator/tables"
	agentsettings "github.com/mulberryspool/mulberryspool/internal/settings/agent"
)

type (
	// fakePlatform is an in-memory object API and instance list.
	fakePlatform struct {
		mulberryspool.ObjectStore

		mu        sync.Mutex
		objects   map[string]mulberryspool.Object
		version   mulberryspool.Revision
		instances []mulberryspool.ListedInstance
		// loseWrites makes every write fail with an unknown outcome and no
		// effect.
		loseWrites bool
	}

	// process is the state that the admin listener of a fake process serves.
	process struct {
		status admin.Status
		ring   *timeline.Ring
	}
)

func (p *fakePlatform) Get(_ context.Context, kind, name string) (mulberryspool.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	object, ok := p.objects[kind+"/"+name]
	if !ok {
		return object, mulberryspool.ErrNotFound
	}
	return object, nil
}

func (p *fakePlatform) Create(ctx context.Context, kind, name string, value []byte) (mulberryspool.Object, error) {
	return p.Update(ctx, kind, name, value, 0)
}

func (p *fakePlatform) Update(_ context.Context, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.loseWrites:
		return mulberryspool.Object{}, mulberryspool.ErrUncertain
	case p.objects[kind+"/"+name].Version != version:
		return mulberryspool.Object{}, mulberryspool.ErrConflict
	}
	p.version++
	p.objects[kind+"/"+name] = mulberryspool.Object{Kind: kind, Name: name, Version: p.version, Value: value}
	return p.objects[kind+"/"+name], nil
}

func (p *fakePlatform) Instances(context.Context) ([]mulberryspool.ListedInstance, error) {
	return p.instances, nil
}

// addProcess starts the admin listener of a fake agent and adds it to the
// instance list.
func (p *fakePlatform) addProcess(t *testing.T, instance string, status admin.Status) *process {
	t.Helper()
	status.Identity.Instance = mulberryspool.InstanceID(instance)
	status.Identity.Role = mulberryspool.RoleAgent
	started := &process{status: status, ring: &timeline.Ring{Identity: status.Identity, HLC: &hlc.Clock{Wall: clockwork.NewRealClock()}}}
	server := httptest.NewServer((&admin.Server{Events: started.ring, Status: func() admin.Status { return started.status }}).Handler())
	t.Cleanup(server.Close)
	started.status.Identity.Admin = strings.TrimPrefix(server.URL, "http://")
	p.instances = append(p.instances, mulberryspool.ListedInstance{Identity: started.status.Identity, State: mulberryspool.InstanceLive})
	return started
}

func newPlatform() *fakePlatform {
	return &fakePlatform{objects: make(map[string]mulberryspool.Object)}
}

// run runs one command line and returns the exit code and the output.
func (p *fakePlatform) run(t *testing.T, args ...string) (code int, out, errText string) {
	t.Helper()
	t.Setenv(envObjectAPI, "http://127.0.0.1:1")
	t.Setenv(envInstances, "http://127.0.0.1:1")
	t.Setenv(envAuthor, "asha")
	var stdout, stderr bytes.Buffer
	program := &Program{Clock: clockwork.NewRealClock(), Out: &stdout, Err: &stderr, Runners: Runners{
		ObjectStore:  func(string) (mulberryspool.ObjectStore, error) { return p, nil },
		InstanceList: func(string) (mulberryspool.InstanceList, error) { return p, nil },
		Agent: func(_ context.Context, s agentsettings.Settings, _ io.Writer) error {
			_, err := fmt.Fprintln(&stdout, "agent", s.Instance, s.ObjectAPI.URL)
			return err
		},
	}}
	code = program.Run(t.Context(), args)
	return code, stdout.String(), stderr.String()
}

// tempFile writes content to a temporary YAML file and returns its name.
func tempFile(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.yaml")
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// Guards against wrong exit codes and against error messages without the cause.
func TestExitCodes(t *testing.T) {
	p := newPlatform()
	good := tempFile(t, "pools:\n  - {name: a, kind: plain}\n")
	tests := []struct {
		args []string
		code int
		want string
	}{
		{nil, ExitBadInput, "no subcommand"},
		{[]string{"agent"}, ExitBadInput, "--config is required"},
		{[]string{"agent", "--config", tempFile(t, "instance: a\npol: b\n"), "--check"}, ExitBadInput, "file.yaml:2: pol: unknown key; expected one of instance"},
		{[]string{"agent", "--config", "../../../examples/kesarvani/agent-draft-models.yaml", "--check"}, ExitOK, "settings are valid"},
		{[]string{"agent", "--config", "../../../examples/kesarvani/agent-draft-models.yaml"}, ExitOK, "agent draft-models-surat-a-1 http://127.0.0.1:1"},
		{[]string{"entry", "--config", "../../../examples/kesarvani/entry.yaml"}, ExitFailure, "this build has no entry role"},
		{[]string{"tables", "validate", "-f", good}, ExitOK, "tables are valid"},
		{[]string{"tables", "validate", "-f", tempFile(t, "routes:\n  - {name: r, kind: plain, pool: x}\n")}, ExitBadInput, `file.yaml:2: routes[0].pool: pool "x" does not exist`},
		{[]string{"tables", "apply"}, ExitBadInput, "needs -f FILE"},
		{[]string{"tables", "apply", "-f", good, "--dry-run"}, ExitOK, "dry run, nothing written"},
		{[]string{"tables", "apply", "-f", tempFile(t, "pools:\n  - {name: e, kind: engine, version: v9}\n")}, ExitRefused, "pools/e: version v9 is not published"},
		{[]string{"tables", "apply", "--revert", "7"}, ExitRefused, "no change made revision 7"},
		{[]string{"tables", "validate"}, ExitBadInput, "--file is required"},
		{[]string{"timeline", "--since", "soon"}, ExitBadInput, `--since "soon" is neither`},
		{[]string{"status", "--settings", tempFile(t, "objectApi: x\n")}, ExitBadInput, "objectApi: unknown key; expected one of objectAPI, instances, author"},
	}
	for _, tt := range tests {
		code, out, errText := p.run(t, tt.args...)
		if code != tt.code || !strings.Contains(out+errText, tt.want) {
			t.Errorf("%v: exit code %d, want %d with %q; printed\n%s%s", tt.args, code, tt.code, tt.want, out, errText)
		}
	}
	if len(p.objects) != 0 {
		t.Errorf("refused changes and dry runs wrote %v", p.objects)
	}
	p.loseWrites = true
	if code, _, errText := p.run(t, "tables", "apply", "-f", good, "--timeout", "2s"); code != ExitUnknown || !strings.Contains(errText, "may or may not be in force") {
		t.Errorf("a lost write ended with %d: %s", code, errText)
	}
}

// Guards against inconsistent results of get, apply and history, and against a
// revert that does not restore the row or is missing from the history.
func TestTablesAreChangedAndReverted(t *testing.T) {
	p := newPlatform()
	steps := []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"tables", "apply", "-f", tempFile(t, "pools:\n  - {name: a, kind: plain, maxUnavailable: 1}\n")}, ExitOK, []string{"pools/a", "+ {", "accepted as revision 1"}},
		{[]string{"tables", "apply", "--author", "binod", "-f", tempFile(t, "base: 1\npools:\n  - {name: a, kind: plain, maxUnavailable: 2}\n")}, ExitOK, []string{"- {", "accepted as revision 2"}},
		{[]string{"tables", "apply", "-f", tempFile(t, "base: 1\npools:\n  - {name: a, kind: plain, maxUnavailable: 3}\n")}, ExitRefused, []string{"binod changed it at", "in revision 2 to"}},
		{[]string{"tables", "apply", "-f", tempFile(t, "pools:\n  - {name: a, kind: plain, maxUnavailable: 1}\n")}, ExitRefused, []string{"repeat with --revert 2"}},
		{[]string{"tables", "apply", "--revert", "2"}, ExitOK, []string{"accepted as revision 3"}},
		{[]string{"tables", "get"}, ExitOK, []string{"base: 3", "maxUnavailable: 1"}},
		{[]string{"tables", "get", "--json"}, ExitOK, []string{`"base": 3`}},
		{[]string{"tables", "history"}, ExitOK, []string{"revision 2 by binod", "revision 3 by asha", "undoes 2"}},
		{[]string{"tables", "history", "--json", "--limit", "1"}, ExitOK, []string{`"reverts": 2`, `"revision": 3`, `"undid"`}},
	}
	for _, step := range steps {
		code, out, errText := p.run(t, step.args...)
		if code != step.code {
			t.Fatalf("%v: exit code %d, want %d: %s%s", step.args, code, step.code, out, errText)
		}
		for _, want := range step.want {
			if !strings.Contains(out+errText, want) {
				t.Errorf("%v lacks %q in\n%s%s", step.args, want, out, errText)
			}
		}
	}
}

// Guards against `apply --wait` reporting success while a live process lacks
// the revision, rejects it or does not respond, and against an error that lists
// other processes.
func TestWaitNamesProcessesThatLag(t *testing.T) {
	p := newPlatform()
	apply := []string{"tables", "apply", "--allow-empty", "--wait", "-f", tempFile(t, "pools:\n  - {name: a, kind: plain}\n"), "--wait-timeout", "2s"}
	if code, _, errText := p.run(t, apply...); code != ExitIncomplete || !strings.Contains(errText, "no live process") {
		t.Fatalf("a wait for nobody ended with %d: %s", code, errText)
	}
	p.addProcess(t, "good", admin.Status{Revision: 1})
	lagging := p.addProcess(t, "lagging", admin.Status{Revision: 0})
	rejecting := p.addProcess(t, "rejecting", admin.Status{Rejected: &mulberryspool.TablesRejection{Revision: 1, Table: "pools", Row: "a", Reason: "bad"}})
	p.instances = append(p.instances, mulberryspool.ListedInstance{Identity: mulberryspool.Identity{Instance: "gone", Admin: "127.0.0.1:1"}, State: mulberryspool.InstanceLive})
	p.instances = append(p.instances, mulberryspool.ListedInstance{Identity: mulberryspool.Identity{Instance: "leaving"}, State: mulberryspool.InstanceLeaving})
	code, _, errText := p.run(t, apply...)
	if code != ExitIncomplete {
		t.Fatalf("exit code %d, want %d", code, ExitIncomplete)
	}
	for _, want := range []string{"lagging: has no tables in force", "rejecting: rejected it: pools/a: bad", "gone: no answer from 127.0.0.1:1"} {
		if !strings.Contains(errText, want) {
			t.Errorf("message lacks %q:\n%s", want, errText)
		}
	}
	if strings.Contains(errText, "good") || strings.Contains(errText, "leaving") {
		t.Errorf("message names others:\n%s", errText)
	}
	p.instances = p.instances[:3]
	lagging.status.Revision, rejecting.status.Revision = 2, 1
	apply[len(apply)-1] = "5m"
	if code, out, errText := p.run(t, apply...); code != ExitOK || !strings.Contains(out, "in force at all 3 live processes") {
		t.Errorf("exit code %d: %s%s", code, out, errText)
	}
}

// Guards against a status that omits agents that do not serve the target, their
// reason, or rejected revisions, and against a time line that does not mention
// a process that does not respond.
func TestStatusAndTimelineNameWhatIsMissing(t *testing.T) {
	p := newPlatform()
	agent := func(phase mulberryspool.Phase, chunks int, cause string) admin.Status {
		return admin.Status{
			Identity: mulberryspool.Identity{Pool: "draft-models"}, Revision: 4,
			Agent: &admin.AgentStatus{
				Heartbeat: mulberryspool.Heartbeat{Phase: phase, Target: "v2", ServedVersion: "v2"},
				Progress:  mulberryspool.StageProgress{Chunks: chunks, Total: 8, OriginBytes: 1000, PeerBytes: 3000, BytesPerSecond: 500},
				Cause:     cause,
			},
		}
	}
	first := p.addProcess(t, "agent-1", agent(mulberryspool.PhaseServing, 8, ""))
	p.addProcess(t, "agent-2", agent(mulberryspool.PhaseFetching, 2, "no live holder of 3 chunks"))
	behind := agent(mulberryspool.PhaseServing, 8, "")
	behind.Revision, behind.Rejected = 3, &mulberryspool.TablesRejection{Revision: 4, Table: "routes", Row: "chat", Reason: "weights"}
	behind.Agent.Heartbeat.ServedVersion = "v1"
	p.addProcess(t, "agent-3", behind)
	p.instances = append(p.instances, mulberryspool.ListedInstance{Identity: mulberryspool.Identity{Instance: "agent-4", Role: "agent"}, State: mulberryspool.InstanceLive})
	first.ring.Record(mulberryspool.Event{Kind: mulberryspool.EventEngineReadBack, Version: "v2"})
	first.ring.Record(mulberryspool.Event{Kind: mulberryspool.EventEngineReadBack, Version: "v1"})
	tests := []struct {
		args []string
		want []string
	}{
		{[]string{"status"}, []string{
			"3 of 4 live processes answered", "revision 4 in force at 2", "revision 3 in force at 1 processes: agent-3",
			"revision 4 is rejected by 1 processes: routes/chat: weights", "1 of 3", "18 of 24", "3.0 kB", "9.0 kB",
			"agent-2 is fetching, 2 of 8 chunks: no live holder of 3 chunks", `agent-3 is serving, 8 of 8 chunks: serves "v1"`,
			"no status from agent agent-4",
		}},
		{[]string{"status", "--json"}, []string{`"serving": 1`, `"servers": 3`, `"target": "v2"`}},
		{[]string{"timeline", "--version", "v2"}, []string{"engineReadBack", "version=v2", "events of agent-4 are missing"}},
		{[]string{"timeline", "--format", "html"}, []string{"2 events, 4 instances"}},
	}
	for _, tt := range tests {
		code, out, errText := p.run(t, tt.args...)
		for _, want := range tt.want {
			if code != ExitOK || !strings.Contains(out, want) {
				t.Errorf("%v: exit code %d, lacks %q:\n%s%s", tt.args, code, want, out, errText)
			}
		}
		if slices.Contains(tt.args, "--version") && strings.Contains(out, "version=v1") {
			t.Errorf("%v shows events that the filter leaves out", tt.args)
		}
	}
	http.DefaultClient.CloseIdleConnections()
}

// Guards against writing a change that sends a route to a pool without live
// servers.
func TestApplyChecksLiveServers(t *testing.T) {
	p := newPlatform()
	two := "pools:\n  - {name: a, kind: plain}\n  - {name: b, kind: plain}\nroutes:\n  - {name: r, kind: plain, pool: %s}\n"
	p.addProcess(t, "agent-1", admin.Status{Identity: mulberryspool.Identity{Pool: "a"}})
	if code, _, errText := p.run(t, "tables", "apply", "-f", tempFile(t, fmt.Sprintf(two, "a"))); code != ExitOK {
		t.Fatal(errText)
	}
	code, _, errText := p.run(t, "tables", "apply", "-f", tempFile(t, fmt.Sprintf(two, "b")))
	if code != ExitRefused || !strings.Contains(errText, "pool b has no live server") {
		t.Fatalf("exit code %d: %s", code, errText)
	}
	stored, err := tables.Decode(p.objects["config/tables"].Value)
	if err != nil || stored.Routes[0].Pool != "a" {
		t.Fatalf("stored route is %+v, error %v", stored.Routes, err)
	}
	if code, _, errText := p.run(t, "tables", "apply", "--allow-empty", "-f", tempFile(t, fmt.Sprintf(two, "b"))); code != ExitOK {
		t.Fatal(errText)
	}
}

// Guards against commands that ignore the end of their terminal, because the program takes
// SIGHUP for the hosted roles.
func TestHangupEndsCommands(t *testing.T) {
	hangup := make(chan os.Signal, 1)
	hangup <- syscall.SIGHUP
	p := &Program{Out: io.Discard, Err: io.Discard, Hangup: hangup, Runners: Runners{
		Local: func(ctx context.Context, _ LocalOptions, _ io.Writer) error {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(10 * time.Second):
				return errors.New("still running")
			}
		},
	}}
	if code := p.Run(t.Context(), []string{"local"}); code != ExitOK {
		t.Errorf("exit code %d, want %d", code, ExitOK)
	}
}
