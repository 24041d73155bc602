// Package fake holds fakes at the interfaces of the root package for the
// tests of several packages.
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
	// Store is an object API in memory.
	Store struct {
		// Before is called without locks before each call takes effect; an
		// error refuses the call. It may be nil.
		Before func(method, kind, name string) error
		// After is called after a write took effect; an error replaces the answer.
		After func(method, kind, name string) error

		mu      sync.Mutex
		refusal error
		objects map[string]mulberryspool.Object
		version mulberryspool.Revision
		writes  int
		reads   int
	}
)

// Writes returns the number of write calls, refused ones included.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// Reads returns the number of Get and List calls.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// Get implements mulberryspool.ObjectStore.
func (s *Store) Get(_ context.Context, kind, name string) (mulberryspool.Object, error) {
	if err := s.before("Get", kind, name); err != nil {
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
	if err := s.before("List", kind, prefix); err != nil {
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
	if err := s.before("Delete", kind, name); err != nil {
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

// Watch implements mulberryspool.ObjectStore, which no test needs.
func (s *Store) Watch(context.Context, string, string, mulberryspool.Revision) (mulberryspool.Object, error) {
	return mulberryspool.Object{}, errors.New("the fake store has no watches")
}

func (s *Store) write(method, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	if err := s.before(method, kind, name); err != nil {
		s.mu.Lock()
		s.writes++
		s.mu.Unlock()
		return mulberryspool.Object{}, err
	}
	object, err := s.apply(method, kind, name, value, version)
	if err == nil && s.After != nil {
		if err := s.After(method, kind, name); err != nil {
			return mulberryspool.Object{}, err
		}
	}
	return object, err
}

func (s *Store) apply(method, kind, name string, value []byte, version mulberryspool.Revision) (mulberryspool.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	present, ok := s.objects[kind+"/"+name]
	switch {
	case method == "Create" && ok, method == "Update" && present.Version != version:
		return mulberryspool.Object{}, mulberryspool.ErrConflict
	case len(value) > 1<<20:
		return mulberryspool.Object{}, errors.Newf("value of %s/%s is %d bytes", kind, name, len(value))
	}
	if s.objects == nil {
		s.objects = make(map[string]mulberryspool.Object)
	}
	s.version++
	object := mulberryspool.Object{Kind: kind, Name: name, Version: s.version, Value: slices.Clone(value)}
	s.objects[kind+"/"+name] = object
	return object, nil
}

// Refuse makes all calls fail with the error until it is called with nil.
func (s *Store) Refuse(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusal = err
}

func (s *Store) before(method, kind, name string) error {
	s.mu.Lock()
	refusal := s.refusal
	s.mu.Unlock()
	if refusal != nil {
		return refusal
	}
	if s.Before == nil {
		return nil
	}
	return s.Before(method, kind, name)
}
