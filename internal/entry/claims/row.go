package claims

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

// takeOver makes a sealed page the newest segment and starts an empty head.
func (s *shard) takeOver(p *page, value []byte) error {
	if !p.sealed {
		return nil
	}
	sealed, err := newSegment(p, value)
	if err != nil {
		return err
	}
	s.sealed[s.last] = sealed
	s.last++
	s.head, s.version = newPage(), 0
	return nil
}

// read takes over the objects as they are, from the known head on.
func (s *shard) read() error {
	ctx, cancel := context.WithTimeout(context.Background(), callBound)
	defer cancel()
	if s.head == nil {
		if err := s.readAll(ctx); err != nil {
			return err
		}
	}
	for {
		object, err := s.ledger.Store.Get(ctx, Kind, s.name(s.last))
		if errors.Is(err, mulberryspool.ErrNotFound) {
			s.head, s.version, s.stale = newPage(), 0, false
			return nil
		}
		if err != nil {
			return err
		}
		if object.Version == s.version {
			s.stale = false
			return nil
		}
		p, err := decodePage(object.Value)
		if err != nil {
			return err
		}
		s.readFirst = readFirstCommits
		s.head, s.version = p, object.Version
		if !p.sealed {
			s.stale = false
			return nil
		}
		if err := s.takeOver(p, object.Value); err != nil {
			return err
		}
	}
}

// readAll reads the whole row in one call when the process knows nothing.
func (s *shard) readAll(ctx context.Context) error {
	objects, err := s.ledger.Store.List(ctx, Kind, fmt.Sprintf("%d.", s.number))
	if err != nil {
		return err
	}
	s.sealed, s.first, s.last = make(map[int]*segment), 0, 0
	for i, object := range objects {
		var shardNumber, number int
		if _, err := fmt.Sscanf(object.Name, "%d.%d", &shardNumber, &number); err != nil {
			return errors.Wrapf(err, "object %s is no part of the claims", object.Name)
		}
		if i == 0 {
			s.first = number
		}
		s.last = number
		p, err := decodePage(object.Value)
		if err != nil {
			return err
		}
		if p.sealed {
			if err := s.takeOver(p, object.Value); err != nil {
				return err
			}
		}
	}
	s.head, s.version = newPage(), 0
	return nil
}

// expire drops the oldest objects when all of their claims have expired.
// Whoever does so first deletes them.
func (s *shard) expire() {
	for s.first < s.last {
		oldest := s.sealed[s.first]
		if oldest != nil && !oldest.newest.Before(s.expiry()) {
			return
		}
		delete(s.sealed, s.first)
		for name, mine := range s.own {
			if mine.number <= s.first {
				delete(s.own, name)
			}
		}
		name := s.name(s.first)
		s.first++
		if s.first == s.last {
			// The last sealed object stays, so that the row's numbers never start again.
			return
		}
		go s.remove(name)
	}
}

func (s *shard) remove(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), callBound)
	defer cancel()
	if object, err := s.ledger.Store.Get(ctx, Kind, name); err == nil {
		// Another entry may be faster, and what stays is dropped on reading.
		_ = s.ledger.Store.Delete(ctx, Kind, name, object.Version)
	}
}

// name is the object's name; the zeros keep names and numbers in one order.
func (s *shard) name(number int) string {
	return fmt.Sprintf("%d.%09d", s.number, number)
}
