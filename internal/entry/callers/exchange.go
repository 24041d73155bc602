package callers

import (
	"context"
	"sync"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

type (
	// Exchange is the buffer through which one response passes from the
	// dispatcher to a caller. The methods that the dispatcher calls (Head,
	// Bytes, Reset, End and Fail) never block.
	Exchange struct {
		// Limit is the number of buffered bytes above which OnLimitExceeded
		// is called; 0 for no limit.
		Limit int64
		// OnLimitExceeded is called at most once. It must not block.
		OnLimitExceeded func()

		mu            sync.Mutex
		response      Response
		bufferedBytes int64
		limitReported bool
		// changed signals an update to Next or Collect. It has a buffer of one.
		changed chan struct{}
	}

	// Response is the state of a response, with the data that was received
	// since the last call to Next.
	Response struct {
		// HasHead is set once Status and ContentType are known.
		HasHead     bool
		Status      int
		ContentType string
		Data        []byte
		// Complete is set when the response is complete, Err when it ended in
		// any other way.
		Complete bool
		Weights  mulberryspool.Digest
		Version  string
		Err      *dispatch.Error
	}
)

// NewExchange returns an Exchange for one request.
func NewExchange(limit int64, onLimitExceeded func()) *Exchange {
	return &Exchange{Limit: limit, OnLimitExceeded: onLimitExceeded, changed: make(chan struct{}, 1)}
}

// Head sets the status and the content type.
func (x *Exchange) Head(status int, contentType string) {
	x.update(func(r *Response) { r.HasHead, r.Status, r.ContentType = true, status, contentType })
}

// Bytes appends a part of the body.
func (x *Exchange) Bytes(data []byte) {
	x.update(func(r *Response) {
		r.Data = append(r.Data, data...)
		x.bufferedBytes += int64(len(data))
	})
	x.mu.Lock()
	exceeded := x.Limit > 0 && x.bufferedBytes > x.Limit && !x.limitReported
	x.limitReported = x.limitReported || exceeded
	x.mu.Unlock()
	if exceeded && x.OnLimitExceeded != nil {
		x.OnLimitExceeded()
	}
}

// Reset discards what was received. It may be called only for responses that are
// read with Collect, of which nothing was sent to the caller yet.
func (x *Exchange) Reset() {
	x.update(func(r *Response) {
		*r = Response{}
		x.bufferedBytes = 0
	})
}

// End completes the response.
func (x *Exchange) End(weights mulberryspool.Digest, version string) {
	x.update(func(r *Response) { r.Complete, r.Weights, r.Version = true, weights, version })
}

// Fail ends the response with an error.
func (x *Exchange) Fail(err dispatch.Error) {
	x.update(func(r *Response) { r.Err = &err })
}

// Next waits for an update and returns the response, with the data received since
// the last call.
func (x *Exchange) Next(ctx context.Context) (Response, error) {
	select {
	case <-x.changed:
	case <-ctx.Done():
		return Response{}, context.Cause(ctx)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	current := x.response
	x.response.Data = nil
	x.bufferedBytes = 0
	return current, nil
}

// Collect waits for the end of the response and returns all of it.
func (x *Exchange) Collect(ctx context.Context) (Response, error) {
	for {
		select {
		case <-x.changed:
		case <-ctx.Done():
			return Response{}, context.Cause(ctx)
		}
		x.mu.Lock()
		current := x.response
		x.mu.Unlock()
		if current.Complete || current.Err != nil {
			return current, nil
		}
	}
}

func (x *Exchange) update(apply func(*Response)) {
	x.mu.Lock()
	apply(&x.response)
	x.mu.Unlock()
	select {
	case x.changed <- struct{}{}:
	default:
	}
}
