package listwatch

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
)

// restorableStore holds objects, the history of its era and a copy of both.
type restorableStore struct {
	mulberryspool.KindStore

	mu      sync.Mutex
	at      mulberryspool.Position
	objects map[string]string
	history map[mulberryspool.Revision]mulberryspool.ObjectChange
	// late is the answer to the next list; nil for the current one.
	late    *mulberryspool.Position
	changed chan struct{}
}

func newRestorableStore() *restorableStore {
	return &restorableStore{
		at: mulberryspool.Position{Era: 1}, objects: make(map[string]string),
		history: make(map[mulberryspool.Revision]mulberryspool.ObjectChange), changed: make(chan struct{}),
	}
}

func (s *restorableStore) put(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at.Revision++
	s.objects[name] = value
	s.history[s.at.Revision] = mulberryspool.ObjectChange{Object: mulberryspool.Object{Name: name, Value: []byte(value), Version: s.at.Revision, Era: s.at.Era}}
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore returns a function that restores the current state, and cuts off the watches that wait
// if cut is set.
func (s *restorableStore) restore() func(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, objects, history := s.at, maps.Clone(s.objects), maps.Clone(s.history)
	return func(cut bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.objects, s.history = objects, history
		s.at = mulberryspool.Position{Era: s.at.Era + 1, Revision: at.Revision}
		if cut {
			close(s.changed)
			s.changed = make(chan struct{})
		}
	}
}

func (s *restorableStore) List(context.Context, string) ([]mulberryspool.Object, mulberryspool.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.late != nil {
		at := *s.late
		s.late = nil
		return []mulberryspool.Object{{Name: "late", Era: at.Era}}, at, nil
	}
	var list []mulberryspool.Object
	for name, value := range s.objects {
		list = append(list, mulberryspool.Object{Name: name, Value: []byte(value), Era: s.at.Era})
	}
	return list, s.at, nil
}

func (s *restorableStore) Changes(ctx context.Context, _ string, after mulberryspool.Revision, wait time.Duration) (mulberryspool.ChangeList, error) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		if after > s.at.Revision {
			s.mu.Unlock()
			return mulberryspool.ChangeList{}, mulberryspool.ErrCompacted
		}
		answer, changed := mulberryspool.ChangeList{At: s.at}, s.changed
		for r := after + 1; r <= s.at.Revision; r++ {
			answer.Changes = append(answer.Changes, s.history[r])
		}
		s.mu.Unlock()
		if len(answer.Changes) > 0 {
			return answer, nil
		}
		select {
		case <-changed:
		case <-end:
			return answer, nil
		case <-ctx.Done():
			return mulberryspool.ChangeList{}, ctx.Err()
		}
	}
}

// follow starts a follower with a grace period, and returns it and a function that returns its
// objects.
func follow(t *testing.T, s *restorableStore) (*Follower[string], func() map[string]string) {
	var mu sync.Mutex
	items := make(map[string]string)
	f := &Follower[string]{
		Store: s, Kind: "servers", Clock: clockwork.NewRealClock(), Logger: zerolog.Nop(),
		Set: Set[string]{GracePeriod: 2 * time.Second, Decode: func(o mulberryspool.Object) (string, error) { return string(o.Value), nil }},
		Changed: func(changed map[string]string, _ Delta) {
			mu.Lock()
			defer mu.Unlock()
			items = changed
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f, func() map[string]string {
		mu.Lock()
		defer mu.Unlock()
		return items
	}
}

// Guards against changes that are never seen because the store was restored and gave their
// revisions out again, whether it is behind the last revision that was seen, at it, or past it.
func TestChangesAfterRestoreAreSeen(t *testing.T) {
	for name, rewritten := range map[string]int{"revisions behind": 2, "revisions equal": 10, "revisions past": 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestorableStore()
				s.put("a", "1")
				_, items := follow(t, s)
				time.Sleep(time.Second)
				restore := s.restore()
				for i := range 10 {
					s.put("lost", strconv.Itoa(i))
				}
				time.Sleep(time.Second)
				restore(false)
				s.put("b", "1")
				for i := range rewritten - 1 {
					s.put("a", strconv.Itoa(i))
				}
				time.Sleep(time.Second)
				s.put("c", "1")
				time.Sleep(4 * time.Second)
				if got := items(); got["b"] != "1" || got["c"] != "1" || got["a"] != strconv.Itoa(rewritten-2) {
					t.Errorf("objects are %v, want the last ones of a, b and c", got)
				}
				if _, ok := items()["lost"]; ok {
					t.Error("an object that was not written again is still in use")
				}
			})
		})
	}
}

// Guards against an object that is removed at once because the copy lacks it, although its owner
// is about to write it again.
func TestObjectsThatCopyLacksStayForGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestorableStore()
		_, items := follow(t, s)
		restore := s.restore()
		s.put("a", "1")
		time.Sleep(time.Second)
		restore(true)
		for range 19 {
			time.Sleep(100 * time.Millisecond)
			if items()["a"] != "1" {
				t.Fatalf("objects are %v within the grace period, want a", items())
			}
		}
	})
}

// Guards against a watch that waits for its end while another call has shown that the store was
// restored, and against a list in an earlier era that replaces a later one.
func TestObservedEraEndsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestorableStore()
		s.put("a", "1")
		f, items := follow(t, s)
		time.Sleep(time.Second)
		restore := s.restore()
		s.put("lost", "1")
		time.Sleep(time.Second)
		restore(false)
		s.put("a", "2")
		s.mu.Lock()
		s.late = &mulberryspool.Position{Era: 1, Revision: 9}
		s.mu.Unlock()
		f.ObserveEra(2)
		time.Sleep(2 * time.Second)
		if items()["a"] != "2" {
			t.Errorf("objects are %v 2s after the era was observed, want that of the new era", items())
		}
		// The grace period of what the first late list had.
		time.Sleep(2 * time.Second)
		s.mu.Lock()
		s.late = &mulberryspool.Position{Era: 1, Revision: 99}
		s.mu.Unlock()
		f.ObserveEra(3)
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if _, ok := items()["late"]; ok || items()["a"] != "2" {
				t.Fatalf("objects are %v, want those of the later era", items())
			}
		}
	})
}
