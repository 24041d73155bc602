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

// Defaults of ShardedLog.
const (
	DefaultShards    = 8
	DefaultRetention = 10 * time.Minute
	// DefaultWritesPerSecond lets five entries share the several hundred
	// writes per second that the object API accepts.
	DefaultWritesPerSecond = 50
	// DefaultSegmentBytes keeps writes small: four entries at the full write
	// rate cause at most 3.2 MB/s of traffic in all regions.
	DefaultSegmentBytes = 16 << 10
	// DefaultMaxSegments limits a shard to 8 MB.
	DefaultMaxSegments = 512
	// DefaultOutcomeDelay lets outcomes be written together with later
	// claims. Until an outcome is recorded, a retry gets it from the agent.
	DefaultOutcomeDelay = 3 * time.Second
)

type (
	// ShardedLog stores claims in sharded logs of objects with group commit.
	// Claims that arrive while a shard's write is in flight or rate limited
	// are batched into the next write, so a higher rate causes larger batches
	// rather than more writes. Set the exported fields before the first use.
	//
	// Each shard is a sequence of segments, one object per segment, named
	// <shard>.<number>. Only the newest segment is written; it is sealed once
	// it reaches SegmentBytes. Every entry reads each sealed segment once and
	// caches it until its claims expire.
	ShardedLog struct {
		Objects mulberryspool.ObjectStore
		Clock   mulberryspool.Clock
		// Shards is the number of shards; all entries must use the same value.
		Shards int
		// Retention is how long a claim is kept after its last change. All
		// entries must use the same value.
		Retention time.Duration
		// WritesPerSecond limits this entry's writes to the object API.
		WritesPerSecond float64
		// SegmentBytes is the encoded size at which a segment is sealed.
		SegmentBytes int
		// MaxSegments limits the segments of a shard; a full shard refuses claims.
		MaxSegments int
		// OutcomeDelay is the maximum time that an outcome waits to be written
		// together with a claim.
		OutcomeDelay time.Duration

		setup   sync.Once
		shards  []*shard
		limiter *rate.Limiter
	}

	// swapRequest is a pending call of CompareAndSwap.
	swapRequest struct {
		expected *Claim
		next     Claim
		// mayBeRecorded is set once a write with unknown result contained the claim.
		mayBeRecorded bool
		result        chan swapResult
	}

	swapResult struct {
		present Claim
		err     error
	}
)

// CompareAndSwap implements Store. If the context ends first, the claim may
// still be recorded, so the error is mulberryspool.ErrUncertain.
func (l *ShardedLog) CompareAndSwap(ctx context.Context, expected *Claim, next Claim) (Claim, error) {
	l.setup.Do(l.init)
	request := &swapRequest{expected: expected, next: next, result: make(chan swapResult, 1)}
	l.shardOf(next.Key).add(request)
	select {
	case result := <-request.result:
		return result.present, mulberryspool.AtStep(result.err, "record claim", "")
	case <-ctx.Done():
		return Claim{}, mulberryspool.AtStep(mulberryspool.ErrUncertain, "record claim", "")
	}
}

func (l *ShardedLog) init() {
	l.Shards = cmp.Or(l.Shards, DefaultShards)
	l.Retention = cmp.Or(l.Retention, DefaultRetention)
	l.WritesPerSecond = cmp.Or(l.WritesPerSecond, DefaultWritesPerSecond)
	l.SegmentBytes = cmp.Or(l.SegmentBytes, DefaultSegmentBytes)
	l.MaxSegments = cmp.Or(l.MaxSegments, DefaultMaxSegments)
	l.OutcomeDelay = cmp.Or(l.OutcomeDelay, DefaultOutcomeDelay)
	// A burst of one write per shard keeps latency low at low rates.
	l.limiter = rate.NewLimiter(rate.Limit(l.WritesPerSecond), l.Shards)
	for i := range l.Shards {
		l.shards = append(l.shards, &shard{parent: l, number: i, unfinished: make(map[string]locatedClaim)})
	}
}

func (l *ShardedLog) shardOf(key string) *shard {
	return l.shards[xxhash.Sum64String(key)%uint64(l.Shards)]
}
