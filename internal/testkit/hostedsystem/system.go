// Package hostedsystem runs the hosted entries as separate processes against the stand-ins
// of the platform on loopback. Each entry has an IP address of its own.
package hostedsystem

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/backendserver"
	"github.com/mulberryspool/mulberryspool/internal/standin/connlimit"
	"github.com/mulberryspool/mulberryspool/internal/standin/kindstore"
	"github.com/mulberryspool/mulberryspool/internal/standin/loopback"
	"github.com/mulberryspool/mulberryspool/internal/standin/serve"
	"github.com/mulberryspool/mulberryspool/internal/testkit/process"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	// Host is that of all routes.
	Host = "system.example"
	// StreamPrefix is that of the route for streams.
	StreamPrefix = "/stream/"
	// LookupPrefix is that of the route for requests that may be repeated.
	LookupPrefix = "/lookup/"
	// OrderPrefix is that of the route for requests that may run once.
	OrderPrefix = "/order/"
	// ExtraPrefix is that of one more route for requests that may be repeated.
	ExtraPrefix = "/extra/"

	program = "github.com/mulberryspool/mulberryspool/cmd/mulberryspool"
	// pool is the name of the only pool, model that of its model, and failureDomain that of
	// all processes.
	pool, model, failureDomain = "pool", "model", "a"
	// Ports of an entry, on its own IP address, without the offset of its block.
	callersPort, readinessPort, firstInternalPort, metricsPort = 7100, 7101, 7110, 7120
	// ipCount is the number of IP addresses of entries. The next ones use them again with other
	// ports, blockSize apart.
	ipCount, blockSize = 64, 30
)

// lastEntry is the number of entries so far, no two of which have the same addresses.
var lastEntry atomic.Int64

type (
	// System is a set of entries with their backend servers. Set the exported fields
	// before Start.
	System struct {
		Builder *process.Builder
		// GracefulStop is the time between SIGTERM and SIGKILL.
		GracefulStop time.Duration
		// Timeout is that of the routes, ExtraRoute is set if there is one more. They apply
		// from the next PutConfiguration on.
		Timeout    time.Duration
		ExtraRoute bool
		// Steps is the number of further routes, whose prefixes are StepPrefix(1) and so on. It
		// applies from the next PutConfiguration on.
		Steps int
		// MegabytesOfMemory is that of an entry's machine; 0 for 206.
		MegabytesOfMemory int
		// MaxBody is the largest body of a request in bytes; 0 for 1 MiB.
		MaxBody int
		// Limits holds the other limits of callers. It applies from the next PutConfiguration on.
		Limits mulberryspool.CallerLimits
		// Descriptors is the limit of an entry's open files and sockets; 0 for none in its
		// settings.
		Descriptors int
		// RepeatSlack is the number of repeats beyond the ratio of the budget.
		RepeatSlack int
		// Keys are those of the only workspace; if there are none, callers need no key.
		Keys []string
		// Priorities holds those of routes by their prefix; 0 for others.
		Priorities map[string]int
		// Without holds the prefixes of routes that the next configuration lacks.
		Without []string
		// Entries and Backends are how many of each are started.
		Entries, Backends int
		// GapObjective is that of the routes; 0 for 400 ms.
		GapObjective time.Duration
		// Attempts is that of the routes; 0 for 2.
		Attempts int
		// Slots is the number of slots of a backend server; 0 for 16.
		Slots int
		// EntryDomains are the failure domains of the entries, in turn; if there are none, all are
		// in the same one.
		EntryDomains []string
		// Domains are the failure domains of the backend servers, in turn; if there are none, all are
		// in that of the entries. The region of each is Region of it.
		Domains []string
		// Evacuation is the time within which an evacuation must be in force; 0 if failure domains
		// are never evacuated.
		Evacuation time.Duration
		// Regions are those that the route for lookups allows; empty for all. It applies from the
		// next PutConfiguration on.
		Regions []string
		// ColdTime is how long a backend server is cold after its start, ColdRate the requests
		// per second that it can handle then, with an overshoot of ColdOvershoot and a slack of
		// ColdSlack; 0 for servers that are never cold.
		ColdTime                           time.Duration
		ColdRate, ColdOvershoot, ColdSlack float64
		// Version is that of the weights of the backend servers; 0 for a pool without a model.
		Version int64

		Store   kindstore.Server
		Servers []*backendserver.Server
		// Listeners holds those of Servers, which limit the connections from all entries.
		Listeners []*connlimit.Listener
		Members   []*Entry

		// storeDelay is that of SlowStore in nanoseconds.
		storeDelay atomic.Int64
		// partitions holds, by the address of an entry's store, what is closed at the end of its
		// partition.
		partitions sync.Map
		// addresses holds those of Servers, and running what serves them.
		addresses []string
		running   []*serve.Server
		// cold holds for how long servers are listed as cold.
		cold map[int]time.Duration
		// restarts counts those of RestartServer.
		restarts map[int]int
	}

	// Entry is a running entry.
	Entry struct {
		// URL is that of its listener for callers.
		URL          string
		ReadinessURL string
		// StateAddress is that of the server for other entries and for agents, MetricsAddress
		// that of the metrics.
		StateAddress, MetricsAddress string
		// StoreAddress is where this entry, and no other one, calls the store.
		StoreAddress string
		// Registration is the name under which it registers itself in the store.
		Registration string
		// FailureDomain is that of the entry.
		FailureDomain string
		Process       *process.Process
		SettingsFile  string
	}
)

// Start starts the system and waits until all entries are ready. Everything ends with the
// test.
func (s *System) Start(t testing.TB) {
	t.Helper()
	s.PutConfiguration(1)
	for range s.Backends {
		s.AddServer(t)
	}
	for range s.Entries {
		s.AddEntry(t)
	}
	for _, e := range s.Members {
		e.Process.AwaitURL(t, e.ReadinessURL)
	}
}

// AddEntry starts one more entry, which may not be ready yet.
func (s *System) AddEntry(t testing.TB) *Entry {
	t.Helper()
	e := s.newEntry(t, len(s.Members))
	s.Members = append(s.Members, e)
	e.Start(t, s.Builder)
	return e
}

// RefuseEntries makes the store refuse the calls of some entries, and of no others.
func (s *System) RefuseEntries(refused ...*Entry) {
	s.Store.SetRefuse(func(r *http.Request) bool {
		return slices.ContainsFunc(refused, func(e *Entry) bool { return e.StoreAddress == r.Host })
	})
}

// Partition cuts some entries off from the store, without a reset of their connections, until the
// function that it returns is called. None of them may be in a partition.
func (s *System) Partition(entries ...*Entry) (end func()) {
	ended := make(chan struct{})
	for _, e := range entries {
		s.partitions.Store(e.StoreAddress, ended)
	}
	return func() {
		for _, e := range entries {
			s.partitions.Delete(e.StoreAddress)
		}
		close(ended)
	}
}

// awaitPath waits until the store's answer to a call may pass.
func (s *System) awaitPath(r *http.Request) {
	ended, partitioned := s.partitions.Load(r.Host)
	if !partitioned {
		return
	}
	select {
	case <-ended.(chan struct{}):
	case <-r.Context().Done():
	}
}

func listen(t testing.TB, handler http.Handler, address string) *serve.Server {
	t.Helper()
	server, err := serve.Start(handler, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server
}

// listenLimited is listen with a listener that can limit the connections.
func listenLimited(t testing.TB, handler http.Handler, address string) (*connlimit.Listener, *serve.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	limited := &connlimit.Listener{Listener: listener}
	server := serve.StartOn(handler, limited)
	t.Cleanup(server.Close)
	return limited, server
}

// StepPrefix returns the prefix of a numbered route for requests that may be repeated.
func StepPrefix(n int) string { return fmt.Sprintf("/step-%d/", n) }

// PutConfiguration writes a version of the configuration.
func (s *System) PutConfiguration(version int) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "path-prefix": prefix, "kind": kind, "service": pool, "attempts": cmp.Or(s.Attempts, 2), "resumable": true,
			"priority":   s.Priorities[prefix],
			"timeout-ms": s.Timeout.Milliseconds(), "target-latency-ms": 500, "target-gap-ms": cmp.Or(s.GapObjective, 400*time.Millisecond).Milliseconds(),
		}
	}
	service := map[string]any{"name": pool, "connection-limit": 500}
	if s.ColdRate > 0 {
		service["cold-start-s"], service["cold-per-s"] = s.ColdTime.Seconds(), s.ColdRate
	}
	if s.Version != 0 {
		service["engine"] = map[string]any{
			"slots": s.slots(), "models": []any{map[string]any{"name": model, "warm-s": 1}}, "step_ms": 100, "read_per_s": 1e6,
			"stride": 1, "usual": map[string]any{"prompt": 10, "answer": 20}, "chunks": 1, "chunk-bytes": 1,
		}
	}
	routes := []map[string]any{route("stream", StreamPrefix, "streaming"), route("lookup", LookupPrefix, "idempotent"), route("order", OrderPrefix, "non_idempotent")}
	if len(s.Regions) > 0 {
		routes[1]["allowed-regions"] = s.Regions
	}
	if s.ExtraRoute {
		routes = append(routes, route("extra", ExtraPrefix, "idempotent"))
	}
	for n := 1; n <= s.Steps; n++ {
		routes = append(routes, route(fmt.Sprintf("step-%d", n), StepPrefix(n), "idempotent"))
	}
	routes = slices.DeleteFunc(routes, func(r map[string]any) bool { return slices.Contains(s.Without, r["path-prefix"].(string)) })
	configuration := map[string]any{
		"version": version, "services": []any{service},
		"limits": s.limits(),
		"routes": routes,
	}
	if len(s.Keys) > 0 {
		configuration["tenants"] = []any{map[string]any{"name": "workspace", "api-keys": s.Keys}}
	}
	s.Store.Put(platform.KindConfig, platform.ConfigName, configuration)
}

// limits returns the configuration's limits of callers.
func (s *System) limits() map[string]any {
	limits := map[string]any{"max-body-bytes": cmp.Or(s.MaxBody, 1<<20)}
	for name, value := range map[string]int64{
		"max-header-bytes": s.Limits.MaxHeadBytes, "header-timeout-ms": s.Limits.HeadTimeout.Milliseconds(), "idle-timeout-ms": s.Limits.IdleTimeout.Milliseconds(),
	} {
		if value > 0 {
			limits[name] = value
		}
	}
	return limits
}

// AddServer starts a backend server and returns its index in Servers.
func (s *System) AddServer(t testing.TB) int {
	t.Helper()
	return s.addServer(t, loopback.Shared.Address())
}

// ReplaceServer starts a backend server at the address of a stopped one and returns its index
// in Servers. The stopped one stays listed.
func (s *System) ReplaceServer(t testing.TB, i int) int {
	t.Helper()
	return s.addServer(t, s.addresses[i])
}

func (s *System) addServer(t testing.TB, address string) int {
	t.Helper()
	i := len(s.Servers)
	server := &backendserver.Server{Instance: fmt.Sprintf("i-%d", i)}
	server.SetVersion(s.Version, s.Version)
	listener, running := listenLimited(t, server, address)
	s.Servers, s.Listeners, s.running, s.addresses = append(s.Servers, server), append(s.Listeners, listener), append(s.running, running), append(s.addresses, running.Address)
	s.putServer(i, "ready", s.Version)
	return i
}

// StopServer closes a backend server's listener and connections. It stays listed.
func (s *System) StopServer(i int) { s.running[i].Close() }

// RestartServer starts a stopped backend server at the same address and lists it as its next
// incarnation, which is cold for a time.
func (s *System) RestartServer(t testing.TB, i int, cold time.Duration) {
	t.Helper()
	s.StartServer(t, i)
	if s.restarts == nil {
		s.restarts = make(map[int]int)
	}
	s.restarts[i]++
	s.SetCold(i, cold)
}

// StartServer starts a stopped backend server at the same address.
func (s *System) StartServer(t testing.TB, i int) {
	t.Helper()
	s.Listeners[i], s.running[i] = listenLimited(t, s.Servers[i], s.addresses[i])
}

// SetLeaving makes a backend server leave. It still serves.
func (s *System) SetLeaving(i int) { s.putServer(i, "draining", s.Version) }

// RemoveServer removes a backend server from the list. It still serves.
func (s *System) RemoveServer(i int) { s.Store.Delete(platform.KindServers, s.Servers[i].Instance) }

// ListVersion lists a backend server with a version of the weights, whatever it serves.
func (s *System) ListVersion(i int, version int64) { s.putServer(i, "ready", version) }

// NameVersion names a version of the weights.
func (s *System) NameVersion(version int64) {
	s.Store.Put(platform.KindVersions, model, map[string]any{"model": model, "version": version})
}

// SetCold lists a backend server as cold for a time, as one that has become cold again does.
func (s *System) SetCold(i int, d time.Duration) {
	s.cold = map[int]time.Duration{i: d}
	s.putServer(i, "ready", s.Version)
}

func (s *System) putServer(i int, state string, version int64) {
	specification := map[string]any{
		"service": pool, "address": s.addresses[i], "zone": s.domain(i), "version": "v1", "slots": s.slots(), "state": state, "sequence": 1, "born": 1 + s.restarts[i],
	}
	if d := s.cold[i]; d > 0 {
		specification["cold-remaining-ms"] = d.Milliseconds()
	}
	if version != 0 {
		specification["models"] = []any{map[string]any{"name": model, "version": version}}
	}
	s.Store.Put(platform.KindServers, s.Servers[i].Instance, specification)
}

// SlowStore delays each answer of the store, also those of calls in progress.
func (s *System) SlowStore(d time.Duration) { s.storeDelay.Store(int64(d)) }

func (s *System) serveStore(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	s.Store.ServeHTTP(answer, r)
	time.Sleep(time.Duration(s.storeDelay.Load()))
	s.awaitPath(r)
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// Region returns the region of a failure domain.
func Region(domain string) string { return "r-" + domain }

// Evacuate evacuates a failure domain.
func (s *System) Evacuate(domain string) { s.Store.Put(platform.KindEvacuations, domain, struct{}{}) }

// Revoke ends the evacuation of a failure domain.
func (s *System) Revoke(domain string) { s.Store.Delete(platform.KindEvacuations, domain) }

// domain returns the failure domain of a backend server.
func (s *System) domain(i int) string {
	if len(s.Domains) == 0 {
		return failureDomain
	}
	return s.Domains[i%len(s.Domains)]
}

func (s *System) slots() int { return cmp.Or(s.Slots, 16) }

func (s *System) newEntry(t testing.TB, i int) *Entry {
	t.Helper()
	// The IP addresses of other tests end with the process ID, too, behind other numbers.
	number := int(lastEntry.Add(1))
	ip, offset := fmt.Sprintf("127.%d.%d.%d", 128+number%ipCount, os.Getpid()>>8&255, os.Getpid()&255), number/ipCount*blockSize
	e := &Entry{
		FailureDomain: failureDomain,
		StoreAddress:  listen(t, http.HandlerFunc(s.serveStore), loopback.Shared.Address()).Address, Registration: fmt.Sprintf("entry-%d", i),
		URL: fmt.Sprintf("http://%s:%d", ip, callersPort+offset), ReadinessURL: fmt.Sprintf("http://%s:%d%s", ip, readinessPort+offset, platform.ReadinessPath),
		StateAddress: fmt.Sprintf("%s:%d", ip, firstInternalPort+offset), MetricsAddress: fmt.Sprintf("%s:%d", ip, metricsPort+offset),
		SettingsFile: filepath.Join(t.TempDir(), "entry.yaml"),
	}
	if len(s.EntryDomains) > 0 {
		e.FailureDomain = s.EntryDomains[i%len(s.EntryDomains)]
	}
	regions := ""
	for _, domain := range slices.Concat([]string{failureDomain}, s.EntryDomains, s.Domains) {
		regions += fmt.Sprintf("  - {failureDomain: %s, region: %s}\n", domain, Region(domain))
	}
	evacuation := ""
	if s.Evacuation > 0 {
		evacuation = ", evacuation: " + s.Evacuation.String()
	}
	text := fmt.Sprintf(`instance: %s
failureDomain: %s
region: %s
address: %s
ports: {first: %d, last: %d}
regions:
%slisten: {callers: "%s:%d", readiness: "%s:%d"}
firstStart: true
store: %s
bounds: {gracefulStop: %s, namedVersion: 8s, repeatRatio: 0.2, repeatWindow: 10s, repeatSlack: %d, coldOvershoot: %g, coldSlack: %g%s}
limits: {memory: %d MB, link: 700 Mbit/s, descriptors: %d}
logSample: 1
metricsPort: %d
`, e.Registration, e.FailureDomain, Region(e.FailureDomain), ip, firstInternalPort+offset, firstInternalPort+offset+5, regions, ip, callersPort+offset, ip, readinessPort+offset, e.StoreAddress, s.GracefulStop, s.RepeatSlack, s.ColdOvershoot, s.ColdSlack, evacuation, cmp.Or(s.MegabytesOfMemory, 206), s.Descriptors, metricsPort+offset)
	if err := os.WriteFile(e.SettingsFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return e
}

// Start starts the entry's process.
func (e *Entry) Start(t testing.TB, builder *process.Builder) {
	t.Helper()
	e.Process = process.Start(t, builder.Build(t, program), "--settings", e.SettingsFile, "hosted", "entry")
}
