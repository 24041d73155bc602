package tables

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// fakeStore is an object API that holds only the tables object.
	fakeStore struct {
		mulberryspool.ObjectStore

		mu      sync.Mutex
		object  mulberryspool.Object
		changed chan struct{}
		// down makes every call fail.
		down atomic.Bool
		// silent makes watches end at the caller's deadline only.
		silent atomic.Bool
		// delay is the delay of each response.
		delay time.Duration
		calls atomic.Int64
	}

	// fakeList is an instance list that never changes.
	fakeList []mulberryspool.ListedInstance
)

func newFakeStore() *fakeStore {
	return &fakeStore{changed: make(chan struct{})}
}

func (s *fakeStore) write(revision mulberryspool.Revision, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.object = mulberryspool.Object{Kind: mulberryspool.TablesKind, Name: mulberryspool.TablesName, Version: revision, Value: value}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) current() (mulberryspool.Object, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.object, s.changed
}

func (s *fakeStore) Get(context.Context, string, string) (mulberryspool.Object, error) {
	s.calls.Add(1)
	time.Sleep(s.delay)
	object, _ := s.current()
	switch {
	case s.down.Load():
		return mulberryspool.Object{}, mulberryspool.ErrUnavailable
	case object.Version == 0:
		return mulberryspool.Object{}, mulberryspool.ErrNotFound
	}
	return object, nil
}

func (s *fakeStore) Watch(ctx context.Context, _, _ string, after mulberryspool.Revision) (mulberryspool.Object, error) {
	s.calls.Add(1)
	for {
		object, changed := s.current()
		switch {
		case s.down.Load():
			return mulberryspool.Object{}, mulberryspool.ErrUnavailable
		case object.Version > after && !s.silent.Load():
			time.Sleep(s.delay)
			return object, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return mulberryspool.Object{}, mulberryspool.ErrNotModified
		}
	}
}

func (l fakeList) Instances(context.Context) ([]mulberryspool.ListedInstance, error) {
	return l, nil
}

// run starts a follower and returns the revisions that its subscribers get.
func run(t *testing.T, f *Follower) <-chan mulberryspool.Revision {
	t.Helper()
	revisions := make(chan mulberryspool.Revision, 1000)
	f.Subscribe(func(view mulberryspool.TablesView) { revisions <- view.Revision })
	f.Clock = clockwork.NewRealClock()
	f.StartJitter = time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return revisions
}

// waitFor returns when the condition holds, or after about 20 s. The caller must
// check the condition itself.
func waitFor(condition func() bool) {
	for range 20_000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func awaitRevision(revisions <-chan mulberryspool.Revision, wanted mulberryspool.Revision) {
	for r := range revisions {
		if r == wanted {
			return
		}
	}
}

// Guards against a watch on a dead connection that hides a change forever.
func TestWatchWithoutResponseTimesOut(t *testing.T) {
	store := newFakeStore()
	store.write(1, validDocument(1))
	f := &Follower{Store: store, AlwaysWatch: true, WatchDeadline: 20 * time.Millisecond}
	revisions := run(t, f)
	awaitRevision(revisions, 1)
	store.silent.Store(true)
	store.write(2, validDocument(2))
	awaitRevision(revisions, 2)
}

// Guards against a process that does not learn of a change from a peer while the
// object API is down, or that has tables in force before any were confirmed.
func TestPeersSpreadTablesDuringOutage(t *testing.T) {
	store := newFakeStore()
	store.write(5, validDocument(5))
	ahead := &Follower{Store: store, AlwaysWatch: true}
	awaitRevision(run(t, ahead), 5)
	store.down.Store(true)
	fresh := &Follower{Store: store}
	revisions := run(t, fresh)
	if view, ok := fresh.Current(); ok {
		t.Fatalf("revision %d is in force before any was confirmed", view.Revision)
	}
	if _, ok := fresh.Document(0); ok {
		t.Fatal("a document was returned before any was confirmed")
	}
	fresh.ObservePeerRevision(5, func(context.Context) (mulberryspool.TablesDocument, error) {
		document, _ := ahead.Document(0)
		return document, nil
	})
	awaitRevision(revisions, 5)
	if _, ok := fresh.Document(5); ok {
		t.Fatal("a document was returned that is not above the revision")
	}
}

// Guards against concurrent fetches when many heartbeats report a new revision.
func TestFetchesAreCoalesced(t *testing.T) {
	store := newFakeStore()
	store.down.Store(true)
	f := &Follower{Store: store}
	revisions := run(t, f)
	release := make(chan struct{})
	var running, highest atomic.Int64
	fetch := func(context.Context) (mulberryspool.TablesDocument, error) {
		highest.Store(max(highest.Load(), running.Add(1)))
		defer running.Add(-1)
		<-release
		return mulberryspool.TablesDocument{Revision: 9, Document: validDocument(9)}, nil
	}
	var callers sync.WaitGroup
	for range 100 {
		callers.Go(func() { f.ObservePeerRevision(9, fetch) })
	}
	callers.Wait()
	close(release)
	awaitRevision(revisions, 9)
	if highest.Load() != 1 || f.Traffic().Fetches > 2 {
		t.Fatalf("%d fetches ran at once, %d in total", highest.Load(), f.Traffic().Fetches)
	}
}

// Guards against an invalid object that replaces the last valid one, or that is
// not reported in Rejected.
func TestInvalidObjectKeepsTheLastValidInForce(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("follower", func(t *testing.T) {
		store := newFakeStore()
		store.write(1, invalidDocument)
		f := &Follower{Store: store, AlwaysWatch: true}
		revisions := run(t, f)
		waitFor(func() bool { return f.Rejected() != nil })
		if _, ok := f.Current(); ok || f.Rejected() == nil {
			t.Fatalf("an invalid object is in force: %v, rejection %v", ok, f.Rejected())
		}
		store.write(3, validDocument(3))
		awaitRevision(revisions, 3)
		store.write(4, invalidDocument)
		awaitRevision(revisions, 3)
		view, _ := f.Current()
		if view.Rejected == nil || view.Rejected.Revision != 4 || view.Tables.Pools[0].MaxUnavailable != 3 {
			t.Fatalf("view is %+v with rejection %+v", view, view.Rejected)
		}
	})
}

// Guards against a watch of every process, which the object API counts as calls.
func TestOnlyElectedProcessesWatch(t *testing.T) {
	store := newFakeStore()
	store.write(1, validDocument(1))
	var list fakeList
	for i := range 6 {
		list = append(list, mulberryspool.ListedInstance{
			Identity: mulberryspool.Identity{Instance: mulberryspool.InstanceID(fmt.Sprint("i-", i)), FailureDomain: "d"},
			State:    mulberryspool.InstanceLive,
		})
	}
	var followers []*Follower
	for _, i := range list {
		f := &Follower{Store: store, Identity: i.Identity, InstanceList: list, PollInterval: time.Hour}
		awaitRevision(run(t, f), 1)
		followers = append(followers, f)
	}
	watching := func() int {
		count := 0
		for _, f := range followers {
			if f.Traffic().Watches > 0 {
				count++
			}
		}
		return count
	}
	waitFor(func() bool { return watching() >= DefaultWatchersPerDomain })
	if n := watching(); n != DefaultWatchersPerDomain {
		t.Fatalf("%d processes watch, want %d", n, DefaultWatchersPerDomain)
	}
}
