package tables

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// fakeStore is an in-memory object API that can lose requests and responses
	// and delay writes.
	fakeStore struct {
		mu      sync.Mutex
		objects map[string]mulberryspool.Object
		version mulberryspool.Revision
		// fault chooses the fault of each write; nil for none.
		fault func() fault
		// delayed holds writes that take effect before a later call.
		delayed []func()
		// random chooses before each call which delayed writes take effect. If
		// it is nil, all of them do.
		random *rand.Rand
	}

	fault int

	// instantClock fires timers immediately.
	instantClock struct{ clockwork.Clock }
)

const (
	faultNone fault = iota
	// faultAnswerLost applies the write and loses the response.
	faultAnswerLost
	// faultRequestLost loses the request.
	faultRequestLost
	// faultDelayed loses the response and applies the write before a later
	// call.
	faultDelayed
	// faultUnavailable rejects the write with ErrUnavailable.
	faultUnavailable
	faultCount
)

func (c instantClock) After(time.Duration) <-chan time.Time {
	ready := make(chan time.Time, 1)
	ready <- c.Now()
	return ready
}

func newWriter(store mulberryspool.ObjectStore) *Writer {
	return &Writer{Store: store, Clock: instantClock{clockwork.NewFakeClock()}}
}

// lockAndApplyDelayed locks the store, applies delayed writes and returns the
// function that unlocks the store.
func (s *fakeStore) lockAndApplyDelayed() func() {
	s.mu.Lock()
	for i := 0; i < len(s.delayed); {
		if s.random != nil && s.random.IntN(2) == 0 {
			i++
			continue
		}
		s.delayed[i]()
		s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
	}
	return s.mu.Unlock
}

func (s *fakeStore) Get(ctx context.Context, kind, name string) (mulberryspool.Object, error) {
	defer s.lockAndApplyDelayed()()
	object, ok := s.objects[kind+"/"+name]
	if ctx.Err() != nil {
		return mulberryspool.Object{}, ctx.Err()
	}
	if !ok {
		return mulberryspool.Object{}, mulberryspool.ErrNotFound
	}
	return object, nil
}

func (s *fakeStore) List(_ context.Context, kind, prefix string) ([]mulberryspool.Object, error) {
	defer s.lockAndApplyDelayed()()
	var all []mulberryspool.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, kind+"/"+prefix) {
			all = append(all, object)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all, nil
}

func (s *fakeStore) Create(_ context.Context, kind, name string, value []byte) (mulberryspool.Object, error) {
	return s.write(kind, name, value, 0)
}

func (s *fakeStore) Update(_ context.Context, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	return s.write(kind, name, value, version)
}

func (s *fakeStore) Delete(context.Context, string, string, mulberryspool.Revision) error {
	return mulberryspool.ErrUnavailable
}

func (s *fakeStore) Watch(context.Context, string, string, mulberryspool.Revision) (mulberryspool.Object, error) {
	return mulberryspool.Object{}, mulberryspool.ErrNotModified
}

func (s *fakeStore) write(kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	defer s.lockAndApplyDelayed()()
	chosen := faultNone
	if s.fault != nil {
		chosen = s.fault()
	}
	switch chosen {
	case faultUnavailable:
		return mulberryspool.Object{}, mulberryspool.ErrUnavailable
	case faultRequestLost:
		return mulberryspool.Object{}, mulberryspool.ErrUncertain
	case faultDelayed:
		s.delayed = append(s.delayed, func() { _, _ = s.put(kind, name, value, version) })
		return mulberryspool.Object{}, mulberryspool.ErrUncertain
	}
	object, err := s.put(kind, name, value, version)
	if chosen == faultAnswerLost {
		return mulberryspool.Object{}, mulberryspool.ErrUncertain
	}
	return object, err
}

func (s *fakeStore) put(kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	key := kind + "/" + name
	if s.objects[key].Version != version {
		return mulberryspool.Object{}, mulberryspool.ErrConflict
	}
	if s.objects == nil {
		s.objects = make(map[string]mulberryspool.Object)
	}
	// The versions of one object have gaps, because every write of any object
	// increases the version.
	s.version += 1 + s.version%3
	s.objects[key] = mulberryspool.Object{Kind: kind, Name: name, Version: s.version, Value: append([]byte{}, value...)}
	return s.objects[key], nil
}

// poolFile returns a file with plain pools. Each pool stores its limit in
// MaxUnavailable, which distinguishes the values of a row.
func poolFile(base mulberryspool.Revision, limits map[string]int) File {
	f := File{Base: base}
	for name, limit := range limits {
		f.Pools = append(f.Pools, mulberryspool.Pool{Name: name, Kind: mulberryspool.PoolPlain, MaxUnavailable: limit})
	}
	return f
}

// limitsOf returns MaxUnavailable by pool.
func limitsOf(t mulberryspool.Tables) map[string]int {
	limits := make(map[string]int)
	for _, p := range t.Pools {
		limits[p.Name] = p.MaxUnavailable
	}
	return limits
}
