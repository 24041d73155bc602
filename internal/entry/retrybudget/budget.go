// Package retrybudget implements a retry budget for each pool. A retry is a
// request that is sent to a backend server again.
//
// The budget keeps a failing pool from getting twice its load in retries: in any
// window, all entries together may retry a fixed share of the pool's requests
// plus a fixed slack. The slack is divided equally among the entries.
package retrybudget

import "time"

// buckets is the number of parts of a window that are counted separately.
const buckets = 10

type (
	// Budget counts the requests and the retries of one pool at one entry. It
	// reads no clock and must be used by one goroutine at a time. Set the
	// exported fields before the first use.
	Budget struct {
		// Window is the length of the sliding window.
		Window time.Duration
		// Ratio is the number of retries allowed for each request.
		Ratio float64
		// Slack is the number of retries that all entries together may send beyond
		// the ratio.
		Slack float64

		started time.Time
		counts  [buckets]count
		// current is the number of the current bucket since started.
		current int64
	}

	count struct{ requests, retries int }
)

// RecordRequest counts a request when it arrives, but not its retries.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.counts[b.current%buckets].requests++
}

// Allow takes one retry from the budget and reports false if the budget is used
// up. The argument entries is the number of entries that share the slack.
func (b *Budget) Allow(now time.Time, entries int) bool {
	if !b.Allows(now, entries) {
		return false
	}
	b.counts[b.current%buckets].retries++
	return true
}

// Allows reports what Allow would, and takes no retry.
func (b *Budget) Allows(now time.Time, entries int) bool {
	b.advance(now)
	var total count
	for _, c := range b.counts {
		total.requests += c.requests
		total.retries += c.retries
	}
	return float64(total.retries+1) <= b.Ratio*float64(total.requests)+b.Slack/float64(max(1, entries))
}

// advance clears the buckets that have left the window.
func (b *Budget) advance(now time.Time) {
	if b.started.IsZero() {
		b.started = now
	}
	bucket := int64(now.Sub(b.started) / (b.Window / buckets))
	for n := max(b.current+1, bucket-buckets+1); n <= bucket; n++ {
		b.counts[n%buckets] = count{}
	}
	b.current = max(b.current, bucket)
}
