package hosted

import (
	"context"
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
	"github.com/mulberryspool/mulberryspool/internal/backend/httpconn"
	"github.com/mulberryspool/mulberryspool/internal/backend/liveness"
	"github.com/mulberryspool/mulberryspool/internal/entry/callerconns"
	"github.com/mulberryspool/mulberryspool/internal/entry/coldstart"
	"github.com/mulberryspool/mulberryspool/internal/entry/forward"
	"github.com/mulberryspool/mulberryspool/internal/entry/placement"
	"github.com/mulberryspool/mulberryspool/internal/entry/promptguard"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
	"github.com/mulberryspool/mulberryspool/internal/entry/retrybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/scheduler"
	"github.com/mulberryspool/mulberryspool/internal/entry/silence"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
	"github.com/mulberryspool/mulberryspool/internal/peer/httpguard"
	"github.com/mulberryspool/mulberryspool/internal/peer/sockets"
	"github.com/mulberryspool/mulberryspool/internal/platform/configwatch"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
	"github.com/mulberryspool/mulberryspool/internal/platform/listwatch"
	settings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	// heartbeatInterval is the length of a round: entries send each other changed
	// loads and remove expired state.
	heartbeatInterval = 100 * time.Millisecond
	// localSendDelay is the delay before a changed load is sent to the entries of
	// the same failure domain. It is short because they would all choose the same
	// server until then, and each prompt that is processed there takes tens of
	// milliseconds.
	localSendDelay = 5 * time.Millisecond
	// remoteSendInterval is the minimum interval between two heartbeats to the
	// entries of other failure domains, which choose the servers in this failure
	// domain last. With more than remotePeersPerInterval of them it is longer, so that
	// what each entry sends and receives does not grow with their number.
	remoteSendInterval     = 25 * time.Millisecond
	remotePeersPerInterval = 16
	// findingsSendInterval is the minimum interval between two heartbeats about
	// changed findings on prompts.
	findingsSendInterval = 25 * time.Millisecond
	// fullLoadRounds is the number of rounds between two heartbeats with all loads.
	fullLoadRounds = 5
	// announceRounds is the number of rounds between two heartbeats to agents.
	announceRounds = 10
	// remoteAnnounceRounds is the number of rounds between two heartbeats to the agents of
	// other failure domains, which need one of them within heartbeat.PeerTimeout.
	remoteAnnounceRounds = 20
	// findingsRounds is the number of rounds between two heartbeats to all processes
	// with findings on prompts, which repeat those about changes.
	findingsRounds = 20
	// versionEndMargin is how long before the end of a version's bound the requests on
	// the older one are given up. An entry may have used up its share of the processor
	// for the rest of a tenth of a second, and its timers fire late.
	versionEndMargin = 150 * time.Millisecond
	// A store that drops its history does not answer a waiting watch, so watches
	// have a limited wait. The first entry that watches again informs the others,
	// so the mean wait grows with the number of entries: with watchBaseWait and
	// watchWaitPerEntry one of them watches again within 2.3 s in 99 of 100 cases.
	watchBaseWait     = 1100 * time.Millisecond
	watchWaitPerEntry = 180 * time.Millisecond
	// watchJitter is the largest deviation of a wait from the mean, as a share of it.
	watchJitter = 0.85
	// unknownAgeGrace is how long the old version is still used if the newer one
	// was named before this process started and no peer has reported its age.
	unknownAgeGrace = 3 * time.Second
	// crossDomainDelay is added to the expected delay of servers in other failure
	// domains. It accounts for the network latency and the cost of the traffic.
	crossDomainDelay = 25 * time.Millisecond
	// stopPollInterval is how often a stopping entry checks whether requests still come.
	stopPollInterval = 50 * time.Millisecond
	// headerTimeout limits the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// silenceSendInterval is the minimum interval between two heartbeats about backend
	// servers that have just fallen silent.
	silenceSendInterval = 200 * time.Millisecond
	// silenceProbeTimeout limits a probe of a silent backend server.
	silenceProbeTimeout = 400 * time.Millisecond
	// stateSendInterval is the minimum interval between two heartbeats about
	// changed state to all processes; of many configurations in a row only the last
	// one matters.
	stateSendInterval = 60 * time.Millisecond
	// maxRegistered limits the addresses of other entries that are kept.
	maxRegistered = 4096
	// registerRetryInterval is the pause after a failed registration.
	registerRetryInterval = time.Second
	// registerSpread is the maximum pause before an entry checks its registration after a
	// restore of the store. It spreads the calls of all entries.
	registerSpread = 2 * time.Second
)

type (
	// entryRole is a running entry.
	entryRole struct {
		*process
		fleet       *fleet.Fleet
		stateSync   *stateSync
		scheduler   *scheduler.Scheduler
		promptGuard *promptguard.Guard
		connPool    *httpconn.Pool
		handler     *forward.Handler
		// connections are those of callers, which callers guards.
		connections *callerconns.Tracker
		callers     *httpguard.Listener
		heartbeats  *heartbeat.Transport
		evacuations *evacuations

		// loadChanged is signalled when a request is placed, queued or ended.
		loadChanged chan struct{}
		// findingsChanged is signalled when something new is known of a part of prompts.
		findingsChanged chan struct{}
		// stateChanged is signalled when the routes, servers or named versions change.
		stateChanged chan struct{}
		// eraChanged is signalled when the store was restored.
		eraChanged chan struct{}

		// silencesSent holds the silent backend servers that were reported. It is used by
		// runHeartbeats only.
		silencesSent   map[silence.Incarnation]struct{}
		silencesSentAt time.Time

		configMu sync.Mutex
		// encodedConfig is the response with the newest configuration.
		encodedConfig encodedConfig

		mu sync.Mutex
		// configWatch decides whether this entry watches the configuration.
		configWatch configwatch.Election
		// watching is the last decision of configWatch that was logged.
		watching bool
		// registered holds the heartbeat addresses of the other entries, from the
		// store and from heartbeats.
		registered map[netip.AddrPort]struct{}
	}

	// registration is the object that an entry writes to the store, of kind
	// platform.KindEntries.
	registration struct {
		Address string `json:"address"`
		// FailureDomain is empty in registrations of earlier builds.
		FailureDomain string `json:"failureDomain,omitempty"`
	}
)

// Entry runs the entry role until the context ends and requests have ended.
func Entry(ctx context.Context, file SettingsFile, s settings.Settings, logs io.Writer) error {
	p, err := newProcess(s, mulberryspool.RoleEntry, logs)
	if err != nil {
		return err
	}
	defer p.close()
	e := &entryRole{process: p, registered: make(map[netip.AddrPort]struct{}), loadChanged: make(chan struct{}, 1), findingsChanged: make(chan struct{}, 1), stateChanged: make(chan struct{}, 1), eraChanged: make(chan struct{}, 1)}
	e.build()
	callers, err := listen(s.Listen.Callers)
	if err != nil {
		return err
	}
	e.connections = &callerconns.Tracker{Listener: callers, Clock: p.clock, Unanswered: e.recordUnanswered, NoOvertime: true}
	e.callers = p.guard.Listen(e.connections, "callers", callersDescriptors)
	readiness, err := listen(s.Listen.Readiness)
	if err != nil {
		return err
	}
	conn, err := heartbeat.Listen(s.EntryHeartbeatAddress(s.Address))
	if err != nil {
		return err
	}
	e.heartbeats = &heartbeat.Transport{
		Conn: conn, Clock: p.clock, Logger: p.logger, Handle: e.handleHeartbeat,
		Self: heartbeat.Message{Role: mulberryspool.RoleEntry, Sender: s.Instance, FailureDomain: s.FailureDomain, Boot: p.boot},
	}
	state, err := listen(s.EntryHeartbeatAddress(s.Address))
	if err != nil {
		return err
	}
	p.logger.Info().Str(logging.FieldStep, "start").Int64("boot", p.boot).Msg("process started")
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { p.guard.Run(groupCtx); return nil })
	group.Go(func() error { e.fleet.Run(groupCtx); return nil })
	group.Go(func() error { e.evacuations.run(groupCtx); return nil })
	group.Go(func() error { return e.heartbeats.Run(groupCtx) })
	group.Go(func() error { e.runHeartbeats(groupCtx); return nil })
	group.Go(func() error { e.register(groupCtx); return nil })
	group.Go(func() error { p.watchSettings(groupCtx, file); return nil })
	group.Go(func() error { return p.serveMetrics(groupCtx) })
	group.Go(func() error {
		return serve(groupCtx, e.stateServer(), p.guard.Listen(state, "state", stateDescriptors))
	})
	group.Go(func() error {
		return serve(groupCtx, e.readinessServer(), p.guard.Listen(readiness, "readiness", readinessDescriptors))
	})
	group.Go(func() error {
		defer stop()
		return e.serveCallers(ctx, groupCtx)
	})
	return group.Wait()
}

func (e *entryRole) build() {
	b := e.settings.Bounds
	e.scheduler = &scheduler.Scheduler{
		Clock: e.clock, Random: newRandom(),
		LoadChanged: func() { wake(e.loadChanged) },
		Placement: placement.Config{
			EntryName: e.settings.Instance, FailureDomain: e.identity.FailureDomain, CrossDomainDelay: crossDomainDelay, VersionGrace: b.NamedVersion - versionEndMargin,
			RegionOf: e.settings.RegionOf,
			Entries:  e.coldEntries(), ColdOvershoot: b.ColdOvershoot, ColdSlack: b.ColdSlack,
		},
		RetryBudget: retrybudget.Budget{Window: b.RepeatWindow, Ratio: b.RepeatRatio, Slack: b.RepeatSlack / 2},
	}
	e.promptGuard = &promptguard.Guard{
		Clock: e.clock, Logger: e.logger, Metrics: e.metrics, Quarantine: &quarantine.Quarantine{Entry: e.settings.Instance},
		Changed: func() { wake(e.findingsChanged) },
	}
	e.connPool = &httpconn.Pool{
		Clock: e.clock, HeaderCodec: platform.Headers{}, Dial: sockets.Dialer{}.DialContext,
		OnOpen: func(httpconn.Target) { e.metrics.Counter("backend_connections").Inc(1) },
	}
	e.handler = &forward.Handler{
		Clock: e.clock, HeaderCodec: platform.Headers{}, Scheduler: e.scheduler, PromptGuard: e.promptGuard, ConnPool: e.connPool, Logger: e.logger,
		Liveness: &liveness.Checker{Clock: e.clock, Pool: e.connPool, HeaderCodec: platform.Headers{}}, Metrics: e.metrics,
		Sampled: logging.Sampler(e.settings.LogSample), GracefulStop: b.GracefulStop,
		Bodies: e.memory,
	}
	e.fleet = e.process.newFleet()
	e.configWatch = configwatch.Election{Self: e.settings.Instance, FailureDomain: e.identity.FailureDomain}
	e.fleet.WatchTimeout = func() time.Duration { return watchWait(1 + len(e.heartbeats.ActivePeers(mulberryspool.RoleEntry))) }
	e.fleet.ConfigWatchTimeout = func() time.Duration { return configwatch.Wait(e.watchBound()) }
	e.fleet.StoreAnswers = e.storeClient.Answers
	e.storeClient.HealthChanged = e.reportStoreHealth
	e.fleet.ServersWatchTimeout = e.fleet.ConfigWatchTimeout
	e.fleet.ConfigPaused = func() bool { return !e.watchesConfig() }
	e.fleet.ServersPaused = e.fleet.ConfigPaused
	e.fleet.FollowCold = b.ColdOvershoot > 0
	e.fleet.AssumedAge = b.NamedVersion - versionEndMargin - unknownAgeGrace
	e.fleet.IngressChanged = func(i mulberryspool.Ingress) {
		e.scheduler.SetIngress(i)
		e.callers.SetLimits(i.Limits)
		e.signalStateChange()
	}
	e.fleet.ServersChanged = func(s fleet.Servers) {
		e.scheduler.SetServers(s)
		e.signalStateChange()
	}
	e.fleet.NamedVersionChanged = func(model string, version int64, at time.Time) {
		e.scheduler.SetNamedVersion(model, version, at)
		e.signalStateChange()
	}
	countEra := e.fleet.EraChanged
	e.fleet.EraChanged = func(before, era mulberryspool.Era) {
		countEra(before, era)
		e.evacuations.observeEra(era)
		e.signalStateChange()
		wake(e.eraChanged)
	}
	e.buildEvacuations()
	e.handler.ServerLeaving = e.fleet.MarkLeaving
	e.stateSync = &stateSync{
		fleet: e.fleet, clock: e.clock, fetch: e.stateFetcher(e.fleet, statePath), logger: e.logger, failureDomain: e.identity.FailureDomain,
		remoteConfigDelay: e.remoteConfigDelay, overdueAfter: e.overdueAfter, checkOverdue: e.checkOverdue,
	}
}

// coldEntries returns the entries that share the limits of cold backend servers, nil if the
// deployment has none.
func (e *entryRole) coldEntries() *coldstart.Entries {
	if e.settings.Bounds.ColdOvershoot <= 0 {
		return nil
	}
	self, err := netip.ParseAddrPort(e.ownAddress())
	if err != nil {
		e.logger.Error().Err(err).Str(logging.FieldStep, "start").Msg("heartbeat address of this entry is invalid")
	}
	return &coldstart.Entries{Self: self, FailureDomain: e.identity.FailureDomain, StartedAt: e.clock.Now()}
}

// watchWait returns a random wait for the next watch of the store, so that the
// watches of the entries that watch are spread over time.
func watchWait(entries int) time.Duration {
	mean := min(watchBaseWait+time.Duration(entries)*watchWaitPerEntry, listwatch.DefaultWatchTimeout/2)
	return time.Duration((1 - watchJitter + 2*watchJitter*rand.Float64()) * float64(mean))
}

// watchesConfig reports whether this entry reads the configuration from the store.
func (e *entryRole) watchesConfig() bool {
	overdue := e.stateSync.overdue()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if overdue {
		e.configWatch.WatchOverdue(now)
	}
	watches := e.configWatch.Watches(now)
	if watches != e.watching {
		e.watching = watches
		rank, watchers := e.configWatch.Standing(now)
		e.logger.Info().Str(logging.FieldStep, "watch configuration").Bool("watches", watches).Int("rank", rank).Int("otherWatchers", watchers).Bool("overdue", overdue).
			Msg("entry began or stopped to watch the configuration and the servers")
	}
	return watches
}

// reportStoreHealth is called when the store stops or begins to answer. If it is this entry that
// watches it for others, they have to know at once.
func (e *entryRole) reportStoreHealth() {
	message := "store does not answer, calls pause"
	if e.storeClient.Answers() {
		message = "store answers again"
	}
	watches := e.watchesConfig()
	e.logger.Info().Str(logging.FieldStep, "call store").Str(logging.FieldPeer, e.settings.Store).Bool("watches", watches).Msg(message)
	if watches {
		e.signalStateChange()
	}
}

// remoteConfigDelay returns how long to wait before the configuration is read from
// another failure domain.
func (e *entryRole) remoteConfigDelay() time.Duration {
	reachable := e.fleet.WatchesConfig()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configWatch.RemoteDelay(reachable, e.clock.Now())
}

// watchBound returns the bound of what is watched together with the configuration.
func (e *entryRole) watchBound() time.Duration {
	return min(e.settings.Bounds.Configuration, e.settings.Bounds.LeavingServer)
}

// overdueAfter returns how long after a peer has announced newer state it counts as overdue.
func (e *entryRole) overdueAfter() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configWatch.OverdueAfter(e.watchBound(), e.clock.Now())
}

// checkOverdue begins to watch if this entry still lacks what a peer has announced.
func (e *entryRole) checkOverdue() {
	if e.watchesConfig() {
		e.fleet.WakeWatches()
	}
}

// signalStateChange makes runHeartbeats announce the state.
func (e *entryRole) signalStateChange() { wake(e.stateChanged) }

// wake signals the receiver of a channel with a buffer of one.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (e *entryRole) readinessServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if e.handler.Stopping() || !e.fleet.HasSynced() || !e.evacuations.synced() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// serveCallers serves until ctx ends on SIGTERM and the requests in flight have ended.
// Connections stay open for a while, because a request that arrives while its connection is
// closed would be lost, and new ones are accepted until no more come.
func (e *entryRole) serveCallers(ctx, background context.Context) error {
	connections := e.connections
	// The guard enforces the time limits of heads and idle connections, which may change.
	server := &http.Server{Handler: e.handler, ErrorLog: discardLog(), ConnState: connections.Record}
	httpguard.Attach(server, e.callers)
	served := make(chan error, 1)
	go func() { served <- server.Serve(e.callers) }()
	select {
	case err := <-served:
		return mulberryspool.AtStep(err, "serve callers", connections.Addr().String())
	case <-background.Done():
		return errors.Wrap(server.Close(), "close connections")
	case <-ctx.Done():
	}
	closeIdleBy, answerBy, endBy := e.handler.BeginStop()
	e.logger.Info().Str(logging.FieldStep, "stop").Msg("not ready any more, open connections are still served")
	e.clock.Sleep(e.clock.Until(closeIdleBy))
	connections.CloseIdle()
	for !connections.Quiet() && e.clock.Now().Before(answerBy) {
		e.clock.Sleep(stopPollInterval)
	}
	_ = connections.Close()
	// Connections that were accepted until then are known when Serve returns.
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		e.logger.Warn().Err(err).Str(logging.FieldStep, "stop").Msg("listener for callers failed")
	}
	if !connections.Drain(endBy) {
		e.logger.Warn().Str(logging.FieldStep, "stop").Msg("graceful stop timed out, closing connections with requests in flight")
	}
	return errors.Wrap(server.Close(), "close connections")
}

// recordUnanswered records the metric of a connection that has ended between a byte of a
// request and one of its answer, and writes its log line unless the caller has closed it.
func (e *entryRole) recordUnanswered(u callerconns.Unanswered) {
	reason := "closedHere"
	if u.CallerClosed {
		reason = "callerLeft"
	}
	e.metrics.Tagged(map[string]string{"reason": reason}).Counter("unanswered_connections").Inc(1)
	if !u.CallerClosed {
		e.logger.Warn().Str("peer", u.Caller.String()).Dur("age", u.Age).Bool("headRead", u.HeadRead).AnErr("cause", u.Err).
			Msg("connection of a caller was closed after a part of a request and before its answer")
	}
}

func serve(ctx context.Context, server *http.Server, listener net.Listener) error {
	httpguard.Attach(server, listener)
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
