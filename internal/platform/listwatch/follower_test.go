package listwatch

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
)

// fakeStore holds one object, whose value is its version number.
type fakeStore struct {
	mulberryspool.KindStore

	mu             sync.Mutex
	value          int
	lists, watches int
	// versionsSent counts the versions of the object in all answers.
	versionsSent int
}

func (s *fakeStore) object(value int) mulberryspool.Object {
	return mulberryspool.Object{Name: "main", Value: []byte(strconv.Itoa(value))}
}

func (s *fakeStore) List(context.Context, string) ([]mulberryspool.Object, mulberryspool.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	s.versionsSent++
	return []mulberryspool.Object{s.object(s.value)}, mulberryspool.Position{Revision: mulberryspool.Revision(s.value)}, nil
}

// Changes returns each version after the revision, as the platform does.
func (s *fakeStore) Changes(_ context.Context, _ string, after mulberryspool.Revision, _ time.Duration) (mulberryspool.ChangeList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	var changes []mulberryspool.ObjectChange
	for v := int(after) + 1; v <= s.value; v++ {
		s.versionsSent++
		changes = append(changes, mulberryspool.ObjectChange{Object: s.object(v)})
	}
	return mulberryspool.ChangeList{Changes: changes, At: mulberryspool.Position{Revision: mulberryspool.Revision(s.value)}}, nil
}

func newFollower(s *fakeStore, clock clockwork.Clock) *Follower[string] {
	return &Follower[string]{
		Store: s, Kind: "config", Clock: clock, Logger: zerolog.Nop(),
		Set:     Set[string]{Decode: func(o mulberryspool.Object) (string, error) { return string(o.Value), nil }},
		Changed: func(map[string]string, Delta) {},
	}
}

// changeOften makes ten changes before each call of the follower.
func changeOften(ctx context.Context, t *testing.T, s *fakeStore, clock *clockwork.FakeClock, steps int) {
	t.Helper()
	for range steps {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		s.mu.Lock()
		s.value += 10
		s.mu.Unlock()
		clock.Advance(DefaultWatchPause)
	}
}

// Guards against reading every version of a configuration that changes often:
// a watch returns each version in full although only the last one counts. The
// follower must list instead, and watch again when the changes are over.
func TestFrequentChangesAreListed(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	clock := clockwork.NewFakeClock()
	s := &fakeStore{}
	f := newFollower(s, clock)
	go f.Run(ctx)
	const steps = 20
	changeOften(ctx, t, s, clock, steps)
	s.mu.Lock()
	versions, watches := s.versionsSent, s.watches
	s.mu.Unlock()
	// The first list, one watch that returns ten versions, then one per list.
	if most := 1 + 10 + steps; versions > most {
		t.Errorf("%d versions of the object were sent in %d calls, want at most %d", versions, steps, most)
	}
	for range 3 {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(DefaultWatchPause)
	}
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches <= watches {
		t.Error("the follower does not watch again after the changes")
	}
}

// Guards against a paused follower that calls the store, or that does not list
// the kind first when the pause ends.
func TestPausedFollowerDoesNotCallStore(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	clock := clockwork.NewFakeClock()
	s := &fakeStore{}
	f := newFollower(s, clock)
	var mu sync.Mutex
	paused := true
	f.Paused = func() bool {
		mu.Lock()
		defer mu.Unlock()
		return paused
	}
	go f.Run(ctx)
	advance := func() {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(DefaultWatchPause)
	}
	for range 10 {
		advance()
	}
	s.mu.Lock()
	if s.lists != 0 || s.watches != 0 {
		t.Errorf("%d lists and %d watches while paused, want none", s.lists, s.watches)
	}
	s.mu.Unlock()
	mu.Lock()
	paused = false
	mu.Unlock()
	for range 3 {
		advance()
	}
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lists != 1 || s.watches == 0 {
		t.Errorf("%d lists and %d watches after the pause, want one list and at least one watch", s.lists, s.watches)
	}
}

// Guards against a follower that begins to call the store only when it next checks whether it is
// paused.
func TestPausedFollowerBeginsWhenWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeStore{}
		f := newFollower(s, clockwork.NewRealClock())
		var resumed atomic.Bool
		f.Paused = func() bool { return !resumed.Load() }
		done := make(chan struct{})
		go func() { defer close(done); f.Run(ctx) }()
		time.Sleep(pausedCheckInterval / 2)
		resumed.Store(true)
		f.Wake()
		synctest.Wait()
		if s.lists != 1 {
			t.Errorf("%d lists after Wake, want one", s.lists)
		}
		cancel()
		<-done
	})
}
