// Package process runs the entry: it feeds the reducer with events, runs its
// effects and serves callers.
//
//	callers.Front --\                      /--> rpc connections to agents
//	rpc messages  ---+--> inbox --> Reducer ---> claims, exchanges, recorder
//	instance list --/                      \--> timer --> inbox
//
// One goroutine owns the reducer; everything else runs beside it and never
// holds it up.
package process

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/callers"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
	"github.com/mulberryspool/mulberryspool/internal/entry/deferred"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

// Defaults of a Process.
const (
	DefaultInstancePoll      = time.Second
	DefaultHeartbeatInterval = 2 * time.Second
	DefaultHeartbeatMaxAge   = 5 * time.Second
	// DefaultControlBudget is what a node may spend on control traffic, in bytes per second.
	DefaultControlBudget  = 2000
	DefaultDialTimeout    = 2 * time.Second
	DefaultStartTimeout   = 3 * time.Second
	DefaultSuspicionFloor = 250 * time.Millisecond
	DefaultSuspicionCap   = 3 * time.Second
	DefaultClaimTimeout   = 3 * time.Second
	DefaultGrace          = 5 * time.Second
	DefaultDrainTimeout   = 10 * time.Minute
	// heartbeatBytes is the size of a heartbeat with its answer; 520 to 580
	// bytes were measured with engines.
	heartbeatBytes = 650
	// outcomePoll spaces the looks at outcomes still to be recorded when stopping.
	outcomePoll = 20 * time.Millisecond
	// readHeaderTimeout bounds how long a caller may take for its headers.
	readHeaderTimeout = 10 * time.Second
)

type (
	// Process is one entry. Set the exported fields before Run; durations
	// that are 0 have the defaults above.
	Process struct {
		Identity  mulberryspool.Identity
		Clock     mulberryspool.Clock
		Store     mulberryspool.ObjectStore
		Instances mulberryspool.InstanceList
		Tables    mulberryspool.TablesSource
		// NewRouter and NewAdmission make the parts of a new pool.
		NewRouter    func(pool string) mulberryspool.Router
		NewAdmission func(pool string) mulberryspool.Admission
		Recorder     mulberryspool.Recorder
		Logger       zerolog.Logger
		Metrics      tally.Scope
		// Endpoint's Handle and Closed are set by Run.
		Endpoint *rpc.Endpoint
		// Callers accepts HTTP connections; Run closes it.
		Callers net.Listener
		// Claims is a claims.ShardedLog on Store when it is nil.
		Claims claims.Store
		// Dispatch bounds the reducer.
		Dispatch dispatch.Settings
		// MaxBody and MaxAnswer are in bytes.
		MaxBody   int64
		MaxAnswer int64

		// InstancePoll spaces the reads of the instance list.
		InstancePoll time.Duration
		// HeartbeatInterval is how long a connection is quiet before a
		// heartbeat is sent on it.
		HeartbeatInterval time.Duration
		// HeartbeatMaxAge bounds the age of an agent's state on a busy
		// connection. It must be below the agents' startFreshness.
		HeartbeatMaxAge time.Duration
		// ControlBudget, in bytes per second, lengthens HeartbeatInterval, up
		// to HeartbeatMaxAge, when there are many connections.
		ControlBudget int
		// DialTimeout bounds dialling and hello.
		DialTimeout time.Duration
		// StartTimeout bounds the wait for the reply to a start or resolve.
		StartTimeout time.Duration
		// SuspicionFloor and SuspicionCap bound the adaptive timeout after
		// which a connection counts as silent.
		SuspicionFloor time.Duration
		SuspicionCap   time.Duration
		// ClaimTimeout bounds the writing of a claim.
		ClaimTimeout time.Duration
		// Grace is how long callers are still served after readiness is withdrawn.
		Grace time.Duration
		// DrainTimeout bounds the wait for requests in flight when stopping.
		DrainTimeout time.Duration
		// DeferredScan spaces the scans for deferred submissions.
		DeferredScan time.Duration

		reducer   *dispatch.Reducer
		inbox     inbox
		exchanges exchanges
		peers     peers
		delays    delays
		queue     *deferred.Queue
		timer     oneTimer
		running   atomic.Bool
		confirmed atomic.Bool
		stopping  atomic.Bool
		stopped   chan struct{}
		ended     chan struct{}
		// outcomes counts the outcomes of claims being recorded.
		outcomes atomic.Int64
		// helpers counts the goroutines of calls and connections.
		helpers sync.WaitGroup
		// calls ends the helpers' contexts.
		calls context.Context
	}
)

// Run serves callers until the context ends, then stops gracefully: it
// withdraws readiness, serves on for Grace, lets requests in flight finish
// and returns.
func (p *Process) Run(ctx context.Context) error {
	p.prepare()
	calls, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()
	p.calls = calls

	var group errgroup.Group
	group.Go(func() error {
		p.loop(calls)
		return nil
	})
	group.Go(func() error {
		p.pollInstances(calls)
		return nil
	})
	group.Go(func() error { return p.queue.Run(ctx) })
	p.Tables.Subscribe(func(view mulberryspool.TablesView) {
		p.confirmed.Store(true)
		p.inbox.post(dispatch.TablesChanged{View: view})
	})

	server := &http.Server{Handler: p.front().Handler(), ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(p.Callers) }()
	p.record(mulberryspool.EventProcessStarted, "")

	var failure error
	select {
	case <-ctx.Done():
		p.drain(server)
	case err := <-served:
		failure = mulberryspool.AtStep(err, "serve callers", p.Callers.Addr().String())
		p.stopping.Store(true)
	}
	cancelCalls()
	p.Endpoint.Close()
	err := group.Wait()
	p.helpers.Wait()
	return errors.CombineErrors(failure, err)
}

// drain stops gracefully.
func (p *Process) drain(server *http.Server) {
	p.stopping.Store(true)
	p.record(mulberryspool.EventProcessStopping, "")
	p.Clock.Sleep(p.Grace)
	bound, cancel := context.WithCancel(context.Background())
	defer cancel()
	timeout := p.Clock.AfterFunc(p.DrainTimeout, cancel)
	defer timeout.Stop()
	// New requests on open connections are refused from here on.
	p.inbox.post(dispatch.Stop{})
	if err := server.Shutdown(bound); err != nil {
		p.Logger.Warn().Err(err).Str("step", "drain callers").Msg("callers were still connected at the end of the drain timeout")
		_ = server.Close()
	}
	select {
	case <-p.stopped:
	case <-bound.Done():
		p.Logger.Warn().Str("step", "drain requests").Msg("requests were still in flight at the end of the drain timeout")
	}
	// Outcomes wait for a group; one that is not recorded is learned from the agent later.
	end := p.Clock.Now().Add(claims.DefaultOutcomeDelay + p.ClaimTimeout)
	for p.outcomes.Load() > 0 && p.Clock.Now().Before(end) {
		p.Clock.Sleep(outcomePoll)
	}
}

// Ready reports whether the entry takes new requests.
func (p *Process) Ready() bool {
	return p.confirmed.Load() && !p.stopping.Load()
}

func (p *Process) prepare() {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&p.InstancePoll, DefaultInstancePoll},
		{&p.HeartbeatInterval, DefaultHeartbeatInterval},
		{&p.HeartbeatMaxAge, DefaultHeartbeatMaxAge},
		{&p.DialTimeout, DefaultDialTimeout},
		{&p.StartTimeout, DefaultStartTimeout},
		{&p.SuspicionFloor, DefaultSuspicionFloor},
		{&p.SuspicionCap, DefaultSuspicionCap},
		{&p.ClaimTimeout, DefaultClaimTimeout},
		{&p.Grace, DefaultGrace},
		{&p.DrainTimeout, DefaultDrainTimeout},
	} {
		if *d.value == 0 {
			*d.value = d.fallback
		}
	}
	if p.ControlBudget == 0 {
		p.ControlBudget = DefaultControlBudget
	}
	if p.Metrics == nil {
		p.Metrics = tally.NoopScope
	}
	if p.Claims == nil {
		p.Claims = &claims.ShardedLog{Objects: p.Store, Clock: p.Clock}
	}
	p.stopped, p.ended = make(chan struct{}), make(chan struct{})
	p.inbox.signal = make(chan struct{}, 1)
	p.exchanges.open = make(map[mulberryspool.RequestID]*callers.Exchange)
	p.peers.init()
	p.delays = delays{floor: p.SuspicionFloor, cap: p.SuspicionCap, domains: make(map[string]*delay)}
	p.reducer = &dispatch.Reducer{
		Self: p.Identity, Settings: p.Dispatch, NewRouter: p.NewRouter, NewAdmission: p.NewAdmission,
	}
	p.queue = &deferred.Queue{
		Self: p.Identity, Store: p.Store, Clock: p.Clock, Recorder: p.Recorder, Logger: p.Logger,
		Execute: p.execute, Serving: p.serving, ScanInterval: p.DeferredScan,
	}
	p.Endpoint.Handle = p.handle
	p.Endpoint.Closed = p.closed
	p.running.Store(true)
}

func (p *Process) front() *callers.Front {
	return &callers.Front{
		Submit:    p.submit,
		Leave:     p.leave,
		Stalled:   func(id mulberryspool.RequestID) { p.inbox.post(dispatch.CallerStalled{ID: id}) },
		Tables:    p.Tables.Current,
		Deferred:  p.queue,
		Clock:     p.Clock,
		Metrics:   p.Metrics,
		MaxBody:   p.MaxBody,
		MaxAnswer: p.MaxAnswer,
	}
}

func (p *Process) record(kind mulberryspool.EventKind, detail string) {
	if p.Recorder != nil {
		p.Recorder.Record(mulberryspool.Event{Kind: kind, Detail: detail})
	}
}
