// Package process runs an agent: one event loop owns the gate and the
// rollout, and adapters run their effects and feed events back.
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

// Defaults of a Process's durations.
const (
	// DefaultMaxOrderDelay bounds the time from sending an order to its effect
	// at the engine, on loopback.
	DefaultMaxOrderDelay = 5 * time.Second
	// DefaultHeartbeatInterval spaces heartbeats to other agents.
	DefaultHeartbeatInterval = time.Second
	// DefaultSuspectAfter is three lost heartbeats.
	DefaultSuspectAfter = 3 * time.Second
	// DefaultDeadAfter is how long a listed agent must be unreachable on new
	// connections before it counts as dead.
	DefaultDeadAfter = time.Minute
	// DefaultInstancesInterval spaces readings of the instance list.
	DefaultInstancesInterval = 5 * time.Second
	// DefaultReportInterval spaces load reports from the backend server.
	DefaultReportInterval = time.Second
	// DefaultReadBackTimeout bounds one reading of the engine.
	DefaultReadBackTimeout = 5 * time.Second
	// DefaultLoadTimeout bounds one load order.
	DefaultLoadTimeout = 15 * time.Minute

	// tickInterval bounds how late a deadline is noticed.
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds calls to the object API and to other processes.
	callTimeout = 10 * time.Second
	// farewellTimeout bounds the wait for the peers of an agent that leaves.
	farewellTimeout = 2 * time.Second
	// queuedEvents bounds the events that wait for the loop. Senders wait
	// for room, which slows down reading from the backend server.
	queuedEvents = 1024
)

type (
	// Process is an agent. Set the exported fields before Run.
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
		// Control accepts connections from entries and agents; Run closes it.
		Control net.Listener
		// Content serves staged content to the engine; Run closes it. It must
		// listen on a loopback address; nil takes any free port of 127.0.0.1.
		Content net.Listener

		// Durations and bounds that are 0 take the defaults of this package,
		// of gate and of rollout.
		AnswerRetention   time.Duration
		StartFreshness    time.Duration
		MaxBufferedBytes  int64
		MaxConcurrent     int
		LeaseDuration     time.Duration
		MaxOrderDelay     time.Duration
		ReadBackInterval  time.Duration
		RetryInterval     time.Duration
		ReleaseAfter      time.Duration
		HeartbeatInterval time.Duration
		SuspectAfter      time.Duration
		DeadAfter         time.Duration
		InstancesInterval time.Duration
		ReportInterval    time.Duration
		ReadBackTimeout   time.Duration
		LoadTimeout       time.Duration

		engine  mulberryspool.Engine
		started time.Time
		events  chan any
		// running ends when all requests have ended and Run returns.
		running context.Context
		tasks   sync.WaitGroup
		content *contentServer
		lease   leaseHolder

		// The fields below belong to the loop.
		gate     *gate.Gate
		rollout  *rollout.Rollout
		conns    map[*rpc.Conn]*connState
		byID     map[gate.ConnID]*rpc.Conn
		nextConn gate.ConnID
		calls    map[gate.CallID]rpc.Message
		nextCall gate.CallID
		cancels  map[mulberryspool.RequestID]context.CancelFunc
		stages   map[mulberryspool.Digest]context.CancelFunc
		readings readings
		peers    map[mulberryspool.InstanceID]*peerLink
		listed   map[mulberryspool.InstanceID]mulberryspool.ListedInstance
		members  []mulberryspool.InstanceID
		report   mulberryspool.LoadReport
		reported time.Time
		inFlight int
		leaving  bool
		drained  chan struct{}

		// loading is set while an order is under way.
		loading  atomic.Bool
		counters sync.Map
		statusMu sync.Mutex
		status   Status
	}

	// connState is what the loop knows of a connection from another process.
	connState struct {
		id       gate.ConnID
		identity mulberryspool.Identity
	}
)

// Run serves until the context ends; then it takes no new work, finishes all
// requests in flight and returns.
func (p *Process) Run(ctx context.Context) error {
	if err := p.prepare(); err != nil {
		return err
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	p.running = running
	p.Endpoint.Handle = p.handle
	p.Endpoint.Closed = func(c *rpc.Conn) { p.post(connClosed{conn: c}) }
	p.record(mulberryspool.Event{Kind: mulberryspool.EventProcessStarted, Pool: p.Identity.Pool})

	failed := make(chan error, 2)
	serve := func(run func(context.Context) error) {
		p.tasks.Go(func() {
			if err := run(running); err != nil {
				failed <- err
			}
		})
	}
	serve(func(ctx context.Context) error { return p.Endpoint.Serve(ctx, p.Control) })
	if p.content != nil {
		serve(p.content.serve)
	}
	p.followTables()
	p.every(tickInterval, func() { p.post(tick{}) })
	p.every(p.HeartbeatInterval, func() { p.post(beat{}) })
	p.every(p.InstancesInterval, p.readInstances)
	p.every(p.ReportInterval, p.readReport)

	looped := make(chan struct{})
	p.tasks.Go(func() {
		defer close(looped)
		p.loop()
	})
	var err error
	select {
	case <-ctx.Done():
		err = p.leave(failed)
	case err = <-failed:
	}
	stop()
	<-looped
	p.tasks.Wait()
	p.record(mulberryspool.Event{Kind: mulberryspool.EventProcessStopping, Pool: p.Identity.Pool, Detail: "stopped"})
	return err
}

// prepare checks the fields and fills in the defaults.
func (p *Process) prepare() error {
	p.defaults()
	p.engine, _ = p.Backend.(mulberryspool.Engine)
	plain := p.Stager == nil
	if !plain && p.engine == nil {
		return mulberryspool.AtStep(errors.New("a stager needs a backend that is an engine"), "start agent", "")
	}
	if !plain {
		content, err := newContentServer(p.Content, p.Stager)
		if err != nil {
			return err
		}
		p.content = content
	}
	p.started = p.Clock.Now()
	p.events = make(chan any, queuedEvents)
	p.drained = make(chan struct{})
	p.conns = make(map[*rpc.Conn]*connState)
	p.byID = make(map[gate.ConnID]*rpc.Conn)
	p.calls = make(map[gate.CallID]rpc.Message)
	p.cancels = make(map[mulberryspool.RequestID]context.CancelFunc)
	p.stages = make(map[mulberryspool.Digest]context.CancelFunc)
	p.peers = make(map[mulberryspool.InstanceID]*peerLink)
	p.listed = make(map[mulberryspool.InstanceID]mulberryspool.ListedInstance)
	p.lease = leaseHolder{
		store: p.Store, clock: p.Clock, started: p.started, identity: p.Identity,
		duration: p.LeaseDuration, maxOrderDelay: p.MaxOrderDelay,
	}
	p.gate = gate.New(gate.Settings{
		Incarnation: p.Identity.Incarnation, Pool: p.Identity.Pool, ReadBack: !plain,
		AnswerRetention: p.AnswerRetention, StartFreshness: p.StartFreshness,
		MaxBufferedBytes: p.MaxBufferedBytes, MaxConcurrent: p.MaxConcurrent,
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
		{&p.SuspectAfter, DefaultSuspectAfter},
		{&p.DeadAfter, DefaultDeadAfter},
		{&p.InstancesInterval, DefaultInstancesInterval},
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

// leave announces that this agent leaves, waits for its requests and for the
// entries to have read their answers.
func (p *Process) leave(failed <-chan error) error {
	p.record(mulberryspool.Event{Kind: mulberryspool.EventProcessStopping, Pool: p.Identity.Pool})
	p.post(leave{})
	select {
	case <-p.drained:
	case err := <-failed:
		return err
	}
	farewell, cancel := context.WithTimeout(p.running, farewellTimeout)
	defer cancel()
	said := make(chan struct{})
	p.post(func() { p.farewell(farewell, said) })
	select {
	case <-said:
	case <-farewell.Done():
	}
	if !p.loading.Load() {
		// The order of a load under way may still take effect, so the
		// successor has to wait for it.
		p.lease.release(farewell)
	}
	return nil
}

// every runs the function at once and then at each interval.
func (p *Process) every(interval time.Duration, run func()) {
	p.tasks.Go(func() {
		ticker := p.Clock.NewTicker(interval)
		defer ticker.Stop()
		for {
			run()
			select {
			case <-ticker.Chan():
			case <-p.running.Done():
				return
			}
		}
	})
}

// post hands an event to the loop. It waits for room in the queue.
func (p *Process) post(event any) {
	select {
	case p.events <- event:
	case <-p.running.Done():
	}
}

// now is the agent's time: it only rises and is never compared with that of
// another process.
func (p *Process) now() time.Duration {
	return p.Clock.Since(p.started)
}
