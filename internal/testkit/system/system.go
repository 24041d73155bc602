// Package system runs a whole deployment as separate processes on loopback:
// the platform's stand-ins, backend servers, agents and entries.
//
//	Start --> stand-ins --> backend server + agent (+ fault proxy) --> entries
//
// Every process is killed at the end of its test.
package system

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/loopback"
	"github.com/mulberryspool/mulberryspool/internal/standin/origin"
	"github.com/mulberryspool/mulberryspool/internal/testkit/faultproxy"
	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
)

const (
	module = "github.com/mulberryspool/mulberryspool"
	// WaitLimit keeps a test from hanging; it is no measure of the system.
	WaitLimit    = 90 * time.Second
	pollInterval = 20 * time.Millisecond
)

type (
	// System is a running deployment. Set the exported fields before Start.
	System struct {
		// Builder is shared by the tests of a package.
		Builder *process.Builder
		// Domains are the failure domains, each in a region of its own name
		// without the suffix; agents and entries take turns.
		Domains []string
		// EngineArguments go to each engine stand-in.
		EngineArguments []string
		// Timeouts are YAML lines for the settings of agents, such as
		// "leaseDuration: 2s".
		AgentTimeouts []string
		EntryTimeouts []string
		// ProductionIntervals leaves polls and budgets at the defaults of the
		// settings; tests of behaviour shorten them.
		ProductionIntervals bool

		ObjectAPI, InstanceList, Origin string
		// Platform holds the stand-ins' processes by name.
		Platform map[string]*process.Process
		Entries  []*Member
		Agents   []*Member

		directory string
		program   string
		standin   string
	}

	// Member is an entry or an agent with its backend server.
	Member struct {
		Identity mulberryspool.Identity
		// Process is replaced by Restart.
		Process *process.Process
		// Callers is the base URL of an entry's HTTP front.
		Callers string
		// Backend is the base URL of an agent's backend server.
		Backend        string
		BackendProcess *process.Process
		// Proxy stands between entries and an agent's control listener.
		Proxy *faultproxy.Proxy

		config  string
		command string
		// control is the address behind the proxy.
		control   string
		objectAPI string
	}
)

// addresses are unique among all systems of a test process.
var addresses loopback.Allocator

// Start starts the platform's stand-ins.
func (s *System) Start(t testing.TB) {
	t.Helper()
	s.directory = t.TempDir()
	s.program = s.Builder.Build(t, module+"/cmd/mulberryspool")
	s.standin = s.Builder.Build(t, module+"/cmd/standin")
	s.Platform = make(map[string]*process.Process)
	if len(s.Domains) == 0 {
		s.Domains = []string{"north-a", "south-a", "west-a"}
	}
	s.ObjectAPI = s.startStandin(t, "objectapi")
	s.InstanceList = s.startStandin(t, "instancelist")
	s.Origin = s.startStandin(t, "origin")
}

func (s *System) startStandin(t testing.TB, name string, arguments ...string) string {
	t.Helper()
	p, url := s.launch(t, append([]string{name}, arguments...)...)
	s.Platform[name] = p
	return url
}

func (s *System) launch(t testing.TB, arguments ...string) (*process.Process, string) {
	t.Helper()
	p := process.Start(t, s.standin, arguments...)
	var ready struct {
		URL string `json:"url"`
	}
	if err := json.Unmarshal([]byte(p.AwaitLine(t)), &ready); err != nil {
		t.Fatal(err)
	}
	return p, ready.URL
}

// AddEngineAgent starts an engine and its agent in a pool.
func (s *System) AddEngineAgent(t testing.TB, pool string) *Member {
	t.Helper()
	backend, url := s.launch(t, append([]string{"engine"}, s.EngineArguments...)...)
	return s.addAgent(t, pool, mulberryspool.PoolEngine, backend, url)
}

// AddPlainAgent starts a plain service and its agent in a pool.
func (s *System) AddPlainAgent(t testing.TB, pool string, arguments ...string) *Member {
	t.Helper()
	backend, url := s.launch(t, append([]string{"plainservice"}, arguments...)...)
	return s.addAgent(t, pool, mulberryspool.PoolPlain, backend, url)
}

func (s *System) addAgent(t testing.TB, pool string, kind mulberryspool.PoolKind, backend *process.Process, url string) *Member {
	t.Helper()
	m := &Member{Backend: url, BackendProcess: backend, command: "agent"}
	m.Identity = s.identity(mulberryspool.RoleAgent, pool, len(s.Agents))
	control := addresses.Address()
	m.Identity.Chunks, m.Identity.Admin = addresses.Address(), addresses.Address()
	m.control, m.objectAPI = control, s.ObjectAPI
	weights := ""
	if kind == mulberryspool.PoolEngine {
		weights = fmt.Sprintf("weights:\n  origin: %s\n  stagingLimit: 256 MiB\n", s.Origin)
	}
	s.writeConfig(t, m, fmt.Sprintf(`pool: %s
listen:
  control: %s
  chunks: %s
  admin: %s
backend:
  kind: %s
  url: %s
%s%s`, pool, control, m.Identity.Chunks, m.Identity.Admin, kind, url, s.unlessProduction("  reportInterval: 200ms\n"), weights), s.AgentTimeouts)
	s.Agents = append(s.Agents, m)
	s.startAgent(t, m)
	return m
}

func (s *System) startAgent(t testing.TB, m *Member) {
	t.Helper()
	m.Process = process.Start(t, s.program, "agent", "--config", m.config)
	m.Process.AwaitURL(t, "http://"+m.Identity.Admin+"/healthz")
	proxy, err := faultproxy.Start(m.control)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	m.Proxy, m.Identity.Control = proxy, proxy.Address()
	s.register(t, m)
}

// Replace starts another process for an agent's instance and backend server,
// at other addresses and with the present ObjectAPI, while the old one still
// exists.
func (s *System) Replace(t testing.TB, old *Member) *Member {
	t.Helper()
	text, err := os.ReadFile(old.config)
	if err != nil {
		t.Fatal(err)
	}
	m := *old
	m.control, m.Identity.Chunks, m.Identity.Admin = addresses.Address(), addresses.Address(), addresses.Address()
	m.config = filepath.Join(s.directory, uuid.NewString()+".yaml")
	replacer := strings.NewReplacer(old.control, m.control, old.Identity.Chunks, m.Identity.Chunks, old.Identity.Admin, m.Identity.Admin,
		old.objectAPI, s.ObjectAPI)
	m.objectAPI = s.ObjectAPI
	if err := os.WriteFile(m.config, []byte(replacer.Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	s.Agents[slices.Index(s.Agents, old)] = &m
	s.startAgent(t, &m)
	return &m
}

// AddEntry starts an entry.
func (s *System) AddEntry(t testing.TB) *Member {
	t.Helper()
	m := &Member{command: "entry", Identity: s.identity(mulberryspool.RoleEntry, "", len(s.Entries))}
	callers := addresses.Address()
	m.Callers = "http://" + callers
	m.Identity.Admin = addresses.Address()
	s.writeConfig(t, m, fmt.Sprintf("listen:\n  callers: %s\n  admin: %s\n",
		callers, m.Identity.Admin), s.EntryTimeouts)
	m.Process = process.Start(t, s.program, "entry", "--config", m.config)
	m.Process.AwaitURL(t, "http://"+m.Identity.Admin+"/healthz")
	s.Entries = append(s.Entries, m)
	s.register(t, m)
	return m
}

// Restart starts a member's process again after it ended, at the same addresses.
func (s *System) Restart(t testing.TB, m *Member) {
	t.Helper()
	<-m.Process.Done()
	m.Process = process.Start(t, s.program, m.command, "--config", m.config)
	m.Process.AwaitURL(t, "http://"+m.Identity.Admin+"/healthz")
}

func (s *System) identity(role mulberryspool.Role, pool string, number int) mulberryspool.Identity {
	domain := s.Domains[number%len(s.Domains)]
	return mulberryspool.Identity{
		Instance: mulberryspool.InstanceID(fmt.Sprintf("%s-%d", role, number)), Role: role, Pool: pool,
		FailureDomain: domain, Region: domain[:len(domain)-len("-a")],
	}
}

func (s *System) writeConfig(t testing.TB, m *Member, body string, timeouts []string) {
	t.Helper()
	var text bytes.Buffer
	fmt.Fprintf(&text, "instance: %s\nfailureDomain: %s\nregion: %s\n", m.Identity.Instance, m.Identity.FailureDomain, m.Identity.Region)
	fmt.Fprintf(&text, "objectAPI:\n  url: %s\n%s", s.ObjectAPI, s.unlessProduction("  callsPerSecond: 500\n"))
	fmt.Fprintf(&text, "instanceList:\n  url: %s\n%s", s.InstanceList, s.unlessProduction("  pollInterval: 200ms\n"))
	text.WriteString(body)
	if len(timeouts) > 0 {
		text.WriteString("timeouts:\n")
	}
	for _, line := range timeouts {
		fmt.Fprintf(&text, "  %s\n", line)
	}
	m.config = filepath.Join(s.directory, string(m.Identity.Instance)+".yaml")
	if err := os.WriteFile(m.config, text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (s *System) unlessProduction(line string) string {
	if s.ProductionIntervals {
		return ""
	}
	return line
}

func (s *System) register(t testing.TB, m *Member) {
	t.Helper()
	s.Send(t, http.MethodPut, s.InstanceList+"/admin/instances/"+string(m.Identity.Instance), m.Identity, nil)
}

// PutContent places generated content at the origin.
func (s *System) PutContent(t testing.TB, path string, parts ...origin.Generated) {
	t.Helper()
	s.Send(t, http.MethodPut, s.Origin+"/admin/content/"+path, origin.Upload{Parts: parts}, nil)
}

// Run runs an operator's command and returns its output; it fails the test
// unless the exit code is the expected one.
func (s *System) Run(t testing.TB, code int, arguments ...string) string {
	t.Helper()
	got, stdout, stderr := s.Try(t, arguments...)
	if got != code {
		t.Fatalf("mulberryspool %v ended with %d, want %d\n%s%s", arguments, got, code, stdout, stderr)
	}
	return stdout
}

// Try runs an operator's command and returns its exit code and output.
func (s *System) Try(t testing.TB, arguments ...string) (code int, stdout, stderr string) {
	t.Helper()
	arguments = append([]string{"--object-api", s.ObjectAPI, "--instances", s.InstanceList}, arguments...)
	p := process.Start(t, s.program, arguments...)
	code = p.Wait()
	return code, p.Stdout(), p.Stderr()
}

// Apply applies tables and waits until all live processes have them in force.
func (s *System) Apply(t testing.TB, tables string) {
	t.Helper()
	s.Run(t, 0, "tables", "apply", "-f", s.TablesFile(t, tables), "--author", "test", "--wait")
}

// Accept applies tables without waiting until they are in force.
func (s *System) Accept(t testing.TB, tables string) {
	t.Helper()
	s.Run(t, 0, "tables", "apply", "-f", s.TablesFile(t, tables), "--author", "test")
}

// TablesFile writes tables to a new file and returns its path.
func (s *System) TablesFile(t testing.TB, tables string) string {
	t.Helper()
	file := filepath.Join(s.directory, uuid.NewString()+".yaml")
	if err := os.WriteFile(file, []byte(tables), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Publish publishes the content of a path as a version.
func (s *System) Publish(t testing.TB, version, path, chunkSize string) {
	t.Helper()
	s.Run(t, 0, "weights", "publish", version, "--origin", s.Origin, "--path", path, "--chunk-size", chunkSize)
}
