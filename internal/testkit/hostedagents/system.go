// Package hostedagents runs the hosted agents as separate processes beside stand-ins of model
// servers, of the platform's store and of the origin. Each agent has an IP address of its own.
package hostedagents

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool/internal/standin/kindstore"
	"github.com/mulberryspool/mulberryspool/internal/standin/loopback"
	"github.com/mulberryspool/mulberryspool/internal/standin/modelserver"
	"github.com/mulberryspool/mulberryspool/internal/standin/pieceorigin"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	program = "github.com/mulberryspool/mulberryspool/cmd/mulberryspool"
	// pool is the name of the only pool of model servers, failureDomain that of all machines.
	pool, failureDomain, model = "pool", "a", "m"
	// serverPort is that of a model server, on the IP address of its machine.
	serverPort, firstInternalPort, metricsPort = 7200, 7210, 7220
	// pieceBytes is the size of a piece, pieces their number.
	pieceBytes, pieces = 4096, 24
	// listInterval is how often the store learns of a model server's state.
	listInterval = 100 * time.Millisecond
)

// lastMachine is the number of machines so far, each of which has its own IP address.
var lastMachine atomic.Int64

type (
	// System is a set of agents with their model servers. Set the exported fields before
	// Start.
	System struct {
		Builder *process.Builder
		// Agents is how many agents are started.
		Agents int
		// Bound is that of a named version.
		Bound time.Duration
		// Descriptors is the limit of an agent's open files and sockets; 0 for none in its
		// settings.
		Descriptors int

		Store    kindstore.Server
		Origin   pieceorigin.Server
		Machines []*Machine

		storeAddress string
		// listAgain makes listMachines write all states.
		listAgain atomic.Bool
	}

	// Machine is an agent with its model server.
	Machine struct {
		Server modelserver.Server
		Agent  *process.Process
		// ControlAddress, ContentAddress and MetricsAddress are those at which the agent serves
		// other agents and its metrics.
		ControlAddress, ContentAddress, MetricsAddress string
		// SettingsFile is that of the agent.
		SettingsFile string

		id, address string
		builder     *process.Builder
		// listed is the state that the store has of the model server.
		listed []byte
	}
)

// Start starts the system. The model servers hold version 1. Everything ends with the test.
func (s *System) Start(t testing.TB) {
	t.Helper()
	s.Origin.Model, s.Origin.Pieces, s.Origin.PieceBytes = model, pieces, pieceBytes
	s.Origin.SetNewest(1)
	s.storeAddress = listen(t, &s.Store, loopback.Shared.Address())
	s.putConfiguration(listen(t, &s.Origin, loopback.Shared.Address()))
	for i := range s.Agents {
		m := s.newMachine(t, i)
		s.Machines = append(s.Machines, m)
		listen(t, &m.Server, m.address)
		m.list(&s.Store)
	}
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go s.listMachines(done)
	for _, m := range s.Machines {
		m.StartAgent(t)
		t.Cleanup(m.Server.Resume)
	}
}

// Name makes a version the one to serve.
func (s *System) Name(version int64) {
	s.Origin.SetNewest(version)
	s.NameEarly(version)
}

// NameEarly is Name before the origin has the version.
func (s *System) NameEarly(version int64) {
	s.Store.Put(platform.KindVersions, model, map[string]any{"model": model, "version": version})
}

// listMachines writes changed states of model servers to the store.
func (s *System) listMachines(done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(listInterval):
		}
		again := s.listAgain.Swap(false)
		for _, m := range s.Machines {
			if again {
				m.listed = nil
			}
			m.list(&s.Store)
		}
	}
}

// ListAgain makes the model servers write their states to the store, also unchanged ones.
func (s *System) ListAgain() { s.listAgain.Store(true) }

func (m *Machine) list(store *kindstore.Server) {
	object := m.Server.Report()
	delete(object, "busy")
	delete(object, "sequence")
	encoded, err := json.Marshal(object)
	if err != nil {
		panic(err)
	}
	if bytes.Equal(encoded, m.listed) {
		return
	}
	m.listed = encoded
	for field, value := range map[string]any{
		"service": pool, "address": m.address, "zone": failureDomain, "version": "v1", "slots": 16, "state": "ready", "sequence": 1,
	} {
		object[field] = value
	}
	store.Put(platform.KindServers, m.id, object)
}

// StartAgent starts the agent's process.
func (m *Machine) StartAgent(t testing.TB) {
	t.Helper()
	m.Agent = process.Start(t, m.builder.Build(t, program), "--settings", m.SettingsFile, "hosted", "agent")
}

// KillAgent kills the agent's process and waits for its end.
func (m *Machine) KillAgent() {
	_ = m.Agent.Signal(syscall.SIGKILL)
	<-m.Agent.Done()
}

// PauseAgent stops the agent's process for a while.
func (m *Machine) PauseAgent(t testing.TB, d time.Duration) {
	if err := m.Agent.Signal(syscall.SIGSTOP); err != nil {
		t.Error(err)
	}
	time.AfterFunc(d, func() { _ = m.Agent.Signal(syscall.SIGCONT) })
}

// Load stages a version and orders the model server to load it, as an earlier incarnation of
// the agent.
func (m *Machine) Load(t testing.TB, version int64, piece func(version int64, index int) []byte) {
	t.Helper()
	engine := &platform.ModelServer{Address: m.address, HTTP: http.DefaultClient}
	for i := range pieces {
		if err := engine.Stage(t.Context(), model, i, piece(version, i)); err != nil {
			t.Fatal(err)
		}
	}
	state, err := engine.State(t.Context())
	if err == nil {
		err = engine.LoadStaged(t.Context(), model, version, state.Orders)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Version returns the version that the model server has loaded; 0 for none.
func (m *Machine) Version() int64 {
	layers, _ := m.Server.Report()["layers"].(map[string]any)
	version, _ := layers["version"].(int64)
	return version
}

func (s *System) putConfiguration(origin string) {
	s.Store.Put(platform.KindConfig, platform.ConfigName, map[string]any{
		"version": 1,
		"services": []any{
			map[string]any{"name": pool, "connection-limit": 500, "engine": map[string]any{
				"slots": 16, "stride": 6, "models": []any{map[string]any{"name": model, "warm-s": 0.2}}, "step_ms": 6.7, "read_per_s": 30000,
				"layers": 16, "chunks": pieces, "chunk-bytes": pieceBytes,
			}},
			map[string]any{"name": "origin", "origin": origin, "link-mbps": 50.0, "connection-limit": 96},
		},
		"routes": []any{map[string]any{
			"name": "r", "host": "system.example", "path-prefix": "/r/", "kind": "streaming", "service": pool, "attempts": 2, "timeout-ms": 6000, "target-latency-ms": 400,
		}},
	})
}

func (s *System) newMachine(t testing.TB, i int) *Machine {
	t.Helper()
	// The IP addresses of other tests end with the process ID, too, behind smaller numbers.
	ip := fmt.Sprintf("127.%d.%d.%d", 192+lastMachine.Add(1)%63, os.Getpid()>>8&255, os.Getpid()&255)
	m := &Machine{
		Server: modelserver.Server{Model: model, Pieces: pieces, Piece: s.Origin.Piece, WarmTime: 200 * time.Millisecond},
		id:     fmt.Sprintf("i-%d", i), address: fmt.Sprintf("%s:%d", ip, serverPort), SettingsFile: filepath.Join(t.TempDir(), "agent.yaml"), builder: s.Builder,
		ControlAddress: fmt.Sprintf("%s:%d", ip, firstInternalPort+2), ContentAddress: fmt.Sprintf("%s:%d", ip, firstInternalPort+3), MetricsAddress: fmt.Sprintf("%s:%d", ip, metricsPort),
	}
	m.Server.Start(1)
	text := fmt.Sprintf(`instance: side-%d
failureDomain: %s
region: r
address: %s
ports: {first: %d, last: %d}
regions: [{failureDomain: %s, region: r}]
backend: "%s"
pool: %s
store: %s
bounds: {gracefulStop: 8s, namedVersion: %s, repeatRatio: 0.2, repeatWindow: 10s, repeatSlack: 200}
limits: {memory: 152 MB, link: 50 Mbit/s, descriptors: %d}
logSample: 1
metricsPort: %d
`, i, failureDomain, ip, firstInternalPort, firstInternalPort+5, failureDomain, m.address, pool, s.storeAddress, s.Bound, s.Descriptors, metricsPort)
	if err := os.WriteFile(m.SettingsFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return m
}

func listen(t testing.TB, handler http.Handler, address string) string {
	t.Helper()
	server, err := serve.Start(handler, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
