// Package hosted runs the roles on the users' platform.
//
//	settings --> process (store, fleet, logs, metrics) --> Entry or Agent
//
// The named version of a model is the one that the platform's operators want
// served.
package hosted

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"reflect"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/observe/admin"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/httpguard"
	"github.com/mulberryspool/mulberryspool/internal/peer/sockets"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
	"github.com/mulberryspool/mulberryspool/internal/platform/objectapi"
	settings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	// memoryLimitShare is the share of the machine's memory that is set as the
	// runtime's soft memory limit.
	memoryLimitShare = 0.5
	// callerMemoryShare is the share of the machine's memory that callers may take with heads,
	// bodies, responses and connections.
	callerMemoryShare = 0.3
	// Shares of the descriptors that the connections to each listener may use, so that none
	// shuts out another one. The rest is for connections to backend servers.
	callersDescriptors, readinessDescriptors, stateDescriptors, metricsDescriptors = 0.5, 0.1, 0.12, 0.05
	piecesDescriptors, callsDescriptors                                            = 0.5, 0.25
	// gcPercent is lower than the default to keep the heap small, at the cost of
	// some processor time.
	gcPercent = 30
	// settingsPollInterval is the interval at which the settings file is checked
	// for changes that come without a signal.
	settingsPollInterval = 2 * time.Second
	// storeAttemptTimeout limits one attempt of a call. The store usually answers
	// within a few milliseconds but is slow for seconds at times.
	storeAttemptTimeout = 700 * time.Millisecond
	// watchSlack is how long after the end of its wait a watch may be answered. A
	// watch whose connection is lost is never answered.
	watchSlack = 400 * time.Millisecond
	// storeCallTimeout limits a call with all its attempts.
	storeCallTimeout = 4 * time.Second
	// storeMaxBackoff is short enough that changes are still applied in time after
	// an outage.
	storeMaxBackoff = 600 * time.Millisecond
	// storeCallsPerSecond limits the calls of a process. The store accepts 2,000
	// per second from all machines together.
	storeCallsPerSecond = 12
	// peerCallTimeout limits a read of a peer's manifest.
	peerCallTimeout = time.Second
	// peerIdleTimeout is how long a connection to a peer is kept for its next read.
	peerIdleTimeout = time.Second
	// maxStateBytes is the maximum size of a peer's encoded state.
	maxStateBytes = 16 << 20
	// statePath is where an entry serves its state to other entries.
	statePath = "/state"
	// agentStatePath serves the part of the state that agents need.
	agentStatePath = "/state/agent"
	// queryPart is the part of the state that is read. queryConfig and queryServers are
	// the version of the configuration and the revision of the list of servers that the
	// reader has, as of which it lacks none.
	queryPart    = "part"
	queryConfig  = "config"
	queryServers = "servers"
	// queryConfigEra and queryServersEra are their eras.
	queryConfigEra  = "configEra"
	queryServersEra = "serversEra"
)

// SettingsFile is the file from which the settings were read.
type SettingsFile struct {
	Name string
	// Reload has a value for each signal to read the file again. It is buffered from before
	// the first read on, so that no signal is lost.
	Reload <-chan os.Signal
}

// progressReader counts the bytes that are read and reports progress.
type progressReader struct {
	io.Reader
	progress func()
	count    int64
}

// process holds what both roles need.
type process struct {
	settings       settings.Settings
	identity       mulberryspool.Identity
	clock          mulberryspool.Clock
	logger         zerolog.Logger
	logWriter      *logging.DroppingWriter
	metrics        tally.Scope
	metricsHandler http.Handler
	metricsCloser  io.Closer
	storeClient    *objectapi.Client
	store          *platform.Store
	peerClient     *http.Client
	// memory bounds what callers take, guard the connections that they open.
	memory *bodybudget.Budget
	guard  *httpguard.Guard
	// boot orders the incarnations of the process. It is taken from the wall clock:
	// if that goes back, peers ignore the heartbeats of the new incarnation until
	// they remove the old one.
	boot int64
}

func newProcess(s settings.Settings, role mulberryspool.Role, logs io.Writer) (*process, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Limits.Memory)))
	identity := s.Identity(role)
	logWriter := logging.NewDroppingWriter(logs)
	logger, err := logging.New(logWriter, identity, s.LogLevel)
	if err != nil {
		return nil, mulberryspool.AtStep(err, "set up logging", "")
	}
	clock := clockwork.NewRealClock()
	metrics, metricsHandler, metricsCloser := admin.NewMetrics(identity)
	storeClient := newStoreClient(s, clock, metrics)
	memory := &bodybudget.Budget{Limit: int64(callerMemoryShare * float64(s.Limits.Memory))}
	guard := &httpguard.Guard{
		Clock: clock, Budget: memory, Logger: logger, Metrics: metrics, Descriptors: s.Limits.Descriptors,
		SetRefusal: func(h http.Header, retryAfter time.Duration) { platform.Headers{}.SetRefusal(h, "", retryAfter) },
	}
	memory.MakeRoom = guard.MakeRoom
	return &process{
		memory: memory, guard: guard,
		settings: s, identity: identity, clock: clock, logger: logger, logWriter: logWriter,
		metrics: metrics, metricsHandler: metricsHandler, metricsCloser: metricsCloser, storeClient: storeClient,
		store:      &platform.Store{Client: storeClient, Logger: logger, Metrics: metrics},
		peerClient: &http.Client{Transport: newPeerTransport()},
		boot:       clock.Now().UnixNano(),
	}, nil
}

func newStoreClient(s settings.Settings, clock mulberryspool.Clock, metrics tally.Scope) *objectapi.Client {
	return &objectapi.Client{
		BaseURL: "http://" + s.Store, Clock: clock, Random: newRandom(), Metrics: metrics,
		DialContext: sockets.Dialer{SingleProbe: true}.DialContext, CallsPerSecond: storeCallsPerSecond,
		AttemptTimeout: storeAttemptTimeout, CallTimeout: storeCallTimeout, MaxBackoff: storeMaxBackoff, WaitSlack: watchSlack,
	}
}

func (p *process) close() {
	p.storeClient.Close()
	p.peerClient.CloseIdleConnections()
	p.logger.Info().Str(logging.FieldStep, "stop").Int64("linesDropped", p.logWriter.Dropped()).Msg("process stopped")
	if err := errors.CombineErrors(p.metricsCloser.Close(), p.logWriter.Close()); err != nil {
		// The log is closed, so the error cannot be reported.
		return
	}
}

func (p *process) newFleet() *fleet.Fleet {
	return &fleet.Fleet{
		Store: p.store, Clock: p.clock, Logger: p.logger,
		Kinds: fleet.Kinds{
			Config: platform.KindConfig, Servers: platform.KindServers, Versions: platform.KindVersions,
			DecodeIngress: platform.DecodeIngress, DecodeServer: platform.DecodeServer, DecodeVersion: platform.DecodeVersion,
		},
		IngressChanged:      func(mulberryspool.Ingress) {},
		ServersChanged:      func(fleet.Servers) {},
		NamedVersionChanged: func(string, int64, time.Time) {},
		VersionBound:        p.settings.Bounds.NamedVersion,
		EraChanged:          func(mulberryspool.Era, mulberryspool.Era) { p.metrics.Counter("store_restores").Inc(1) },
	}
}

// stateFetcher returns a function that reads from an entry, at the path, what the fleet
// does not have of a part of the state.
func (p *process) stateFetcher(f *fleet.Fleet, path string) func(context.Context, stateRead) (fleet.State, error) {
	return func(ctx context.Context, r stateRead) (fleet.State, error) {
		return p.fetchState(ctx, path, r, f.Summary())
	}
}

func (p *process) fetchState(ctx context.Context, path string, r stateRead, own fleet.Summary) (fleet.State, error) {
	var state fleet.State
	peer := r.entry.String()
	servers := own.Complete()
	query := url.Values{
		queryPart:       {string(r.part)},
		queryConfig:     {strconv.FormatInt(own.Config, 10)},
		queryServers:    {strconv.FormatUint(uint64(servers.Revision), 10)},
		queryConfigEra:  {strconv.FormatUint(uint64(own.ConfigEra), 10)},
		queryServersEra: {strconv.FormatUint(uint64(servers.Era), 10)},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer+path+"?"+query.Encode(), nil)
	if err != nil {
		return state, errors.Wrap(err, "create request")
	}
	request.Header.Set("Accept-Encoding", encodingGzip)
	response, err := p.peerClient.Do(request)
	if err != nil {
		return state, mulberryspool.AtStep(err, "read state", peer)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, mulberryspool.AtStep(errors.Newf("unexpected status %s", response.Status), "read state", peer)
	}
	received := &progressReader{Reader: response.Body, progress: r.progress}
	body := io.Reader(received)
	if response.Header.Get("Content-Encoding") == encodingGzip {
		if body, err = gzip.NewReader(received); err != nil {
			return state, mulberryspool.AtStep(err, "decode state", peer)
		}
	}
	err = json.NewDecoder(io.LimitReader(body, maxStateBytes)).Decode(&state)
	counters := p.metrics.Tagged(map[string]string{"part": string(r.part)})
	counters.Counter("peer_state_reads").Inc(1)
	counters.Counter("peer_state_bytes").Inc(received.count)
	return state, mulberryspool.AtStep(err, "decode state", peer)
}

// missingState returns the part of a state that a request asks for. A request of an
// earlier build asks for nothing and gets the whole state.
func missingState(s fleet.State, r *http.Request) fleet.State {
	query := r.URL.Query()
	if !query.Has(queryPart) {
		return s
	}
	// An invalid number is 0, for which nothing is left out.
	config, _ := strconv.ParseInt(query.Get(queryConfig), 10, 64)
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(query.Get(name), 10, 64)
		return n
	}
	return s.Part(fleet.Part(query.Get(queryPart)), fleet.Summary{
		Config: config, ConfigEra: mulberryspool.Era(number(queryConfigEra)),
		ServersAt: mulberryspool.Revision(number(queryServers)), ServersEra: mulberryspool.Era(number(queryServersEra)),
	})
}

// Read implements io.Reader.
func (r *progressReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	r.count += int64(n)
	r.progress()
	return n, err
}

// serveMetrics serves /metrics until the context ends.
func (p *process) serveMetrics(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.settings.MetricsAddress())
	if err != nil {
		return mulberryspool.AtStep(err, "listen", p.settings.MetricsAddress())
	}
	return (&admin.Server{Metrics: p.metricsHandler}).Serve(ctx, p.guard.Listen(listener, "metrics", metricsDescriptors))
}

// watchSettings reads the file again on each signal and every settingsPollInterval, and logs
// new valid settings. Signals that came before are taken first.
func (p *process) watchSettings(ctx context.Context, file SettingsFile) {
	var last []byte
	for {
		select {
		case <-file.Reload:
		case <-p.clock.After(settingsPollInterval):
		case <-ctx.Done():
			return
		}
		data, err := os.ReadFile(file.Name)
		if err != nil {
			p.logger.Warn().Err(err).Str(logging.FieldStep, "reload").Msg("settings file cannot be read, keeping the current settings")
			continue
		}
		first := last == nil
		if !first && bytes.Equal(data, last) {
			continue
		}
		last = data
		s, err := settings.Parse(file.Name, data)
		if err != nil {
			p.logger.Warn().Err(err).Str(logging.FieldStep, "reload").Msg("settings are invalid, keeping the current ones")
			continue
		}
		if first && reflect.DeepEqual(s, p.settings) {
			continue
		}
		p.logger.Info().Str(logging.FieldStep, "reload").Msg("settings reloaded")
	}
}

// newPeerTransport returns a transport for reads of peers' states, which are seldom: a
// connection that was idle for longer may be silent.
func newPeerTransport() *http.Transport {
	transport := newTransport(1)
	transport.IdleConnTimeout = peerIdleTimeout
	return transport
}

// newTransport returns a transport that keeps idle connections to each host and
// detects silent ones.
func newTransport(idleConns int) *http.Transport {
	return &http.Transport{
		DialContext: sockets.Dialer{}.DialContext, DisableCompression: true, MaxIdleConnsPerHost: idleConns,
		MaxResponseHeaderBytes: mulberryspool.MaxHeadBytes,
	}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// discardLog drops the HTTP server's messages about broken connections. The log
// lines of the requests already report them, in more detail.
func discardLog() *log.Logger {
	return log.New(io.Discard, "", 0)
}
