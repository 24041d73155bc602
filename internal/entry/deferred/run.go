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

// Run scans and runs submissions until the context ends, then waits for
// those that run.
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
			// The jitter keeps entries from scanning all at once.
			nextScan = q.Clock.Now().Add(q.ScanInterval/2 + rand.N(q.ScanInterval))
		}
		for _, s := range q.due() {
			workers.Go(func() error {
				q.runOne(ctx, s)
				return nil
			})
		}
		select {
		case <-q.wake:
		case <-q.Clock.After(min(q.RetryAfter, max(nextScan.Sub(q.Clock.Now()), time.Millisecond))):
		case <-ctx.Done():
		}
	}
	return nil
}

// scan reads all records in one call.
func (q *Queue) scan(ctx context.Context) error {
	objects, err := q.Store.List(ctx, Kind, "")
	if err != nil {
		return err
	}
	seen := make(map[string]bool, len(objects))
	for _, object := range objects {
		s, err := decode(object)
		if err != nil {
			q.Logger.Error().Err(err).Str("step", "scan deferred submissions").Msg("record skipped")
			continue
		}
		seen[s.ID] = true
		switch s.State {
		case StateAccepted:
			q.offer(s, time.Time{})
		case StateClaimed:
			if q.neverRun(s) {
				q.offer(s, time.Time{})
			} else if q.lost(s) {
				q.markUnknown(ctx, s)
			}
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range q.claimed {
		if !seen[id] {
			delete(q.claimed, id)
		}
	}
	return nil
}

// lost reports whether nobody will record the outcome of a claim. Clocks of
// two instances are not compared: the time is counted from the first sight.
func (q *Queue) lost(s stored) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running[s.ID] {
		return false
	}
	if s.By == q.Self.Instance && s.Incarnation != q.Self.Incarnation {
		return true
	}
	now := q.Clock.Now()
	sight, ok := q.claimed[s.ID]
	if !ok || sight.version != s.version {
		q.claimed[s.ID] = sighting{version: s.version, since: now}
		return false
	}
	return now.Sub(sight.since) >= q.RunBound
}

func (q *Queue) markUnknown(ctx context.Context, s stored) {
	rec := s.record
	q.finishRecord(&rec, StateUnknown, "the entry that ran it is gone or did not record the outcome")
	if _, err := q.update(ctx, rec, s.version); err != nil {
		q.Logger.Warn().Err(err).Str("requestID", string(s.RequestID)).Str("step", "mark submission unknown").Msg("update failed")
		return
	}
	q.record(mulberryspool.EventDeferredEnded, rec, string(StateUnknown))
}

// offer adds a submission to those that may be run.
func (q *Queue) offer(s stored, notBefore time.Time) {
	q.mu.Lock()
	if known := q.pending[s.ID]; !q.running[s.ID] && (known == nil || known.version < s.version) {
		q.pending[s.ID] = &pending{stored: s, notBefore: notBefore}
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *Queue) forget(id string) {
	q.mu.Lock()
	delete(q.pending, id)
	q.mu.Unlock()
}

// due takes the submissions that may be run now.
func (q *Queue) due() []stored {
	q.mu.Lock()
	defer q.mu.Unlock()
	var due []stored
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
		due = append(due, p.stored)
	}
	return due
}

// runOne claims a submission, runs it and records the outcome.
func (q *Queue) runOne(ctx context.Context, s stored) {
	again, ok := q.runClaimed(ctx, s)
	q.mu.Lock()
	delete(q.running, s.ID)
	q.mu.Unlock()
	if ok {
		q.offer(again, q.Clock.Now().Add(q.RetryAfter))
	}
}

// runClaimed returns the submission and true if it is to be run again.
func (q *Queue) runClaimed(ctx context.Context, s stored) (stored, bool) {
	sub, err := q.load(ctx, s.record)
	if err == nil {
		s, err = q.claim(ctx, s)
	}
	if err != nil {
		// Another entry has it, or a scan finds it again.
		q.Logger.Debug().Err(err).Str("requestID", string(s.RequestID)).Str("step", "claim submission").Msg("not claimed")
		return stored{}, false
	}
	answer, failure := q.Execute(ctx, sub)
	return q.conclude(ctx, s, answer, failure)
}

func (q *Queue) load(ctx context.Context, rec record) (dispatch.Submission, error) {
	sub := rec.submission()
	if !rec.BodyApart {
		return sub, nil
	}
	object, err := q.Store.Get(ctx, BodyKind, rec.ID+"."+rec.Token)
	sub.Body = object.Value
	return sub, mulberryspool.AtStep(err, "read body of deferred submission", rec.ID)
}

// claim makes this entry the only one that runs the submission.
func (q *Queue) claim(ctx context.Context, s stored) (stored, error) {
	rec := s.record
	rec.State, rec.By, rec.Incarnation = StateClaimed, q.Self.Instance, q.Self.Incarnation
	rec.Run, rec.Message = uuid.NewString(), ""
	rec.Attempts++
	next, err := q.update(ctx, rec, s.version)
	if err != nil && !errors.Is(err, mulberryspool.ErrConflict) {
		// The claim may be recorded, and a scan that finds it knows that it was not used.
		q.mu.Lock()
		q.unused[rec.Run] = true
		q.mu.Unlock()
	}
	return next, err
}

// neverRun reports whether the claim is this entry's own and was not used,
// because its answer was lost.
func (q *Queue) neverRun(s stored) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.unused[s.Run]
}

// update writes the record if it still has the version. An uncertain write is
// settled by reading back what this call has written.
func (q *Queue) update(ctx context.Context, rec record, version mulberryspool.Revision) (stored, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return stored{}, errors.Wrap(err, "encode deferred submission")
	}
	var failure error
	uncertain := false
	for range settleTries {
		object, err := q.Store.Update(ctx, Kind, rec.ID, value, version)
		if err == nil {
			return stored{record: rec, version: object.Version}, nil
		}
		failure = err
		if errors.Is(err, mulberryspool.ErrUncertain) {
			uncertain = true
		} else if !uncertain {
			break
		}
		if errors.Is(err, mulberryspool.ErrConflict) {
			present, readErr := q.get(ctx, rec.ID)
			if readErr == nil && present.Run == rec.Run && present.State == rec.State {
				return present, nil
			}
			if readErr == nil {
				return stored{}, mulberryspool.AtStep(err, "update deferred submission", rec.ID)
			}
		}
		if q.pause(ctx, settlePause) != nil {
			break
		}
	}
	if uncertain {
		failure = mulberryspool.ErrUncertain
	}
	return stored{}, mulberryspool.AtStep(failure, "update deferred submission", rec.ID)
}

// conclude records the outcome, also through an outage of the object API and
// while the process stops. It returns true if the submission was put back.
func (q *Queue) conclude(ctx context.Context, s stored, answer Answer, failure *dispatch.Error) (stored, bool) {
	rec := s.record
	switch {
	case failure == nil:
		q.finishRecord(&rec, StateDone, "")
		rec.Answer = &answer
	case failure.Outcome == mulberryspool.OutcomeNotRun:
		rec.State, rec.Message = StateAccepted, failure.Message
	case failure.Outcome == mulberryspool.OutcomeFailed:
		q.finishRecord(&rec, StateFailed, failure.Message)
	default:
		q.finishRecord(&rec, StateUnknown, failure.Message)
	}
	end := q.Clock.Now().Add(q.RunBound)
	lasting := context.WithoutCancel(ctx)
	for stopTries := stopTries; stopTries > 0 && q.Clock.Now().Before(end); {
		next, err := q.store(lasting, rec, s)
		if err == nil {
			if next.ended() {
				q.record(mulberryspool.EventDeferredEnded, next.record, string(next.State))
			}
			return next, !next.ended()
		}
		if ctx.Err() != nil {
			stopTries--
		}
		if !errors.Is(err, mulberryspool.ErrUnavailable) && !errors.Is(err, mulberryspool.ErrUncertain) {
			q.Logger.Error().Err(err).Str("requestID", string(s.RequestID)).Str("step", "record outcome").Msg("outcome not recorded")
			return stored{}, false
		}
		_ = q.pause(lasting, q.RetryAfter)
	}
	q.Logger.Error().Str("requestID", string(s.RequestID)).Str("step", "record outcome").Msg("outcome not recorded in time")
	return stored{}, false
}

// store writes the answer's parts, then the record. A record that was marked
// unknown in the meantime takes the outcome, because nobody else has run it.
func (q *Queue) store(ctx context.Context, rec record, s stored) (stored, error) {
	if rec.Answer != nil && len(rec.Answer.Body) > inlineBytes {
		whole := *rec.Answer
		rec.Parts = 0
		for body := whole.Body; len(body) > 0; rec.Parts++ {
			size := min(len(body), partBytes)
			if err := q.writeApart(ctx, AnswerKind, partName(rec, rec.Parts), body[:size]); err != nil {
				return stored{}, err
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
		return stored{}, readErr
	}
	if present.Run != rec.Run || present.State != StateUnknown {
		return stored{}, err
	}
	return q.update(ctx, rec, present.version)
}

// finishRecord sets the end; a body kept in the record is no longer needed.
func (q *Queue) finishRecord(rec *record, state State, message string) {
	now := q.Clock.Now().UTC()
	rec.State, rec.Message, rec.Ended = state, message, &now
	rec.Request.Body = nil
}
