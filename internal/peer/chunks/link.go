package chunks

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// DefaultLiveShare is the part of a link that transfers leave free.
	DefaultLiveShare = 0.2
	// DefaultLiveLatencyLimit is the latency of live requests above which
	// transfers give way.
	DefaultLiveLatencyLimit = 250 * time.Millisecond
	// adaptInterval is the time between two readings of the live latency.
	adaptInterval = 100 * time.Millisecond
	// minimumShare is the part of the allowed rate below which transfers do
	// not fall, so that a rollout ends even under constant load.
	minimumShare = 0.05
	// recoveryStep is the part of the allowed rate regained in each interval.
	recoveryStep = 0.05
	// pieceBytes is what is sent or received between two waits.
	pieceBytes = 16 << 10
)

type (
	// Limiter delays a transfer so that it keeps to a rate.
	Limiter interface {
		// Wait blocks until n bytes may pass.
		Wait(ctx context.Context, n int) error
	}

	// Link limits the transfers of one machine in one direction. Set the
	// exported fields before the first call of Wait.
	Link struct {
		// Clock is the source of time.
		Clock mulberryspool.Clock
		// BytesPerSecond is the rate of the whole link; 0 means no limit.
		// SetRate changes it later.
		BytesPerSecond int64
		// LiveShare is the part of the link held back for live traffic, from
		// 0 to below 1. Use DefaultLiveShare unless there is a reason.
		LiveShare float64
		// LiveLatency returns the recent latency of live requests. While it is
		// above LiveLatencyLimit the rate is halved in each interval, down to
		// a twentieth; nil means that transfers never give way.
		LiveLatency func() time.Duration
		// LiveLatencyLimit is DefaultLiveLatencyLimit when it is 0.
		LiveLatencyLimit time.Duration

		mu      sync.Mutex
		limiter *rate.Limiter
		share   float64
		adapted time.Time
	}
)

// Wait implements Limiter.
func (l *Link) Wait(ctx context.Context, n int) error {
	for n > 0 {
		piece := min(n, pieceBytes)
		if err := l.waitPiece(ctx, piece); err != nil {
			return err
		}
		n -= piece
	}
	return nil
}

// Rate returns the rate in force in bytes per second; 0 means no limit.
func (l *Link) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.BytesPerSecond <= 0 {
		return 0
	}
	l.adapt(l.Clock.Now())
	return float64(l.limiter.Limit())
}

func (l *Link) waitPiece(ctx context.Context, n int) error {
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
func (l *Link) SetRate(bytesPerSecond int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.BytesPerSecond == bytesPerSecond {
		return
	}
	l.BytesPerSecond = bytesPerSecond
	if l.limiter != nil && bytesPerSecond > 0 {
		l.limiter.SetLimitAt(l.Clock.Now(), rate.Limit(l.allowed()*l.share))
	}
}

// reserve returns how long n bytes have to wait.
func (l *Link) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.BytesPerSecond <= 0 {
		return 0
	}
	now := l.Clock.Now()
	l.adapt(now)
	return l.limiter.ReserveN(now, n).DelayFrom(now)
}

// allowed returns the rate that is left for transfers.
func (l *Link) allowed() float64 {
	return float64(l.BytesPerSecond) * (1 - l.LiveShare)
}

// adapt follows the live latency.
func (l *Link) adapt(now time.Time) {
	if l.limiter == nil {
		l.share, l.adapted = 1, now
		l.limiter = rate.NewLimiter(rate.Limit(l.allowed()), 2*pieceBytes)
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
		l.share = max(minimumShare, l.share/2)
	} else {
		l.share = min(1, l.share+recoveryStep)
	}
	l.limiter.SetLimitAt(now, rate.Limit(l.allowed()*l.share))
}
