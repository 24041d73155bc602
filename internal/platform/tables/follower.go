// Package tables keeps a process's copy of the tables (routes and pools) up to
// date.
//
//	object API --read, watch--> reducer --publish--> Current, subscribers
//	peer's revision --ObservePeerRevision--> reducer --fetch--> peer
//
// The reducer is a state machine without I/O that decides what to do. The
// Follower runs its calls: at most one to the object API and one to a peer at a
// time.
package tables

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

// Defaults of a Follower's fields.
const (
	DefaultPollInterval      = 30 * time.Second
	DefaultWatchDeadline     = 20 * time.Second
	DefaultWatchersPerDomain = 2
	DefaultElectionInterval  = 10 * time.Second
	DefaultCallTimeout       = 5 * time.Second
	DefaultStartJitter       = 300 * time.Millisecond
)

type (
	// Follower implements mulberryspool.TablesSource. Set the exported fields
	// before Run; durations and numbers that are 0 have their defaults.
	Follower struct {
		Store mulberryspool.ObjectStore
		Clock mulberryspool.Clock
		// Identity is this process; its Instance and FailureDomain are used to
		// elect watchers.
		Identity mulberryspool.Identity
		// InstanceList is the instance list from which watchers are elected; if it is
		// nil, only AlwaysWatch makes this process a watcher.
		InstanceList mulberryspool.InstanceList
		// Recorder records which revisions came into force or were rejected; may
		// be nil.
		Recorder mulberryspool.Recorder
		// AlwaysWatch makes this process a watcher without an election.
		AlwaysWatch bool
		// WatchersPerDomain is how many processes of a failure domain watch the
		// object.
		WatchersPerDomain int
		// PollInterval is the mean time between reads of processes that do not
		// watch. They skip most reads while peers report their revisions.
		PollInterval time.Duration
		// WatchDeadline is the time after which a watch is cancelled, followed by
		// a read and restarted. Keep it above the store's own deadline, so that
		// an unchanged object causes no read.
		WatchDeadline time.Duration
		// ElectionInterval is the mean time between reads of the instance list.
		ElectionInterval time.Duration
		// CallTimeout bounds one read of the object, the instance list or a peer.
		CallTimeout time.Duration
		// StartJitter is the maximum random delay of the first read.
		StartJitter time.Duration

		current  atomic.Pointer[tablesInForce]
		rejected atomic.Pointer[mulberryspool.TablesRejection]
		counters counters
		// lastPeerContact is when a peer last reported a revision, in Unix
		// nanoseconds.
		lastPeerContact atomic.Int64

		// subscribersMu guards subscribers and serializes their calls.
		subscribersMu sync.Mutex
		subscribers   []func(mulberryspool.TablesView)

		mu sync.Mutex
		// peerRevision is the highest revision that a peer reported, and
		// fetchFromPeer gets it from that peer.
		peerRevision  mulberryspool.Revision
		fetchFromPeer fetchFunc
		wakeOnce      sync.Once
		wake          chan struct{}
	}

	// Traffic counts a follower's calls and the bytes of their responses.
	Traffic struct {
		// Reads and Watches count calls to the object API.
		Reads, Watches int64
		// Fetches counts calls to peers.
		Fetches int64
		// StoreBytes and PeerBytes are the total sizes of the received documents.
		StoreBytes, PeerBytes int64
	}

	counters struct {
		reads, watches, fetches, storeBytes, peerBytes atomic.Int64
	}

	fetchFunc func(ctx context.Context) (mulberryspool.TablesDocument, error)

	tablesInForce struct {
		view     mulberryspool.TablesView
		document mulberryspool.TablesDocument
	}
)

var _ mulberryspool.TablesSource = (*Follower)(nil)

// Current implements mulberryspool.TablesSource.
func (f *Follower) Current() (mulberryspool.TablesView, bool) {
	if current := f.current.Load(); current != nil {
		return current.view, true
	}
	return mulberryspool.TablesView{}, false
}

// Rejected returns the newest invalid revision above the one in force, or nil.
// It also reports one while no revision is in force.
func (f *Follower) Rejected() *mulberryspool.TablesRejection {
	return f.rejected.Load()
}

// Document implements mulberryspool.TablesSource.
func (f *Follower) Document(above mulberryspool.Revision) (mulberryspool.TablesDocument, bool) {
	current := f.current.Load()
	if current == nil || current.document.Revision <= above {
		return mulberryspool.TablesDocument{}, false
	}
	return current.document, true
}

// Subscribe implements mulberryspool.TablesSource. The function must not
// call Subscribe.
func (f *Follower) Subscribe(changed func(mulberryspool.TablesView)) {
	f.subscribersMu.Lock()
	defer f.subscribersMu.Unlock()
	f.subscribers = append(f.subscribers, changed)
	if current := f.current.Load(); current != nil {
		changed(current.view)
	}
}

// ObservePeerRevision implements mulberryspool.TablesSource. It does not block.
func (f *Follower) ObservePeerRevision(revision mulberryspool.Revision, fetch func(ctx context.Context) (mulberryspool.TablesDocument, error)) {
	f.lastPeerContact.Store(f.Clock.Now().UnixNano())
	if current := f.current.Load(); current != nil && revision <= current.document.Revision {
		return
	}
	f.mu.Lock()
	if revision >= f.peerRevision {
		f.peerRevision, f.fetchFromPeer = revision, fetch
	}
	f.mu.Unlock()
	select {
	case f.signal() <- struct{}{}:
	default:
	}
}

// Traffic returns the counts since the follower was created.
func (f *Follower) Traffic() Traffic {
	return Traffic{
		Reads:      f.counters.reads.Load(),
		Watches:    f.counters.watches.Load(),
		Fetches:    f.counters.fetches.Load(),
		StoreBytes: f.counters.storeBytes.Load(),
		PeerBytes:  f.counters.peerBytes.Load(),
	}
}

// Run keeps the tables up to date until the context ends. Call it only once.
func (f *Follower) Run(ctx context.Context) error {
	r := &runner{Follower: f, events: make(chan event), state: state{pollInterval: orDefault(f.PollInterval, DefaultPollInterval)}}
	defer r.running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.ctx = ctx
	if f.AlwaysWatch || f.InstanceList == nil {
		r.state.watcher = f.AlwaysWatch
	} else {
		r.running.Go(r.runElections)
	}
	r.handle(processStarted{maxDelay: orDefault(f.StartJitter, DefaultStartJitter)})
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.events:
			r.handle(e)
		case <-f.signal():
			r.handle(revisionReported{revision: f.highestPeerRevision()})
		case <-r.timer():
			r.wakeAt = time.Time{}
			r.handle(timerFired{})
		}
	}
}

// signal returns the channel that wakes Run when a peer reports a newer revision.
func (f *Follower) signal() chan struct{} {
	f.wakeOnce.Do(func() { f.wake = make(chan struct{}, 1) })
	return f.wake
}

func (f *Follower) highestPeerRevision() mulberryspool.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peerRevision
}

// publish stores the tables in force and notifies the subscribers. It is called
// from Run's goroutine only.
func (f *Follower) publish(current tablesInForce) {
	f.subscribersMu.Lock()
	defer f.subscribersMu.Unlock()
	f.current.Store(&current)
	for _, changed := range f.subscribers {
		changed(current.view)
	}
}

func (f *Follower) record(e mulberryspool.Event) {
	if f.Recorder != nil {
		f.Recorder.Record(e)
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// runner is the state of Follower.Run.
type runner struct {
	*Follower
	ctx    context.Context
	state  state
	events chan event
	// running waits for the goroutines of calls.
	running sync.WaitGroup
	// wakeTimer is the timer for wakeAt; nil if none is set.
	wakeTimer clockwork.Timer
	wakeAt    time.Time
}

// timer returns a channel that fires when the reducer's next call is due.
func (r *runner) timer() <-chan time.Time {
	at, ok := r.state.nextWake()
	if ok && at.Equal(r.wakeAt) {
		return r.wakeTimer.Chan()
	}
	if r.wakeTimer != nil {
		r.wakeTimer.Stop()
	}
	r.wakeTimer, r.wakeAt = nil, time.Time{}
	if !ok {
		return nil
	}
	r.wakeTimer, r.wakeAt = r.Clock.NewTimer(at.Sub(r.Clock.Now())), at
	return r.wakeTimer.Chan()
}

// handle passes an event to the reducer and performs its effects.
func (r *runner) handle(e event) {
	effects := r.state.step(input{now: r.Clock.Now(), random: rand.Float64(), lastPeerContact: time.Unix(0, r.lastPeerContact.Load())}, e)
	for _, do := range effects {
		switch do := do.(type) {
		case read:
			r.running.Go(r.read)
		case watch:
			r.running.Go(func() { r.watch(do.after) })
		case fetch:
			r.running.Go(r.fetch)
		case reject:
			r.record(mulberryspool.Event{
				Kind: mulberryspool.EventTablesRejected, Revision: do.rejection.Revision,
				Detail: do.rejection.Table + "/" + do.rejection.Row + ": " + do.rejection.Reason,
			})
		case publish:
			r.recordInForce(do.view)
			r.publish(tablesInForce{view: do.view, document: r.state.document})
		}
	}
	r.rejected.Store(r.state.rejected)
}

func (r *runner) recordInForce(view mulberryspool.TablesView) {
	if current, ok := r.Current(); ok && current.Revision == view.Revision {
		return
	}
	e := mulberryspool.Event{Kind: mulberryspool.EventTablesInForce, Revision: view.Revision}
	if n := len(view.Tables.Changes); n > 0 {
		e.Change = view.Tables.Changes[n-1].ID
	}
	r.record(e)
}

func (r *runner) send(e event) {
	select {
	case r.events <- e:
	case <-r.ctx.Done():
	}
}

func (r *runner) read() {
	r.counters.reads.Add(1)
	ctx, cancel := r.withTimeout(orDefault(r.CallTimeout, DefaultCallTimeout))
	defer cancel()
	object, err := r.Store.Get(ctx, mulberryspool.TablesKind, mulberryspool.TablesName)
	r.counters.storeBytes.Add(int64(len(object.Value)))
	r.send(callEnded{object: object, err: err})
}

func (r *runner) watch(after mulberryspool.Revision) {
	r.counters.watches.Add(1)
	start := r.Clock.Now()
	ctx, cancel := r.withTimeout(orDefault(r.WatchDeadline, DefaultWatchDeadline))
	defer cancel()
	object, err := r.Store.Watch(ctx, mulberryspool.TablesKind, mulberryspool.TablesName, after)
	r.counters.storeBytes.Add(int64(len(object.Value)))
	r.send(callEnded{object: object, err: err, elapsed: r.Clock.Since(start), timedOut: err != nil && ctx.Err() != nil})
}

func (r *runner) fetch() {
	r.mu.Lock()
	fetchDocument := r.fetchFromPeer
	r.mu.Unlock()
	if fetchDocument == nil {
		r.send(fetchEnded{err: errors.New("no peer to fetch from")})
		return
	}
	r.counters.fetches.Add(1)
	ctx, cancel := r.withTimeout(orDefault(r.CallTimeout, DefaultCallTimeout))
	defer cancel()
	document, err := fetchDocument(ctx)
	r.counters.peerBytes.Add(int64(len(document.Document)))
	r.send(fetchEnded{document: document, err: err})
}

// withTimeout returns a context with a timeout on the follower's clock.
func (r *runner) withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.ctx)
	timer := r.Clock.AfterFunc(timeout, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
