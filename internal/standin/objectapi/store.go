package objectapi

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/mulberryspool/mulberryspool"
)

type (
	key struct {
		kind, name string
	}

	// store holds the objects. Values are never changed after they were stored.
	store struct {
		mu      sync.Mutex
		version mulberryspool.Revision
		objects map[key]mulberryspool.Object
		// waiters are closed and removed when their object is written.
		waiters map[key]map[chan struct{}]struct{}
	}
)

func (s *store) init() {
	s.objects = make(map[key]mulberryspool.Object)
	s.waiters = make(map[key]map[chan struct{}]struct{})
}

func (s *store) get(k key) (mulberryspool.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[k]
	return object, found
}

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

func (s *store) put(kind, name string, value []byte) mulberryspool.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(key{kind: kind, name: name}, slices.Clone(value))
}

func (s *store) create(k key, value []byte) (mulberryspool.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if object, found := s.objects[k]; found {
		return object, false
	}
	return s.set(k, value), true
}

func (s *store) update(k key, value []byte, version mulberryspool.Revision) (mulberryspool.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[k]
	if !found || object.Version != version {
		return object, false
	}
	return s.set(k, value), true
}

// remove returns the object with the version of its removal.
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

// set needs the lock.
func (s *store) set(k key, value []byte) mulberryspool.Object {
	s.version++
	object := mulberryspool.Object{Kind: k.kind, Name: k.name, Version: s.version, Value: value}
	s.objects[k] = object
	for waiter := range s.waiters[k] {
		close(waiter)
	}
	delete(s.waiters, k)
	return object
}

// follow returns the object and a channel that is closed at its next write.
// A caller that no longer waits for the channel calls leave.
func (s *store) follow(k key) (object mulberryspool.Object, found bool, changed <-chan struct{}, leave func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found = s.objects[k]
	waiter := make(chan struct{})
	if s.waiters[k] == nil {
		s.waiters[k] = make(map[chan struct{}]struct{})
	}
	s.waiters[k][waiter] = struct{}{}
	return object, found, waiter, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiters[k], waiter)
		if len(s.waiters[k]) == 0 {
			delete(s.waiters, k)
		}
	}
}
