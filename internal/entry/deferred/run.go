package deferred

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// Run scans for submissions and runs them until the context ends, then waits
// for the running ones.
func (q *Queue) Run(ctx context.Context) error {
	q.init()
	var workers errgroup.Group
	workers.SetLimit(q.Concurrency)
	defer func() { _ = workers.Wait() }()
	nextScan := q.Clock.Now()
	for ctx.Err() == nil {
		if !nextScan.After(q.Clock.Now()) {
			if err := q.scan(ctx); err != nil {
				q.Logger.Warn().Err(err).Str("step", "scan deferred submissions").Msg("scan failed")
			}
			// The jitter keeps entries from scanning at the same time.
			nextScan = q.Clock.Now().Add(q.ScanInterval/2 + rand.N(q.ScanInterval))
		}
		for _, s := range q.takeDue() {
			workers.Go(func() error {
				q.runOne(ctx, s)
				return nil
			})
		}
		select {
		case <-q.wake:
		case <-q.Clock.After(min(q.RetryInterval, max(nextScan.Sub(q.Clock.Now()), time.Millisecond))):
		case <-ctx.Done():
		}
	}
	return nil
}

// scan reads all records in one call. It enqueues those that may be run and
// marks those whose outcome is lost.
func (q *Queue) scan(ctx context.Context) error {
	objects, err := q.Store.List(ctx, RecordKind, "")
	if err != nil {
		return err
	}
	seen := make(map[string]bool, len(objects))
	for _, object := range objects {
		s, err := decodeRecord(object)
		if err != nil {
			q.Logger.Error().Err(err).Str("step", "scan deferred submissions").Msg("skipping unreadable record")
			continue
		}
		seen[s.ID] = true
		switch s.State {
		case StateAccepted:
			q.enqueue(s, time.Time{})
		case StateClaimed:
			if q.claimUnused(s) {
				q.enqueue(s, time.Time{})
			} else if q.outcomeLost(s) {
				q.markUnknown(ctx, s)
			}
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range q.observedClaims {
		if !seen[id] {
			delete(q.observedClaims, id)
		}
	}
	return nil
}

// outcomeLost reports whether the entry that holds the claim can no longer be
// expected to record its outcome. The age of a claim is measured from the time
// at which this entry first read it, since clocks of instances are not comparable.
func (q *Queue) outcomeLost(s storedRecord) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running[s.ID] {
		return false
	}
	if s.ClaimedBy == q.Self.Instance && s.Incarnation != q.Self.Incarnation {
		return true
	}
	now := q.Clock.Now()
	observed, ok := q.observedClaims[s.ID]
	if !ok || observed.version != s.version {
		q.observedClaims[s.ID] = observedClaim{version: s.version, since: now}
		return false
	}
	return now.Sub(observed.since) >= q.OutcomeTimeout
}

func (q *Queue) markUnknown(ctx context.Context, s storedRecord) {
	rec := s.record
	q.setEnded(&rec, StateUnknown, "the entry that ran it is gone or did not record the outcome")
	if _, err := q.update(ctx, rec, s.version); err != nil {
		q.Logger.Warn().Err(err).Str("requestID", string(s.RequestID)).Str("step", "mark submission unknown").Msg("submission with lost outcome not marked unknown")
		return
	}
	q.recordEvent(mulberryspool.EventDeferredEnded, rec, string(StateUnknown))
}

// enqueue adds a submission to the pending ones, unless it is running or a
// version at least as new is pending, and wakes Run.
func (q *Queue) enqueue(s storedRecord, notBefore time.Time) {
	q.mu.Lock()
	if known := q.pending[s.ID]; !q.running[s.ID] && (known == nil || known.version < s.version) {
		q.pending[s.ID] = &pendingSubmission{storedRecord: s, notBefore: notBefore}
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *Queue) removePending(id string) {
	q.mu.Lock()
	delete(q.pending, id)
	q.mu.Unlock()
}

// takeDue moves the submissions that may be run now from pending to running
// and returns them.
func (q *Queue) takeDue() []storedRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	var due []storedRecord
	now := q.Clock.Now()
	for id, p := range q.pending {
		if len(q.running) >= q.Concurrency {
			break
		}
		if p.notBefore.After(now) || !q.Serving(p.Route) {
			continue
		}
		delete(q.pending, id)
		q.running[id] = true
		due = append(due, p.storedRecord)
	}
	return due
}

// runOne claims a submission, runs it and records the outcome. It enqueues
// the submission again if it was not run.
func (q *Queue) runOne(ctx context.Context, s storedRecord) {
	retry, ok := q.claimAndRun(ctx, s)
	q.mu.Lock()
	delete(q.running, s.ID)
	q.mu.Unlock()
	if ok {
		q.enqueue(retry, q.Clock.Now().Add(q.RetryInterval))
	}
}

// claimAndRun returns the submission and true if it is to be retried.
func (q *Queue) claimAndRun(ctx context.Context, s storedRecord) (storedRecord, bool) {
	sub, err := q.loadSubmission(ctx, s.record)
	if err == nil {
		s, err = q.claim(ctx, s)
	}
	if err != nil {
		// Another entry has claimed the submission, or the next scan finds it again.
		q.Logger.Debug().Err(err).Str("requestID", string(s.RequestID)).Str("step", "claim submission").Msg("submission not claimed")
		return storedRecord{}, false
	}
	answer, failure := q.Execute(ctx, sub)
	return q.recordOutcome(ctx, s, answer, failure)
}

func (q *Queue) loadSubmission(ctx context.Context, rec record) (dispatch.Submission, error) {
	sub := rec.submission()
	if !rec.SeparateBody {
		return sub, nil
	}
	object, err := q.Store.Get(ctx, BodyKind, rec.ID+"."+rec.AcceptToken)
	sub.Body = object.Value
	return sub, mulberryspool.AtStep(err, "read body of deferred submission", rec.ID)
}

// claim records that this entry, and no other, runs the submission.
func (q *Queue) claim(ctx context.Context, s storedRecord) (storedRecord, error) {
	rec := s.record
	rec.State, rec.ClaimedBy, rec.Incarnation = StateClaimed, q.Self.Instance, q.Self.Incarnation
	rec.ClaimToken, rec.Message = uuid.NewString(), ""
	rec.Attempts++
	next, err := q.update(ctx, rec, s.version)
	if err != nil && !errors.Is(err, mulberryspool.ErrConflict) {
		// The claim may be recorded. If a scan finds it, its token tells that
		// the submission was not run.
		q.mu.Lock()
		q.unusedClaims[rec.ClaimToken] = true
		q.mu.Unlock()
	}
	return next, err
}

// claimUnused reports whether the record carries a claim of this entry under
// which the submission was not run, because the response to the claim was lost.
func (q *Queue) claimUnused(s storedRecord) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unusedClaims[s.ClaimToken]
}

// update writes the record if its object still has the version. After a write
// with unknown result, it reads the record back to see whether the write
// succeeded.
func (q *Queue) update(ctx context.Context, rec record, version mulberryspool.Revision) (storedRecord, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return storedRecord{}, errors.Wrap(err, "encode deferred submission")
	}
	var failure error
	uncertain := false
	for range maxWriteAttempts {
		object, err := q.Store.Update(ctx, RecordKind, rec.ID, value, version)
		if err == nil {
			return storedRecord{record: rec, version: object.Version}, nil
		}
		failure = err
		if errors.Is(err, mulberryspool.ErrUncertain) {
			uncertain = true
		} else if !uncertain {
			break
		}
		if errors.Is(err, mulberryspool.ErrConflict) {
			present, readErr := q.get(ctx, rec.ID)
			if readErr == nil && present.ClaimToken == rec.ClaimToken && present.State == rec.State {
				return present, nil
			}
			if readErr == nil {
				return storedRecord{}, mulberryspool.AtStep(err, "update deferred submission", rec.ID)
			}
		}
		if q.pause(ctx, writeRetryDelay) != nil {
			break
		}
	}
	if uncertain {
		failure = mulberryspool.ErrUncertain
	}
	return storedRecord{}, mulberryspool.AtStep(failure, "update deferred submission", rec.ID)
}

// recordOutcome records the outcome of a run. It retries for OutcomeTimeout, to
// outlast an outage of the object API, and makes a limited number of attempts
// once the process is stopping. It returns true if the submission was not run
// and is to be retried.
func (q *Queue) recordOutcome(ctx context.Context, s storedRecord, answer Answer, failure *dispatch.Error) (storedRecord, bool) {
	rec := s.record
	switch {
	case failure == nil:
		q.setEnded(&rec, StateDone, "")
		rec.Answer = &answer
	case failure.Outcome == mulberryspool.OutcomeNotRun:
		rec.State, rec.Message = StateAccepted, failure.Message
	case failure.Outcome == mulberryspool.OutcomeFailed:
		q.setEnded(&rec, StateFailed, failure.Message)
	default:
		q.setEnded(&rec, StateUnknown, failure.Message)
	}
	end := q.Clock.Now().Add(q.OutcomeTimeout)
	lasting := context.WithoutCancel(ctx)
	for attemptsLeft := maxStopAttempts; attemptsLeft > 0 && q.Clock.Now().Before(end); {
		next, err := q.writeOutcome(lasting, rec, s)
		if err == nil {
			if next.ended() {
				q.recordEvent(mulberryspool.EventDeferredEnded, next.record, string(next.State))
			}
			return next, !next.ended()
		}
		if ctx.Err() != nil {
			attemptsLeft--
		}
		if !errors.Is(err, mulberryspool.ErrUnavailable) && !errors.Is(err, mulberryspool.ErrUncertain) {
			q.Logger.Error().Err(err).Str("requestID", string(s.RequestID)).Str("step", "record outcome").Msg("outcome not recorded")
			return storedRecord{}, false
		}
		_ = q.pause(lasting, q.RetryInterval)
	}
	q.Logger.Error().Str("requestID", string(s.RequestID)).Str("step", "record outcome").Msg("outcome not recorded in time")
	return storedRecord{}, false
}

// writeOutcome writes the answer's parts, then the record. If the record was
// marked unknown in the meantime, it is overwritten with the outcome, because
// no other entry has run the submission.
func (q *Queue) writeOutcome(ctx context.Context, rec record, s storedRecord) (storedRecord, error) {
	if rec.Answer != nil && len(rec.Answer.Body) > maxInlineBytes {
		whole := *rec.Answer
		rec.AnswerParts = 0
		for body := whole.Body; len(body) > 0; rec.AnswerParts++ {
			size := min(len(body), answerPartBytes)
			if err := q.createObject(ctx, AnswerKind, answerPartName(rec, rec.AnswerParts), body[:size]); err != nil {
				return storedRecord{}, err
			}
			body = body[size:]
		}
		whole.Body = nil
		rec.Answer = &whole
	}
	next, err := q.update(ctx, rec, s.version)
	if !errors.Is(err, mulberryspool.ErrConflict) {
		return next, err
	}
	present, readErr := q.get(ctx, rec.ID)
	if readErr != nil {
		return storedRecord{}, readErr
	}
	if present.ClaimToken != rec.ClaimToken || present.State != StateUnknown {
		return storedRecord{}, err
	}
	return q.update(ctx, rec, present.version)
}

// setEnded sets an end state and drops the body from the record, which is no
// longer needed.
func (q *Queue) setEnded(rec *record, state State, message string) {
	now := q.Clock.Now().UTC()
	rec.State, rec.Message, rec.Ended = state, message, &now
	rec.Request.Body = nil
}
