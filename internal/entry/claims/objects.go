package claims

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// rollIfSealed adds the segment to the sealed ones, if it is sealed, and
// starts an empty active segment.
func (s *shard) rollIfSealed(decoded *segment, value []byte) error {
	if !decoded.sealed {
		return nil
	}
	sealed, err := newSealedSegment(decoded, value)
	if err != nil {
		return err
	}
	s.sealed[s.last] = sealed
	s.last++
	s.active, s.version = newSegment(), 0
	return nil
}

// refresh reads the objects from the active segment on, including segments
// that other entries have added since.
func (s *shard) refresh() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if s.active == nil {
		if err := s.loadAll(ctx); err != nil {
			return err
		}
	}
	for {
		object, err := s.parent.Objects.Get(ctx, ObjectKind, s.objectName(s.last))
		if errors.Is(err, mulberryspool.ErrNotFound) {
			s.active, s.version, s.stale = newSegment(), 0, false
			return nil
		}
		if err != nil {
			return err
		}
		if object.Version == s.version {
			s.stale = false
			return nil
		}
		decoded, err := decodeSegment(object.Value)
		if err != nil {
			return err
		}
		s.refreshesLeft = refreshCommits
		s.active, s.version = decoded, object.Version
		if !decoded.sealed {
			s.stale = false
			return nil
		}
		if err := s.rollIfSealed(decoded, object.Value); err != nil {
			return err
		}
	}
}

// loadAll reads all objects of the shard in one call, for the first refresh.
func (s *shard) loadAll(ctx context.Context) error {
	objects, err := s.parent.Objects.List(ctx, ObjectKind, fmt.Sprintf("%d.", s.number))
	if err != nil {
		return err
	}
	s.sealed, s.first, s.last = make(map[int]*sealedSegment), 0, 0
	for i, object := range objects {
		var shardNumber, number int
		if _, err := fmt.Sscanf(object.Name, "%d.%d", &shardNumber, &number); err != nil {
			return errors.Wrapf(err, "parse name of claims object %s", object.Name)
		}
		if i == 0 {
			s.first = number
		}
		s.last = number
		decoded, err := decodeSegment(object.Value)
		if err != nil {
			return err
		}
		if decoded.sealed {
			if err := s.rollIfSealed(decoded, object.Value); err != nil {
				return err
			}
		}
	}
	s.active, s.version = newSegment(), 0
	return nil
}

// dropExpired drops the oldest segments whose claims have all expired, and
// deletes their objects. Several entries may attempt the same deletion.
func (s *shard) dropExpired() {
	for s.first < s.last {
		oldest := s.sealed[s.first]
		if oldest != nil && !oldest.lastChange.Before(s.expiryCutoff()) {
			return
		}
		delete(s.sealed, s.first)
		for name, located := range s.unfinished {
			if located.segmentNumber <= s.first {
				delete(s.unfinished, name)
			}
		}
		name := s.objectName(s.first)
		s.first++
		if s.first == s.last {
			// The last sealed object is kept, so that segment numbers are never reused.
			return
		}
		go s.deleteObject(name)
	}
}

func (s *shard) deleteObject(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if object, err := s.parent.Objects.Get(ctx, ObjectKind, name); err == nil {
		// Another entry may have deleted the object already. An object that
		// stays is dropped when it is read.
		_ = s.parent.Objects.Delete(ctx, ObjectKind, name, object.Version)
	}
}

// objectName returns the name of a segment's object. The zero padding makes
// names sort by number.
func (s *shard) objectName(number int) string {
	return fmt.Sprintf("%d.%09d", s.number, number)
}
