package callers

import (
	"context"
	"sync"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

type (
	// ResponseBuffer is the buffer through which one response passes from the
	// dispatcher to a caller. The methods that the dispatcher calls (SetHead,
	// Append, Reset, Complete and Fail) never block.
	ResponseBuffer struct {
		// Limit is the number of buffered bytes above which the buffer is full;
		// 0 for no limit.
		Limit int64
		// OnFull is called the first time the buffer is full. It must not block.
		OnFull func()

		mu            sync.Mutex
		response      Response
		bufferedBytes int64
		fullReported  bool
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

// NewResponseBuffer returns the buffer for the response to one request.
func NewResponseBuffer(limit int64, onFull func()) *ResponseBuffer {
	return &ResponseBuffer{Limit: limit, OnFull: onFull, changed: make(chan struct{}, 1)}
}

// SetHead sets the status and the content type.
func (b *ResponseBuffer) SetHead(status int, contentType string) {
	b.update(func(r *Response) { r.HasHead, r.Status, r.ContentType = true, status, contentType })
}

// Append appends a part of the body.
func (b *ResponseBuffer) Append(data []byte) {
	b.update(func(r *Response) {
		r.Data = append(r.Data, data...)
		b.bufferedBytes += int64(len(data))
	})
	b.mu.Lock()
	full := b.Limit > 0 && b.bufferedBytes > b.Limit && !b.fullReported
	b.fullReported = b.fullReported || full
	b.mu.Unlock()
	if full && b.OnFull != nil {
		b.OnFull()
	}
}

// Reset discards what was received. It may be called only for responses that are
// read with Collect, of which nothing was sent to the caller yet.
func (b *ResponseBuffer) Reset() {
	b.update(func(r *Response) {
		*r = Response{}
		b.bufferedBytes = 0
	})
}

// Complete completes the response.
func (b *ResponseBuffer) Complete(weights mulberryspool.Digest, version string) {
	b.update(func(r *Response) { r.Complete, r.Weights, r.Version = true, weights, version })
}

// Fail ends the response with an error.
func (b *ResponseBuffer) Fail(err dispatch.Error) {
	b.update(func(r *Response) { r.Err = &err })
}

// Next waits for an update and returns the response, with the data received since
// the last call.
func (b *ResponseBuffer) Next(ctx context.Context) (Response, error) {
	select {
	case <-b.changed:
	case <-ctx.Done():
		return Response{}, context.Cause(ctx)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.response
	b.response.Data = nil
	b.bufferedBytes = 0
	return current, nil
}

// Collect waits for the end of the response and returns all of it.
func (b *ResponseBuffer) Collect(ctx context.Context) (Response, error) {
	for {
		select {
		case <-b.changed:
		case <-ctx.Done():
			return Response{}, context.Cause(ctx)
		}
		b.mu.Lock()
		current := b.response
		b.mu.Unlock()
		if current.Complete || current.Err != nil {
			return current, nil
		}
	}
}

func (b *ResponseBuffer) update(apply func(*Response)) {
	b.mu.Lock()
	apply(&b.response)
	b.mu.Unlock()
	select {
	case b.changed <- struct{}{}:
	default:
	}
}
