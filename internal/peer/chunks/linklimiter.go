package chunks

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// DefaultLiveShare is the share of a link that is reserved for live requests.
	DefaultLiveShare = 0.2
	// DefaultLiveLatencyLimit is the latency of live requests above which
	// transfers are slowed down.
	DefaultLiveLatencyLimit = 250 * time.Millisecond
	// adaptInterval is the interval at which the rate is adapted to the live latency.
	adaptInterval = 100 * time.Millisecond
	// minRateShare is the minimum share of the transfer rate, so that a rollout
	// ends even under constant load.
	minRateShare = 0.05
	// recoveryShare is the share of the transfer rate regained in each interval.
	recoveryShare = 0.05
	// blockBytes is the number of bytes sent or received between two waits.
	blockBytes = 16 << 10
)

type (
	// Limiter limits the rate of a transfer.
	Limiter interface {
		// Wait blocks until n bytes may pass.
		Wait(ctx context.Context, n int) error
	}

	// LinkLimiter limits the rate of a machine's transfers in one direction. Set the
	// exported fields before the first call of Wait.
	LinkLimiter struct {
		Clock mulberryspool.Clock
		// BytesPerSecond is the rate of the whole link; 0 means no limit.
		// SetRate changes it later.
		BytesPerSecond int64
		// LiveShare is the share of the link reserved for live traffic, at least
		// 0 and below 1. Use DefaultLiveShare unless there is a reason not to.
		LiveShare float64
		// LiveLatency returns the recent latency of live requests; if it is nil, the
		// rate is never reduced. While the latency is above LiveLatencyLimit, the
		// rate is halved in each interval, down to a twentieth.
		LiveLatency func() time.Duration
		// LiveLatencyLimit is the latency above which the rate is reduced; 0 means
		// DefaultLiveLatencyLimit.
		LiveLatencyLimit time.Duration

		mu        sync.Mutex
		limiter   *rate.Limiter
		rateShare float64
		adapted   time.Time
	}
)

// Wait implements Limiter.
func (l *LinkLimiter) Wait(ctx context.Context, n int) error {
	for n > 0 {
		block := min(n, blockBytes)
		if err := l.waitBlock(ctx, block); err != nil {
			return err
		}
		n -= block
	}
	return nil
}

// Rate returns the current rate in bytes per second; 0 means no limit.
func (l *LinkLimiter) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.BytesPerSecond <= 0 {
		return 0
	}
	l.adaptRate(l.Clock.Now())
	return float64(l.limiter.Limit())
}

func (l *LinkLimiter) waitBlock(ctx context.Context, n int) error {
	delay := l.reserve(n)
	if delay <= 0 {
		return ctx.Err()
	}
	timer := l.Clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetRate changes the rate of the whole link.
func (l *LinkLimiter) SetRate(bytesPerSecond int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.BytesPerSecond == bytesPerSecond {
		return
	}
	l.BytesPerSecond = bytesPerSecond
	if l.limiter != nil && bytesPerSecond > 0 {
		l.limiter.SetLimitAt(l.Clock.Now(), rate.Limit(l.transferRate()*l.rateShare))
	}
}

// reserve reserves n bytes and returns the delay before they may pass.
func (l *LinkLimiter) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.BytesPerSecond <= 0 {
		return 0
	}
	now := l.Clock.Now()
	l.adaptRate(now)
	return l.limiter.ReserveN(now, n).DelayFrom(now)
}

// transferRate returns the rate of the link less the reserve for live traffic.
func (l *LinkLimiter) transferRate() float64 {
	return float64(l.BytesPerSecond) * (1 - l.LiveShare)
}

// adaptRate lowers or raises the rate according to the live latency, at most
// once per adaptInterval.
func (l *LinkLimiter) adaptRate(now time.Time) {
	if l.limiter == nil {
		l.rateShare, l.adapted = 1, now
		l.limiter = rate.NewLimiter(rate.Limit(l.transferRate()), 2*blockBytes)
		return
	}
	if l.LiveLatency == nil || now.Sub(l.adapted) < adaptInterval {
		return
	}
	l.adapted = now
	limit := l.LiveLatencyLimit
	if limit == 0 {
		limit = DefaultLiveLatencyLimit
	}
	if l.LiveLatency() > limit {
		l.rateShare = max(minRateShare, l.rateShare/2)
	} else {
		l.rateShare = min(1, l.rateShare+recoveryShare)
	}
	l.limiter.SetLimitAt(now, rate.Limit(l.transferRate()*l.rateShare))
}
