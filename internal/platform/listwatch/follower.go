package listwatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// DefaultWatchTimeout is the time after which the store ends a watch without
	// changes. The cost of a call includes its whole wait, and keep-alive
	// probes detect a dead connection sooner.
	DefaultWatchTimeout = 25 * time.Second
	// DefaultWatchPause is the pause between two watches, so that one answer
	// carries all changes of a burst. It is well below the 2 s within which a
	// change must be in force.
	DefaultWatchPause = 250 * time.Millisecond
	// retryDelay is the mean pause after a call that failed with all its retries.
	retryDelay = 250 * time.Millisecond
	// pausedCheckInterval is how often a paused follower calls Paused again without Wake.
	pausedCheckInterval = 200 * time.Millisecond
	// maxLoggedUnreadable is the number of objects that can't be decoded of which it is
	// known that they were logged, maxLoggedBytes the length of what is logged of them.
	maxLoggedUnreadable = 1024
	maxLoggedBytes      = 200
	// eraListSpread is the maximum pause before the objects are listed in a new era. It
	// spreads the calls of all processes.
	eraListSpread = 500 * time.Millisecond
	// maxEraLists is how often the objects are listed in a row while the store's answers are
	// of an earlier era than that of ObserveEra. Such answers were under way or came late.
	maxEraLists = 8
)

type (
	// Follower lists and watches the objects of one kind. Set the exported
	// fields before Run.
	Follower[T any] struct {
		Store mulberryspool.KindStore
		Kind  string
		Clock mulberryspool.Clock
		Set   Set[T]
		// Changed is called with the objects in use and what changed, in order, and
		// never concurrently with a function that is passed to Update.
		Changed func(items map[string]T, d Delta)
		// Answered is called before Changed with each answer of the store: a time
		// before that of the answer, and the store's position in it. It may be nil.
		Answered func(after time.Time, at mulberryspool.Position)
		// Confirmed is called after Changed with each answer of the store: the objects in use,
		// their position, and a time before that of the answer. It may be nil.
		Confirmed func(items map[string]T, at mulberryspool.Position, after time.Time)
		// WatchTimeout returns how long the next watch waits for changes; nil for
		// DefaultWatchTimeout.
		WatchTimeout func() time.Duration
		// WatchPause is the pause between two watches; DefaultWatchPause if it is 0.
		WatchPause time.Duration
		// Paused reports whether peers supply the objects, so that the store need
		// not be called; nil for never.
		Paused func() bool
		Logger zerolog.Logger

		mu sync.Mutex
		// position is that of the last answer in use. It changes in Run's goroutine only.
		position  mulberryspool.Position
		reachable bool
		synced    bool
		// listed is set once the store has answered.
		listed bool
		// loggedUnreadable holds hashes of the objects, with their errors, that were logged.
		loggedUnreadable map[uint64]struct{}

		// polling is set while an object changes more than once between two
		// watches. A watch would return each of its versions in full although
		// only the last one counts, so the kind is listed instead.
		// polling and listHash, a hash of the last list, are used by Run only.
		polling  bool
		listHash uint64

		// woken is signalled by Wake. It is created by init.
		woken chan struct{}
		once  sync.Once

		eraMu sync.Mutex
		// observedEra is the latest era of ObserveEra, eraLists the number of lists since it
		// was observed while the objects were of an earlier one.
		observedEra mulberryspool.Era
		eraLists    int
		// cancelWatch ends the watch that waits; nil if there is none.
		cancelWatch context.CancelFunc
	}
)

// Run lists and watches the kind until the context ends.
func (f *Follower[T]) Run(ctx context.Context) {
	if f.WatchTimeout == nil {
		f.WatchTimeout = func() time.Duration { return DefaultWatchTimeout }
	}
	if f.WatchPause == 0 {
		f.WatchPause = DefaultWatchPause
	}
	listed := false
	for ctx.Err() == nil {
		if f.Paused != nil && f.Paused() {
			listed = false
			f.awaitWake(ctx)
			continue
		}
		var err error
		if listed && !f.polling && !f.outdated() {
			listed, err = f.watch(ctx)
		} else {
			listed, err = f.list(ctx)
		}
		pause := f.WatchPause
		if err == nil && f.outdated() {
			pause = rand.N(eraListSpread)
		}
		if err != nil {
			f.recordFailure(ctx, err)
			pause = time.Duration((0.5 + rand.Float64()) * float64(retryDelay))
		}
		f.sleep(ctx, pause)
	}
}

// Wake makes a paused follower call Paused at once.
func (f *Follower[T]) Wake() {
	f.init()
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

func (f *Follower[T]) init() {
	f.once.Do(func() { f.woken = make(chan struct{}, 1) })
}

// awaitWake waits for pausedCheckInterval or Wake.
func (f *Follower[T]) awaitWake(ctx context.Context) {
	f.init()
	timer := f.Clock.NewTimer(pausedCheckInterval)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-f.woken:
	case <-ctx.Done():
	}
}

// HasSynced reports whether the objects were listed, or Update was called.
func (f *Follower[T]) HasSynced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced
}

// Reachable reports whether the store answered the last call.
func (f *Follower[T]) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable
}

// Update calls a function that never runs concurrently with Changed.
func (f *Follower[T]) Update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = true
	change()
}

// ObserveEra records that the store is in an era, as other calls or peers have shown. If it is
// a later one than that of the objects, they are listed again: a watch that waits since
// before the restore, or from a revision of before, may not return what has changed.
func (f *Follower[T]) ObserveEra(era mulberryspool.Era) {
	f.eraMu.Lock()
	defer f.eraMu.Unlock()
	if era <= f.observedEra {
		return
	}
	f.observedEra, f.eraLists = era, 0
	if f.cancelWatch != nil {
		f.cancelWatch()
	}
}

// outdated reports whether the objects have to be listed because of a later era.
func (f *Follower[T]) outdated() bool {
	f.eraMu.Lock()
	defer f.eraMu.Unlock()
	return f.outdatedLocked()
}

// outdatedLocked requires eraMu. It is called in Run's goroutine.
func (f *Follower[T]) outdatedLocked() bool {
	return f.position.Era < f.observedEra && f.eraLists < maxEraLists
}

func (f *Follower[T]) list(ctx context.Context) (bool, error) {
	sentAt := f.Clock.Now()
	objects, at, err := f.Store.List(ctx, f.Kind)
	if err != nil {
		return false, err
	}
	f.eraMu.Lock()
	if at.Era < f.observedEra {
		f.eraLists++
	}
	f.eraMu.Unlock()
	if at.Era < f.position.Era {
		return false, mulberryspool.AtStep(errors.Newf("answer is of era %d, before era %d", at.Era, f.position.Era), "list "+f.Kind, "")
	}
	if f.Confirmed != nil && f.position.After(at) {
		// The next watch would confirm these objects as of a later revision.
		return false, mulberryspool.AtStep(errors.Newf("answer is of revision %d, before revision %d", at.Revision, f.position.Revision), "list "+f.Kind, "")
	}
	sum := hashObjects(objects)
	f.polling = f.polling && sum != f.listHash
	f.listHash = sum
	f.apply(func(now time.Time) Delta { return f.Set.Replace(now, objects) }, sentAt, at)
	return true, nil
}

// watch returns false if the kind has to be listed next.
func (f *Follower[T]) watch(ctx context.Context) (bool, error) {
	answer, err := f.changes(ctx)
	if errors.Is(err, mulberryspool.ErrCompacted) {
		f.Logger.Info().Str("kind", f.Kind).Uint64("revision", uint64(f.position.Revision)).Uint64("era", uint64(f.position.Era)).Msg("store no longer has the history for this watch; listing again")
		return f.list(ctx)
	}
	if err != nil && ctx.Err() == nil && f.outdated() {
		return false, nil
	}
	if err != nil {
		return true, err
	}
	if answer.At.Era != f.position.Era {
		return f.list(ctx)
	}
	seen := make(map[string]struct{}, len(answer.Changes))
	for _, c := range answer.Changes {
		seen[c.Object.Name] = struct{}{}
	}
	f.polling = len(seen) < len(answer.Changes)
	f.apply(func(now time.Time) Delta { return f.Set.Apply(now, answer.Changes) }, f.answeredAfter(answer), answer.At)
	return true, nil
}

// changes watches until ObserveEra is called with a later era.
func (f *Follower[T]) changes(ctx context.Context) (mulberryspool.ChangeList, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.eraMu.Lock()
	f.cancelWatch = cancel
	if f.outdatedLocked() {
		cancel()
	}
	f.eraMu.Unlock()
	return f.Store.Changes(ctx, f.Kind, f.position.Revision, f.WatchTimeout())
}

// answeredAfter returns a time after which the store answered a watch. It answers one
// without changes at the end of the wait.
func (f *Follower[T]) answeredAfter(answer mulberryspool.ChangeList) time.Time {
	if len(answer.Changes) == 0 && f.Clock.Since(answer.SentAt) >= answer.Waited {
		return answer.SentAt.Add(answer.Waited)
	}
	return answer.SentAt
}

// apply runs a successful call's change of the set and calls Answered and Changed.
func (f *Follower[T]) apply(change func(time.Time) Delta, after time.Time, at mulberryspool.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.Set.RecordAnswer(now)
	if !f.reachable {
		f.reachable = true
		f.Logger.Info().Str("kind", f.Kind).Uint64("era", uint64(at.Era)).Uint64("revision", uint64(at.Revision)).Bool("first", !f.synced).Msg("store is reachable")
	}
	first := !f.synced
	f.synced = true
	if f.listed && at.Era > f.position.Era {
		f.Set.BeginEra(now)
		f.Logger.Warn().Str("step", "list in new era").Str("kind", f.Kind).Uint64("eraBefore", uint64(f.position.Era)).Uint64("era", uint64(at.Era)).
			Uint64("revisionBefore", uint64(f.position.Revision)).Uint64("revision", uint64(at.Revision)).
			Msg("objects were listed again after a restore of the store; those that are missing stay for the grace period")
	}
	f.listed = true
	if f.Answered != nil {
		f.Answered(after, at)
	}
	d := change(now)
	expired := f.Set.Expire(now)
	d.Removed = append(d.Removed, expired.Removed...)
	f.position = f.position.Max(at)
	f.logUnreadable(d.Unreadable)
	for _, name := range d.Kept {
		f.Logger.Info().Str("kind", f.Kind).Str("object", name).Uint64("era", uint64(at.Era)).Uint64("revision", uint64(at.Revision)).
			Dur("graceLeft", f.Set.expiring[name].Sub(now)).Msg("object was removed; keeping it for the grace period after the outage")
	}
	d.At, d.Uncertain = f.position, len(f.Set.expiring) > 0
	if first || d.Changed() {
		f.Changed(f.Set.Items(), d)
	}
	if f.Confirmed != nil {
		f.Confirmed(f.Set.Items(), at, after)
	}
	if end, ok := f.Set.NextExpiry(); ok {
		f.Clock.AfterFunc(end.Sub(now), f.expire)
	}
}

// logUnreadable logs each object that can't be decoded once: lists contain it again and
// again.
func (f *Follower[T]) logUnreadable(unreadable map[string]error) {
	for name, err := range unreadable {
		sum := xxhash.Sum64String(name + ": " + err.Error())
		if _, ok := f.loggedUnreadable[sum]; ok {
			continue
		}
		if f.loggedUnreadable == nil || len(f.loggedUnreadable) >= maxLoggedUnreadable {
			f.loggedUnreadable = make(map[uint64]struct{})
		}
		f.loggedUnreadable[sum] = struct{}{}
		f.Logger.Warn().Str("error", truncate(err.Error())).Str("kind", f.Kind).Str("object", truncate(name)).Msg("object cannot be decoded; ignoring it")
	}
}

// truncate shortens a text that another writer may have made very long.
func truncate(text string) string {
	return text[:min(len(text), maxLoggedBytes)]
}

// expire removes the objects whose grace period is over, also while no call is
// answered.
func (f *Follower[T]) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.Set.Expire(f.Clock.Now())
	d.At, d.Uncertain = f.position, len(f.Set.expiring) > 0
	if d.Changed() {
		f.Changed(f.Set.Items(), d)
	}
}

// RecordPeerAnswer records that the store has answered a peer.
func (f *Follower[T]) RecordPeerAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Set.RecordPeerAnswer(f.Clock.Now())
}

func (f *Follower[T]) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Set.RecordFailure()
	if f.reachable || !f.synced {
		f.Logger.Warn().Err(err).Str("kind", f.Kind).Uint64("era", uint64(f.position.Era)).Uint64("revision", uint64(f.position.Revision)).Msg("store is not reachable; the last known objects stay in use")
	}
	f.reachable = false
}

// hashObjects returns a hash of the objects' names and values.
func hashObjects(objects []mulberryspool.Object) uint64 {
	d := xxhash.New()
	for _, o := range objects {
		// Writing to a hash does not fail.
		_, _ = d.WriteString(o.Name + "=")
		_, _ = d.Write(o.Value)
	}
	return d.Sum64()
}

func (f *Follower[T]) sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-f.Clock.After(pause):
	case <-ctx.Done():
	}
}
