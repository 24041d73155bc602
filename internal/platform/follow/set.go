// Package follow keeps what the platform's store says of a kind of objects.
//
//	List ----> Set.Replace --\
//	Changes -> Set.Apply ------> Snapshot --> Changed
//	           Set.Expire ---/
//
// A list starts over after the history is gone. During an outage the last
// snapshot stays in force.
package follow

import (
	"maps"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// Set holds the decoded objects of a kind. It reads no clock and is used
	// by one goroutine.
	Set[T any] struct {
		// Decode returns an error for objects that are not to be used.
		Decode func(mulberryspool.Object) (T, error)
		// Grace is how long an object that disappeared around an outage stays,
		// because its owner could not renew it meanwhile; 0 for not at all.
		Grace time.Duration

		items map[string]T
		// leaving holds when objects that disappeared around an outage go.
		leaving map[string]time.Time
		// failedAt and returnedAt bound the last outage.
		failedAt, returnedAt time.Time
	}

	// Difference is what one step changed, by name.
	Difference struct {
		Put, Removed []string
		// Unreadable objects name nothing to use, with the reason.
		Unreadable map[string]error
		// At is the store's revision behind the step.
		At mulberryspool.Revision
		// Listed says that the objects come from a list, so that they may have
		// been there for any time.
		Listed bool
		// Uncertain says that some objects in use may be gone, because they
		// disappeared around an outage.
		Uncertain bool
	}
)

// Failed takes in that the store did not answer.
func (s *Set[T]) Failed(now time.Time) {
	s.failedAt = now
}

// Answered takes in that the store answered.
func (s *Set[T]) Answered(now time.Time) {
	if s.failedAt.After(s.returnedAt) {
		s.returnedAt = now
	}
}

// Replace takes over a whole list.
func (s *Set[T]) Replace(now time.Time, objects []mulberryspool.Object) Difference {
	s.prepare()
	d := Difference{Listed: true, Unreadable: make(map[string]error)}
	listed := make(map[string]struct{}, len(objects))
	for _, o := range objects {
		listed[o.Name] = struct{}{}
		s.put(&d, o)
	}
	for name := range s.items {
		if _, ok := listed[name]; !ok {
			s.remove(&d, now, name)
		}
	}
	return d
}

// Apply takes in changes, oldest first.
func (s *Set[T]) Apply(now time.Time, changes []mulberryspool.ObjectChange) Difference {
	s.prepare()
	d := Difference{Unreadable: make(map[string]error)}
	for _, c := range changes {
		if c.Deleted {
			s.remove(&d, now, c.Object.Name)
			continue
		}
		s.put(&d, c.Object)
	}
	return d
}

// Expire removes objects whose grace is over.
func (s *Set[T]) Expire(now time.Time) Difference {
	var d Difference
	for name, at := range s.leaving {
		if !now.Before(at) {
			s.drop(&d, name)
		}
	}
	return d
}

// NextExpiry returns when Expire has something to do.
func (s *Set[T]) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, at := range s.leaving {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Items returns a copy of the objects in use, by name.
func (s *Set[T]) Items() map[string]T {
	return maps.Clone(s.items)
}

func (s *Set[T]) prepare() {
	if s.items == nil {
		s.items = make(map[string]T)
		s.leaving = make(map[string]time.Time)
	}
}

func (s *Set[T]) put(d *Difference, o mulberryspool.Object) {
	item, err := s.Decode(o)
	if err != nil {
		d.Unreadable[o.Name] = err
		s.drop(d, o.Name)
		return
	}
	s.items[o.Name] = item
	delete(s.leaving, o.Name)
	d.Put = append(d.Put, o.Name)
}

// remove drops an object at once, unless an outage may have removed it.
func (s *Set[T]) remove(d *Difference, now time.Time, name string) {
	if _, ok := s.items[name]; !ok {
		return
	}
	if _, ok := s.leaving[name]; ok {
		return
	}
	until := s.returnedAt.Add(s.Grace)
	if s.Grace > 0 && !s.returnedAt.IsZero() && now.Before(until) {
		s.leaving[name] = until
		return
	}
	s.drop(d, name)
}

func (s *Set[T]) drop(d *Difference, name string) {
	if _, ok := s.items[name]; !ok {
		return
	}
	delete(s.items, name)
	delete(s.leaving, name)
	d.Removed = append(d.Removed, name)
}

// Changed says whether anything is different.
func (d Difference) Changed() bool {
	return len(d.Put) > 0 || len(d.Removed) > 0
}
