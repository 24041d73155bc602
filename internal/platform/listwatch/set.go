// Package listwatch mirrors all objects of one kind from the platform's store.
//
//	List ----> Set.Replace --\
//	Changes -> Set.Apply ------> Set.Items --> Changed
//	           Set.Expire ---/
//
// The objects are listed again when the store no longer has the history that a
// watch needs. During an outage the last known objects stay in use.
package listwatch

import (
	"maps"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// Set holds the decoded objects of a kind. It does not read a clock and is
	// not safe for concurrent use.
	Set[T any] struct {
		// Decode returns an error for objects that must not be used.
		Decode func(mulberryspool.Object) (T, error)
		// GracePeriod is how long after an outage, or after the restore of the store from
		// a copy, removed objects are kept, because their owners could not renew them; 0
		// removes them at once.
		GracePeriod time.Duration

		items map[string]T
		// expiring holds the end of the grace period of each removed object.
		expiring map[string]time.Time
		// failing is set from a failed call to the next answer, which ends the outage at
		// recoveredAt.
		failing     bool
		recoveredAt time.Time
		// peerAnsweredFrom and peerAnsweredUntil are the first and the last time in this
		// outage at which the store had answered a peer.
		peerAnsweredFrom, peerAnsweredUntil time.Time
	}

	// Delta is what one call of Replace, Apply or Expire changed, by object name.
	Delta struct {
		Updated, Removed []string
		// Kept holds the removed objects whose grace periods have begun.
		Kept []string
		// Unreadable holds the objects that Decode rejected, with its errors.
		Unreadable map[string]error
		// At is the store's position after the change.
		At mulberryspool.Position
		// Uncertain is set while some objects in use are in their grace period,
		// so that their owners may be gone.
		Uncertain bool
	}
)

// RecordFailure records that a call to the store failed.
func (s *Set[T]) RecordFailure() {
	s.failing = true
}

// RecordAnswer records that the store answered a call. If it has answered peers for a
// grace period by then, only this process had an outage, and the owners of the objects
// had time to renew them.
func (s *Set[T]) RecordAnswer(now time.Time) {
	if !s.failing {
		return
	}
	s.failing, s.recoveredAt = false, now
	if !s.peerAnsweredFrom.IsZero() && s.peerAnsweredUntil.Sub(s.peerAnsweredFrom) >= s.GracePeriod {
		s.recoveredAt = s.peerAnsweredFrom
	}
	s.peerAnsweredFrom, s.peerAnsweredUntil = time.Time{}, time.Time{}
}

// RecordPeerAnswer records that the store has answered a peer.
func (s *Set[T]) RecordPeerAnswer(now time.Time) {
	if !s.failing {
		return
	}
	if s.peerAnsweredFrom.IsZero() {
		s.peerAnsweredFrom = now
	}
	s.peerAnsweredUntil = now
}

// BeginEra records that the store was restored from a copy. The owners of the objects had no
// time yet to write again what the copy lacks.
func (s *Set[T]) BeginEra(now time.Time) {
	s.recoveredAt = now
}

// Replace sets the objects to those of a complete list.
func (s *Set[T]) Replace(now time.Time, objects []mulberryspool.Object) Delta {
	s.init()
	d := Delta{Unreadable: make(map[string]error)}
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

// Apply applies changes, oldest first.
func (s *Set[T]) Apply(now time.Time, changes []mulberryspool.ObjectChange) Delta {
	s.init()
	d := Delta{Unreadable: make(map[string]error)}
	for _, c := range changes {
		if c.Deleted {
			s.remove(&d, now, c.Object.Name)
			continue
		}
		s.put(&d, c.Object)
	}
	return d
}

// Expire removes the objects whose grace period is over.
func (s *Set[T]) Expire(now time.Time) Delta {
	var d Delta
	for name, at := range s.expiring {
		if !now.Before(at) {
			s.drop(&d, name)
		}
	}
	return d
}

// NextExpiry returns the earliest end of a grace period, and false if there is
// none.
func (s *Set[T]) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, at := range s.expiring {
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

func (s *Set[T]) init() {
	if s.items == nil {
		s.items = make(map[string]T)
		s.expiring = make(map[string]time.Time)
	}
}

func (s *Set[T]) put(d *Delta, o mulberryspool.Object) {
	item, err := s.Decode(o)
	if err != nil {
		d.Unreadable[o.Name] = err
		s.drop(d, o.Name)
		return
	}
	s.items[o.Name] = item
	delete(s.expiring, o.Name)
	d.Updated = append(d.Updated, o.Name)
}

// remove drops an object, or keeps it until the end of the grace period if an
// outage ended or an era began less than a grace period ago.
func (s *Set[T]) remove(d *Delta, now time.Time, name string) {
	if _, ok := s.items[name]; !ok {
		return
	}
	if _, ok := s.expiring[name]; ok {
		return
	}
	until := s.recoveredAt.Add(s.GracePeriod)
	if s.GracePeriod > 0 && !s.recoveredAt.IsZero() && now.Before(until) {
		s.expiring[name] = until
		d.Kept = append(d.Kept, name)
		return
	}
	s.drop(d, name)
}

func (s *Set[T]) drop(d *Delta, name string) {
	if _, ok := s.items[name]; !ok {
		return
	}
	delete(s.items, name)
	delete(s.expiring, name)
	d.Removed = append(d.Removed, name)
}

// Changed reports whether any object was updated or removed.
func (d Delta) Changed() bool {
	return len(d.Updated) > 0 || len(d.Removed) > 0
}
