package claims

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/mulberryspool/mulberryspool"
)

// Defaults of a Ledger.
const (
	DefaultShards    = 16
	DefaultRetention = 10 * time.Minute
	// DefaultWrites leaves room for five entries within the several hundred
	// writes a second that the object API takes.
	DefaultWrites = 50
	// DefaultMaxBytes keeps a shard below the object API's megabyte.
	DefaultMaxBytes = 900 << 10
)

type (
	// Ledger commits claims in groups to sharded objects. While a write of a
	// shard is on its way or waits for the write budget, the claims that come
	// gather for the next one, so a higher rate makes larger groups instead
	// of more writes. Set the exported fields before the first use.
	Ledger struct {
		Store mulberryspool.ObjectStore
		Clock mulberryspool.Clock
		// Shards is the number of objects; all entries must use the same.
		Shards int
		// Retention is how long a key is remembered after its last change.
		Retention time.Duration
		// Writes bounds this entry's writes per second.
		Writes float64
		// MaxBytes bounds a shard as stored. Claims that don't fit are refused.
		MaxBytes int

		setup   sync.Once
		shards  []*shard
		limiter *rate.Limiter
	}

	// swap is a call of Swap that waits for its group.
	swap struct {
		ctx      context.Context
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

// Swap implements Book.
func (l *Ledger) Swap(ctx context.Context, expected *Claim, next Claim) (Claim, error) {
	l.setup.Do(l.init)
	s := &swap{ctx: ctx, expected: expected, next: next, result: make(chan swapResult, 1)}
	l.shardOf(next.Key).add(s)
	// The group answers each of its claims in bounded time, so the outcome of
	// a write is never given up before it is known as well as can be.
	result := <-s.result
	return result.present, mulberryspool.AtStep(result.err, "record claim", "")
}

func (l *Ledger) init() {
	if l.Shards == 0 {
		l.Shards = DefaultShards
	}
	if l.Retention == 0 {
		l.Retention = DefaultRetention
	}
	if l.Writes == 0 {
		l.Writes = DefaultWrites
	}
	if l.MaxBytes == 0 {
		l.MaxBytes = DefaultMaxBytes
	}
	// A burst of one write per shard keeps the latency low while the rate is.
	l.limiter = rate.NewLimiter(rate.Limit(l.Writes), l.Shards)
	for i := range l.Shards {
		l.shards = append(l.shards, &shard{ledger: l, name: strconv.Itoa(i)})
	}
}

func (l *Ledger) shardOf(key string) *shard {
	return l.shards[xxhash.Sum64String(key)%uint64(l.Shards)]
}
