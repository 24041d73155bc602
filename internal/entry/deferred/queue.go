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

// Defaults of a Queue.
const (
	DefaultScanInterval = 15 * time.Second
	DefaultConcurrency  = 16
	DefaultRunBound     = 10 * time.Minute
	DefaultRetryAfter   = 2 * time.Second
	// settleTries bounds the attempts to learn what became of one write.
	settleTries = 4
	settlePause = 50 * time.Millisecond
	// stopTries bounds the attempts to record an outcome while stopping.
	stopTries = 5
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
		// Execute runs a submission to its end. An error with outcome notRun
		// puts it back.
		Execute func(ctx context.Context, sub dispatch.Submission) (Answer, *dispatch.Error)
		// Serving reports whether the route's pool takes work now.
		Serving func(route string) bool
		// ScanInterval spaces the lists that find submissions of other entries.
		ScanInterval time.Duration
		// Concurrency bounds the submissions that run at once.
		Concurrency int
		// RunBound is how long a claim of another entry stays unchanged, on
		// this entry's clock, before its outcome counts as lost. It must
		// exceed the longest timeout of a route.
		RunBound time.Duration
		// RetryAfter spaces the attempts to run or to record one submission.
		RetryAfter time.Duration

		setup sync.Once
		mu    sync.Mutex
		// pending holds what may be run, by ID.
		pending map[string]*pending
		// claimed holds when another entry's claim was first seen.
		claimed map[string]sighting
		running map[string]bool
		// unused holds this entry's claims whose answer was lost before the run.
		unused map[string]bool
		wake   chan struct{}
	}

	pending struct {
		stored
		notBefore time.Time
	}

	sighting struct {
		version mulberryspool.Revision
		since   time.Time
	}
)

func (q *Queue) init() {
	q.setup.Do(func() {
		q.ScanInterval = cmp.Or(q.ScanInterval, DefaultScanInterval)
		q.Concurrency = cmp.Or(q.Concurrency, DefaultConcurrency)
		q.RunBound = cmp.Or(q.RunBound, DefaultRunBound)
		q.RetryAfter = cmp.Or(q.RetryAfter, DefaultRetryAfter)
		q.pending = make(map[string]*pending)
		q.claimed = make(map[string]sighting)
		q.running = make(map[string]bool)
		q.unused = make(map[string]bool)
		q.wake = make(chan struct{}, 1)
	})
}

// Accept makes the submission durable and returns its receipt. A key that
// was accepted before with the same body returns the receipt of that time.
func (q *Queue) Accept(ctx context.Context, sub dispatch.Submission) (Receipt, error) {
	q.init()
	if len(sub.Body) > maxBody {
		return Receipt{}, errors.Wrapf(ErrTooLarge, "%d bytes, the bound is %d", len(sub.Body), maxBody)
	}
	rec := record{
		Receipt: Receipt{
			ID: string(sub.ID), RequestID: sub.ID, Route: sub.Route, State: StateAccepted, Accepted: q.Clock.Now().UTC(),
		},
		Token:   uuid.NewString(),
		BodySum: dispatch.BodySum(sub),
		Request: requestOf(sub),
	}
	if sub.Key != "" {
		sum := sha256.Sum256([]byte(sub.Key))
		rec.ID = "key-" + hex.EncodeToString(sum[:16])
	}
	if len(sub.Body) > inlineBytes {
		if err := q.writeApart(ctx, BodyKind, rec.ID+"."+rec.Token, sub.Body); err != nil {
			return Receipt{}, notDurable(err)
		}
		rec.Request.Body, rec.BodyApart = nil, true
	}
	s, err := q.create(ctx, rec)
	if err != nil {
		return Receipt{}, err
	}
	if s.Token != rec.Token {
		if sub.Key == "" {
			return Receipt{}, mulberryspool.AtStep(mulberryspool.ErrConflict, "accept submission", rec.ID)
		}
		if s.BodySum != rec.BodySum {
			return Receipt{}, ErrKeyReused
		}
		return s.Receipt, nil
	}
	q.record(mulberryspool.EventDeferredAccepted, s.record, "")
	q.offer(s, time.Time{})
	return s.Receipt, nil
}

// notDurable turns an uncertain write of a body into a certain refusal:
// without a record that names it, a body is never run.
func notDurable(err error) error {
	if errors.Is(err, mulberryspool.ErrUncertain) {
		return errors.Mark(err, mulberryspool.ErrUnavailable)
	}
	return err
}

// create writes the record and returns what is stored under its ID then. An
// uncertain write is repeated: the creation that wins is the only one.
func (q *Queue) create(ctx context.Context, rec record) (stored, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return stored{}, errors.Wrap(err, "encode deferred submission")
	}
	uncertain := false
	for range settleTries {
		object, err := q.Store.Create(ctx, Kind, rec.ID, value)
		switch {
		case err == nil:
			return stored{record: rec, version: object.Version}, nil
		case errors.Is(err, mulberryspool.ErrConflict):
			return q.get(ctx, rec.ID)
		case errors.Is(err, mulberryspool.ErrUnavailable) && !uncertain:
			return stored{}, err
		}
		uncertain = true
		if q.pause(ctx, settlePause) != nil {
			break
		}
	}
	return stored{}, mulberryspool.AtStep(mulberryspool.ErrUncertain, "accept submission", rec.ID)
}

// Receipt returns the receipt, with the answer if there is one.
func (q *Queue) Receipt(ctx context.Context, id string) (Receipt, error) {
	q.init()
	s, err := q.get(ctx, id)
	if err != nil {
		return Receipt{}, err
	}
	if s.Parts > 0 && s.Answer != nil {
		for i := range s.Parts {
			object, err := q.Store.Get(ctx, AnswerKind, partName(s.record, i))
			if err != nil {
				return Receipt{}, mulberryspool.AtStep(err, "read answer of deferred submission", id)
			}
			s.Answer.Body = append(s.Answer.Body, object.Value...)
		}
	}
	return s.Receipt, nil
}

// Remove deletes a receipt that has ended or was not claimed yet.
func (q *Queue) Remove(ctx context.Context, id string) error {
	q.init()
	s, err := q.get(ctx, id)
	if err != nil {
		return err
	}
	if s.State == StateClaimed {
		return mulberryspool.AtStep(mulberryspool.ErrConflict, "remove deferred submission", id)
	}
	if err := q.Store.Delete(ctx, Kind, id, s.version); err != nil {
		return mulberryspool.AtStep(err, "remove deferred submission", id)
	}
	q.forget(id)
	q.removeApart(ctx, s.record)
	return nil
}

// removeApart deletes a removed submission's other objects, which nothing names any more.
func (q *Queue) removeApart(ctx context.Context, rec record) {
	if rec.BodyApart {
		q.deleteQuietly(ctx, BodyKind, rec.ID+"."+rec.Token)
	}
	for i := range rec.Parts {
		q.deleteQuietly(ctx, AnswerKind, partName(rec, i))
	}
}

func (q *Queue) deleteQuietly(ctx context.Context, kind, name string) {
	object, err := q.Store.Get(ctx, kind, name)
	if err == nil {
		err = q.Store.Delete(ctx, kind, name, object.Version)
	}
	if err != nil && !errors.Is(err, mulberryspool.ErrNotFound) {
		q.Logger.Warn().Err(err).Str("step", "delete object").Str("object", kind+"/"+name).Msg("object stays behind")
	}
}

func partName(rec record, part int) string {
	return rec.ID + "." + rec.Run + "." + strconv.Itoa(part)
}

// writeApart creates an object whose name no other writer uses.
func (q *Queue) writeApart(ctx context.Context, kind, name string, value []byte) error {
	var err error
	for range settleTries {
		_, err = q.Store.Create(ctx, kind, name, value)
		if err == nil || errors.Is(err, mulberryspool.ErrConflict) {
			return nil
		}
		if errors.Is(err, mulberryspool.ErrUnavailable) {
			break
		}
		if q.pause(ctx, settlePause) != nil {
			break
		}
	}
	return mulberryspool.AtStep(err, "write "+kind, name)
}

func (q *Queue) get(ctx context.Context, id string) (stored, error) {
	object, err := q.Store.Get(ctx, Kind, id)
	if err != nil {
		return stored{}, mulberryspool.AtStep(err, "read deferred submission", id)
	}
	return decode(object)
}

func (q *Queue) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-q.Clock.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (q *Queue) record(kind mulberryspool.EventKind, rec record, detail string) {
	if q.Recorder != nil {
		q.Recorder.Record(mulberryspool.Event{Kind: kind, RequestID: rec.RequestID, Route: rec.Route, Detail: detail})
	}
}
