package claims

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/mulberryspool/mulberryspool"
)

// Defaults of a Ledger.
const (
	DefaultShards    = 8
	DefaultRetention = 10 * time.Minute
	// DefaultWrites leaves room for five entries within the several hundred
	// writes a second that the object API takes.
	DefaultWrites = 50
	// DefaultSegmentBytes keeps a write small: at the full write rate of
	// four entries it makes at most 3.2 MB/s of traffic in all regions.
	DefaultSegmentBytes = 16 << 10
	// DefaultMaxSegments bounds a shard to 8 MB.
	DefaultMaxSegments = 512
	// DefaultOutcomeDelay lets outcomes ride along with later claims. Until
	// an outcome is recorded, a retry learns it from the agent.
	DefaultOutcomeDelay = 3 * time.Second
)

type (
	// Ledger commits claims in groups to sharded objects. While a write of a
	// shard is on its way or waits for the write budget, the claims that come
	// gather for the next one, so a higher rate makes larger groups instead
	// of more writes. Set the exported fields before the first use.
	//
	// A shard is a row of objects, <shard>.<number>. Only the newest one is
	// written; it is sealed when it has grown to SegmentBytes. Every entry
	// reads each sealed object once and keeps it until its claims expire.
	Ledger struct {
		Store mulberryspool.ObjectStore
		Clock mulberryspool.Clock
		// Shards is the number of rows; all entries must use the same.
		Shards int
		// Retention is how long a key is remembered after its last change.
		// All entries must use the same.
		Retention time.Duration
		// Writes bounds this entry's writes per second.
		Writes float64
		// SegmentBytes is the size from which an object is sealed.
		SegmentBytes int
		// MaxSegments bounds the objects of a shard. Claims above it are refused.
		MaxSegments int
		// OutcomeDelay is how long an outcome waits for a claim to go with.
		OutcomeDelay time.Duration

		setup   sync.Once
		shards  []*shard
		limiter *rate.Limiter
	}

	// swap is a call of Swap that waits for its group.
	swap struct {
		expected *Claim
		next     Claim
		// maybe is set when a write that may have taken effect held the claim.
		maybe  bool
		result chan swapResult
	}

	swapResult struct {
		present Claim
		err     error
	}
)

// Swap implements Book. When the context ends first, the claim may still be
// recorded, so the outcome is uncertain.
func (l *Ledger) Swap(ctx context.Context, expected *Claim, next Claim) (Claim, error) {
	l.setup.Do(l.init)
	s := &swap{expected: expected, next: next, result: make(chan swapResult, 1)}
	l.shardOf(next.Key).add(s)
	select {
	case result := <-s.result:
		return result.present, mulberryspool.AtStep(result.err, "record claim", "")
	case <-ctx.Done():
		return Claim{}, mulberryspool.AtStep(mulberryspool.ErrUncertain, "record claim", "")
	}
}

func (l *Ledger) init() {
	l.Shards = cmp.Or(l.Shards, DefaultShards)
	l.Retention = cmp.Or(l.Retention, DefaultRetention)
	l.Writes = cmp.Or(l.Writes, DefaultWrites)
	l.SegmentBytes = cmp.Or(l.SegmentBytes, DefaultSegmentBytes)
	l.MaxSegments = cmp.Or(l.MaxSegments, DefaultMaxSegments)
	l.OutcomeDelay = cmp.Or(l.OutcomeDelay, DefaultOutcomeDelay)
	// A burst of one write per shard keeps the latency low while the rate is.
	l.limiter = rate.NewLimiter(rate.Limit(l.Writes), l.Shards)
	for i := range l.Shards {
		l.shards = append(l.shards, &shard{ledger: l, number: i, own: make(map[string]ownClaim)})
	}
}

func (l *Ledger) shardOf(key string) *shard {
	return l.shards[xxhash.Sum64String(key)%uint64(l.Shards)]
}
