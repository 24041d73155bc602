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
	commitTries = 16
	// settleTries is how often an unavailable object API is tried.
	settleTries = 4
	// commitPause spaces the attempts after an error.
	commitPause = 20 * time.Millisecond
	// callBound bounds one call of the object API.
	callBound = 2 * time.Second
	// maxGroup keeps an object far below the object API's megabyte.
	maxGroup = 2000
	// readFirstCommits is how many commits after another entry's write read first.
	readFirstCommits = 16
)

// shard commits the claims of one row of objects, one group at a time.
type shard struct {
	ledger *Ledger
	number int

	mu    sync.Mutex
	queue []*swap
	busy  bool
	// flushing is set while a timer for waiting outcomes is pending.
	flushing bool

	// The fields below are used by the committing goroutine alone.
	//
	// head is the newest object; nil before the first read. version is 0
	// while it does not exist.
	head    *page
	version mulberryspool.Revision
	// sealed holds the older objects by number; first is the oldest, last is
	// the number of the head.
	sealed      map[int]*segment
	first, last int
	// stale is set when the head may have changed.
	stale bool
	// readFirst counts the commits that still read first because another
	// entry has written lately: a read is cheaper than a write that conflicts.
	readFirst int
	// own holds this entry's claims without an outcome, so that a sealed
	// object need not be decoded for it.
	own map[string]ownClaim
}

// ownClaim is a claim and the number of the object that holds it.
type ownClaim struct {
	claim  Claim
	number int
}

// verdict is the answer to a claim that needs no write.
type verdict struct {
	w       *swap
	present Claim
	err     error
}

// add queues a claim and starts a commit; an outcome waits for a claim to go
// with, but not longer than the outcome delay.
func (s *shard) add(w *swap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, w)
	switch {
	case s.busy:
	case w.next.Outcome == "":
		s.busy = true
		go s.commitAll()
	case !s.flushing:
		s.flushing = true
		s.ledger.Clock.AfterFunc(s.ledger.OutcomeDelay, s.flush)
	}
}

func (s *shard) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flushing = false
	if !s.busy && len(s.queue) > 0 {
		s.busy = true
		go s.commitAll()
	}
}

func (s *shard) commitAll() {
	for {
		s.awaitBudget()
		s.mu.Lock()
		size := min(len(s.queue), maxGroup)
		group := s.queue[:size:size]
		s.queue = s.queue[size:]
		if size == 0 {
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
	if s.readFirst > 0 {
		s.readFirst--
		s.stale = true
	}
	for try := 0; try < commitTries && len(group) > 0; try++ {
		if s.head == nil || s.stale {
			if err := s.read(); err != nil {
				group = s.giveUp(group, err, try)
				s.ledger.Clock.Sleep(commitPause)
				continue
			}
			fresh = true
		}
		next := s.head.clone()
		writing, unfit := s.apply(next, group, fresh)
		if unfit {
			// The page at hand may be old, so only a fresh one can say that a key is taken.
			s.stale = true
			continue
		}
		if group = writing; len(group) == 0 {
			return
		}
		if try > 0 {
			// A repeated write is paid for by those after it.
			s.ledger.limiter.ReserveN(s.ledger.Clock.Now(), 1)
		}
		group = s.write(next, group, try)
		fresh = false
	}
	s.giveUp(group, errors.New("other entries were faster each time"), settleTries)
}

// apply puts the claims of the group into the page and answers those that
// need no write. It reports unfit if a claim doesn't match a page that isn't fresh.
func (s *shard) apply(next *page, group []*swap, fresh bool) (writing []*swap, unfit bool) {
	var verdicts []verdict
	for _, w := range group {
		present, err := s.lookup(next, nameOf(w.next.Key))
		switch {
		case err != nil:
			verdicts = append(verdicts, verdict{w, Claim{}, errors.Mark(err, mulberryspool.ErrUncertain)})
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
				verdicts = append(verdicts, verdict{w, Claim{}, errors.Mark(err, mulberryspool.ErrUnavailable)})
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

// lookup returns the key's claim, unless there is none or it has expired.
func (s *shard) lookup(head *page, name string) (*Claim, error) {
	claim, err := head.get(name)
	for number := s.last - 1; claim == nil && err == nil && number >= s.first; number-- {
		older := s.sealed[number]
		if older == nil || !older.mayHold(name) {
			continue
		}
		if mine, ok := s.own[name]; ok && mine.number == number {
			claim = &mine.claim
			continue
		}
		claim, err = older.get(name)
	}
	if err != nil || claim == nil || claim.Changed.Before(s.expiry()) {
		return nil, err
	}
	return claim, nil
}

// keepOwn remembers a recorded claim until it has an outcome.
func (s *shard) keepOwn(claim Claim) {
	if claim.Outcome != "" {
		delete(s.own, nameOf(claim.Key))
		return
	}
	s.own[nameOf(claim.Key)] = ownClaim{claim: claim, number: s.last}
}

func (s *shard) expiry() time.Time {
	return s.ledger.Clock.Now().Add(-s.ledger.Retention)
}

// write stores the page. It returns the claims that are still to be decided.
func (s *shard) write(next *page, group []*swap, try int) []*swap {
	s.expire()
	if s.last-s.first >= s.ledger.MaxSegments {
		return s.giveUp(group, errors.Newf("shard %d of the claims is full", s.number), commitTries)
	}
	value, err := next.encode()
	if err == nil && len(value) >= s.ledger.SegmentBytes {
		next.sealed = true
		value, err = next.encode()
	}
	if err != nil {
		return s.giveUp(group, err, commitTries)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callBound)
	defer cancel()
	var object mulberryspool.Object
	if s.version == 0 {
		object, err = s.ledger.Store.Create(ctx, Kind, s.name(s.last), value)
	} else {
		object, err = s.ledger.Store.Update(ctx, Kind, s.name(s.last), value, s.version)
	}
	switch {
	case err == nil:
		s.head, s.version = next, object.Version
		for _, w := range group {
			s.keepOwn(w.next)
			answer(w, w.next, nil)
		}
		// A page that can't be taken over is read again.
		s.stale = s.takeOver(next, value) != nil
		return nil
	case errors.Is(err, mulberryspool.ErrConflict), errors.Is(err, mulberryspool.ErrNotFound):
		s.stale, s.readFirst = true, readFirstCommits
	case errors.Is(err, mulberryspool.ErrUnavailable):
		s.ledger.Clock.Sleep(commitPause)
		return s.giveUp(group, err, try)
	default:
		s.stale = true
		for _, w := range group {
			w.maybe = true
		}
	}
	return group
}

// giveUp answers the claims after a few tries: those that were in no write
// that may have taken effect are certainly not recorded.
func (s *shard) giveUp(group []*swap, cause error, try int) []*swap {
	if try < settleTries {
		return group
	}
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
