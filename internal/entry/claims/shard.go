package claims

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// commitTries bounds the writes and reads of one group.
	commitTries = 12
	// commitPause spaces the attempts after an error.
	commitPause = 20 * time.Millisecond
	// callBound bounds one call of the object API.
	callBound = 2 * time.Second
)

// shard commits the claims of one object, one group at a time.
type shard struct {
	ledger *Ledger
	name   string

	mu    sync.Mutex
	queue []*swap
	busy  bool

	// The fields below are used by the committing goroutine alone.
	page    *page
	version mulberryspool.Revision
	// shared is set when another entry has written since the last read, so
	// that reading first is cheaper than a write that conflicts.
	shared bool
}

func (s *shard) add(w *swap) {
	s.mu.Lock()
	s.queue = append(s.queue, w)
	start := !s.busy
	s.busy = true
	s.mu.Unlock()
	if start {
		go s.commitAll()
	}
}

func (s *shard) commitAll() {
	for {
		s.awaitBudget()
		s.mu.Lock()
		group := s.queue
		s.queue = nil
		if len(group) == 0 {
			s.busy = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.commit(group)
	}
}

func (s *shard) awaitBudget() {
	now := s.ledger.Clock.Now()
	if wait := s.ledger.limiter.ReserveN(now, 1).DelayFrom(now); wait > 0 {
		s.ledger.Clock.Sleep(wait)
	}
}

// commit writes the group and answers every claim in it.
func (s *shard) commit(group []*swap) {
	fresh := false
	for try := 0; try < commitTries && len(group) > 0; try++ {
		if try > 0 {
			s.ledger.Clock.Sleep(commitPause)
		}
		if s.page == nil || s.shared {
			if err := s.read(); err != nil {
				group = s.giveUp(group, err, try)
				continue
			}
			fresh = true
		}
		next := s.page.clone()
		writing, unfit := s.apply(next, group, fresh)
		if unfit {
			// The page at hand may be old, so only a fresh one can say that a key is taken.
			s.shared = true
			continue
		}
		group = writing
		if len(group) == 0 {
			return
		}
		group = s.write(next, group, try)
		fresh = false
	}
	for _, w := range group {
		answer(w, Claim{}, mulberryspool.ErrUncertain)
	}
}

// apply puts the claims of the group into the page and answers those that
// need no write. It reports unfit if a claim doesn't match a page that isn't fresh.
func (s *shard) apply(next *page, group []*swap, fresh bool) (writing []*swap, unfit bool) {
	if err := next.expire(s.ledger.Clock.Now().Add(-s.ledger.Retention)); err != nil {
		return s.refuse(group, err), false
	}
	type verdict struct {
		w       *swap
		present Claim
		err     error
	}
	var verdicts []verdict
	for _, w := range group {
		present, err := next.get(nameOf(w.next.Key))
		switch {
		case err != nil:
			verdicts = append(verdicts, verdict{w, Claim{}, err})
		case present != nil && w.maybe && present.Is(w.next):
			verdicts = append(verdicts, verdict{w, w.next, nil})
		case !matches(present, w.expected):
			if !fresh {
				return nil, true
			}
			if present == nil {
				present = &Claim{}
			}
			verdicts = append(verdicts, verdict{w, *present, ErrTaken})
		default:
			if err := next.set(w.next); err != nil {
				verdicts = append(verdicts, verdict{w, Claim{}, err})
				continue
			}
			writing = append(writing, w)
		}
	}
	for _, v := range verdicts {
		answer(v.w, v.present, v.err)
	}
	return writing, false
}

// write stores the page. It returns the claims that are still to be decided.
func (s *shard) write(next *page, group []*swap, try int) []*swap {
	value, err := next.encode()
	if err != nil {
		return s.refuse(group, err)
	}
	if len(value) > s.ledger.MaxBytes {
		return s.refuse(group, errors.Newf("shard %s of the claims is full", s.name))
	}
	ctx, cancel := context.WithTimeout(context.Background(), callBound)
	defer cancel()
	var object mulberryspool.Object
	if s.version == 0 {
		object, err = s.ledger.Store.Create(ctx, Kind, s.name, value)
	} else {
		object, err = s.ledger.Store.Update(ctx, Kind, s.name, value, s.version)
	}
	switch {
	case err == nil:
		s.page, s.version = next, object.Version
		for _, w := range group {
			answer(w, w.next, nil)
		}
		return nil
	case errors.Is(err, mulberryspool.ErrConflict), errors.Is(err, mulberryspool.ErrNotFound):
		s.shared = true
	case errors.Is(err, mulberryspool.ErrUnavailable):
		return s.giveUp(group, err, try)
	default:
		s.shared = true
		for _, w := range group {
			w.maybe = true
		}
	}
	return group
}

// read takes over the object as it is.
func (s *shard) read() error {
	ctx, cancel := context.WithTimeout(context.Background(), callBound)
	defer cancel()
	object, err := s.ledger.Store.Get(ctx, Kind, s.name)
	if errors.Is(err, mulberryspool.ErrNotFound) {
		s.page, s.version, s.shared = newPage(), 0, false
		return nil
	}
	if err != nil {
		return err
	}
	p, err := decodePage(object.Value)
	if err != nil {
		return err
	}
	s.shared = s.version != 0 && object.Version != s.version
	s.page, s.version = p, object.Version
	return nil
}

// giveUp refuses the claims that were in no write that may have taken
// effect, after a few tries.
func (s *shard) giveUp(group []*swap, cause error, try int) []*swap {
	if try < settleTries {
		return group
	}
	var undecided []*swap
	for _, w := range group {
		if w.maybe {
			undecided = append(undecided, w)
			continue
		}
		answer(w, Claim{}, errors.Mark(cause, mulberryspool.ErrUnavailable))
	}
	return undecided
}

// refuse answers with certain errors, except for claims that may be recorded.
func (s *shard) refuse(group []*swap, cause error) []*swap {
	for _, w := range group {
		if w.maybe {
			answer(w, Claim{}, errors.Mark(cause, mulberryspool.ErrUncertain))
			continue
		}
		answer(w, Claim{}, errors.Mark(cause, mulberryspool.ErrUnavailable))
	}
	return nil
}

func answer(w *swap, present Claim, err error) {
	w.result <- swapResult{present: present, err: err}
}
