package follow

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
)

// scriptedStore holds one object, whose value is the number of its change.
type scriptedStore struct {
	mulberryspool.ObjectKinds

	mu             sync.Mutex
	value          int
	lists, watches int
	// states counts the states of the object that were sent.
	states int
}

func (s *scriptedStore) object(value int) mulberryspool.Object {
	return mulberryspool.Object{Name: "main", Value: []byte(strconv.Itoa(value))}
}

func (s *scriptedStore) List(context.Context, string) ([]mulberryspool.Object, mulberryspool.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	s.states++
	return []mulberryspool.Object{s.object(s.value)}, mulberryspool.Revision(s.value), nil
}

// Changes returns each state after the revision, as the platform does.
func (s *scriptedStore) Changes(_ context.Context, _ string, after mulberryspool.Revision, _ time.Duration) ([]mulberryspool.ObjectChange, mulberryspool.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	var changes []mulberryspool.ObjectChange
	for v := int(after) + 1; v <= s.value; v++ {
		s.states++
		changes = append(changes, mulberryspool.ObjectChange{Object: s.object(v)})
	}
	return changes, mulberryspool.Revision(s.value), nil
}

func newFollower(s *scriptedStore, clock clockwork.Clock) *Follower[string] {
	return &Follower[string]{
		Store: s, Kind: "config", Clock: clock, Logger: zerolog.Nop(),
		Set:     Set[string]{Decode: func(o mulberryspool.Object) (string, error) { return string(o.Value), nil }},
		Changed: func(map[string]string, Difference) {},
	}
}

// storm makes ten changes before each step of the follower.
func storm(ctx context.Context, t *testing.T, s *scriptedStore, clock *clockwork.FakeClock, steps int) {
	t.Helper()
	for range steps {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		s.mu.Lock()
		s.value += 10
		s.mu.Unlock()
		clock.Advance(DefaultRearm)
	}
}

// A storm of configurations: a watch sends each state whole, and only the
// last one counts, so the follower reads just that until the storm is over.
func TestOnlyTheLastStateOfAStormIsRead(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	clock := clockwork.NewFakeClock()
	s := &scriptedStore{}
	f := newFollower(s, clock)
	go f.Run(ctx)
	const steps = 20
	storm(ctx, t, s, clock, steps)
	s.mu.Lock()
	states, watches := s.states, s.watches
	s.mu.Unlock()
	// The list at the start, one watch that meets ten changes, then a state a step.
	if most := 1 + 10 + steps; states > most {
		t.Errorf("%d states of the object were sent in %d steps, want at most %d", states, steps, most)
	}
	for range 3 {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(DefaultRearm)
	}
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches <= watches {
		t.Error("the follower does not watch again after the storm")
	}
}

// A follower that rests leaves the store alone, and lists anew when its peers
// fall silent.
func TestRestingFollowerLeavesTheStoreAlone(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	clock := clockwork.NewFakeClock()
	s := &scriptedStore{}
	f := newFollower(s, clock)
	var mu sync.Mutex
	rests := true
	f.Rests = func() bool {
		mu.Lock()
		defer mu.Unlock()
		return rests
	}
	go f.Run(ctx)
	advance := func() {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(DefaultRearm)
	}
	for range 10 {
		advance()
	}
	s.mu.Lock()
	if s.lists != 0 || s.watches != 0 {
		t.Errorf("%d lists and %d watches while at rest, want none", s.lists, s.watches)
	}
	s.mu.Unlock()
	mu.Lock()
	rests = false
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
		t.Errorf("%d lists and %d watches after the rest, want a list and watches", s.lists, s.watches)
	}
}
