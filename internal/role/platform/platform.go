// Package platform sets up what the entry and the agent have in common: the
// platform's clients, the tables follower and the admin listener.
//
//	settings --> New --> Clients --> Run (follower, admin listener)
package platform

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/KimMachineGun/automemlimit/memlimit"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/bodybudget"
	"github.com/mulberryspool/mulberryspool/internal/entry/callers"
	"github.com/mulberryspool/mulberryspool/internal/observe/admin"
	"github.com/mulberryspool/mulberryspool/internal/observe/hlc"
	"github.com/mulberryspool/mulberryspool/internal/observe/logging"
	"github.com/mulberryspool/mulberryspool/internal/observe/timeline"
	"github.com/mulberryspool/mulberryspool/internal/peer/httpguard"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
	"github.com/mulberryspool/mulberryspool/internal/platform/instancelist"
	"github.com/mulberryspool/mulberryspool/internal/platform/objectapi"
	"github.com/mulberryspool/mulberryspool/internal/platform/tables"
	"github.com/mulberryspool/mulberryspool/internal/settings/decode"
	"github.com/mulberryspool/mulberryspool/internal/settings/shared"
)

const (
	// startJitter is the maximum random delay of the first call to the object API,
	// so that processes that start together do not call it all at once.
	startJitter = time.Second
	// watchGrace is the time allowed for the response to a watch to arrive after
	// its deadline.
	watchGrace = 3 * time.Second
	// clientMemoryShare is the share of the memory that clients of all listeners may take.
	clientMemoryShare = 0.3
	// adminDescriptors is the share of the descriptors for connections to the admin server.
	adminDescriptors = 0.1
)

type (
	// Options configures the common parts of a process.
	Options struct {
		// Identity has no incarnation; New sets it.
		Identity  mulberryspool.Identity
		ObjectAPI shared.ObjectAPI
		Instances shared.InstanceList
		Tables    shared.Tables
		Telemetry shared.Telemetry
		// Memory and Descriptors are the settings of this name; 0 for what the operating system
		// allows.
		Memory      decode.Size
		Descriptors int
		// AlwaysWatch keeps a watch on the tables open; see tables.Follower.
		AlwaysWatch bool
		Logs        io.Writer
	}

	// Clients holds the platform's clients and the observability of a process.
	Clients struct {
		Identity  mulberryspool.Identity
		Clock     mulberryspool.Clock
		HLC       *hlc.Clock
		Random    *rand.Rand
		Endpoint  *rpc.Endpoint
		Store     *objectapi.Client
		Instances *instancelist.Client
		Tables    *tables.Follower
		Events    *timeline.Ring
		Logger    zerolog.Logger
		Metrics   tally.Scope
		// Guard bounds what clients of all listeners take.
		Guard *httpguard.Guard
		// Admin lacks Ready and Status, which the role sets.
		Admin *admin.Server

		closeMetrics io.Closer
	}
)

// New creates the clients of a process with a new incarnation.
func New(options Options) (*Clients, error) {
	identity := options.Identity
	identity.Incarnation = mulberryspool.Incarnation(uuid.NewString())
	logger, err := logging.New(options.Logs, identity, options.Telemetry.LogLevel)
	if err != nil {
		return nil, mulberryspool.AtStep(err, "set up logging", "")
	}
	clock := clockwork.NewRealClock()
	hybridClock := &hlc.Clock{Wall: clock}
	metrics, metricsHandler, closer := admin.NewMetrics(identity)
	c := &Clients{
		Identity: identity, Clock: clock, HLC: hybridClock, Logger: logger, Metrics: metrics,
		Random:       newRandom(),
		Endpoint:     &rpc.Endpoint{Clock: clock, HLC: hybridClock},
		Events:       &timeline.Ring{Identity: identity, HLC: hybridClock, Capacity: options.Telemetry.TimelineEvents},
		closeMetrics: closer,
	}
	caller := string(identity.Instance)
	c.Store = &objectapi.Client{
		BaseURL: options.ObjectAPI.URL, Caller: caller, Clock: clock, Random: newRandom(), Metrics: metrics,
		StartJitter:    startJitter,
		CallsPerSecond: options.ObjectAPI.CallsPerSecond, AttemptTimeout: options.ObjectAPI.Timeout,
		WatchTimeout: options.ObjectAPI.WatchDeadline,
	}
	c.Instances = &instancelist.Client{BaseURL: options.Instances.URL, Caller: caller, Clock: clock, Timeout: options.Instances.Timeout}
	c.Tables = &tables.Follower{
		Store: c.Store, Clock: clock, Identity: identity, InstanceList: c.Instances, Recorder: c.Events,
		AlwaysWatch: options.AlwaysWatch, WatchersPerDomain: options.Tables.WatchersPerDomain,
		PollInterval: options.Tables.PollInterval,
		// The store ends a watch itself. A follower that gives up before must read
		// all tables again.
		WatchDeadline: options.ObjectAPI.WatchDeadline + watchGrace,
	}
	c.Admin = &admin.Server{Metrics: metricsHandler, Events: c.Events}
	c.Guard = newGuard(options, clock, logger, metrics)
	return c, nil
}

// MachineMemory returns the memory in bytes that the control group of the process or, without a
// limit there, its machine has.
func MachineMemory() (uint64, error) {
	return memlimit.ApplyFallback(memlimit.FromCgroup, memlimit.FromSystem)()
}

// newGuard returns a guard whose budget is a share of the memory.
func newGuard(options Options, clock mulberryspool.Clock, logger zerolog.Logger, metrics tally.Scope) *httpguard.Guard {
	memory := uint64(options.Memory)
	if memory == 0 {
		var err error
		if memory, err = MachineMemory(); err != nil {
			logger.Warn().Err(err).Str(logging.FieldStep, "start").Msg("memory of the machine is not known, what clients take is not bounded")
		}
	}
	budget := &bodybudget.Budget{Limit: int64(clientMemoryShare * float64(memory))}
	guard := &httpguard.Guard{
		Clock: clock, Budget: budget, Logger: logger, Metrics: metrics, SetRefusal: callers.SetRefusal, Descriptors: options.Descriptors,
	}
	budget.MakeRoom = guard.MakeRoom
	return guard
}

// Run runs the role and returns its error. It serves the admin listener and
// follows the tables until the role has returned, so that a stopping process can
// still be observed.
func (c *Clients) Run(ctx context.Context, adminListener net.Listener, role func(ctx context.Context) error) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var group errgroup.Group
	group.Go(func() error {
		return c.Admin.Serve(background, c.Guard.Listen(adminListener, "admin", adminDescriptors))
	})
	group.Go(func() error {
		c.Guard.Run(background)
		return nil
	})
	group.Go(func() error { return c.Tables.Run(background) })
	c.Logger.Info().Str(logging.FieldStep, "start").Msg("process started")
	err := role(ctx)
	c.Logger.Info().Str(logging.FieldStep, "stop").Err(err).Msg("process stopped")
	stop()
	if backgroundErr := group.Wait(); err == nil {
		err = backgroundErr
	}
	c.Store.Close()
	c.Instances.Close()
	if closeErr := c.closeMetrics.Close(); err == nil {
		err = closeErr
	}
	return err
}

// WithStopTimeout wraps a role so that it returns an error if the role has not
// stopped within the timeout after the end of its context. Otherwise, a request
// that hangs at a backend server would keep the instance running.
func WithStopTimeout(clock mulberryspool.Clock, timeout time.Duration, role func(ctx context.Context) error) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		ended := make(chan error, 1)
		go func() { ended <- role(ctx) }()
		select {
		case err := <-ended:
			return err
		case <-ctx.Done():
		}
		select {
		case err := <-ended:
			return err
		case <-clock.After(timeout):
			return errors.Newf("requests are still in flight %v after the stop began", timeout)
		}
	}
}

// ControlBytes returns the bytes sent to and received from other processes of the
// system over jsonrpc2.
func (c *Clients) ControlBytes() int64 {
	traffic := c.Endpoint.Traffic()
	return traffic.BytesIn + traffic.BytesOut
}

// Listen opens one listener for each address, in order. If one cannot be opened,
// it closes the others.
func Listen(addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, 0, len(addresses))
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, opened := range listeners {
				opened.Close()
			}
			return nil, mulberryspool.AtStep(err, "listen", address)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// newRandom returns a randomly seeded generator, used for jitter and random choices.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
