// Package fetch downloads the chunks of a version into an agent's memory and
// serves them to other agents.
//
//	Stage --> events --> swarm.Planner --> effects --> chunks.Client, Origin, WeightStore, chunks.have
//	            ^                                           |
//	            \------------- staging.Store <--------------/
//	                                \--> chunks.Server --> other agents
//
// One goroutine owns the planner. Each fetch runs in a goroutine of its own, puts
// the verified chunk into the store and reports the result as an event.
package fetch

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
	"github.com/mulberryspool/mulberryspool/internal/agent/linkdelay"
	"github.com/mulberryspool/mulberryspool/internal/agent/staging"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
	"github.com/mulberryspool/mulberryspool/internal/peer/chunks"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

const (
	// DefaultListInterval is the polling interval of the instance list during a
	// transfer.
	DefaultListInterval = 5 * time.Second
	// DefaultCallTimeout limits one chunks.have call, including dialing.
	DefaultCallTimeout = 2 * time.Second
	// DefaultConnections limits the open control connections to other agents.
	DefaultConnections = 32
	// idleIntervalFactor multiplies the polling interval while no transfer is
	// running.
	idleIntervalFactor = 6
	// eventQueueSize limits the events that wait for the planner.
	eventQueueSize = 4096
	// maxEventBatch limits the events that the planner processes in one step.
	maxEventBatch = 64
)

var (
	// ErrSuperseded is the result of a Stage whose manifest was replaced by that of a
	// later call.
	ErrSuperseded = errors.New("transfer was superseded by another version")
	// ErrDoubted is the result of a Stage whose manifest names another digest for a chunk
	// than the origin has sent twice. The manifest itself may have been spoilt.
	ErrDoubted = errors.New("content at the origin does not match the manifest")
)

type (
	// Fetcher implements mulberryspool.Stager. Set the exported fields before the
	// first call; those marked optional may be left zero.
	Fetcher struct {
		// Identity is the agent's own identity. The instance list that other agents read
		// must contain it, with the addresses of Listener and of the control listener of
		// the process.
		Identity mulberryspool.Identity
		Clock    mulberryspool.Clock
		Origin   mulberryspool.Origin
		// WeightStore is optional. It is read while the origin does not answer.
		WeightStore mulberryspool.WeightStore
		Instances   mulberryspool.InstanceList
		// Endpoint opens the connections for chunks.have calls. The owner of the
		// endpoint passes incoming chunks.have calls to ExchangeHave.
		Endpoint *rpc.Endpoint
		// Listener accepts requests for chunks from other agents; Run closes it.
		Listener net.Listener
		// Recorder receives the events about corrupt chunks.
		Recorder mulberryspool.Recorder
		// OriginBytesPerSecond returns the bandwidth of the origin's link when a transfer
		// begins, 0 for that in Limits; nil for always.
		OriginBytesPerSecond func() int64
		// Logger and Metrics are optional.
		Logger  zerolog.Logger
		Metrics tally.Scope
		// Seed makes the random choices reproducible.
		Seed uint64
		// Limits configures the planner.
		Limits swarm.Limits
		// StagingBytes limits the chunks in memory; 0 means staging.DefaultLimitBytes.
		StagingBytes int64
		// UploadSlots limits the concurrent uploads; 0 means chunks.DefaultSlots.
		UploadSlots int
		// QueueWait limits the wait for an upload slot; 0 means chunks.DefaultQueueWait.
		QueueWait time.Duration
		// Uplink and Downlink limit the rate of transfers on the machine's link; nil
		// means no limit.
		Uplink, Downlink chunks.Limiter
		// LinkDelay observes the fetches from other agents.
		LinkDelay linkdelay.Delay
		// Urgent reports whether other agents should serve this one first; nil for never.
		Urgent func() bool
		// RegionLink returns the rate limit of fetches from another region to the local
		// one, such as RegionLimiters.Limiter of package chunks; nil means no limit.
		RegionLink func(from string) chunks.Limiter
		// KeepSuperseded keeps the chunks of a transfer that was replaced by the running one,
		// for other agents and for a later Stage of its manifest. Release drops them.
		KeepSuperseded bool
		// ListInterval is the polling interval of the instance list during a transfer; 0
		// means DefaultListInterval.
		ListInterval time.Duration
		// CallTimeout limits one call to another agent; 0 means DefaultCallTimeout.
		CallTimeout time.Duration
		// Connections limits the open control connections, and the idle connections for
		// chunks; 0 means DefaultConnections.
		Connections int

		once         sync.Once
		store        *staging.Store
		client       *chunks.Client
		events       chan swarm.Event
		planner      *swarm.Planner
		controlConns connPool
		// transferStarted triggers a read of the instance list.
		transferStarted chan struct{}
		stopped         chan struct{}
		tasks           sync.WaitGroup

		// readsOrigin and unavailable are what the planner reported last.
		readsOrigin, unavailable atomic.Bool

		// cancels is used only by the goroutine of loop.
		cancels map[swarm.Attempt]context.CancelFunc

		// stageMu keeps the events of Stage and Release in order. Lock it before mu. The
		// loop never locks it, so it may be held while sending an event to the loop.
		stageMu sync.Mutex

		mu        sync.Mutex
		instances map[mulberryspool.InstanceID]mulberryspool.ListedInstance
		transfer  *transfer
	}

	// transfer is the state of one manifest passed to Stage.
	transfer struct {
		manifest mulberryspool.Manifest
		done     chan struct{}
		err      error
		// suspended is set while no fetch is started.
		suspended bool
		progress  progress
		// mismatches holds the digest of what the origin has sent last in place of a chunk.
		mismatches map[mulberryspool.Digest]mulberryspool.Digest
	}
)

// Run serves chunks and runs transfers until the context ends.
func (f *Fetcher) Run(ctx context.Context) error {
	f.prepare()
	group, ctx := errgroup.WithContext(ctx)
	server := &chunks.Server{Get: f.store.Get, ExchangeHave: f.ExchangeHave, Uplink: f.Uplink, Slots: f.UploadSlots, QueueWait: f.QueueWait, Clock: f.Clock}
	group.Go(func() error { return server.Serve(ctx, f.Listener) })
	group.Go(func() error { f.pollInstances(ctx); return nil })
	group.Go(func() error { f.loop(ctx); return nil })
	err := group.Wait()
	close(f.stopped)
	f.tasks.Wait()
	f.controlConns.closeAll()
	f.client.HTTP.CloseIdleConnections()
	return err
}

// prepare sets defaults and creates the internal state on first use. Stage and
// ExchangeHave may be called before Run.
func (f *Fetcher) prepare() {
	f.once.Do(func() {
		if f.Metrics == nil {
			f.Metrics = tally.NoopScope
		}
		if f.ListInterval == 0 {
			f.ListInterval = DefaultListInterval
		}
		if f.CallTimeout == 0 {
			f.CallTimeout = DefaultCallTimeout
		}
		if f.Connections == 0 {
			f.Connections = DefaultConnections
		}
		f.store = &staging.Store{LimitBytes: f.StagingBytes}
		f.client = &chunks.Client{Downlink: f.Downlink, HTTP: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: f.CallTimeout}).DialContext,
			MaxIdleConnsPerHost: f.Limits.WithDefaults().MaxPerPeer,
			MaxIdleConns:        f.Connections,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}}}
		f.events = make(chan swarm.Event, eventQueueSize)
		f.transferStarted = make(chan struct{}, 1)
		f.stopped = make(chan struct{})
		f.cancels = make(map[swarm.Attempt]context.CancelFunc)
		f.controlConns = connPool{endpoint: f.Endpoint, limit: f.Connections, conns: make(map[string]*pooledConn)}
		f.planner = &swarm.Planner{
			Self:           swarm.Member{Instance: f.Identity.Instance, Region: f.Identity.Region, Pool: f.Identity.Pool},
			Seed:           f.Seed,
			Limits:         f.Limits,
			HasWeightStore: f.WeightStore != nil,
		}
	})
}

// loop passes events to the planner and applies the resulting effects.
func (f *Fetcher) loop(ctx context.Context) {
	timer := f.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		batch := make([]swarm.Event, 0, maxEventBatch)
		select {
		case <-ctx.Done():
			return
		case event := <-f.events:
			batch = f.drainEvents(append(batch, event))
		case <-timer.Chan():
			batch = append(batch, swarm.Tick{})
		}
		f.removeEndedAttempts(batch)
		now := f.Clock.Now()
		for _, effect := range f.planner.Step(now, batch...) {
			if e, ok := effect.(swarm.SetTimer); ok {
				timer.Reset(max(0, e.At.Sub(now)))
				continue
			}
			f.apply(ctx, effect)
		}
		f.readsOrigin.Store(f.planner.ReadsOrigin())
		f.unavailable.Store(f.planner.Unavailable(now))
	}
}

// ReadsOrigin reports whether the running transfer reads chunks from the origin, or is the
// first one to do so, and the origin answers.
func (f *Fetcher) ReadsOrigin() bool {
	return f.readsOrigin.Load()
}

// ChunksUnavailable reports whether no agent of the region is known to hold some of the missing
// chunks, and the origin does not answer or should have given them out.
func (f *Fetcher) ChunksUnavailable() bool {
	return f.unavailable.Load()
}

// drainEvents adds the queued events to the batch, so that one step processes them
// together.
func (f *Fetcher) drainEvents(batch []swarm.Event) []swarm.Event {
	for len(batch) < maxEventBatch {
		select {
		case event := <-f.events:
			batch = append(batch, event)
		default:
			return batch
		}
	}
	return batch
}

// removeEndedAttempts removes the cancel functions of attempts that have ended.
func (f *Fetcher) removeEndedAttempts(batch []swarm.Event) {
	for _, event := range batch {
		switch e := event.(type) {
		case swarm.Fetched:
			delete(f.cancels, e.Attempt)
		case swarm.Failed:
			delete(f.cancels, e.Attempt)
		}
	}
}

// send passes an event to the planner. It blocks while the queue is full.
func (f *Fetcher) send(event swarm.Event) {
	select {
	case f.events <- event:
	case <-f.stopped:
	}
}

// trySend passes an event to the planner, or drops it if the queue is full. Use it
// only for events whose loss does no harm.
func (f *Fetcher) trySend(event swarm.Event) {
	select {
	case f.events <- event:
	default:
		f.Metrics.Counter("swarm_events_dropped").Inc(1)
	}
}

// pollInstances reads the instance list at once, when a transfer starts, and then
// at intervals that are longer while no transfer is running.
func (f *Fetcher) pollInstances(ctx context.Context) {
	for {
		rows, err := f.Instances.Instances(ctx)
		switch {
		case err == nil:
			f.setInstances(rows)
		case ctx.Err() == nil:
			f.Logger.Warn().Err(err).Str("step", "read instance list").Msg("could not read the instance list")
		}
		interval := f.ListInterval
		if !f.transferring() {
			interval *= idleIntervalFactor
		}
		select {
		case <-f.Clock.After(interval):
		case <-f.transferStarted:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Fetcher) transferring() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.transfer != nil && !f.transfer.ended()
}

func (f *Fetcher) setInstances(rows []mulberryspool.ListedInstance) {
	listed := make(map[mulberryspool.InstanceID]mulberryspool.ListedInstance, len(rows))
	var live []swarm.Member
	for _, r := range rows {
		if r.Role != mulberryspool.RoleAgent || r.Chunks == "" {
			continue
		}
		listed[r.Instance] = r
		if r.State == mulberryspool.InstanceLive {
			live = append(live, swarm.Member{Instance: r.Instance, Region: r.Region, Pool: r.Pool})
		}
	}
	f.mu.Lock()
	f.instances = listed
	f.mu.Unlock()
	f.send(swarm.Members{Live: live})
}

// RegionAgentCount returns the number of agents in the instance list that belong to
// the local region and pool, at least 1. It is meant for chunks.RegionLimiters.
func (f *Fetcher) RegionAgentCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, listed := range f.instances {
		if listed.Region == f.Identity.Region && listed.Pool == f.Identity.Pool {
			count++
		}
	}
	return max(1, count)
}

func (f *Fetcher) instance(id mulberryspool.InstanceID) (mulberryspool.ListedInstance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, ok := f.instances[id]
	return listed, ok
}
