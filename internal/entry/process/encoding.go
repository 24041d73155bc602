package process

import (
	"context"

	"golang.org/x/sync/semaphore"

	"github.com/mulberryspool/mulberryspool/internal/entry/dispatch"
)

const (
	// encodedCopies is the memory that it takes to send a body, as a multiple of its size: base64
	// in JSON, and the buffers of the encoder.
	encodedCopies = 8
	// shortBodyBytes is the size up to which bodies don't wait for longer ones to be sent.
	shortBodyBytes = 32 << 10
	// longEncodingShare and shortEncodingShare are the memory for such messages, as shares of the
	// budget of callers, which doesn't contain it.
	longEncodingShare, shortEncodingShare = 0.5, 0.15
)

// encodingLimit bounds the memory of the messages in which bodies are sent to agents. The load
// pattern: many long bodies are complete at the same time, and each takes several times its size
// until its agent has received it.
type encodingLimit struct {
	// long and short are nil if there is no bound.
	long, short *semaphore.Weighted
	// longBytes and shortBytes are their sizes.
	longBytes, shortBytes int64
}

// newEncodingLimit returns the limit for a budget of callers in bytes; 0 for none.
func newEncodingLimit(budget int64) encodingLimit {
	if budget <= 0 {
		return encodingLimit{}
	}
	l := encodingLimit{longBytes: int64(longEncodingShare * float64(budget)), shortBytes: int64(shortEncodingShare * float64(budget))}
	l.long, l.short = semaphore.NewWeighted(l.longBytes), semaphore.NewWeighted(l.shortBytes)
	return l
}

// acquire waits until a body of some bytes may be encoded. It returns a function to be called when
// the message has been received.
func (l encodingLimit) acquire(ctx context.Context, bytes int) (release func(), err error) {
	memory, size := l.long, l.longBytes
	if bytes <= shortBodyBytes {
		memory, size = l.short, l.shortBytes
	}
	if memory == nil {
		return func() {}, nil
	}
	weight := min(size, int64(bytes)*encodedCopies)
	if err := memory.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	return func() { memory.Release(weight) }, nil
}

// retain keeps the memory of a body until the function that it returns is called.
func retain(held dispatch.Held) (release func()) {
	if held == nil {
		return func() {}
	}
	held.Retain()
	return held.Release
}
