// Package fetch brings the chunks of a version into an agent's memory and
// gives them to other agents.
//
//	Stage --> events --> swarm.Planner --> effects --> chunks.Client, Origin, WeightStore, chunks.have
//	            ^                                           |
//	            \------------- staging.Store <--------------/
//	                                \--> chunks.Server --> other agents
//
// One goroutine owns the planner. Every fetch runs in its own goroutine,
// puts the verified chunk into the store and reports back as an event.
package fetch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/agent/staging"
	"github.com/mulberryspool/mulberryspool/internal/agent/swarm"
	"github.com/mulberryspool/mulberryspool/internal/peer/chunks"
	"github.com/mulberryspool/mulberryspool/internal/peer/rpc"
)

const (
	// DefaultListInterval is the time between two readings of the instance
	// list during a transfer.
	DefaultListInterval = 5 * time.Second
	// DefaultCallTimeout bounds one chunks.have exchange with its dialling.
	DefaultCallTimeout = 2 * time.Second
	// DefaultConnections bounds the open control connections to other agents.
	DefaultConnections = 32
	// idleListFactor is how much longer the interval is without a transfer.
	idleListFactor = 6
	// eventQueue bounds the events that wait for the planner.
	eventQueue = 4096
	// eventBatch bounds the events that the planner takes in one step.
	eventBatch = 64
)

// ErrSuperseded ends a Stage whose manifest was replaced by that of a later call.
var ErrSuperseded = errors.New("transfer was superseded by another version")

type (
	// Fetcher implements mulberryspool.Stager. Set the exported fields before
	// Run; those marked optional may be left zero.
	Fetcher struct {
		// Identity is the agent's own. Its instance must be in the list that
		// other agents read, with the addresses of Listener and of the process's
		// control listener.
		Identity mulberryspool.Identity
		Clock    mulberryspool.Clock
		Origin   mulberryspool.Origin
		// WeightStore is optional; it is asked while the origin does not answer.
		WeightStore mulberryspool.WeightStore
		Instances   mulberryspool.InstanceList
		// Endpoint opens the connections for chunks.have. Its owner passes
		// incoming chunks.have messages to Have.
		Endpoint *rpc.Endpoint
		// Listener serves chunks to other agents; Run closes it.
		Listener net.Listener
		// Recorder keeps events of corrupted chunks.
		Recorder mulberryspool.Recorder
		// Logger and Metrics are optional.
		Logger  zerolog.Logger
		Metrics tally.Scope
		// Seed makes the random choices repeatable.
		Seed uint64
		// Limits bounds the plan, including OriginBias.
		Limits swarm.Limits
		// StagingBytes bounds the chunks in memory; 0 means staging.DefaultLimitBytes.
		StagingBytes int64
		// UploadSlots bounds the uploads at one time; 0 means chunks.DefaultSlots.
		UploadSlots int
		// QueueWait bounds the wait for an upload slot; 0 means chunks.DefaultQueueWait.
		QueueWait time.Duration
		// Uplink and Downlink limit transfers on the machine's link; nil means no limit.
		Uplink, Downlink chunks.Limiter
		// RegionLink returns the limit of fetches from another region to the own
		// one, as RegionLinks.From of package chunks does; nil means no limit.
		RegionLink func(from string) chunks.Limiter
		// ListInterval is DefaultListInterval when it is 0.
		ListInterval time.Duration
		// CallTimeout is DefaultCallTimeout when it is 0.
		CallTimeout time.Duration
		// Connections is DefaultConnections when it is 0.
		Connections int

		once    sync.Once
		store   *staging.Store
		client  *chunks.Client
		events  chan swarm.Event
		planner *swarm.Planner
		conns   connections
		// begun wakes the reading of the instance list.
		begun chan struct{}
		ended chan struct{}
		tasks sync.WaitGroup

		// cancels is used by the loop's goroutine only.
		cancels map[swarm.Attempt]context.CancelFunc

		// staging keeps the events of Stage and Release in order. It is taken
		// before mu; the loop never takes it, so it may be held while an event
		// waits for the loop.
		staging sync.Mutex

		mu       sync.Mutex
		listed   map[mulberryspool.InstanceID]mulberryspool.ListedInstance
		transfer *transfer
	}

	// transfer is one call of Stage.
	transfer struct {
		manifest mulberryspool.Manifest
		done     chan struct{}
		err      error
		progress progress
	}
)

// Run serves chunks and runs transfers until the context ends.
func (f *Fetcher) Run(ctx context.Context) error {
	f.prepare()
	group, ctx := errgroup.WithContext(ctx)
	server := &chunks.Server{Get: f.store.Get, Have: f.Have, Uplink: f.Uplink, Slots: f.UploadSlots, QueueWait: f.QueueWait, Clock: f.Clock}
	group.Go(func() error { return server.Serve(ctx, f.Listener) })
	group.Go(func() error { f.followList(ctx); return nil })
	group.Go(func() error { f.loop(ctx); return nil })
	err := group.Wait()
	close(f.ended)
	f.tasks.Wait()
	f.conns.closeAll()
	f.client.HTTP.CloseIdleConnections()
	return err
}

// prepare fills in defaults; Stage and Have may be called before Run.
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
		f.events = make(chan swarm.Event, eventQueue)
		f.begun = make(chan struct{}, 1)
		f.ended = make(chan struct{})
		f.cancels = make(map[swarm.Attempt]context.CancelFunc)
		f.conns = connections{endpoint: f.Endpoint, limit: f.Connections, open: make(map[string]*connection)}
		f.planner = &swarm.Planner{
			Self:           swarm.Member{Instance: f.Identity.Instance, Region: f.Identity.Region, Pool: f.Identity.Pool},
			Seed:           f.Seed,
			Limits:         f.Limits,
			HasWeightStore: f.WeightStore != nil,
		}
	})
}

// loop feeds the planner with one event after the other.
func (f *Fetcher) loop(ctx context.Context) {
	timer := f.Clock.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		batch := make([]swarm.Event, 0, eventBatch)
		select {
		case <-ctx.Done():
			return
		case event := <-f.events:
			batch = f.drain(append(batch, event))
		case <-timer.Chan():
			batch = append(batch, swarm.Tick{})
		}
		f.forget(batch)
		now := f.Clock.Now()
		for _, effect := range f.planner.Step(now, batch...) {
			if w, ok := effect.(swarm.SetTimer); ok {
				timer.Reset(max(0, w.At.Sub(now)))
				continue
			}
			f.apply(ctx, effect)
		}
	}
}

// drain adds the events that wait already, so that they are planned for at once.
func (f *Fetcher) drain(batch []swarm.Event) []swarm.Event {
	for len(batch) < eventBatch {
		select {
		case event := <-f.events:
			batch = append(batch, event)
		default:
			return batch
		}
	}
	return batch
}

// forget drops the cancel functions of attempts that have ended.
func (f *Fetcher) forget(batch []swarm.Event) {
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
	case <-f.ended:
	}
}

// offer passes an event that may be lost to the planner.
func (f *Fetcher) offer(event swarm.Event) {
	select {
	case f.events <- event:
	default:
		f.Metrics.Counter("swarm_events_dropped").Inc(1)
	}
}

// followList reads the instance list at once, when a transfer begins, often
// during one and seldom without one.
func (f *Fetcher) followList(ctx context.Context) {
	for {
		rows, err := f.Instances.Instances(ctx)
		switch {
		case err == nil:
			f.setInstances(rows)
		case ctx.Err() == nil:
			f.Logger.Warn().Err(err).Str("step", "read instance list").Msg("instance list is not available")
		}
		interval := f.ListInterval
		if !f.transferring() {
			interval *= idleListFactor
		}
		select {
		case <-f.Clock.After(interval):
		case <-f.begun:
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
	f.listed = listed
	f.mu.Unlock()
	f.send(swarm.Members{Live: live})
}

// RegionAgents returns the number of agents of the own region and pool on the
// instance list, at least 1. It is meant for chunks.RegionLinks.
func (f *Fetcher) RegionAgents() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, listed := range f.listed {
		if listed.Region == f.Identity.Region && listed.Pool == f.Identity.Pool {
			count++
		}
	}
	return max(1, count)
}

func (f *Fetcher) instance(id mulberryspool.InstanceID) (mulberryspool.ListedInstance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed, ok := f.listed[id]
	return listed, ok
}
