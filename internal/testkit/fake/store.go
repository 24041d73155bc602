// Package fake provides in-memory implementations of interfaces of the root
// package, for tests.
package fake

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// Store is a mulberryspool.ObjectStore in memory.
	Store struct {
		// BeforeCall, if set, is called without locks before each call takes effect. If
		// it returns an error, the call fails with it.
		BeforeCall func(method, kind, name string) error
		// AfterWrite, if set, is called after a create or update took effect. If it
		// returns an error, the call returns that instead of the result.
		AfterWrite func(method, kind, name string) error

		mu      sync.Mutex
		failure error
		objects map[string]mulberryspool.Object
		version mulberryspool.Revision
		writes  int
		reads   int
	}
)

// Writes returns the number of write calls, including rejected ones.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Reads returns the number of Get and List calls that were not rejected.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Get implements mulberryspool.ObjectStore.
func (s *Store) Get(_ context.Context, kind, name string) (mulberryspool.Object, error) {
	if err := s.checkCall("Get", kind, name); err != nil {
		return mulberryspool.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	object, ok := s.objects[kind+"/"+name]
	if !ok {
		return mulberryspool.Object{}, mulberryspool.ErrNotFound
	}
	return object, nil
}

// List implements mulberryspool.ObjectStore.
func (s *Store) List(_ context.Context, kind, prefix string) ([]mulberryspool.Object, error) {
	if err := s.checkCall("List", kind, prefix); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var found []mulberryspool.Object
	for _, object := range s.objects {
		if object.Kind == kind && strings.HasPrefix(object.Name, prefix) {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b mulberryspool.Object) int { return strings.Compare(a.Name, b.Name) })
	return found, nil
}

// Create implements mulberryspool.ObjectStore.
func (s *Store) Create(_ context.Context, kind, name string, value []byte) (mulberryspool.Object, error) {
	return s.write("Create", kind, name, value, 0)
}

// Update implements mulberryspool.ObjectStore.
func (s *Store) Update(_ context.Context, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	return s.write("Update", kind, name, value, version)
}

// Delete implements mulberryspool.ObjectStore.
func (s *Store) Delete(_ context.Context, kind, name string, version mulberryspool.Revision) error {
	if err := s.checkCall("Delete", kind, name); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	object, ok := s.objects[kind+"/"+name]
	if !ok {
		return mulberryspool.ErrNotFound
	}
	if object.Version != version {
		return mulberryspool.ErrConflict
	}
	delete(s.objects, kind+"/"+name)
	return nil
}

// Watch implements mulberryspool.ObjectStore. It always fails, as no test needs
// watches.
func (s *Store) Watch(context.Context, string, string, mulberryspool.Revision) (mulberryspool.Object, error) {
	return mulberryspool.Object{}, errors.New("fake store does not support watches")
}

func (s *Store) write(method, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	if err := s.checkCall(method, kind, name); err != nil {
		s.mu.Lock()
		s.writes++
		s.mu.Unlock()
		return mulberryspool.Object{}, err
	}
	object, err := s.apply(method, kind, name, value, version)
	if err == nil && s.AfterWrite != nil {
		if err := s.AfterWrite(method, kind, name); err != nil {
			return mulberryspool.Object{}, err
		}
	}
	return object, err
}

// apply performs a write and assigns the next version to the object.
func (s *Store) apply(method, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	stored, ok := s.objects[kind+"/"+name]
	switch {
	case method == "Create" && ok, method == "Update" && stored.Version != version:
		return mulberryspool.Object{}, mulberryspool.ErrConflict
	case len(value) > 1<<20:
		return mulberryspool.Object{}, errors.Newf("value of %s/%s is %d bytes, maximum is 1 MiB", kind, name, len(value))
	}
	if s.objects == nil {
		s.objects = make(map[string]mulberryspool.Object)
	}
	s.version++
	object := mulberryspool.Object{Kind: kind, Name: name, Version: s.version, Value: slices.Clone(value)}
	s.objects[kind+"/"+name] = object
	return object, nil
}

// SetError makes all calls fail with the error; nil lets them succeed again.
func (s *Store) SetError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failure = err
}

// checkCall returns the error with which a call is to fail, if any.
func (s *Store) checkCall(method, kind, name string) error {
	s.mu.Lock()
	failure := s.failure
	s.mu.Unlock()
	if failure != nil {
		return failure
	}
	if s.BeforeCall == nil {
		return nil
	}
	return s.BeforeCall(method, kind, name)
}
