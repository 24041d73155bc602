package hosted

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/bitset"
	"github.com/mulberryspool/mulberryspool/internal/agent/fetch"
	"github.com/mulberryspool/mulberryspool/internal/agent/swap"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/observe/timeline"
	"github.com/mulberryspool/mulberryspool/internal/peer/beat"
	"github.com/mulberryspool/mulberryspool/internal/peer/chunks"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
	"github.com/mulberryspool/mulberryspool/internal/peer/sockets"
	"github.com/mulberryspool/mulberryspool/internal/platform/fleet"
	settings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
	"github.com/mulberryspool/mulberryspool/platform"
)

const (
	// reportInterval is how often the model server on the same machine is
	// asked for its state, which costs nothing there.
	reportInterval = 250 * time.Millisecond
	// startingInterval is the same while the model server does not answer.
	startingInterval = 100 * time.Millisecond
	// loadingInterval is the same while an order is in progress.
	loadingInterval = 60 * time.Millisecond
	// engineTimeout bounds one call to the model server.
	engineTimeout = 2 * time.Second
	// originTimeout bounds one piece or manifest from the origin, whose link
	// carries about forty pieces a second for all agents.
	originTimeout = 4 * time.Second
	// uploadSlots and uploadQueue bound what waits on the machine's link before
	// the model server's events, which share it: 32 KB take 35 ms there, and an
	// event is late after 120 ms.
	uploadSlots = 2
	uploadQueue = 16 << 10
	// uplinkLiveShare is the part of the link that uploads leave to the model
	// server's events.
	uplinkLiveShare = 0.35
	// idleUplink is the part of the link that uploads may take beside a model
	// server that does not serve.
	idleUplink = 0.95
	// piecesPerRound bounds the pieces that are given to the model server in
	// one round, so that the agent still looks often enough.
	piecesPerRound = 8
	// manifestFirstRetry is the mean pause after the first try to read a
	// manifest; the agent that was asked is usually just reading it. It doubles
	// up to manifestRetry.
	manifestFirstRetry = 40 * time.Millisecond
	manifestRetry      = 300 * time.Millisecond
	// originIdle is how long a connection to the origin is kept. The origin
	// takes fewer connections than there are agents, and keeps those of agents
	// that have lost power.
	originIdle = 500 * time.Millisecond
	// newestRetry is the time between two questions for the newest version.
	newestRetry = time.Second
	// agentStateRest is the least time between two readings of an entry's beliefs.
	agentStateRest = 700 * time.Millisecond
	// entriesFirst is how long an agent that starts waits for an entry to tell
	// it what the store says.
	entriesFirst = 800 * time.Millisecond
	// agentServersRearm and agentConfigRearm are the pauses between watches of
	// what an agent needs less urgently than an entry.
	agentServersRearm = 1500 * time.Millisecond
	agentConfigRearm  = 2 * time.Second
	// heartbeatTicks is the number of reports between two beats without news.
	heartbeatTicks = 3
	// agentEvents bounds the time line of an agent.
	agentEvents = 256
	// membersInterval is how often the transfer looks at the members, which
	// are in memory.
	membersInterval = 500 * time.Millisecond
)

// agentLimits fit contents of a few megabytes that are due everywhere within seconds.
var agentLimits = swarm.Limits{
	Pipeline: 4, RegionPipeline: 3, OriginPipeline: 3, Total: 5, SlowFetch: 250 * time.Millisecond,
	TellInterval: 200 * time.Millisecond, StartWait: 300 * time.Millisecond, ProbeWait: 300 * time.Millisecond,
	TakeoverShortest: 700 * time.Millisecond, TakeoverLongest: 4 * time.Second,
	ProgressTimeout: 1500 * time.Millisecond, BusyWait: 60 * time.Millisecond,
	AvoidFor: 3 * time.Second, SuspectFor: 2 * time.Second, OriginRetry: 150 * time.Millisecond, OriginRetryMax: 250 * time.Millisecond,
}

type (
	// agentRole is a running agent.
	agentRole struct {
		*parts
		fleet   *fleet.Fleet
		beliefs *beliefs
		link    *beat.Link
		engine  mulberryspool.StagedEngine
		origin  *platform.Weights
		fetcher *fetch.Fetcher
		uplink  *chunks.Link
		// endpoint exchanges calls with other agents.
		endpoint *rpc.Endpoint
		// wake makes the loop look at once.
		wake chan struct{}

		// The fields below are used by the loop only.
		decider swap.Decider
		state   mulberryspool.EngineState
		// known is false while the model server does not answer.
		known  bool
		beaten beat.Served
		quiet  int
		// closing is set once the entries know when the server takes nothing new.
		closing bool
		// laid is the version whose pieces the model server was given last,
		// completely.
		laid int64
		// laidPieces are those of laying that were given to the model server.
		laidPieces bitset.Set
		laying     int64
		// askNewest is when the origin may be asked for its newest version again.
		askNewest time.Time

		mu sync.Mutex
		// manifests holds the manifest of each version that is here or on its way.
		manifests map[int64]mulberryspool.Manifest
		// complete is the newest version that is here completely, since completeAt.
		complete   int64
		completeAt time.Time
		// fetching is the version on its way, with the end of its transfer.
		fetching int64
		cancel   context.CancelFunc
	}
)

// Agent runs the agent role until the context ends.
func Agent(ctx context.Context, file string, s settings.Settings, logs io.Writer) error {
	if s.Backend == "" || s.Pool == "" {
		return errors.New("settings name no model server")
	}
	p, err := newParts(s, mulberryspool.RoleAgent, logs)
	if err != nil {
		return err
	}
	defer p.close()
	// Agents know each other by the machine, because all that the store says
	// of a model server is its address.
	p.identity.Instance = mulberryspool.InstanceID(s.Address)
	a := &agentRole{
		parts: p, wake: make(chan struct{}, 1), manifests: make(map[int64]mulberryspool.Manifest),
		uplink: &chunks.Link{Clock: p.clock, BytesPerSecond: int64(s.Limits.Link), LiveShare: uplinkLiveShare},
	}
	a.decider = swap.Decider{Self: p.identity.Instance, Bound: s.Bounds.NamedVersion}
	local := &http.Client{Timeout: engineTimeout, Transport: &http.Transport{
		DialContext: sockets.Dialer{}.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 2,
	}}
	a.engine = &platform.ModelServer{Address: s.Backend, HTTP: local}
	a.buildFleet()
	a.origin = &platform.Weights{Address: a.originAddress, Piece: a.pieceBytes, HTTP: &http.Client{
		Timeout: originTimeout, Transport: &http.Transport{
			DialContext: sockets.Dialer{}.DialContext, DisableCompression: true, MaxIdleConnsPerHost: agentLimits.OriginPipeline, IdleConnTimeout: originIdle,
		},
	}}
	limits := agentLimits
	// The origin's link is as wide as an agent's own on this platform.
	limits.OriginBytesPerSecond = int64(s.Limits.Link)
	control, err := listen(s.AgentControl(s.Address))
	if err != nil {
		return err
	}
	content, err := listen(s.AgentChunks(s.Address))
	if err != nil {
		return err
	}
	content = sockets.ShortQueue{Listener: content, Bytes: uploadQueue}
	conn, err := beat.Listen(s.AgentBeat(s.Address))
	if err != nil {
		return err
	}
	a.link = &beat.Link{
		Conn: conn, Clock: p.clock, Logger: p.logger, Received: a.heard,
		Self: beat.Message{Role: mulberryspool.RoleAgent, Node: s.Instance, Domain: s.FailureDomain, Boot: p.boot},
	}
	stamps := &hlc.Clock{Wall: p.clock}
	endpoint := &rpc.Endpoint{Clock: p.clock, Stamps: stamps, Handle: a.handle}
	a.endpoint = endpoint
	a.fetcher = &fetch.Fetcher{
		Identity: p.identity, Clock: p.clock, Origin: a.origin, Instances: a, Endpoint: endpoint, Listener: content,
		Recorder: &timeline.Ring{Identity: p.identity, Stamps: stamps, Capacity: agentEvents},
		Logger:   p.logger, Metrics: p.metrics, Seed: newRandom().Uint64(), Limits: limits,
		ListInterval: membersInterval, CallTimeout: peerCallTimeout, UploadSlots: uploadSlots,
		Uplink: a.uplink,
	}
	p.logger.Info().Str(logging.FieldStep, "start").Int64("boot", p.boot).Str("backend", s.Backend).Msg("process started")
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { a.fleet.Run(ctx); return nil })
	group.Go(func() error { return a.link.Run(ctx) })
	group.Go(func() error { return endpoint.Serve(ctx, control) })
	group.Go(func() error { return a.fetcher.Run(ctx) })
	group.Go(func() error { p.followSettings(ctx, file, func(settings.Settings) {}); return nil })
	group.Go(func() error { return p.serveMetrics(ctx) })
	group.Go(func() error { a.loop(ctx); return nil })
	return group.Wait()
}

func (a *agentRole) buildFleet() {
	a.fleet = a.parts.fleet()
	a.fleet.ServersRearm, a.fleet.ConfigRearm = agentServersRearm, agentConfigRearm
	a.fleet.NamedChanged = func(string, int64, time.Time) { a.look() }
	// Entries tell agents what the store says. With each agent watching it,
	// every configuration went to all of them over the links between regions.
	started := a.clock.Now()
	a.fleet.Rests = func() bool {
		if a.clock.Since(started) < entriesFirst {
			return true
		}
		return a.fleet.Known() && len(a.link.Heard(mulberryspool.RoleEntry)) > 0
	}
	a.beliefs = &beliefs{
		fleet: a.fleet, clock: a.clock, fetch: a.stateFrom(agentStatePath), logger: a.logger,
		domain: a.identity.FailureDomain, rest: agentStateRest,
	}
}

// look wakes the loop.
func (a *agentRole) look() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// heard takes in a beat and answers an entry that may not know this agent.
func (a *agentRole) heard(m beat.Message, from netip.AddrPort) {
	if m.Role == mulberryspool.RoleEntry {
		a.beliefs.heard(m, from)
	}
}

// handle answers other agents.
func (a *agentRole) handle(m rpc.Message) {
	var answer any
	switch m.Method {
	case mulberryspool.MethodChunksHave:
		var params mulberryspool.ChunksHaveParams
		if err := m.Decode(&params); err != nil {
			_ = m.ReplyError(jsonrpc2.CodeInvalidParams, err.Error())
			return
		}
		answer = a.fetcher.Have(params)
	case mulberryspool.MethodManifestFetch:
		var params mulberryspool.ManifestFetchParams
		if err := m.Decode(&params); err != nil {
			_ = m.ReplyError(jsonrpc2.CodeInvalidParams, err.Error())
			return
		}
		answer = a.knownManifest(params.Version)
	default:
		_ = m.ReplyError(jsonrpc2.CodeMethodNotFound, "unknown method "+m.Method)
		return
	}
	if err := m.Reply(answer); err != nil {
		a.logger.Debug().Err(err).Str(logging.FieldStep, "answer "+m.Method).Msg("answer not sent")
	}
}

// knownManifest returns the manifest with the version's name, an empty one if
// it is not here.
func (a *agentRole) knownManifest(version string) mulberryspool.Manifest {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range a.manifests {
		if m.Version == version {
			return m
		}
	}
	return mulberryspool.Manifest{}
}

// Instances implements mulberryspool.InstanceList from the list of servers.
func (a *agentRole) Instances(context.Context) ([]mulberryspool.ListedInstance, error) {
	var rows []mulberryspool.ListedInstance
	for _, b := range a.fleet.State().Servers {
		if b.Pool != a.settings.Pool {
			continue
		}
		address, err := netip.ParseAddrPort(b.Address)
		if err != nil {
			// The decoder has checked it.
			return nil, errors.Wrapf(err, "address of %s", b.Instance)
		}
		ip := address.Addr().String()
		rows = append(rows, mulberryspool.ListedInstance{
			Identity: mulberryspool.Identity{
				Instance: mulberryspool.InstanceID(ip), Role: mulberryspool.RoleAgent, Pool: b.Pool,
				FailureDomain: b.FailureDomain, Region: a.settings.RegionOf(b.FailureDomain),
				Control: a.settings.AgentControl(ip), Chunks: a.settings.AgentChunks(ip),
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

func (a *agentRole) originAddress() string {
	if i := a.fleet.State().Ingress; i != nil {
		for _, p := range i.Pools {
			if p.Origin != "" {
				return p.Origin
			}
		}
	}
	return ""
}

func (a *agentRole) pieceBytes() int64 {
	if e := a.pool().Engine; e != nil {
		return e.ChunkBytes
	}
	return 0
}
