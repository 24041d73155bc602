// Package system runs a complete deployment as separate processes on loopback,
// for tests: stand-ins of the platform, backend servers, agents and entries.
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
	// WaitTimeout keeps a test from hanging; it sets no requirement on the system.
	WaitTimeout  = 90 * time.Second
	pollInterval = 20 * time.Millisecond
)

type (
	// System is a running deployment. Set the exported fields up to
	// DefaultIntervals before Start.
	System struct {
		// Builder is shared by the tests of a package.
		Builder *process.Builder
		// FailureDomains are assigned to agents and to entries round-robin. Each name
		// is that of the region plus a suffix such as "-a".
		FailureDomains []string
		// EngineArguments are the command-line arguments of each engine stand-in.
		EngineArguments []string
		// AgentTimeouts and EntryTimeouts are YAML lines for the timeouts section of
		// the settings, such as "leaseDuration: 2s".
		AgentTimeouts []string
		EntryTimeouts []string
		// EntryLimits and AgentLimits are those for the limits section.
		EntryLimits []string
		AgentLimits []string
		// DefaultIntervals keeps the default poll intervals and call budgets of the
		// settings. Without it they are set for faster tests.
		DefaultIntervals bool

		// ObjectAPIURL, InstanceListURL and OriginURL are the base URLs of the stand-ins.
		ObjectAPIURL, InstanceListURL, OriginURL string
		// Platform holds the processes of these stand-ins by name.
		Platform map[string]*process.Process
		Entries  []*Member
		Agents   []*Member

		directory string
		program   string
		standin   string
	}

	// Member is an entry, or an agent with its backend server.
	Member struct {
		Identity mulberryspool.Identity
		// Process is replaced by Restart.
		Process *process.Process
		// CallersURL is the base URL at which an entry accepts callers' requests.
		CallersURL string
		// BackendURL is the base URL of an agent's backend server.
		BackendURL     string
		BackendProcess *process.Process
		// ControlAddress is an agent's listener for calls, to which Proxy forwards.
		ControlAddress string
		// Proxy injects faults between entries and ControlAddress.
		Proxy *faultproxy.Proxy

		// settingsFile is the path of the settings file.
		settingsFile string
		subcommand   string
		// objectAPIURL is the value in the settings file.
		objectAPIURL string
	}
)

// addresses allocates addresses that are unique among all systems of a test
// process.
var addresses loopback.Allocator

// Start builds the programs and starts the platform's stand-ins.
func (s *System) Start(t testing.TB) {
	t.Helper()
	s.directory = t.TempDir()
	s.program = s.Builder.Build(t, module+"/cmd/mulberryspool")
	s.standin = s.Builder.Build(t, module+"/cmd/standin")
	s.Platform = make(map[string]*process.Process)
	if len(s.FailureDomains) == 0 {
		s.FailureDomains = []string{"north-a", "south-a", "west-a"}
	}
	s.ObjectAPIURL = s.startPlatformStandin(t, "objectapi")
	s.InstanceListURL = s.startPlatformStandin(t, "instancelist")
	s.OriginURL = s.startPlatformStandin(t, "origin")
}

// startPlatformStandin starts a stand-in of the platform and returns its base URL.
func (s *System) startPlatformStandin(t testing.TB, name string, arguments ...string) string {
	t.Helper()
	p, url := s.startStandin(t, append([]string{name}, arguments...)...)
	s.Platform[name] = p
	return url
}

// startStandin starts a stand-in and returns its process and base URL.
func (s *System) startStandin(t testing.TB, arguments ...string) (*process.Process, string) {
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
	backend, url := s.startStandin(t, append([]string{"engine"}, s.EngineArguments...)...)
	return s.addAgent(t, pool, mulberryspool.PoolEngine, backend, url)
}

// AddPlainAgent starts a plain service and its agent in a pool.
func (s *System) AddPlainAgent(t testing.TB, pool string, arguments ...string) *Member {
	t.Helper()
	backend, url := s.startStandin(t, append([]string{"plainservice"}, arguments...)...)
	return s.addAgent(t, pool, mulberryspool.PoolPlain, backend, url)
}

// AddAgent starts the agent of a plain service that the test runs itself.
func (s *System) AddAgent(t testing.TB, pool, url string) *Member {
	t.Helper()
	return s.addAgent(t, pool, mulberryspool.PoolPlain, nil, url)
}

func (s *System) addAgent(t testing.TB, pool string, kind mulberryspool.PoolKind, backend *process.Process, url string) *Member {
	t.Helper()
	m := &Member{BackendURL: url, BackendProcess: backend, subcommand: "agent"}
	m.Identity = s.newIdentity(mulberryspool.RoleAgent, pool, len(s.Agents))
	control := addresses.Address()
	m.Identity.Chunks, m.Identity.Admin = addresses.Address(), addresses.Address()
	m.ControlAddress, m.objectAPIURL = control, s.ObjectAPIURL
	weights := ""
	if kind == mulberryspool.PoolEngine {
		weights = fmt.Sprintf("weights:\n  origin: %s\n  stagingLimit: 256 MiB\n", s.OriginURL)
	}
	s.writeSettings(t, m, fmt.Sprintf(`pool: %s
listen:
  control: %s
  chunks: %s
  admin: %s
backend:
  kind: %s
  url: %s
%s%s`, pool, control, m.Identity.Chunks, m.Identity.Admin, kind, url, s.unlessDefault("  reportInterval: 200ms\n"), weights)+section("limits", s.AgentLimits), s.AgentTimeouts)
	s.Agents = append(s.Agents, m)
	s.startAgent(t, m)
	return m
}

// startAgent starts an agent's process and its proxy, and adds the agent to the
// instance list with the proxy as its control address.
func (s *System) startAgent(t testing.TB, m *Member) {
	t.Helper()
	m.Process = process.Start(t, s.program, "agent", "--config", m.settingsFile)
	m.Process.AwaitURL(t, "http://"+m.Identity.Admin+"/healthz")
	proxy, err := faultproxy.Start(m.ControlAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	m.Proxy, m.Identity.Control = proxy, proxy.Address()
	s.register(t, m)
}

// StartReplacement starts another process with the instance name and backend
// server of an agent, with new addresses and the current ObjectAPIURL. The old
// process is left as it is.
func (s *System) StartReplacement(t testing.TB, old *Member) *Member {
	t.Helper()
	text, err := os.ReadFile(old.settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	m := *old
	m.ControlAddress, m.Identity.Chunks, m.Identity.Admin = addresses.Address(), addresses.Address(), addresses.Address()
	m.settingsFile = filepath.Join(s.directory, uuid.NewString()+".yaml")
	replacer := strings.NewReplacer(old.ControlAddress, m.ControlAddress, old.Identity.Chunks, m.Identity.Chunks, old.Identity.Admin, m.Identity.Admin,
		old.objectAPIURL, s.ObjectAPIURL)
	m.objectAPIURL = s.ObjectAPIURL
	if err := os.WriteFile(m.settingsFile, []byte(replacer.Replace(string(text))), 0o600); err != nil {
		t.Fatal(err)
	}
	s.Agents[slices.Index(s.Agents, old)] = &m
	s.startAgent(t, &m)
	return &m
}

// AddEntry starts an entry and adds it to the instance list.
func (s *System) AddEntry(t testing.TB) *Member {
	t.Helper()
	m := &Member{subcommand: "entry", Identity: s.newIdentity(mulberryspool.RoleEntry, "", len(s.Entries))}
	callers := addresses.Address()
	m.CallersURL = "http://" + callers
	m.Identity.Admin = addresses.Address()
	body := fmt.Sprintf("listen:\n  callers: %s\n  admin: %s\n", callers, m.Identity.Admin)
	s.writeSettings(t, m, body+section("limits", s.EntryLimits), s.EntryTimeouts)
	m.Process = process.Start(t, s.program, "entry", "--config", m.settingsFile)
	m.Process.AwaitURL(t, "http://"+m.Identity.Admin+"/healthz")
	s.Entries = append(s.Entries, m)
	s.register(t, m)
	return m
}

// Restart waits until a member's process has ended and starts it again with the
// same settings and addresses.
func (s *System) Restart(t testing.TB, m *Member) {
	t.Helper()
	<-m.Process.Done()
	m.Process = process.Start(t, s.program, m.subcommand, "--config", m.settingsFile)
	m.Process.AwaitURL(t, "http://"+m.Identity.Admin+"/healthz")
}

// newIdentity returns the identity of the next member of a role.
func (s *System) newIdentity(role mulberryspool.Role, pool string, number int) mulberryspool.Identity {
	domain := s.FailureDomains[number%len(s.FailureDomains)]
	return mulberryspool.Identity{
		Instance: mulberryspool.InstanceID(fmt.Sprintf("%s-%d", role, number)), Role: role, Pool: pool,
		FailureDomain: domain, Region: domain[:len(domain)-len("-a")],
	}
}

// writeSettings writes the settings file of a member.
func (s *System) writeSettings(t testing.TB, m *Member, body string, timeouts []string) {
	t.Helper()
	var text bytes.Buffer
	fmt.Fprintf(&text, "instance: %s\nfailureDomain: %s\nregion: %s\n", m.Identity.Instance, m.Identity.FailureDomain, m.Identity.Region)
	fmt.Fprintf(&text, "objectAPI:\n  url: %s\n%s", s.ObjectAPIURL, s.unlessDefault("  callsPerSecond: 500\n"))
	fmt.Fprintf(&text, "instanceList:\n  url: %s\n%s", s.InstanceListURL, s.unlessDefault("  pollInterval: 200ms\n"))
	text.WriteString(body + section("timeouts", timeouts))
	m.settingsFile = filepath.Join(s.directory, string(m.Identity.Instance)+".yaml")
	if err := os.WriteFile(m.settingsFile, text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

// section returns a section of the settings; nothing if it has no lines.
func section(name string, lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return name + ":\n  " + strings.Join(lines, "\n  ") + "\n"
}

// unlessDefault returns a line of the settings, or nothing if the default is
// to be used.
func (s *System) unlessDefault(line string) string {
	if s.DefaultIntervals {
		return ""
	}
	return line
}

// register adds a member to the instance list.
func (s *System) register(t testing.TB, m *Member) {
	t.Helper()
	s.SendJSON(t, http.MethodPut, s.InstanceListURL+"/admin/instances/"+string(m.Identity.Instance), m.Identity, nil)
}

// PutContent stores generated content at the origin.
func (s *System) PutContent(t testing.TB, path string, parts ...origin.Generated) {
	t.Helper()
	s.SendJSON(t, http.MethodPut, s.OriginURL+"/admin/content/"+path, origin.Upload{Parts: parts}, nil)
}

// RunCommand runs an operator's command and returns its standard output. It fails the
// test if the exit code is not the expected one.
func (s *System) RunCommand(t testing.TB, code int, arguments ...string) string {
	t.Helper()
	got, stdout, stderr := s.TryCommand(t, arguments...)
	if got != code {
		t.Fatalf("mulberryspool %v exited with code %d, want %d\n%s%s", arguments, got, code, stdout, stderr)
	}
	return stdout
}

// TryCommand runs an operator's command and returns its exit code and outputs.
func (s *System) TryCommand(t testing.TB, arguments ...string) (code int, stdout, stderr string) {
	t.Helper()
	arguments = append([]string{"--object-api", s.ObjectAPIURL, "--instances", s.InstanceListURL}, arguments...)
	p := process.Start(t, s.program, arguments...)
	code = p.Wait()
	return code, p.Stdout(), p.Stderr()
}

// Apply applies tables and waits until they are in force in all live processes.
func (s *System) Apply(t testing.TB, tables string) {
	t.Helper()
	s.RunCommand(t, 0, "tables", "apply", "-f", s.TablesFile(t, tables), "--author", "test", "--wait")
}

// ApplyNoWait applies tables without waiting until they are in force.
func (s *System) ApplyNoWait(t testing.TB, tables string) {
	t.Helper()
	s.RunCommand(t, 0, "tables", "apply", "-f", s.TablesFile(t, tables), "--author", "test")
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

// Publish publishes the content at a path of the origin as a version.
func (s *System) Publish(t testing.TB, version, path, chunkSize string) {
	t.Helper()
	s.RunCommand(t, 0, "weights", "publish", version, "--origin", s.OriginURL, "--path", path, "--chunk-size", chunkSize)
}
