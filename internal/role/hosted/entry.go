package hosted

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/backend/exchange"
	"github.com/mulberryspool/mulberryspool/internal/entry/desk"
	"github.com/mulberryspool/mulberryspool/internal/entry/forward"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/repeats"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/beat"
	"github.com/mulberryspool/mulberryspool/internal/peer/sockets"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
	"github.com/mulberryspool/mulberryspool/internal/platform/follow"
	settings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	// beatInterval is how often entries tell each other what has changed, and
	// look at what has expired.
	beatInterval = 100 * time.Millisecond
	// nearDelay is how soon a placement is told to the entries of the same
	// failure domain. They would all choose the same server meanwhile, and each
	// prompt that is read there takes tens of milliseconds.
	nearDelay = 5 * time.Millisecond
	// farInterval is the least time between two beats to the entries of other
	// failure domains, which take places at the servers here last.
	farInterval = 25 * time.Millisecond
	// fullBeats is the number of intervals between two beats with all loads.
	fullBeats = 5
	// agentBeats is the number of intervals between two beats to agents.
	agentBeats = 10
	// versionMargin is how old the news of a version may be.
	versionMargin = 100 * time.Millisecond
	// A store that drops its history tells a waiting watch nothing, so watches
	// wait only for a while. The first entry that asks again tells the others,
	// so the mean wait grows with the number of entries: with these two figures
	// one of them asks within 2.3 s in 99 of 100 cases.
	watchBase     = 1100 * time.Millisecond
	watchPerEntry = 180 * time.Millisecond
	// watchJitter is the part of the mean by which a wait is shorter or longer.
	watchJitter = 0.85
	// foundGrace is how long an old version is used when this process found
	// the newer one named already and nobody tells since when.
	foundGrace = 3 * time.Second
	// domainDelay stands for the way to another failure domain and the price
	// of its bytes.
	domainDelay = 25 * time.Millisecond
	// drainTime is how long after SIGTERM open connections are served: the
	// platform takes two misses, a second apart, to send no new ones.
	drainTime = 2800 * time.Millisecond
	// stopMargin is kept before SIGKILL.
	stopMargin = 500 * time.Millisecond
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// idleTimeout is above the longest time that callers keep a connection idle.
	idleTimeout = 2 * time.Minute
	// newsInterval is the least time between two tellings of news to all
	// processes; in a storm of configurations only the last one counts.
	newsInterval = 60 * time.Millisecond
	// registerRetry is the pause after a registration that failed.
	registerRetry = time.Second
)

type (
	// entryRole is a running entry.
	entryRole struct {
		*parts
		fleet   *fleet.Fleet
		beliefs *beliefs
		desk    *desk.Desk
		pool    *exchange.Pool
		handler *forward.Handler
		link    *beat.Link

		// loadChanged is filled when requests were placed, wait or left a place.
		loadChanged chan struct{}
		// news is filled when something new is believed.
		news chan struct{}

		mu sync.Mutex
		// listed are the entries that the store names.
		listed map[netip.AddrPort]struct{}
	}

	// registration is an object of the system's own kind.
	registration struct {
		Address string `json:"address"`
	}
)

// Entry runs the entry role until the context ends and requests have ended.
func Entry(ctx context.Context, file string, s settings.Settings, logs io.Writer) error {
	p, err := newParts(s, mulberryspool.RoleEntry, logs)
	if err != nil {
		return err
	}
	defer p.close()
	e := &entryRole{parts: p, listed: make(map[netip.AddrPort]struct{}), loadChanged: make(chan struct{}, 1), news: make(chan struct{}, 1)}
	e.build()
	callers, err := listen(s.Listen.Callers)
	if err != nil {
		return err
	}
	readiness, err := listen(s.Listen.Readiness)
	if err != nil {
		return err
	}
	conn, err := beat.Listen(s.EntryBeat(s.Address))
	if err != nil {
		return err
	}
	e.link = &beat.Link{
		Conn: conn, Clock: p.clock, Logger: p.logger, Received: e.heard,
		Self: beat.Message{Role: mulberryspool.RoleEntry, Node: s.Instance, Domain: s.FailureDomain, Boot: p.boot},
	}
	state, err := listen(s.EntryBeat(s.Address))
	if err != nil {
		return err
	}
	p.logger.Info().Str(logging.FieldStep, "start").Int64("boot", p.boot).Msg("process started")
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { e.fleet.Run(groupCtx); return nil })
	group.Go(func() error { return e.link.Run(groupCtx) })
	group.Go(func() error { e.beats(groupCtx); return nil })
	group.Go(func() error { e.register(groupCtx); return nil })
	group.Go(func() error { p.followSettings(groupCtx, file, func(settings.Settings) {}); return nil })
	group.Go(func() error { return p.serveMetrics(groupCtx) })
	group.Go(func() error { return serve(groupCtx, e.stateServer(), state) })
	group.Go(func() error { return serve(groupCtx, e.readinessServer(), readiness) })
	group.Go(func() error {
		defer stop()
		return e.serveCallers(ctx, groupCtx, callers)
	})
	return group.Wait()
}

func (e *entryRole) build() {
	b := e.settings.Bounds
	e.desk = &desk.Desk{
		Clock: e.clock, Random: newRandom(),
		LoadChanged: func() {
			select {
			case e.loadChanged <- struct{}{}:
			default:
			}
		},
		Figures: placement.Figures{
			Self: e.settings.Instance, Domain: e.identity.FailureDomain, Delay: domainDelay, VersionGrace: b.NamedVersion - versionMargin,
		},
		Repeats: repeats.Budget{Window: b.RepeatWindow, Ratio: b.RepeatRatio, Slack: b.RepeatSlack / 2},
	}
	e.pool = &exchange.Pool{
		Clock: e.clock, Dialect: platform.Headers{}, Dial: sockets.Dialer{}.DialContext,
		Opened: func(exchange.Target) { e.metrics.Counter("backend_connections").Inc(1) },
	}
	e.handler = &forward.Handler{
		Clock: e.clock, Dialect: platform.Headers{}, Desk: e.desk, Pool: e.pool, Logger: e.logger, Metrics: e.metrics,
		Sampled: logging.Sampler(e.settings.LogSample),
	}
	e.fleet = e.parts.fleet()
	e.fleet.Wait = e.watchWait
	e.fleet.FoundAge = b.NamedVersion - versionMargin - foundGrace
	e.fleet.IngressChanged = func(i mulberryspool.Ingress) {
		e.desk.SetIngress(i)
		e.tellNews()
	}
	e.fleet.ServersChanged = func(s fleet.Servers) {
		e.desk.SetServers(s)
		e.tellNews()
	}
	e.fleet.NamedChanged = func(model string, version int64, at time.Time) {
		e.desk.SetNamed(model, version, at)
		e.tellNews()
	}
	e.beliefs = &beliefs{
		fleet: e.fleet, clock: e.clock, fetch: e.stateFrom(statePath), logger: e.logger, domain: e.identity.FailureDomain,
	}
}

// watchWait spreads the entries' watches over the time that news may take.
func (e *entryRole) watchWait() time.Duration {
	entries := 1 + len(e.link.Heard(mulberryspool.RoleEntry))
	mean := min(watchBase+time.Duration(entries)*watchPerEntry, follow.DefaultWait/2)
	return time.Duration((1 - watchJitter + 2*watchJitter*rand.Float64()) * float64(mean))
}

// tellNews makes the loop of beats tell the others what is believed now.
func (e *entryRole) tellNews() {
	select {
	case e.news <- struct{}{}:
	default:
	}
}

func (e *entryRole) stateServer() *http.Server {
	mux := http.NewServeMux()
	answer := func(w http.ResponseWriter, s fleet.State) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(s); err != nil {
			e.logger.Info().Err(err).Str(logging.FieldStep, "send beliefs").Msg("beliefs were not sent")
		}
	}
	mux.HandleFunc("GET "+statePath, func(w http.ResponseWriter, _ *http.Request) { answer(w, e.fleet.State()) })
	mux.HandleFunc("GET "+agentStatePath, func(w http.ResponseWriter, _ *http.Request) { answer(w, e.fleet.State().ForAgents()) })
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

func (e *entryRole) readinessServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if e.handler.Stopping.Load() || !e.fleet.Known() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// serveCallers serves until SIGTERM ended ctx and the requests have ended.
// Open connections are served on for a while, so that no request crosses a close.
func (e *entryRole) serveCallers(ctx, background context.Context, listener net.Listener) error {
	server := &http.Server{Handler: e.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: quietLog()}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return mulberryspool.AtStep(err, "serve callers", listener.Addr().String())
	case <-background.Done():
		return errors.Wrap(server.Close(), "close connections")
	case <-ctx.Done():
	}
	e.handler.Stopping.Store(true)
	e.logger.Info().Str(logging.FieldStep, "stop").Msg("no longer ready, open connections are served on")
	<-e.clock.After(drainTime)
	left := e.settings.Bounds.GracefulStop - drainTime - stopMargin
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), left)
	defer cancel()
	if err := server.Shutdown(bounded); err != nil {
		e.logger.Warn().Err(err).Str(logging.FieldStep, "stop").Msg("requests are still in flight and are cut off")
		return errors.Wrap(server.Close(), "close connections")
	}
	return nil
}

func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return mulberryspool.AtStep(err, "serve", listener.Addr().String())
	}
	return nil
}

func listen(address string) (net.Listener, error) {
	if address == "" {
		return nil, errors.New("settings name no address to listen on")
	}
	config := net.ListenConfig{KeepAliveConfig: sockets.KeepAlive()}
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, mulberryspool.AtStep(err, "listen", address)
}
