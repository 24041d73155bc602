package deferred

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

// Defaults of Queue.
const (
	DefaultScanInterval   = 15 * time.Second
	DefaultConcurrency    = 16
	DefaultOutcomeTimeout = 10 * time.Minute
	DefaultRetryInterval  = 2 * time.Second
	// maxWriteAttempts limits the attempts of one write whose result is unknown.
	maxWriteAttempts = 4
	writeRetryDelay  = 50 * time.Millisecond
	// maxStopAttempts limits the attempts to record an outcome while stopping.
	maxStopAttempts = 5
)

type (
	// Queue accepts deferred submissions and runs them. Set the exported
	// fields before the first use.
	Queue struct {
		Self     mulberryspool.Identity
		Store    mulberryspool.ObjectStore
		Clock    mulberryspool.Clock
		Recorder mulberryspool.Recorder
		Logger   zerolog.Logger
		// Execute runs a submission to its end. After an error with outcome
		// notRun the submission is retried.
		Execute func(ctx context.Context, sub dispatch.Submission) (Answer, *dispatch.Error)
		// Serving reports whether the route's pool currently accepts work.
		Serving func(route string) bool
		// ScanInterval is the mean time between scans for submissions that
		// other entries have accepted.
		ScanInterval time.Duration
		// Concurrency is the maximum number of submissions that run concurrently.
		Concurrency int
		// OutcomeTimeout is how long another entry's claim may stay unchanged,
		// measured on this entry's clock, before its outcome counts as lost.
		// It also limits the time for recording an outcome. It must exceed
		// the longest timeout of a route.
		OutcomeTimeout time.Duration
		// RetryInterval is the pause between attempts to run a submission or
		// to record its outcome.
		RetryInterval time.Duration

		setup sync.Once
		mu    sync.Mutex
		// pending holds the submissions that may be run, by ID.
		pending map[string]*pendingSubmission
		// observedClaims holds the claims of other entries, by submission ID.
		observedClaims map[string]observedClaim
		// running holds the IDs of submissions that this entry is running.
		running map[string]bool
		// unusedClaims holds the tokens of this entry's claims that may be
		// recorded but whose submission was not run, because the write failed
		// or its response was lost.
		unusedClaims map[string]bool
		wake         chan struct{}
	}

	// pendingSubmission is a submission that may be run from notBefore on.
	pendingSubmission struct {
		storedRecord
		notBefore time.Time
	}

	// observedClaim is the version of a claimed record and the time at which
	// it was first read.
	observedClaim struct {
		version mulberryspool.Revision
		since   time.Time
	}
)

func (q *Queue) init() {
	q.setup.Do(func() {
		q.ScanInterval = cmp.Or(q.ScanInterval, DefaultScanInterval)
		q.Concurrency = cmp.Or(q.Concurrency, DefaultConcurrency)
		q.OutcomeTimeout = cmp.Or(q.OutcomeTimeout, DefaultOutcomeTimeout)
		q.RetryInterval = cmp.Or(q.RetryInterval, DefaultRetryInterval)
		q.pending = make(map[string]*pendingSubmission)
		q.observedClaims = make(map[string]observedClaim)
		q.running = make(map[string]bool)
		q.unusedClaims = make(map[string]bool)
		q.wake = make(chan struct{}, 1)
	})
}

// Accept stores the submission durably and returns its receipt. If the key was
// accepted before with the same body, it returns the existing receipt.
func (q *Queue) Accept(ctx context.Context, sub dispatch.Submission) (Receipt, error) {
	q.init()
	if len(sub.Body) > maxBodyBytes {
		return Receipt{}, errors.Wrapf(ErrTooLarge, "%d bytes, the bound is %d", len(sub.Body), maxBodyBytes)
	}
	rec := record{
		Receipt: Receipt{
			ID: string(sub.ID), RequestID: sub.ID, Route: sub.Route, State: StateAccepted, Accepted: q.Clock.Now().UTC(),
		},
		AcceptToken: uuid.NewString(),
		RequestHash: dispatch.RequestHash(sub),
		Request:     newRequest(sub),
	}
	if sub.IdempotencyKey != "" {
		sum := sha256.Sum256([]byte(sub.IdempotencyKey))
		rec.ID = "key-" + hex.EncodeToString(sum[:16])
	}
	if len(sub.Body) > maxInlineBytes {
		if err := q.createObject(ctx, BodyKind, rec.ID+"."+rec.AcceptToken, sub.Body); err != nil {
			return Receipt{}, bodyWriteError(err)
		}
		rec.Request.Body, rec.SeparateBody = nil, true
	}
	s, err := q.create(ctx, rec)
	if err != nil {
		return Receipt{}, err
	}
	if s.AcceptToken != rec.AcceptToken {
		if sub.IdempotencyKey == "" {
			return Receipt{}, mulberryspool.AtStep(mulberryspool.ErrConflict, "accept submission", rec.ID)
		}
		if s.RequestHash != rec.RequestHash {
			return Receipt{}, ErrKeyReused
		}
		return s.Receipt, nil
	}
	q.recordEvent(mulberryspool.EventDeferredAccepted, s.record, "")
	q.enqueue(s, time.Time{})
	return s.Receipt, nil
}

// bodyWriteError converts ErrUncertain to ErrUnavailable: without a record
// that refers to it, a body is certainly never run.
func bodyWriteError(err error) error {
	if errors.Is(err, mulberryspool.ErrUncertain) {
		return errors.Mark(err, mulberryspool.ErrUnavailable)
	}
	return err
}

// create creates the record and returns the record stored under its ID, which
// is another one if the ID existed. A write with unknown result is repeated,
// because at most one creation succeeds.
func (q *Queue) create(ctx context.Context, rec record) (storedRecord, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return storedRecord{}, errors.Wrap(err, "encode deferred submission")
	}
	uncertain := false
	for range maxWriteAttempts {
		object, err := q.Store.Create(ctx, RecordKind, rec.ID, value)
		switch {
		case err == nil:
			return storedRecord{record: rec, version: object.Version}, nil
		case errors.Is(err, mulberryspool.ErrConflict):
			return q.get(ctx, rec.ID)
		case errors.Is(err, mulberryspool.ErrUnavailable) && !uncertain:
			return storedRecord{}, err
		}
		uncertain = true
		if q.pause(ctx, writeRetryDelay) != nil {
			break
		}
	}
	return storedRecord{}, mulberryspool.AtStep(mulberryspool.ErrUncertain, "accept submission", rec.ID)
}

// Receipt returns the receipt, including the answer if there is one.
func (q *Queue) Receipt(ctx context.Context, id string) (Receipt, error) {
	q.init()
	s, err := q.get(ctx, id)
	if err != nil {
		return Receipt{}, err
	}
	if s.AnswerParts > 0 && s.Answer != nil {
		for i := range s.AnswerParts {
			object, err := q.Store.Get(ctx, AnswerKind, answerPartName(s.record, i))
			if err != nil {
				return Receipt{}, mulberryspool.AtStep(err, "read answer of deferred submission", id)
			}
			s.Answer.Body = append(s.Answer.Body, object.Value...)
		}
	}
	return s.Receipt, nil
}

// Remove deletes a submission that has ended or is not claimed. It fails with
// mulberryspool.ErrConflict while the submission is claimed.
func (q *Queue) Remove(ctx context.Context, id string) error {
	q.init()
	s, err := q.get(ctx, id)
	if err != nil {
		return err
	}
	if s.State == StateClaimed {
		return mulberryspool.AtStep(mulberryspool.ErrConflict, "remove deferred submission", id)
	}
	if err := q.Store.Delete(ctx, RecordKind, id, s.version); err != nil {
		return mulberryspool.AtStep(err, "remove deferred submission", id)
	}
	q.removePending(id)
	q.deleteSeparateObjects(ctx, s.record)
	return nil
}

// deleteSeparateObjects deletes the body and answer parts of a removed
// submission, to which no record refers any more.
func (q *Queue) deleteSeparateObjects(ctx context.Context, rec record) {
	if rec.SeparateBody {
		q.deleteBestEffort(ctx, BodyKind, rec.ID+"."+rec.AcceptToken)
	}
	for i := range rec.AnswerParts {
		q.deleteBestEffort(ctx, AnswerKind, answerPartName(rec, i))
	}
}

func (q *Queue) deleteBestEffort(ctx context.Context, kind, name string) {
	object, err := q.Store.Get(ctx, kind, name)
	if err == nil {
		err = q.Store.Delete(ctx, kind, name, object.Version)
	}
	if err != nil && !errors.Is(err, mulberryspool.ErrNotFound) {
		q.Logger.Warn().Err(err).Str("step", "delete object").Str("object", kind+"/"+name).Msg("object not deleted")
	}
}

func answerPartName(rec record, part int) string {
	return rec.ID + "." + rec.ClaimToken + "." + strconv.Itoa(part)
}

// createObject creates an object whose name is unique to this writer, so that
// a conflict means that an earlier attempt has succeeded.
func (q *Queue) createObject(ctx context.Context, kind, name string, value []byte) error {
	var err error
	for range maxWriteAttempts {
		_, err = q.Store.Create(ctx, kind, name, value)
		if err == nil || errors.Is(err, mulberryspool.ErrConflict) {
			return nil
		}
		if errors.Is(err, mulberryspool.ErrUnavailable) {
			break
		}
		if q.pause(ctx, writeRetryDelay) != nil {
			break
		}
	}
	return mulberryspool.AtStep(err, "write "+kind, name)
}

func (q *Queue) get(ctx context.Context, id string) (storedRecord, error) {
	object, err := q.Store.Get(ctx, RecordKind, id)
	if err != nil {
		return storedRecord{}, mulberryspool.AtStep(err, "read deferred submission", id)
	}
	return decodeRecord(object)
}

func (q *Queue) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-q.Clock.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (q *Queue) recordEvent(kind mulberryspool.EventKind, rec record, detail string) {
	if q.Recorder != nil {
		q.Recorder.Record(mulberryspool.Event{Kind: kind, RequestID: rec.RequestID, Route: rec.Route, Detail: detail})
	}
}
