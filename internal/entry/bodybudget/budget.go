// Package bodybudget bounds the memory that callers can make the process take: the bodies of
// all requests in flight, and the heads and connections that package httpguard accounts for.
//
//	length, reader --> Budget.Read --> Body or ErrFull --> Body.Release
//	bytes --> Budget.Reserve --> fits or not --> Budget.Release
//
// The load pattern: bodies are kept until their request ends, so that it can be sent again or
// answered as a whole. Many long ones at a time, or a faulty peer that sends bytes without end,
// would take more than the process has, and all requests would end with it. Long bodies leave
// a part of the budget to short ones, which would starve otherwise. Callers that stop midway
// keep what they hold, so the holder of the most that makes no progress is ended first.
package bodybudget

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// shortBytes is the size up to which a body may use the whole budget.
	shortBytes = 32 << 10
	// longShare is the part of the budget that longer bodies may use.
	longShare = 0.75
	// firstBytes is the first size of a buffer for a body of unknown length.
	firstBytes = 2 << 10
	// roomAttempts is how often memory is freed by MakeRoom for a reservation, which then looks
	// roomPolls times, in intervals of roomPollInterval, whether it fits. The holder is
	// interrupted and releases it within milliseconds.
	roomAttempts     = 5
	roomPolls        = 5
	roomPollInterval = 4 * time.Millisecond
)

// ErrFull is returned if a body does not fit into the budget.
var ErrFull = errors.New("no memory for the body")

type (
	// Budget is the memory for what callers send and are sent. It is safe for concurrent use. Set Limit before the
	// first use. A nil Budget bounds nothing.
	Budget struct {
		// Limit is the sum in bytes; 0 for none.
		Limit int64
		// MakeRoom ends the connection that holds the most for the longest time without
		// progress, and reports whether there is one; nil if none can be ended. It is called
		// when something doesn't fit.
		MakeRoom func() bool

		mu sync.Mutex
		// used is the sum of the reserved bytes.
		used int64
	}

	// Body is a body in memory. Release must be called when it is not used any more, and once
	// more for each Retain.
	Body struct {
		Bytes []byte

		budget *Budget
		mu     sync.Mutex
		// reserved is the part of the budget that the body takes.
		reserved int64
		// retained is the number of calls of Retain that no Release has followed.
		retained int
	}
)

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reserve reserves more bytes for a holder that has held bytes, and reports whether they fit. It
// may wait for room.
func (b *Budget) Reserve(held, more int64) bool {
	if b == nil || b.reserve(held, more) {
		return true
	}
	if b.MakeRoom == nil {
		return false
	}
	for range roomAttempts {
		if !b.MakeRoom() {
			return b.reserve(held, more)
		}
		for range roomPolls {
			if b.reserve(held, more) {
				return true
			}
			time.Sleep(roomPollInterval)
		}
	}
	return false
}

func (b *Budget) reserve(held, more int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.Limit
	if held+more > shortBytes {
		limit = int64(longShare * float64(limit))
	}
	if b.Limit > 0 && b.used+more > limit {
		return false
	}
	b.used += more
	return true
}

// Release returns reserved bytes.
func (b *Budget) Release(bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}

// Read reads a body of at most maxBytes. The length is negative if it isn't known; if it is,
// nothing is read of a body that doesn't fit. It fails with ErrFull, or with the error of the
// reader, and returns what was read also then.
func (b *Budget) Read(r io.Reader, length, maxBytes int64) (*Body, error) {
	body := &Body{budget: b}
	size := min(length, maxBytes)
	if size < 0 {
		size = min(firstBytes, maxBytes)
	}
	for int64(len(body.Bytes)) < maxBytes {
		if !body.grow(size) {
			return body, ErrFull
		}
		for len(body.Bytes) < cap(body.Bytes) {
			n, err := r.Read(body.Bytes[len(body.Bytes):cap(body.Bytes)])
			body.Bytes = body.Bytes[:len(body.Bytes)+n]
			if errors.Is(err, io.EOF) {
				return body, nil
			}
			if err != nil {
				return body, err
			}
		}
		if size == length {
			return body, nil
		}
		size = min(2*size, maxBytes)
	}
	return body, nil
}

// grow makes room for so many bytes in all, and reports whether they fit.
func (b *Body) grow(size int64) bool {
	if !b.budget.Reserve(b.reserved, size-b.reserved) {
		return false
	}
	b.reserved = size
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return true
}

// Extend reserves further bytes for as long as the body, and reports whether they fit.
func (b *Body) Extend(bytes int64) bool {
	if !b.budget.Reserve(b.reserved, bytes) {
		return false
	}
	b.reserved += bytes
	return true
}

// Retain makes the next Release have no effect.
func (b *Body) Retain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retained++
}

// Release returns the memory of the body to the budget. Further calls have no effect.
func (b *Body) Release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retained > 0 {
		b.retained--
		return
	}
	b.budget.Release(b.reserved)
	b.reserved = 0
}
