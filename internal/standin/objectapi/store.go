package objectapi

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// key identifies an object.
	key struct {
		kind, name string
	}

	// store holds the objects in memory. Stored values must not be modified.
	store struct {
		mu sync.Mutex
		// version is incremented by each write and removal of any object.
		version mulberryspool.Revision
		objects map[key]mulberryspool.Object
		// watchers holds a channel for each waiting watch. The channels of an
		// object are closed and removed when it is written.
		watchers map[key]map[chan struct{}]struct{}
	}
)

func (s *store) init() {
	s.objects = make(map[key]mulberryspool.Object)
	s.watchers = make(map[key]map[chan struct{}]struct{})
}

func (s *store) get(k key) (mulberryspool.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[k]
	return object, found
}

// list returns the objects of a kind whose names have a prefix, sorted by name, and
// the latest version.
func (s *store) list(kind, prefix string) ([]mulberryspool.Object, mulberryspool.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := []mulberryspool.Object{}
	for k, o := range s.objects {
		if k.kind == kind && strings.HasPrefix(k.name, prefix) {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b mulberryspool.Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects, s.version
}

// put stores a copy of the value unconditionally.
func (s *store) put(kind, name string, value []byte) mulberryspool.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(key{kind: kind, name: name}, slices.Clone(value))
}

// create stores the value if the object does not exist, and otherwise returns the
// existing object and false.
func (s *store) create(k key, value []byte) (mulberryspool.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object, found := s.objects[k]; found {
		return object, false
	}
	return s.set(k, value), true
}

// update stores the value if the object has the given version, and otherwise
// returns the existing object, if any, and false.
func (s *store) update(k key, value []byte, version mulberryspool.Revision) (mulberryspool.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[k]
	if !found || object.Version != version {
		return object, false
	}
	return s.set(k, value), true
}

// remove deletes an object if it has the given version. It returns the object
// with the new version that the removal got.
func (s *store) remove(k key, version mulberryspool.Revision) (mulberryspool.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[k]
	if !found || object.Version != version {
		return object, false
	}
	s.version++
	object.Version = s.version
	delete(s.objects, k)
	return object, true
}

// set stores a value under the next version and wakes the watches of the object.
// The caller must hold s.mu.
func (s *store) set(k key, value []byte) mulberryspool.Object {
	s.version++
	object := mulberryspool.Object{Kind: k.kind, Name: k.name, Version: s.version, Value: value}
	s.objects[k] = object
	for watcher := range s.watchers[k] {
		close(watcher)
	}
	delete(s.watchers, k)
	return object
}

// subscribe returns the object and a channel that is closed at its next write. A
// removal doesn't close it. A caller that stops waiting earlier must call
// unsubscribe.
func (s *store) subscribe(k key) (object mulberryspool.Object, found bool, changed <-chan struct{}, unsubscribe func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found = s.objects[k]
	watcher := make(chan struct{})
	if s.watchers[k] == nil {
		s.watchers[k] = make(map[chan struct{}]struct{})
	}
	s.watchers[k][watcher] = struct{}{}
	return object, found, watcher, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.watchers[k], watcher)
		if len(s.watchers[k]) == 0 {
			delete(s.watchers, k)
		}
	}
}
