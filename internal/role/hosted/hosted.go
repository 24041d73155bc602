// Package hosted runs the roles on the users' platform.
//
//	settings --> parts (store, fleet, logs, metrics) --> Entry or Agent
package hosted

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/observe/admin"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/sockets"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
	"github.com/mulberryspool/mulberryspool/internal/platform/objectapi"
	settings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	// memoryShare is the part of the machine's memory that the runtime may
	// fill before it collects garbage more often.
	memoryShare = 0.5
	// garbagePercent trades a little processor time for a small heap.
	garbagePercent = 30
	// settingsPoll is how often a settings file is looked at that may change
	// without a signal.
	settingsPoll = 2 * time.Second
	// storeAttempt bounds one call; the store answers in a few milliseconds, and
	// is slow for seconds at times.
	storeAttempt = 700 * time.Millisecond
	// watchSlack is how much later than its wait the answer to a watch may be.
	// A watch that was cut off is not answered at all.
	watchSlack = 400 * time.Millisecond
	// storeCall bounds a call with its tries.
	storeCall = 4 * time.Second
	// storeMaxBackoff keeps the news within the bounds after an outage.
	storeMaxBackoff = 600 * time.Millisecond
	// storeCallsPerSecond bounds the calls of a process; the store takes 2,000
	// from all machines together.
	storeCallsPerSecond = 12
	// peerCallTimeout bounds the reading of a peer's beliefs.
	peerCallTimeout = time.Second
	// maxStateBytes bounds a peer's beliefs.
	maxStateBytes = 16 << 20
	// statePath is where an entry serves its beliefs to other processes.
	statePath = "/state"
	// agentStatePath is the same without what only entries need.
	agentStatePath = "/state/agent"
)

// parts are what both roles need.
type parts struct {
	settings settings.Settings
	identity mulberryspool.Identity
	clock    mulberryspool.Clock
	logger   zerolog.Logger
	ring     *logging.Ring
	metrics  tally.Scope
	handler  http.Handler
	closer   io.Closer
	client   *objectapi.Client
	store    *platform.Store
	peers    *http.Client
	// boot orders the incarnations of the process; the time of day is only a
	// hint there, a beat is at worst unheard until the old one is forgotten.
	boot int64
}

func newParts(s settings.Settings, role mulberryspool.Role, logs io.Writer) (*parts, error) {
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Limits.Memory)))
	identity := s.Identity(role)
	ring := logging.NewRing(logs)
	logger, err := logging.New(ring, identity, s.LogLevel)
	if err != nil {
		return nil, mulberryspool.AtStep(err, "set up logging", "")
	}
	clock := clockwork.NewRealClock()
	metrics, handler, closer := admin.NewMetrics(identity)
	client := &objectapi.Client{
		BaseURL: "http://" + s.Store, Clock: clock, Random: newRandom(), Metrics: metrics,
		DialContext: sockets.Dialer{Impatient: true}.DialContext, CallsPerSecond: storeCallsPerSecond,
		AttemptTimeout: storeAttempt, CallTimeout: storeCall, MaxBackoff: storeMaxBackoff, WaitSlack: watchSlack,
	}
	return &parts{
		settings: s, identity: identity, clock: clock, logger: logger, ring: ring,
		metrics: metrics, handler: handler, closer: closer, client: client,
		store: &platform.Store{Client: client, Logger: logger},
		peers: &http.Client{Timeout: peerCallTimeout, Transport: &http.Transport{
			DialContext: sockets.Dialer{}.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1,
		}},
		boot: clock.Now().UnixNano(),
	}, nil
}

func (p *parts) close() {
	p.client.Close()
	p.peers.CloseIdleConnections()
	p.logger.Info().Str(logging.FieldStep, "stop").Int64("linesDropped", p.ring.Dropped()).Msg("process stopped")
	if err := errors.CombineErrors(p.closer.Close(), p.ring.Close()); err != nil {
		// The log itself is closed, so nothing is left to report this to.
		return
	}
}

func (p *parts) fleet() *fleet.Fleet {
	return &fleet.Fleet{
		Store: p.store, Clock: p.clock, Logger: p.logger,
		Kinds: fleet.Kinds{
			Config: platform.KindConfig, Servers: platform.KindServers, Versions: platform.KindVersions,
			Ingress: platform.DecodeIngress, Server: platform.DecodeServer, Version: platform.DecodeVersion,
		},
		IngressChanged: func(mulberryspool.Ingress) {},
		ServersChanged: func(fleet.Servers) {},
		NamedChanged:   func(string, int64, time.Time) {},
	}
}

// stateFrom returns a function that reads the beliefs of an entry.
func (p *parts) stateFrom(path string) func(context.Context, netip.AddrPort) (fleet.State, error) {
	return func(ctx context.Context, entry netip.AddrPort) (fleet.State, error) {
		return p.fetchState(ctx, entry, path)
	}
}

func (p *parts) fetchState(ctx context.Context, entry netip.AddrPort, path string) (fleet.State, error) {
	var state fleet.State
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.String()+path, nil)
	if err != nil {
		return state, errors.Wrap(err, "make request")
	}
	response, err := p.peers.Do(request)
	if err != nil {
		return state, mulberryspool.AtStep(err, "read beliefs", entry.String())
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, mulberryspool.AtStep(errors.Newf("answered %s", response.Status), "read beliefs", entry.String())
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state)
	return state, mulberryspool.AtStep(err, "decode beliefs", entry.String())
}

// serveMetrics serves /metrics until the context ends.
func (p *parts) serveMetrics(ctx context.Context) error {
	listener, err := net.Listen("tcp", p.settings.Metrics())
	if err != nil {
		return mulberryspool.AtStep(err, "listen", p.settings.Metrics())
	}
	return (&admin.Server{Metrics: p.handler}).Serve(ctx, listener)
}

// followSettings reads the file again on SIGHUP and when it has changed, and
// calls the function with what is valid.
func (p *parts) followSettings(ctx context.Context, file string, changed func(settings.Settings)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	last, err := os.ReadFile(file)
	if err != nil {
		p.logger.Warn().Err(err).Msg("settings file is not readable")
	}
	for {
		select {
		case <-hangup:
		case <-p.clock.After(settingsPoll):
		case <-ctx.Done():
			return
		}
		data, err := os.ReadFile(file)
		if err != nil {
			p.logger.Warn().Err(err).Str(logging.FieldStep, "reload").Msg("settings file is not readable, the old settings stay")
			continue
		}
		if string(data) == string(last) {
			continue
		}
		last = data
		s, err := settings.Parse(file, data)
		if err != nil {
			p.logger.Warn().Err(err).Str(logging.FieldStep, "reload").Msg("settings are not valid, the old ones stay")
			continue
		}
		p.logger.Info().Str(logging.FieldStep, "reload").Msg("settings reloaded")
		changed(s)
	}
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// quietLog drops what the HTTP server says of broken connections, which the
// lines of the requests say better.
func quietLog() *log.Logger {
	return log.New(io.Discard, "", 0)
}
