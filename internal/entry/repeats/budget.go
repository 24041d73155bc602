// Package repeats bounds how often requests are sent again.
//
// It answers the pattern in which a failing pool makes every request arrive
// twice: all entries together may add only a share of the pool's requests,
// and a fixed slack, in any window. Each entry takes its part of the slack.
package repeats

import "time"

// slices is the number of parts of a window that are counted separately.
const slices = 10

type (
	// Budget counts the requests and the repeats of one pool at one entry. It
	// reads no clock and is used by one goroutine. Set the exported fields
	// before the first use.
	Budget struct {
		// Window is the span in which repeats are bounded.
		Window time.Duration
		// Ratio is the share of the requests that may be repeats.
		Ratio float64
		// Slack is the number of repeats that are free, for all entries together.
		Slack float64

		started time.Time
		counts  [slices]count
		at      int64
	}

	count struct{ requests, repeats int }
)

// Request counts a first arrival.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.counts[b.at%slices].requests++
}

// Allow takes one repeat from the budget. Entries is the number of entries
// that share the slack.
func (b *Budget) Allow(now time.Time, entries int) bool {
	b.advance(now)
	var total count
	for _, c := range b.counts {
		total.requests += c.requests
		total.repeats += c.repeats
	}
	if float64(total.repeats+1) > b.Ratio*float64(total.requests)+b.Slack/float64(max(1, entries)) {
		return false
	}
	b.counts[b.at%slices].repeats++
	return true
}

func (b *Budget) advance(now time.Time) {
	if b.started.IsZero() {
		b.started = now
	}
	at := int64(now.Sub(b.started) / (b.Window / slices))
	for n := max(b.at+1, at-slices+1); n <= at; n++ {
		b.counts[n%slices] = count{}
	}
	b.at = max(b.at, at)
}
