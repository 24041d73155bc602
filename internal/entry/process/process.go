// Package process runs the entry: it passes events to the reducer, runs the
// reducer's effects and serves callers.
//
//	callers.Server --\                     /--> rpc connections to agents
//	rpc messages   ---+-> inbox --> Reducer ---> claims, responses, recorder
//	instance list  --/                     \--> timer --> inbox
//
// One goroutine owns the reducer. All I/O runs in other goroutines and never
// blocks it.
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
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/callerconns"
	"github.com/mulberryspool/mulberryspool/internal/entry/callers"
	"github.com/mulberryspool/mulberryspool/internal/entry/claims"
	"github.com/mulberryspool/mulberryspool/internal/entry/deferred"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
	"github.com/mulberryspool/mulberryspool/internal/peer/httpguard"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

// Defaults of Process.
const (
	DefaultInstancePollInterval = time.Second
	DefaultHeartbeatInterval    = 2 * time.Second
	DefaultHeartbeatMaxAge      = 5 * time.Second
	// DefaultControlBudget is the limit for a node's control traffic, in bytes
	// per second.
	DefaultControlBudget       = 2000
	DefaultDialTimeout         = 2 * time.Second
	DefaultStartTimeout        = 3 * time.Second
	DefaultMinSuspicionTimeout = 250 * time.Millisecond
	DefaultMaxSuspicionTimeout = 3 * time.Second
	DefaultClaimTimeout        = 3 * time.Second
	DefaultGracePeriod         = 5 * time.Second
	DefaultDrainTimeout        = 10 * time.Minute
	// heartbeatBytes is an upper estimate of the size of a heartbeat and its
	// reply; 520 to 580 bytes were measured with engines.
	heartbeatBytes = 650
	// outcomePollInterval is how often a stopping process checks whether
	// outcomes are still being recorded.
	outcomePollInterval = 20 * time.Millisecond
	// callersDescriptors is the share of the descriptors that connections of callers may use.
	callersDescriptors = 0.5
)

type (
	// Process is one entry. Set the exported fields before Run; durations
	// that are 0 are replaced by the defaults above.
	Process struct {
		Identity  mulberryspool.Identity
		Clock     mulberryspool.Clock
		Store     mulberryspool.ObjectStore
		Instances mulberryspool.InstanceList
		Tables    mulberryspool.TablesSource
		// NewRouter and NewAdmission are called once for each new pool.
		NewRouter    func(pool string) mulberryspool.Router
		NewAdmission func(pool string) mulberryspool.Admission
		Recorder     mulberryspool.Recorder
		Logger       zerolog.Logger
		Metrics      tally.Scope
		// Endpoint connects to agents; Run sets its Handle and Closed functions.
		Endpoint *rpc.Endpoint
		// CallerListener accepts the callers' HTTP connections; Run closes it.
		CallerListener net.Listener
		// Guard bounds what callers take, with its Budget; nil for no bounds. The caller of Run
		// runs it.
		Guard *httpguard.Guard
		// Claims is a claims.ShardedLog on Store if it is nil.
		Claims claims.Store
		// DispatchSettings holds the limits and timeouts of the reducer.
		DispatchSettings dispatch.Settings
		// MaxBody limits the body of a request, MaxAnswer the part of an
		// answer that is buffered for its caller, both in bytes.
		MaxBody   int64
		MaxAnswer int64

		// InstancePollInterval is the interval between reads of the instance list.
		InstancePollInterval time.Duration
		// HeartbeatInterval is how long a connection may be idle before a
		// heartbeat is sent on it.
		HeartbeatInterval time.Duration
		// HeartbeatMaxAge limits the age of an agent's state on a busy
		// connection. It must be less than the agents' startFreshness.
		HeartbeatMaxAge time.Duration
		// ControlBudget is the limit for heartbeats, in bytes per second. With
		// many connections HeartbeatInterval is lengthened, up to
		// HeartbeatMaxAge, to stay within it.
		ControlBudget int
		// DialTimeout limits dialling an agent and the hello exchange together.
		DialTimeout time.Duration
		// StartTimeout limits the wait for the reply to a start or resolve.
		StartTimeout time.Duration
		// MinSuspicionTimeout and MaxSuspicionTimeout are the bounds of the
		// adaptive timeout after which a connection counts as silent.
		MinSuspicionTimeout time.Duration
		MaxSuspicionTimeout time.Duration
		// ClaimTimeout limits the time for recording a claim.
		ClaimTimeout time.Duration
		// GracePeriod is how long new requests are still accepted after
		// readiness is withdrawn.
		GracePeriod time.Duration
		// DrainTimeout limits the wait for requests in flight when stopping.
		DrainTimeout time.Duration
		// DeferredScanInterval is the interval between scans for deferred
		// submissions.
		DeferredScanInterval time.Duration

		reducer         *dispatch.Reducer
		inbox           inbox
		responses       responses
		conns           agentConns
		delays          delayEstimator
		queue           *deferred.Queue
		encoding        encodingLimit
		timer           tickTimer
		prepared        atomic.Bool
		tablesConfirmed atomic.Bool
		stopping        atomic.Bool
		// reducerStopped is closed when a stopping reducer has no request left.
		reducerStopped chan struct{}
		loopEnded      chan struct{}
		// outcomesInProgress counts the claims whose outcome is being recorded.
		outcomesInProgress atomic.Int64
		// callGoroutines counts the goroutines of calls and connections.
		callGoroutines sync.WaitGroup
		// callContext is the parent of the contexts of calls and connections.
		callContext context.Context
	}
)

// Run serves callers until the context ends, then stops gracefully: it
// withdraws readiness, accepts requests for another GracePeriod, waits up to
// DrainTimeout for requests in flight and returns.
func (p *Process) Run(ctx context.Context) error {
	p.prepare()
	calls, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()
	p.callContext = calls

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
		p.tablesConfirmed.Store(true)
		p.inbox.post(dispatch.TablesChanged{View: view})
	})

	// The guard enforces the time limits of heads and idle connections.
	connections := &callerconns.Tracker{Listener: p.CallerListener, Clock: p.Clock, NoOvertime: true}
	listener := p.Guard.Listen(connections, "callers", callersDescriptors)
	server := &http.Server{Handler: p.closeWhenStopping(p.newServer().Handler()), ConnState: connections.Record}
	httpguard.Attach(server, listener)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	p.recordEvent(mulberryspool.EventProcessStarted, "")

	var failure error
	select {
	case <-ctx.Done():
		p.drain(server, connections, served)
	case err := <-served:
		failure = mulberryspool.AtStep(err, "serve callers", p.CallerListener.Addr().String())
		p.stopping.Store(true)
	}
	cancelCalls()
	p.Endpoint.Close()
	err := group.Wait()
	p.callGoroutines.Wait()
	return errors.CombineErrors(failure, err)
}

// closeWhenStopping ends the connections of requests that arrive in a stop after their answers.
func (p *Process) closeWhenStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// drain carries out the graceful stop that Run describes.
func (p *Process) drain(server *http.Server, connections *callerconns.Tracker, served <-chan error) {
	p.stopping.Store(true)
	p.recordEvent(mulberryspool.EventProcessStopping, "")
	p.Clock.Sleep(p.GracePeriod)
	bound, cancel := context.WithCancel(context.Background())
	defer cancel()
	timeout := p.Clock.AfterFunc(p.DrainTimeout, cancel)
	defer timeout.Stop()
	// From here on, new requests on open connections are refused.
	p.inbox.post(dispatch.Stop{})
	endBy := p.Clock.Now().Add(p.DrainTimeout)
	_ = connections.Close()
	// Connections that were accepted until then are known when Serve returns.
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		p.Logger.Warn().Err(err).Str("step", "drain callers").Msg("listener for callers failed")
	}
	if !connections.Drain(endBy) {
		p.Logger.Warn().Str("step", "drain callers").Msg("drain timeout expired; closing connections of callers")
	}
	_ = server.Close()
	select {
	case <-p.reducerStopped:
	case <-bound.Done():
		p.Logger.Warn().Str("step", "drain requests").Msg("drain timeout expired with requests in flight")
	}
	// Outcomes may wait to be written together with later claims. If one is not
	// recorded in time, a request that repeats the key gets it from the agent.
	end := p.Clock.Now().Add(claims.DefaultOutcomeDelay + p.ClaimTimeout)
	for p.outcomesInProgress.Load() > 0 && p.Clock.Now().Before(end) {
		p.Clock.Sleep(outcomePollInterval)
	}
}

// Ready reports whether the entry accepts new requests.
func (p *Process) Ready() bool {
	return p.tablesConfirmed.Load() && !p.stopping.Load()
}

func (p *Process) prepare() {
	for _, d := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&p.InstancePollInterval, DefaultInstancePollInterval},
		{&p.HeartbeatInterval, DefaultHeartbeatInterval},
		{&p.HeartbeatMaxAge, DefaultHeartbeatMaxAge},
		{&p.DialTimeout, DefaultDialTimeout},
		{&p.StartTimeout, DefaultStartTimeout},
		{&p.MinSuspicionTimeout, DefaultMinSuspicionTimeout},
		{&p.MaxSuspicionTimeout, DefaultMaxSuspicionTimeout},
		{&p.ClaimTimeout, DefaultClaimTimeout},
		{&p.GracePeriod, DefaultGracePeriod},
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
	if p.Guard == nil {
		p.Guard = &httpguard.Guard{Clock: p.Clock, Budget: &bodybudget.Budget{}, Logger: p.Logger, Metrics: p.Metrics}
	}
	p.encoding = newEncodingLimit(p.Guard.Budget.Limit)
	if p.Claims == nil {
		p.Claims = &claims.ShardedLog{Objects: p.Store, Clock: p.Clock}
	}
	p.reducerStopped, p.loopEnded = make(chan struct{}), make(chan struct{})
	p.inbox.signal = make(chan struct{}, 1)
	p.responses.open = make(map[mulberryspool.RequestID]*callers.ResponseBuffer)
	p.conns.init()
	p.delays = delayEstimator{minTimeout: p.MinSuspicionTimeout, maxTimeout: p.MaxSuspicionTimeout, domains: make(map[string]*delayEstimate)}
	p.reducer = &dispatch.Reducer{
		Self: p.Identity, Settings: p.DispatchSettings, NewRouter: p.NewRouter, NewAdmission: p.NewAdmission,
	}
	p.queue = &deferred.Queue{
		Self: p.Identity, Store: p.Store, Clock: p.Clock, Recorder: p.Recorder, Logger: p.Logger,
		Execute: p.executeDeferred, Serving: p.serving, ScanInterval: p.DeferredScanInterval,
	}
	p.Endpoint.Handle = p.handleMessage
	p.Endpoint.Closed = p.connectionClosed
	p.prepared.Store(true)
}

func (p *Process) newServer() *callers.Server {
	return &callers.Server{
		Submit:              p.submit,
		OnDisconnect:        p.callerDisconnected,
		OnBufferFull:        func(id mulberryspool.RequestID) { p.inbox.post(dispatch.CallerTooSlow{ID: id}) },
		Tables:              p.Tables.Current,
		Deferred:            p.queue,
		Bodies:              p.Guard.Budget,
		Clock:               p.Clock,
		Metrics:             p.Metrics,
		MaxBody:             p.MaxBody,
		MaxBufferedResponse: p.MaxAnswer,
	}
}

func (p *Process) recordEvent(kind mulberryspool.EventKind, detail string) {
	if p.Recorder != nil {
		p.Recorder.Record(mulberryspool.Event{Kind: kind, Detail: detail})
	}
}
