package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog/diode"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// ringLines bounds the lines that wait for a slow reader of the logs.
	ringLines = 2048
	// ringPoll is how often waiting lines are written.
	ringPoll = 50 * time.Millisecond
)

// Ring is a writer that never blocks: lines that a slow reader does not take
// in time are dropped and counted.
type Ring struct {
	diode.Writer

	dropped atomic.Int64
}

// NewRing returns a ring in front of a writer. Close writes what waits.
func NewRing(w io.Writer) *Ring {
	r := &Ring{}
	r.Writer = diode.NewWriter(w, ringLines, ringPoll, func(missed int) { r.dropped.Add(int64(missed)) })
	return r
}

// Dropped returns the number of lines that were dropped.
func (r *Ring) Dropped() int64 {
	return r.dropped.Load()
}

// Sampler keeps all lines of a share of the requests, the same ones in every process.
func Sampler(share float64) func(mulberryspool.RequestID) bool {
	const parts = 1 << 16
	limit := uint64(share * parts)
	return func(id mulberryspool.RequestID) bool {
		return xxhash.Sum64String(string(id))%parts < limit
	}
}
