package callers

import (
	"context"
	"sync"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

type (
	// Exchange hands one answer from the dispatcher to a caller. The
	// dispatcher's methods never block.
	Exchange struct {
		// Limit bounds the bytes that wait for the caller; 0 for no bound.
		Limit int64
		// Stalled is called once when the limit is passed; it must not block.
		Stalled func()

		mu      sync.Mutex
		answer  Answer
		waiting int64
		stalled bool
		// changed has room for one signal.
		changed chan struct{}
	}

	// Answer is what has come since the last Next, and how the answer ended.
	Answer struct {
		// Head is set once status and content type are known.
		Head        bool
		Status      int
		ContentType string
		Data        []byte
		// Ended is set with a whole answer; Err with any other end.
		Ended   bool
		Weights mulberryspool.Digest
		Version string
		Err     *dispatch.Error
	}
)

// NewExchange returns an exchange for one request.
func NewExchange(limit int64, stalled func()) *Exchange {
	return &Exchange{Limit: limit, Stalled: stalled, changed: make(chan struct{}, 1)}
}

// Head sets status and content type.
func (x *Exchange) Head(status int, contentType string) {
	x.update(func(a *Answer) { a.Head, a.Status, a.ContentType = true, status, contentType })
}

// Bytes adds a part of the body.
func (x *Exchange) Bytes(data []byte) {
	x.update(func(a *Answer) {
		a.Data = append(a.Data, data...)
		x.waiting += int64(len(data))
	})
	x.mu.Lock()
	over := x.Limit > 0 && x.waiting > x.Limit && !x.stalled
	x.stalled = x.stalled || over
	x.mu.Unlock()
	if over && x.Stalled != nil {
		x.Stalled()
	}
}

// Reset drops what has come. It is only called while the caller collects the
// whole answer before it writes.
func (x *Exchange) Reset() {
	x.update(func(a *Answer) {
		*a = Answer{}
		x.waiting = 0
	})
}

// End ends a whole answer.
func (x *Exchange) End(weights mulberryspool.Digest, version string) {
	x.update(func(a *Answer) { a.Ended, a.Weights, a.Version = true, weights, version })
}

// Fail ends the answer with an error.
func (x *Exchange) Fail(err dispatch.Error) {
	x.update(func(a *Answer) { a.Err = &err })
}

// Next waits for something new and takes it.
func (x *Exchange) Next(ctx context.Context) (Answer, error) {
	select {
	case <-x.changed:
	case <-ctx.Done():
		return Answer{}, context.Cause(ctx)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	taken := x.answer
	x.answer.Data = nil
	x.waiting = 0
	return taken, nil
}

// Collect waits for the end and returns the whole answer.
func (x *Exchange) Collect(ctx context.Context) (Answer, error) {
	for {
		select {
		case <-x.changed:
		case <-ctx.Done():
			return Answer{}, context.Cause(ctx)
		}
		x.mu.Lock()
		taken := x.answer
		x.mu.Unlock()
		if taken.Ended || taken.Err != nil {
			return taken, nil
		}
	}
}

func (x *Exchange) update(change func(*Answer)) {
	x.mu.Lock()
	change(&x.answer)
	x.mu.Unlock()
	select {
	case x.changed <- struct{}{}:
	default:
	}
}
