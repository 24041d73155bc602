package claims

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// maxCommitAttempts limits the attempts to commit one group of claims.
	maxCommitAttempts = 16
	// maxUnavailableAttempts limits the attempts while the object API is unavailable.
	maxUnavailableAttempts = 4
	// retryDelay is the pause after a failed attempt.
	retryDelay = 20 * time.Millisecond
	// callTimeout limits one call of the object API.
	callTimeout = 2 * time.Second
	// maxGroupSize keeps an object far below the object API's limit of 1 MB.
	maxGroupSize = 2000
	// refreshCommits is the number of commits that read the active segment
	// before they write, after a write of another entry was seen.
	refreshCommits = 16
)

// shard commits the claims of one shard, one group at a time.
type shard struct {
	parent *ShardedLog
	number int

	mu         sync.Mutex
	queue      []*swapRequest
	committing bool
	// flushPending is set while the timer that writes queued outcomes is active.
	flushPending bool

	// The fields below are accessed only by the committing goroutine.
	//
	// active is the newest segment; nil before the first read. version is the
	// version of its object; 0 while the object does not exist.
	active  *segment
	version mulberryspool.Revision
	// sealed holds the sealed segments by number. first is the number of the
	// oldest segment, last that of the active one.
	sealed      map[int]*sealedSegment
	first, last int
	// stale is set if the stored object may differ from the active segment.
	stale bool
	// refreshesLeft is the number of commits that still read before they
	// write, because another entry has recently written to this shard: a read
	// is cheaper than a write that conflicts.
	refreshesLeft int
	// unfinished holds this entry's claims without an outcome by key name, so
	// that recording the outcome does not require decoding a sealed segment.
	unfinished map[string]locatedClaim
}

// locatedClaim is a claim and the number of the segment that contains it.
type locatedClaim struct {
	claim         Claim
	segmentNumber int
}

// finishedSwap is the result of a request that is decided without a write.
type finishedSwap struct {
	request *swapRequest
	present Claim
	err     error
}

// add queues a request. A new claim starts a commit at once; an outcome waits
// up to OutcomeDelay to be committed together with a claim.
func (s *shard) add(request *swapRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, request)
	switch {
	case s.committing:
	case request.next.Outcome == "":
		s.committing = true
		go s.commitLoop()
	case !s.flushPending:
		s.flushPending = true
		s.parent.Clock.AfterFunc(s.parent.OutcomeDelay, s.flush)
	}
}

func (s *shard) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flushPending = false
	if !s.committing && len(s.queue) > 0 {
		s.committing = true
		go s.commitLoop()
	}
}

func (s *shard) commitLoop() {
	for {
		s.awaitWriteBudget()
		s.mu.Lock()
		size := min(len(s.queue), maxGroupSize)
		group := s.queue[:size:size]
		s.queue = s.queue[size:]
		if size == 0 {
			s.committing = false
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		s.commit(group)
	}
}

func (s *shard) awaitWriteBudget() {
	now := s.parent.Clock.Now()
	if wait := s.parent.limiter.ReserveN(now, 1).DelayFrom(now); wait > 0 {
		s.parent.Clock.Sleep(wait)
	}
}

// commit writes the group and sends a result for every request in it.
func (s *shard) commit(group []*swapRequest) {
	fresh := false
	if s.refreshesLeft > 0 {
		s.refreshesLeft--
		s.stale = true
	}
	for attempt := 0; attempt < maxCommitAttempts && len(group) > 0; attempt++ {
		if s.active == nil || s.stale {
			if err := s.refresh(); err != nil {
				group = s.failAfterRetries(group, err, attempt)
				s.parent.Clock.Sleep(retryDelay)
				continue
			}
			fresh = true
		}
		next := s.active.clone()
		writing, mismatch := s.apply(next, group, fresh)
		if mismatch {
			// The cached segment may be outdated; ErrTaken requires a fresh read.
			s.stale = true
			continue
		}
		if group = writing; len(group) == 0 {
			return
		}
		if attempt > 0 {
			// A retried write is charged to the write budget of later commits.
			s.parent.limiter.ReserveN(s.parent.Clock.Now(), 1)
		}
		group = s.write(next, group, attempt)
		fresh = false
	}
	s.failAfterRetries(group, errors.New("claims write conflicted with other entries on every attempt"), maxUnavailableAttempts)
}

// apply puts the claims of the group into next and sends the results of
// requests that need no write. It returns the requests to be written. It
// reports a mismatch, without sending results, if the stored claim differs
// from the expected one and the segment was not read just now.
func (s *shard) apply(next *segment, group []*swapRequest, fresh bool) (writing []*swapRequest, mismatch bool) {
	var finished []finishedSwap
	for _, request := range group {
		present, err := s.lookup(next, keyName(request.next.Key))
		switch {
		case err != nil:
			finished = append(finished, finishedSwap{request, Claim{}, errors.Mark(err, mulberryspool.ErrUncertain)})
		case present != nil && request.mayBeRecorded && present.SameState(request.next):
			finished = append(finished, finishedSwap{request, request.next, nil})
		case !matches(present, request.expected):
			if !fresh {
				return nil, true
			}
			if present == nil {
				present = &Claim{}
			}
			finished = append(finished, finishedSwap{request, *present, ErrTaken})
		default:
			if err := next.set(request.next); err != nil {
				finished = append(finished, finishedSwap{request, Claim{}, errors.Mark(err, mulberryspool.ErrUnavailable)})
				continue
			}
			writing = append(writing, request)
		}
	}
	for _, v := range finished {
		finish(v.request, v.present, v.err)
	}
	return writing, false
}

// lookup returns the claim with the key name, or nil if there is none or it has expired.
func (s *shard) lookup(active *segment, name string) (*Claim, error) {
	claim, err := active.get(name)
	for number := s.last - 1; claim == nil && err == nil && number >= s.first; number-- {
		older := s.sealed[number]
		if older == nil || !older.mayContain(name) {
			continue
		}
		if located, ok := s.unfinished[name]; ok && located.segmentNumber == number {
			claim = &located.claim
			continue
		}
		claim, err = older.get(name)
	}
	if err != nil || claim == nil || claim.ChangedAt.Before(s.expiryCutoff()) {
		return nil, err
	}
	return claim, nil
}

// trackUnfinished keeps a recorded claim in unfinished until it has an outcome.
func (s *shard) trackUnfinished(claim Claim) {
	if claim.Outcome != "" {
		delete(s.unfinished, keyName(claim.Key))
		return
	}
	s.unfinished[keyName(claim.Key)] = locatedClaim{claim: claim, segmentNumber: s.last}
}

func (s *shard) expiryCutoff() time.Time {
	return s.parent.Clock.Now().Add(-s.parent.Retention)
}

// write stores the segment. It returns the requests to be retried.
func (s *shard) write(next *segment, group []*swapRequest, attempt int) []*swapRequest {
	s.dropExpired()
	if s.last-s.first >= s.parent.MaxSegments {
		return s.failAfterRetries(group, errors.Newf("claims shard %d has reached its segment limit", s.number), maxCommitAttempts)
	}
	value, err := next.encode()
	if err == nil && len(value) >= s.parent.SegmentBytes {
		next.sealed = true
		value, err = next.encode()
	}
	if err != nil {
		return s.failAfterRetries(group, err, maxCommitAttempts)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var object mulberryspool.Object
	if s.version == 0 {
		object, err = s.parent.Objects.Create(ctx, ObjectKind, s.objectName(s.last), value)
	} else {
		object, err = s.parent.Objects.Update(ctx, ObjectKind, s.objectName(s.last), value, s.version)
	}
	switch {
	case err == nil:
		s.active, s.version = next, object.Version
		for _, request := range group {
			s.trackUnfinished(request.next)
			finish(request, request.next, nil)
		}
		// If the sealed segment can't be indexed, it is read again.
		s.stale = s.rollIfSealed(next, value) != nil
		return nil
	case errors.Is(err, mulberryspool.ErrConflict), errors.Is(err, mulberryspool.ErrNotFound):
		s.stale, s.refreshesLeft = true, refreshCommits
	case errors.Is(err, mulberryspool.ErrUnavailable):
		s.parent.Clock.Sleep(retryDelay)
		return s.failAfterRetries(group, err, attempt)
	default:
		s.stale = true
		for _, request := range group {
			request.mayBeRecorded = true
		}
	}
	return group
}

// failAfterRetries returns the group for a retry until the attempts are used
// up, and then fails its requests. A request that was part of a write with
// unknown result fails with ErrUncertain; any other is certainly not recorded
// and fails with ErrUnavailable.
func (s *shard) failAfterRetries(group []*swapRequest, cause error, attempt int) []*swapRequest {
	if attempt < maxUnavailableAttempts {
		return group
	}
	for _, request := range group {
		if request.mayBeRecorded {
			finish(request, Claim{}, errors.Mark(cause, mulberryspool.ErrUncertain))
			continue
		}
		finish(request, Claim{}, errors.Mark(cause, mulberryspool.ErrUnavailable))
	}
	return nil
}

func finish(request *swapRequest, present Claim, err error) {
	request.result <- swapResult{present: present, err: err}
}
