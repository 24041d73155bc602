// Package process runs an agent. One event loop owns two reducers: gate, which
// handles requests, and rollout, which handles versions. The process performs the
// effects that the reducers return and posts the results to the loop as events.
//
//	entries, agents --jsonrpc2--> loop --> gate    --> backend server
//	tables, instance list ------>      --> rollout --> object API, stager, engine
//	engine --loopback HTTP--> staged content
package process

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/gate"
	"github.com/mulberryspool/mulberryspool/internal/agent/rollout"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

// Defaults of the durations in Process.
const (
	// DefaultMaxOrderDelay limits the time from sending a load order until it
	// takes effect at the engine, over loopback.
	DefaultMaxOrderDelay = 5 * time.Second
	// DefaultHeartbeatInterval is the interval of heartbeats to other agents.
	DefaultHeartbeatInterval = time.Second
	// DefaultSuspicionTimeout is the time without a reply after which an agent is
	// suspected. Three heartbeats are lost in this time.
	DefaultSuspicionTimeout = 3 * time.Second
	// DefaultDeadTimeout is how long a listed agent must be unreachable on new
	// connections before it counts as dead.
	DefaultDeadTimeout = time.Minute
	// DefaultInstanceListPollInterval is the poll interval of the instance list.
	DefaultInstanceListPollInterval = 5 * time.Second
	// DefaultReportInterval is the poll interval of the backend server's load report.
	DefaultReportInterval = time.Second
	// DefaultReadBackTimeout limits one query of the weights that the engine serves.
	DefaultReadBackTimeout = 5 * time.Second
	// DefaultLoadTimeout limits one load order.
	DefaultLoadTimeout = 15 * time.Minute

	// tickInterval is the interval at which deadlines are checked, and so
	// the maximum delay until a passed deadline is noticed.
	tickInterval = 100 * time.Millisecond
	// callTimeout limits calls to the object API, to the backend server and
	// to other processes.
	callTimeout = 10 * time.Second
	// flushTimeout limits how long a leaving agent waits for entries to read
	// their answers, and for the release of its lease after that.
	flushTimeout = 2 * time.Second
	// eventQueueSize is the capacity of the loop's event queue. Senders block
	// while it is full, which applies backpressure to the backend server.
	eventQueueSize = 1024
)

type (
	// Process is an agent. The exported fields must be set before Run.
	Process struct {
		Identity mulberryspool.Identity
		Clock    mulberryspool.Clock
		// Backend is an Engine unless the pool is plain.
		Backend   mulberryspool.Backend
		Store     mulberryspool.ObjectStore
		Instances mulberryspool.InstanceList
		Tables    mulberryspool.TablesSource
		// Stager is nil for plain pools, and only for those.
		Stager   mulberryspool.Stager
		Recorder mulberryspool.Recorder
		Logger   zerolog.Logger
		Metrics  tally.Scope
		// Endpoint's Handle and Closed are set by Run.
		Endpoint *rpc.Endpoint
		// Control is the listener for entries and other agents; Run closes it.
		Control net.Listener
		// ContentListener is the listener of the HTTP server that the engine
		// reads staged content from; Run closes it. Its address must be a
		// loopback address. If nil, a free port of 127.0.0.1 is used.
		ContentListener net.Listener

		// Durations and limits that are 0 take the defaults of this package, of
		// package gate or of package rollout.
		AnswerRetention          time.Duration
		StartFreshness           time.Duration
		MaxBufferedBytes         int64
		MaxInFlight              int
		LeaseDuration            time.Duration
		MaxOrderDelay            time.Duration
		ReadBackInterval         time.Duration
		RetryInterval            time.Duration
		ReleaseAfter             time.Duration
		HeartbeatInterval        time.Duration
		SuspicionTimeout         time.Duration
		DeadTimeout              time.Duration
		InstanceListPollInterval time.Duration
		ReportInterval           time.Duration
		ReadBackTimeout          time.Duration
		LoadTimeout              time.Duration

		engine  mulberryspool.Engine
		started time.Time
		events  chan any
		// runCtx is cancelled when all requests have ended and Run returns.
		runCtx  context.Context
		tasks   sync.WaitGroup
		content *contentServer
		lease   leaseHolder

		// The fields below are accessed only by the event loop.
		requests       *gate.Gate
		rollout        *rollout.Rollout
		conns          map[*rpc.Conn]*connState
		connsByID      map[gate.ConnID]*rpc.Conn
		nextConn       gate.ConnID
		pendingCalls   map[gate.CallID]rpc.Message
		nextCall       gate.CallID
		requestCancels map[mulberryspool.RequestID]context.CancelFunc
		stagingCancels map[mulberryspool.Digest]context.CancelFunc
		readBacks      readBackBatcher
		peers          map[mulberryspool.InstanceID]*peerState
		listedAgents   map[mulberryspool.InstanceID]mulberryspool.ListedInstance
		members        []mulberryspool.InstanceID
		latestReport   mulberryspool.LoadReport
		reportedAt     time.Time
		inFlight       int
		leaving        bool
		drained        chan struct{}

		// loading is set while a load order is in progress.
		loading  atomic.Bool
		counters sync.Map
		statusMu sync.Mutex
		status   Status
	}

	// connState is the state of a connection from another process.
	connState struct {
		id       gate.ConnID
		identity mulberryspool.Identity
	}
)

// Run serves requests until the context is cancelled. Then it refuses new
// requests, completes those in flight and returns.
func (p *Process) Run(ctx context.Context) error {
	if err := p.prepare(); err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	p.runCtx = runCtx
	p.Endpoint.Handle = p.handle
	p.Endpoint.Closed = func(c *rpc.Conn) { p.post(connClosed{conn: c}) }
	p.record(mulberryspool.Event{Kind: mulberryspool.EventProcessStarted, Pool: p.Identity.Pool})

	failed := make(chan error, 2)
	serve := func(run func(context.Context) error) {
		p.tasks.Go(func() {
			if err := run(runCtx); err != nil {
				failed <- err
			}
		})
	}
	serve(func(ctx context.Context) error { return p.Endpoint.Serve(ctx, p.Control) })
	if p.content != nil {
		serve(p.content.serve)
	}
	p.watchTables()
	p.every(tickInterval, func() { p.post(tick{}) })
	p.every(p.HeartbeatInterval, func() { p.post(heartbeatTick{}) })
	p.every(p.InstanceListPollInterval, p.pollInstances)
	p.every(p.ReportInterval, p.pollLoadReport)

	loopDone := make(chan struct{})
	p.tasks.Go(func() {
		defer close(loopDone)
		p.loop()
	})
	var err error
	select {
	case <-ctx.Done():
		err = p.leave(failed)
	case err = <-failed:
	}
	stop()
	<-loopDone
	p.tasks.Wait()
	p.record(mulberryspool.Event{Kind: mulberryspool.EventProcessStopping, Pool: p.Identity.Pool, Detail: "stopped"})
	return err
}

// prepare validates the exported fields, sets defaults and initializes the rest.
func (p *Process) prepare() error {
	p.defaults()
	p.engine, _ = p.Backend.(mulberryspool.Engine)
	plain := p.Stager == nil
	if !plain && p.engine == nil {
		return mulberryspool.AtStep(errors.New("a stager is set, but the backend is not an engine"), "start agent", "")
	}
	if !plain {
		content, err := newContentServer(p.ContentListener, p.Stager)
		if err != nil {
			return err
		}
		p.content = content
	}
	p.started = p.Clock.Now()
	p.events = make(chan any, eventQueueSize)
	p.drained = make(chan struct{})
	p.conns = make(map[*rpc.Conn]*connState)
	p.connsByID = make(map[gate.ConnID]*rpc.Conn)
	p.pendingCalls = make(map[gate.CallID]rpc.Message)
	p.requestCancels = make(map[mulberryspool.RequestID]context.CancelFunc)
	p.stagingCancels = make(map[mulberryspool.Digest]context.CancelFunc)
	p.peers = make(map[mulberryspool.InstanceID]*peerState)
	p.listedAgents = make(map[mulberryspool.InstanceID]mulberryspool.ListedInstance)
	p.lease = leaseHolder{
		store: p.Store, clock: p.Clock, started: p.started, identity: p.Identity,
		duration: p.LeaseDuration, maxOrderDelay: p.MaxOrderDelay,
	}
	p.requests = gate.New(gate.Settings{
		Incarnation: p.Identity.Incarnation, Pool: p.Identity.Pool, ReadBack: !plain,
		AnswerRetention: p.AnswerRetention, StartFreshness: p.StartFreshness,
		MaxBufferedBytes: p.MaxBufferedBytes, MaxInFlight: p.MaxInFlight,
	})
	p.rollout = rollout.New(rollout.Settings{
		Instance: p.Identity.Instance, Pool: p.Identity.Pool, Plain: plain,
		ReadBackInterval: p.ReadBackInterval, RetryInterval: p.RetryInterval,
		ReleaseAfter: p.ReleaseAfter, LeaseDuration: p.LeaseDuration,
	})
	return nil
}

func (p *Process) defaults() {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&p.LeaseDuration, rollout.DefaultLeaseDuration},
		{&p.MaxOrderDelay, DefaultMaxOrderDelay},
		{&p.HeartbeatInterval, DefaultHeartbeatInterval},
		{&p.SuspicionTimeout, DefaultSuspicionTimeout},
		{&p.DeadTimeout, DefaultDeadTimeout},
		{&p.InstanceListPollInterval, DefaultInstanceListPollInterval},
		{&p.ReportInterval, DefaultReportInterval},
		{&p.ReadBackTimeout, DefaultReadBackTimeout},
		{&p.LoadTimeout, DefaultLoadTimeout},
	} {
		if *d.value <= 0 {
			*d.value = d.fallback
		}
	}
	if p.Metrics == nil {
		p.Metrics = tally.NoopScope
	}
}

// leave shuts down gracefully: it announces to the entries that the agent is
// leaving, waits until all requests have ended and the entries have read the
// answers, and releases the lease.
func (p *Process) leave(failed <-chan error) error {
	p.record(mulberryspool.Event{Kind: mulberryspool.EventProcessStopping, Pool: p.Identity.Pool})
	p.post(leave{})
	select {
	case <-p.drained:
	case err := <-failed:
		return err
	}
	flushCtx, cancel := context.WithTimeout(p.runCtx, flushTimeout)
	defer cancel()
	flushed := make(chan struct{})
	p.post(func() { p.flushEntries(flushCtx, flushed) })
	select {
	case <-flushed:
	case <-flushCtx.Done():
	}
	if !p.loading.Load() {
		// A load order in progress may still take effect, so the next
		// incarnation must wait until the lease expires.
		p.lease.release(flushCtx)
	}
	return nil
}

// every runs the function immediately and then at each interval.
func (p *Process) every(interval time.Duration, run func()) {
	p.tasks.Go(func() {
		ticker := p.Clock.NewTicker(interval)
		defer ticker.Stop()
		for {
			run()
			select {
			case <-ticker.Chan():
			case <-p.runCtx.Done():
				return
			}
		}
	})
}

// post sends an event to the loop. It blocks while the queue is full.
func (p *Process) post(event any) {
	select {
	case p.events <- event:
	case <-p.runCtx.Done():
	}
}

// now returns the agent time: the time since this agent started. It is
// monotonic and never compared with that of another process.
func (p *Process) now() time.Duration {
	return p.Clock.Since(p.started)
}
