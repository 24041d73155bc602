// Package bodybudget bounds the memory that the bodies of all requests in flight take.
//
//	length, reader --> Budget.Read --> Body or ErrFull --> Body.Release
//
// The load pattern: bodies are kept until their request ends, so that it can be sent again or
// answered as a whole. Many long ones at a time, or a faulty peer that sends bytes without end,
// would take more than the process has, and all requests would end with it. Long bodies leave
// a part of the budget to short ones, which would starve otherwise.
package bodybudget

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// shortBytes is the size up to which a body may use the whole budget.
	shortBytes = 32 << 10
	// longShare is the part of the budget that longer bodies may use.
	longShare = 0.75
	// firstBytes is the first size of a buffer for a body of unknown length.
	firstBytes = 2 << 10
)

// ErrFull is returned if a body does not fit into the budget.
var ErrFull = errors.New("no memory for the body")

type (
	// Budget is the memory for bodies. It is safe for concurrent use. Set Limit before the
	// first use. A nil Budget bounds nothing.
	Budget struct {
		// Limit is the sum in bytes; 0 for none.
		Limit int64

		mu sync.Mutex
		// used is the sum of the reserved bytes.
		used int64
	}

	// Body is a body in memory. Release must be called when it is not used any more.
	Body struct {
		Bytes []byte

		budget   *Budget
		reserved int64
	}
)

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// reserve adds bytes to a body that has held bytes, and reports whether they fit.
func (b *Budget) reserve(held, more int64) bool {
	if b == nil {
		return true
	}
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

func (b *Budget) release(bytes int64) {
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
	if !b.budget.reserve(b.reserved, size-b.reserved) {
		return false
	}
	b.reserved = size
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return true
}

// Release returns the memory of the body to the budget. Further calls have no effect.
func (b *Body) Release() {
	b.budget.release(b.reserved)
	b.reserved = 0
}
