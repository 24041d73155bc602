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
	// bufferedLines limits the lines that wait for a slow reader of the logs.
	bufferedLines = 2048
	// pollInterval is how often buffered lines are written.
	pollInterval = 50 * time.Millisecond
)

// DroppingWriter is a buffered writer that never blocks. If the underlying writer
// is too slow and the buffer is full, lines are dropped and counted.
type DroppingWriter struct {
	diode.Writer

	dropped atomic.Int64
}

// NewDroppingWriter returns a writer that passes lines on to w. Close writes the
// buffered lines.
func NewDroppingWriter(w io.Writer) *DroppingWriter {
	d := &DroppingWriter{}
	d.Writer = diode.NewWriter(w, bufferedLines, pollInterval, func(missed int) { d.dropped.Add(int64(missed)) })
	return d
}

// Dropped returns the number of dropped lines.
func (d *DroppingWriter) Dropped() int64 {
	return d.dropped.Load()
}

// Sampler returns a function that selects a share of the requests for logging,
// by a hash of the request ID, so that all processes select the same requests.
func Sampler(share float64) func(mulberryspool.RequestID) bool {
	const buckets = 1 << 16
	limit := uint64(share * buckets)
	return func(id mulberryspool.RequestID) bool {
		return xxhash.Sum64String(string(id))%buckets < limit
	}
}
