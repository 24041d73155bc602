package follow

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
	// DefaultWait is how long a watch waits; the price of a call is that of
	// its whole wait, and keep-alive probes find a silent connection sooner.
	DefaultWait = 25 * time.Second
	// DefaultRearm is the pause before a watch goes on, in which changes that
	// come together are collected. It is well below the bound of 2 s in which
	// a change must be in force.
	DefaultRearm = 250 * time.Millisecond
	// retryPause is the mean pause after a call that failed for good.
	retryPause = 250 * time.Millisecond
	// restingCheck is how often a follower that rests asks whether it still may.
	restingCheck = 200 * time.Millisecond
)

type (
	// Follower follows one kind. Set the exported fields before Run.
	Follower[T any] struct {
		Store mulberryspool.ObjectKinds
		Kind  string
		Clock mulberryspool.Clock
		Set   Set[T]
		// Changed is called with the objects in use and what the step changed,
		// in order, from Run's goroutine, and never at the same time as Heard.
		Changed func(items map[string]T, d Difference)
		// Wait returns how long the next watch waits; nil means DefaultWait.
		Wait func() time.Duration
		// Rearm is DefaultRearm when it is 0.
		Rearm time.Duration
		// Rests says that peers tell what the store says, so that it need not be
		// asked; nil means never.
		Rests  func() bool
		Logger zerolog.Logger

		mu        sync.Mutex
		revision  mulberryspool.Revision
		reachable bool
		known     bool

		// polling is set while an object changes more often than a watch is
		// renewed. Each of its states would come whole, and only the last counts.
		// It and listed, a hash of the last list, are used by Run only.
		polling bool
		listed  uint64
	}
)

// Run follows the kind until the context ends.
func (f *Follower[T]) Run(ctx context.Context) {
	if f.Wait == nil {
		f.Wait = func() time.Duration { return DefaultWait }
	}
	if f.Rearm == 0 {
		f.Rearm = DefaultRearm
	}
	listed := false
	for ctx.Err() == nil {
		if f.Rests != nil && f.Rests() {
			listed = false
			f.sleep(ctx, restingCheck)
			continue
		}
		var err error
		if listed && !f.polling {
			listed, err = f.watch(ctx)
		} else {
			listed, err = f.list(ctx)
		}
		pause := f.Rearm
		if err != nil {
			f.failed(ctx, err)
			pause = time.Duration((0.5 + rand.Float64()) * float64(retryPause))
		}
		f.sleep(ctx, pause)
	}
}

// Known says whether a list was read or heard.
func (f *Follower[T]) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// Reachable says whether the store answered the last call.
func (f *Follower[T]) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachable
}

// Update runs a function while no step of the follower runs.
func (f *Follower[T]) Update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = true
	change()
}

func (f *Follower[T]) list(ctx context.Context) (bool, error) {
	objects, at, err := f.Store.List(ctx, f.Kind)
	if err != nil {
		return false, err
	}
	content := hash(objects)
	f.polling = f.polling && content != f.listed
	f.listed = content
	f.step(func(now time.Time) Difference { return f.Set.Replace(now, objects) }, at)
	return true, nil
}

// watch returns false when the kind has to be listed again.
func (f *Follower[T]) watch(ctx context.Context) (bool, error) {
	wait := f.Wait()
	if at, ok := f.Set.NextExpiry(); ok {
		wait = min(wait, max(0, f.Clock.Until(at)))
	}
	changes, at, err := f.Store.Changes(ctx, f.Kind, f.revision, wait)
	if errors.Is(err, mulberryspool.ErrCompacted) {
		f.Logger.Info().Str("kind", f.Kind).Uint64("revision", uint64(f.revision)).Msg("history is gone, listing again")
		return f.list(ctx)
	}
	if err != nil {
		return true, err
	}
	seen := make(map[string]struct{}, len(changes))
	for _, c := range changes {
		seen[c.Object.Name] = struct{}{}
	}
	f.polling = len(seen) < len(changes)
	f.step(func(now time.Time) Difference { return f.Set.Apply(now, changes) }, at)
	return true, nil
}

func (f *Follower[T]) step(apply func(time.Time) Difference, at mulberryspool.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.Set.Answered(now)
	if !f.reachable {
		f.reachable = true
		f.Logger.Info().Str("kind", f.Kind).Uint64("revision", uint64(at)).Bool("first", !f.known).Msg("store is reachable")
	}
	first := !f.known
	f.known = true
	d := apply(now)
	expired := f.Set.Expire(now)
	d.Removed = append(d.Removed, expired.Removed...)
	f.revision = max(f.revision, at)
	for name, err := range d.Unreadable {
		f.Logger.Warn().Err(err).Str("kind", f.Kind).Str("object", name).Msg("object names nothing to use")
	}
	d.At, d.Uncertain = f.revision, len(f.Set.leaving) > 0
	if first || d.Changed() {
		f.Changed(f.Set.Items(), d)
	}
}

func (f *Follower[T]) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Set.Failed(f.Clock.Now())
	if f.reachable || !f.known {
		f.Logger.Warn().Err(err).Str("kind", f.Kind).Uint64("revision", uint64(f.revision)).Msg("store is not reachable, the last state stays in force")
	}
	f.reachable = false
}

// hash tells lists apart.
func hash(objects []mulberryspool.Object) uint64 {
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
