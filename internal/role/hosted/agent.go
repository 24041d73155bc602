package hosted

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
	"github.com/mulberryspool/mulberryspool/internal/agent/fetch"
	"github.com/mulberryspool/mulberryspool/internal/agent/latewrites"
	"github.com/mulberryspool/mulberryspool/internal/agent/swap"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
	"github.com/mulberryspool/mulberryspool/internal/entry/quarantine"
	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/observe/timeline"
	"github.com/mulberryspool/mulberryspool/internal/peer/chunks"
	"github.com/mulberryspool/mulberryspool/internal/peer/heartbeat"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
	"github.com/mulberryspool/mulberryspool/internal/peer/sockets"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
	settings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	// enginePollInterval is the interval between two reads of the model server's
	// state. The model server runs on the same machine and answers at no cost.
	enginePollInterval = 250 * time.Millisecond
	// engineStartPollInterval applies while the model server does not answer.
	engineStartPollInterval = 100 * time.Millisecond
	// engineLoadPollInterval applies while a load or a transfer is in progress.
	engineLoadPollInterval = 60 * time.Millisecond
	// engineTimeout limits one call to the model server.
	engineTimeout = 2 * time.Second
	// originTimeout limits the read of a manifest from the origin, and the time without a
	// byte in that of a piece. The origin's link carries about 40 pieces per second for all
	// agents together.
	originTimeout = 4 * time.Second
	// uploadSlots and uploadBufferBytes limit the data of uploads to other agents
	// that is queued on the machine's link. The model server's events share the
	// link: 32 KB take 35 ms there, and an event is late after 120 ms.
	uploadSlots       = 2
	uploadBufferBytes = 16 << 10
	// maxCallBytes limits a message of another agent. A manifest of 64 pieces has about 7 KB.
	maxCallBytes = 128 << 10
	// uplinkLiveShare is the share of the link that uploads leave to the model
	// server's events, which need about 0.05 of it, and to messages. A new version
	// reaches all agents sooner the less it is.
	uplinkLiveShare = 0.15
	// idleUplinkShare is the share of the link that uploads may use while the
	// model server does not serve.
	idleUplinkShare = 0.95
	// maxPiecesPerRound is the maximum number of pieces uploaded to the model
	// server in one round of the loop, so that its state is still read often enough.
	maxPiecesPerRound = 8
	// manifestMinBackoff is the mean backoff after the first failed read of a
	// manifest; usually the agent that was asked is still reading it itself. The
	// backoff doubles up to manifestMaxBackoff.
	manifestMinBackoff = 40 * time.Millisecond
	manifestMaxBackoff = 300 * time.Millisecond
	// originIdleTimeout is the idle timeout of connections to the origin. The
	// origin accepts fewer connections than there are agents, and does not close
	// those of agents that have lost power.
	originIdleTimeout = 500 * time.Millisecond
	// originNewestInterval is the minimum interval between two queries for the
	// origin's newest version.
	originNewestInterval = time.Second
	// agentStateInterval is the minimum interval between two reads of an entry's state.
	agentStateInterval = 700 * time.Millisecond
	// agentServersWatchPause and agentConfigWatchPause are the pauses between two
	// watches. Agents need servers and configuration less urgently than entries.
	agentServersWatchPause = 1500 * time.Millisecond
	agentConfigWatchPause  = 2 * time.Second
	// agentHeartbeatInterval is the interval between two heartbeats while the report does
	// not change. Rounds of the loop are four times as frequent during a transfer.
	agentHeartbeatInterval = 700 * time.Millisecond
	// linkDelayStep is the smallest change of the delay of the machine's link that is reported.
	linkDelayStep = 100 * time.Millisecond
	// findingsReportInterval is the interval between two heartbeats with rejected
	// parts of prompts.
	findingsReportInterval = 2 * time.Second
	// suspendFraction is the fraction of the bound of a named version for which a transfer
	// is suspended while the manifest of a newer version is read. A manifest is usually read
	// within 0.3 s, unless the origin is unavailable.
	suspendFraction = 0.1
	// agentTimelineEvents is the capacity of an agent's time line.
	agentTimelineEvents = 256
	// membersInterval is the interval at which a transfer reads the list of
	// agents, which is in memory.
	membersInterval = 500 * time.Millisecond
)

// agentLimits is tuned for contents of a few megabytes that all agents need
// within seconds.
var agentLimits = swarm.Limits{
	Pipeline: 5, RegionPipeline: 3, OriginPipeline: 3, MaxFetches: 6, MaxPerPeer: 1, DirectRegions: true, SlowFetchThreshold: 500 * time.Millisecond,
	AnnounceInterval: 200 * time.Millisecond, InitialSyncTimeout: 300 * time.Millisecond, QueryInterval: 300 * time.Millisecond,
	MinTakeoverDelay: 900 * time.Millisecond, MaxTakeoverDelay: 4 * time.Second,
	ProgressTimeout: 1500 * time.Millisecond, BusyBackoff: 60 * time.Millisecond,
	CorruptBackoff: 3 * time.Second, UnreachableBackoff: 2 * time.Second, OriginBackoff: 150 * time.Millisecond, OriginBackoffMax: 250 * time.Millisecond,
}

type (
	// agentRole is a running agent.
	agentRole struct {
		*process
		fleet      *fleet.Fleet
		stateSync  *stateSync
		heartbeats *heartbeat.Transport
		engine     mulberryspool.StagedEngine
		origin     *platform.Weights
		fetcher    *fetch.Fetcher
		uplink     *chunks.LinkLimiter
		// endpoint holds the jsonrpc2 connections to other agents.
		endpoint *rpc.Endpoint
		// wakeup starts the next round of the loop at once.
		wakeup chan struct{}

		// The fields below are used by the loop only.
		decider     swap.Decider
		engineState mulberryspool.EngineState
		// engineReachable is false while the model server does not answer.
		engineReachable bool
		// lastReport is the report sent last, at reportedAt.
		lastReport heartbeat.AgentReport
		reportedAt time.Time
		// deadlineReported is set if the last report said when the model server
		// stops accepting requests.
		deadlineReported bool
		// uploaded is the version that was uploaded completely to the model server and
		// not replaced since.
		uploaded int64
		// uploadedPieces holds the pieces of version uploading that the model
		// server has.
		uploadedPieces bitset.Set
		uploading      int64
		// lateWrites decides which versions may be written to the model server.
		lateWrites latewrites.Guard
		// nextNewestQuery is the earliest time of the next query for the origin's
		// newest version.
		nextNewestQuery time.Time

		// needsCopyEarly is set if the model server is among the first to swap to the
		// wanted version.
		needsCopyEarly atomic.Bool

		// findingsSentAt is when entries were last sent the rejected parts of prompts.
		findingsSentAt time.Time

		mu sync.Mutex
		// quarantine holds what entries report of parts of prompts.
		quarantine quarantine.Quarantine
		// manifests holds the manifest of each version that is staged or being fetched.
		manifests map[int64]mulberryspool.Manifest
		// doubted holds the digest of the manifest of each version that was dropped
		// because the origin's pieces don't match it.
		doubted map[int64]mulberryspool.Digest
		// staged is the newest version that the agent holds completely, since stagedAt.
		staged   int64
		stagedAt time.Time
		// fetching is the version being fetched since fetchBegan, 0 for none. cancelFetch
		// ends the transfer.
		fetching    int64
		fetchBegan  time.Time
		cancelFetch context.CancelFunc
		// kept is an older version whose transfer was replaced by the running one and can be
		// resumed, and keptShare its completed share; 0 for none.
		kept      int64
		keptShare float64
		// awaited is the version whose manifest is read, since awaitedAt, while another one
		// is being fetched; 0 for none. cancelAwait ends the read.
		awaited     int64
		awaitedAt   time.Time
		cancelAwait context.CancelFunc
	}
)

// Agent runs the agent role until the context ends.
func Agent(ctx context.Context, file SettingsFile, s settings.Settings, logs io.Writer) error {
	if s.Backend == "" || s.Pool == "" {
		return errors.New("settings name no model server")
	}
	p, err := newProcess(s, mulberryspool.RoleAgent, logs)
	if err != nil {
		return err
	}
	defer p.close()
	// Agents are identified by the IP address of their machine, because the store
	// holds only the addresses of model servers.
	p.identity.Instance = mulberryspool.InstanceID(s.Address)
	a := &agentRole{
		process: p, wakeup: make(chan struct{}, 1), manifests: make(map[int64]mulberryspool.Manifest), doubted: make(map[int64]mulberryspool.Digest),
		uplink: &chunks.LinkLimiter{Clock: p.clock, BytesPerSecond: int64(s.Limits.Link), LiveShare: uplinkLiveShare},
	}
	if !s.FirstStart {
		// An earlier incarnation of this agent may have sent one.
		a.lateWrites.PieceLost(0)
	}
	a.decider = swap.Decider{Self: p.identity.Instance, Bound: s.Bounds.NamedVersion}
	local := &http.Client{Timeout: engineTimeout, Transport: newTransport(2)}
	a.engine = &platform.ModelServer{Address: s.Backend, HTTP: local}
	a.buildFleet()
	toOrigin := newTransport(agentLimits.OriginPipeline)
	toOrigin.IdleConnTimeout = originIdleTimeout
	a.origin = &platform.Weights{
		Address: a.originAddress, PieceBytes: a.pieceBytes, Pieces: a.pieces,
		HTTP: &http.Client{Transport: toOrigin}, Clock: p.clock, Timeout: originTimeout,
	}
	limits := agentLimits
	// Holds until the configuration says otherwise.
	limits.OriginBytesPerSecond = int64(s.Limits.Link)
	control, err := listen(s.AgentControlAddress(s.Address))
	if err != nil {
		return err
	}
	content, err := listen(s.AgentChunksAddress(s.Address))
	if err != nil {
		return err
	}
	control = p.guard.ListenRaw(control, "calls", callsDescriptors)
	content = p.guard.Listen(sockets.LimitedBufferListener{Listener: content, BufferBytes: uploadBufferBytes}, "pieces", piecesDescriptors)
	conn, err := heartbeat.Listen(s.AgentHeartbeatAddress(s.Address))
	if err != nil {
		return err
	}
	a.heartbeats = &heartbeat.Transport{
		Conn: conn, Clock: p.clock, Logger: p.logger, Handle: a.handleHeartbeat,
		Self: heartbeat.Message{Role: mulberryspool.RoleAgent, Sender: s.Instance, FailureDomain: s.FailureDomain, Boot: p.boot},
	}
	hybridClock := &hlc.Clock{Wall: p.clock}
	endpoint := &rpc.Endpoint{Clock: p.clock, HLC: hybridClock, Handle: a.handle, MaxMessageBytes: maxCallBytes, Memory: p.memory}
	a.endpoint = endpoint
	a.fetcher = &fetch.Fetcher{
		Identity: p.identity, Clock: p.clock, Origin: a.origin, Instances: a, Endpoint: endpoint, Listener: content,
		Recorder: &timeline.Ring{Identity: p.identity, HLC: hybridClock, Capacity: agentTimelineEvents},
		Logger:   p.logger, Metrics: p.metrics, Seed: newRandom().Uint64(), Limits: limits,
		ListInterval: membersInterval, CallTimeout: peerCallTimeout, UploadSlots: uploadSlots,
		Uplink: a.uplink, OriginBytesPerSecond: a.originBytesPerSecond, Urgent: a.needsCopyEarly.Load, KeepSuperseded: true,
	}
	p.logger.Info().Str(logging.FieldStep, "start").Int64("boot", p.boot).Str("backend", s.Backend).Msg("process started")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { p.guard.Run(ctx); return nil })
	group.Go(func() error { a.fleet.Run(ctx); return nil })
	group.Go(func() error { return a.heartbeats.Run(ctx) })
	group.Go(func() error { return endpoint.Serve(ctx, control) })
	group.Go(func() error { return a.fetcher.Run(ctx) })
	group.Go(func() error { p.watchSettings(ctx, file); return nil })
	group.Go(func() error { return p.serveMetrics(ctx) })
	group.Go(func() error { a.loop(ctx); return nil })
	if !s.FirstStart {
		group.Go(func() error { a.readFromRegistered(ctx); return nil })
	}
	return group.Wait()
}

func (a *agentRole) buildFleet() {
	a.fleet = a.process.newFleet()
	a.fleet.ServersWatchPause, a.fleet.ConfigWatchPause = agentServersWatchPause, agentConfigWatchPause
	a.fleet.NamedVersionChanged = func(string, int64, time.Time) { a.wakeLoop() }
	// Agents get the store's objects from entries and watch the store only without
	// one. When every agent watched it, each configuration was sent to all of them
	// over the links between regions.
	started := a.clock.Now()
	a.fleet.Paused = func() bool {
		running := a.clock.Since(started)
		if running < startupEntryWait {
			return true
		}
		return a.fleet.HasSynced() && (running < startupStateTime || len(a.heartbeats.ActivePeers(mulberryspool.RoleEntry)) > 0)
	}
	a.stateSync = &stateSync{
		fleet: a.fleet, clock: a.clock, fetch: a.stateFetcher(a.fleet, agentStatePath), logger: a.logger,
		failureDomain: a.identity.FailureDomain, minInterval: agentStateInterval,
	}
}

// wakeLoop starts the next round of the loop at once.
func (a *agentRole) wakeLoop() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// handleHeartbeat updates the state from the heartbeats of entries.
func (a *agentRole) handleHeartbeat(m heartbeat.Message, from netip.AddrPort) {
	if m.Role == mulberryspool.RoleEntry {
		a.stateSync.handleHeartbeat(m, from)
		if m.Summary != nil {
			a.mu.Lock()
			a.quarantine.Merge(m.Sender, m.Summary.Findings, a.clock.Now())
			a.mu.Unlock()
		}
	}
}

// handle answers the calls of other agents.
func (a *agentRole) handle(m rpc.Message) {
	var answer any
	switch m.Method {
	case mulberryspool.MethodChunksHave:
		var params mulberryspool.ChunksHaveParams
		if err := m.Decode(&params); err != nil {
			_ = m.ReplyError(jsonrpc2.CodeInvalidParams, err.Error())
			return
		}
		answer = a.fetcher.ExchangeHave(params)
	case mulberryspool.MethodManifestFetch:
		var params mulberryspool.ManifestFetchParams
		if err := m.Decode(&params); err != nil {
			_ = m.ReplyError(jsonrpc2.CodeInvalidParams, err.Error())
			return
		}
		answer = a.cachedManifest(params.Version)
	default:
		_ = m.ReplyError(jsonrpc2.CodeMethodNotFound, "unknown method "+m.Method)
		return
	}
	if err := m.Reply(answer); err != nil {
		a.logger.Debug().Err(err).Str(logging.FieldStep, "answer "+m.Method).Msg("reply not sent")
	}
}

// cachedManifest returns the manifest of a version, or an empty one if the agent
// does not have it.
func (a *agentRole) cachedManifest(version string) mulberryspool.Manifest {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.manifests {
		if m.Version == version {
			return m
		}
	}
	return mulberryspool.Manifest{}
}

// Instances implements mulberryspool.InstanceList. It derives the agents from
// the pool's backend servers.
func (a *agentRole) Instances(context.Context) ([]mulberryspool.ListedInstance, error) {
	var rows []mulberryspool.ListedInstance
	for _, b := range a.fleet.State().Servers {
		if b.Pool != a.settings.Pool {
			continue
		}
		address, err := netip.ParseAddrPort(b.Address)
		if err != nil {
			// Not expected: rows with an invalid address are not merged.
			a.logger.Warn().Err(err).Str(logging.FieldPeer, string(b.Instance)).Msg("address of a backend server is invalid")
			continue
		}
		ip := address.Addr().String()
		rows = append(rows, mulberryspool.ListedInstance{
			Identity: mulberryspool.Identity{
				Instance: mulberryspool.InstanceID(ip), Role: mulberryspool.RoleAgent, Pool: b.Pool,
				FailureDomain: b.FailureDomain, Region: a.settings.RegionOf(b.FailureDomain),
				Control: a.settings.AgentControlAddress(ip), Chunks: a.settings.AgentChunksAddress(ip),
			},
			State: mulberryspool.InstanceLive,
		})
	}
	return rows, nil
}

func (a *agentRole) pool() mulberryspool.IngressPool {
	if i := a.fleet.State().Ingress; i != nil {
		return i.Pools[a.settings.Pool]
	}
	return mulberryspool.IngressPool{}
}

func (a *agentRole) originAddress() string { return a.originPool().Origin }

func (a *agentRole) originBytesPerSecond() int64 { return a.originPool().OriginBytesPerSecond }

// originPool returns the pool that serves weights.
func (a *agentRole) originPool() mulberryspool.IngressPool {
	if i := a.fleet.State().Ingress; i != nil {
		for _, p := range i.Pools {
			if p.Origin != "" {
				return p
			}
		}
	}
	return mulberryspool.IngressPool{}
}

func (a *agentRole) pieceBytes() int64 {
	if e := a.pool().Engine; e != nil {
		return e.ChunkBytes
	}
	return 0
}

func (a *agentRole) pieces() int {
	if e := a.pool().Engine; e != nil {
		return e.Chunks
	}
	return 0
}
