// Package tables follows the tables in force of one process.
//
//	object API --read, watch--> reducer --publish--> Current, subscribers
//	peer's revision --Heard--> reducer --fetch--> peer
//
// The reducer decides; the adapter runs at most one call to the object API
// and one to a peer at a time.
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
	DefaultMembersInterval   = 10 * time.Second
	DefaultCallTimeout       = 5 * time.Second
	DefaultStartSpread       = 300 * time.Millisecond
)

type (
	// Follower implements mulberryspool.TablesSource. Set the exported fields
	// before Run; a duration or number that is 0 has its default.
	Follower struct {
		Store mulberryspool.ObjectStore
		Clock mulberryspool.Clock
		// Identity is this process; its Instance and FailureDomain take part in the choice of watchers.
		Identity mulberryspool.Identity
		// List is the instance list; nil means that only AlwaysWatch matters.
		List mulberryspool.InstanceList
		// Recorder keeps what came into force; it may be nil.
		Recorder mulberryspool.Recorder
		// AlwaysWatch makes this process a watcher whatever the list says.
		AlwaysWatch bool
		// WatchersPerDomain is how many processes of a failure domain hold a watch.
		WatchersPerDomain int
		// PollInterval is the mean time between reads of the other processes;
		// those that hear revisions from peers leave out most of them.
		PollInterval time.Duration
		// WatchDeadline is the time after which a watch is given up, confirmed by
		// a read and armed again. Keep it above the store's own deadline, so
		// that an unchanged object costs no read.
		WatchDeadline time.Duration
		// MembersInterval is the mean time between reads of the instance list.
		MembersInterval time.Duration
		// CallTimeout bounds one read, one call to a peer and one of the list.
		CallTimeout time.Duration
		// StartSpread bounds the random wait before the first read.
		StartSpread time.Duration

		view     atomic.Pointer[inForce]
		rejected atomic.Pointer[mulberryspool.TablesRejection]
		calls    counters
		// contact is when a peer last named a revision, in Unix nanoseconds.
		contact atomic.Int64

		// notify orders the calls of subscribers.
		notify      sync.Mutex
		subscribers []func(mulberryspool.TablesView)

		mu sync.Mutex
		// heardRevision is the highest that was heard, from heardFetch.
		heardRevision mulberryspool.Revision
		heardFetch    fetchFunc
		wakeOnce      sync.Once
		wake          chan struct{}
	}

	// Traffic counts what a follower asked for.
	Traffic struct {
		// Reads and Watches count calls to the object API.
		Reads, Watches int64
		// Fetches counts calls to peers.
		Fetches int64
		// StoreBytes and PeerBytes count the documents received.
		StoreBytes, PeerBytes int64
	}

	counters struct {
		reads, watches, fetches, storeBytes, peerBytes atomic.Int64
	}

	fetchFunc func(ctx context.Context) (mulberryspool.TablesDocument, error)

	inForce struct {
		view     mulberryspool.TablesView
		document mulberryspool.TablesDocument
	}
)

var _ mulberryspool.TablesSource = (*Follower)(nil)

// Current implements mulberryspool.TablesSource.
func (f *Follower) Current() (mulberryspool.TablesView, bool) {
	if current := f.view.Load(); current != nil {
		return current.view, true
	}
	return mulberryspool.TablesView{}, false
}

// Rejected returns the newest invalid revision above the one in force, also
// while nothing is in force; nil for none.
func (f *Follower) Rejected() *mulberryspool.TablesRejection {
	return f.rejected.Load()
}

// Document implements mulberryspool.TablesSource.
func (f *Follower) Document(above mulberryspool.Revision) (mulberryspool.TablesDocument, bool) {
	current := f.view.Load()
	if current == nil || current.document.Revision <= above {
		return mulberryspool.TablesDocument{}, false
	}
	return current.document, true
}

// Subscribe implements mulberryspool.TablesSource. The function must not
// call Subscribe.
func (f *Follower) Subscribe(changed func(mulberryspool.TablesView)) {
	f.notify.Lock()
	defer f.notify.Unlock()
	f.subscribers = append(f.subscribers, changed)
	if current := f.view.Load(); current != nil {
		changed(current.view)
	}
}

// Heard implements mulberryspool.TablesSource. It does not block.
func (f *Follower) Heard(revision mulberryspool.Revision, fetch func(ctx context.Context) (mulberryspool.TablesDocument, error)) {
	f.contact.Store(f.Clock.Now().UnixNano())
	if current := f.view.Load(); current != nil && revision <= current.document.Revision {
		return
	}
	f.mu.Lock()
	if revision >= f.heardRevision {
		f.heardRevision, f.heardFetch = revision, fetch
	}
	f.mu.Unlock()
	select {
	case f.signal() <- struct{}{}:
	default:
	}
}

// Traffic returns the counts since the follower was made.
func (f *Follower) Traffic() Traffic {
	return Traffic{
		Reads:      f.calls.reads.Load(),
		Watches:    f.calls.watches.Load(),
		Fetches:    f.calls.fetches.Load(),
		StoreBytes: f.calls.storeBytes.Load(),
		PeerBytes:  f.calls.peerBytes.Load(),
	}
}

// Run follows the tables until the context ends. It is called once.
func (f *Follower) Run(ctx context.Context) error {
	r := &runner{Follower: f, events: make(chan event), state: state{pollInterval: defaulted(f.PollInterval, DefaultPollInterval)}}
	defer r.running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.ctx = ctx
	if f.AlwaysWatch || f.List == nil {
		r.state.watcher = f.AlwaysWatch
	} else {
		r.running.Go(r.followMembers)
	}
	r.handle(started{spread: defaulted(f.StartSpread, DefaultStartSpread)})
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-r.events:
			r.handle(e)
		case <-f.signal():
			r.handle(heard{revision: f.heardHighest()})
		case <-r.timer():
			r.wakeAt = time.Time{}
			r.handle(woken{})
		}
	}
}

func (f *Follower) signal() chan struct{} {
	f.wakeOnce.Do(func() { f.wake = make(chan struct{}, 1) })
	return f.wake
}

func (f *Follower) heardHighest() mulberryspool.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heardRevision
}

// publish hands out a view; views come from one goroutine.
func (f *Follower) publish(current inForce) {
	f.notify.Lock()
	defer f.notify.Unlock()
	f.view.Store(&current)
	for _, changed := range f.subscribers {
		changed(current.view)
	}
}

func (f *Follower) record(e mulberryspool.Event) {
	if f.Recorder != nil {
		f.Recorder.Record(e)
	}
}

func defaulted[T int | time.Duration](value, standard T) T {
	if value > 0 {
		return value
	}
	return standard
}

// runner is one run of a Follower.
type runner struct {
	*Follower
	ctx    context.Context
	state  state
	events chan event
	// running counts the goroutines of calls.
	running sync.WaitGroup
	// pending is the armed timer, for wakeAt.
	pending clockwork.Timer
	wakeAt  time.Time
}

// timer returns a channel that delivers when the reducer wants to be woken.
func (r *runner) timer() <-chan time.Time {
	at, ok := r.state.next()
	if ok && at.Equal(r.wakeAt) {
		return r.pending.Chan()
	}
	if r.pending != nil {
		r.pending.Stop()
	}
	r.pending, r.wakeAt = nil, time.Time{}
	if !ok {
		return nil
	}
	r.pending, r.wakeAt = r.Clock.NewTimer(at.Sub(r.Clock.Now())), at
	return r.pending.Chan()
}

func (r *runner) handle(e event) {
	effects := r.state.step(input{now: r.Clock.Now(), random: rand.Float64(), contact: time.Unix(0, r.contact.Load())}, e)
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
			r.publish(inForce{view: do.view, document: r.state.document})
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
	r.calls.reads.Add(1)
	ctx, cancel := r.bounded(defaulted(r.CallTimeout, DefaultCallTimeout))
	defer cancel()
	object, err := r.Store.Get(ctx, mulberryspool.TablesKind, mulberryspool.TablesName)
	r.calls.storeBytes.Add(int64(len(object.Value)))
	r.send(answered{object: object, err: err})
}

func (r *runner) watch(after mulberryspool.Revision) {
	r.calls.watches.Add(1)
	begin := r.Clock.Now()
	ctx, cancel := r.bounded(defaulted(r.WatchDeadline, DefaultWatchDeadline))
	defer cancel()
	object, err := r.Store.Watch(ctx, mulberryspool.TablesKind, mulberryspool.TablesName, after)
	r.calls.storeBytes.Add(int64(len(object.Value)))
	r.send(answered{object: object, err: err, elapsed: r.Clock.Since(begin), silent: err != nil && ctx.Err() != nil})
}

func (r *runner) fetch() {
	r.mu.Lock()
	ask := r.heardFetch
	r.mu.Unlock()
	if ask == nil {
		r.send(fetched{err: errors.New("no peer to fetch from")})
		return
	}
	r.calls.fetches.Add(1)
	ctx, cancel := r.bounded(defaulted(r.CallTimeout, DefaultCallTimeout))
	defer cancel()
	document, err := ask(ctx)
	r.calls.peerBytes.Add(int64(len(document.Document)))
	r.send(fetched{document: document, err: err})
}

// bounded returns a context that the clock ends.
func (r *runner) bounded(limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.ctx)
	timer := r.Clock.AfterFunc(limit, cancel)
	return ctx, func() {
		timer.Stop()
		cancel()
	}
}
