// Package pace limits the rate at which a stand-in sends bytes.
package pace

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
)

const (
	// MaxBlock is the largest number of bytes that are sent at once.
	MaxBlock = 16 << 10
	// burstTime is how much an idle link saves up. It keeps the rate within a
	// twentieth over one second.
	burstTime = 50 * time.Millisecond
)

// Limit is a rate in bytes a second that all its users share.
type Limit struct {
	clock   mulberryspool.Clock
	limiter *rate.Limiter
}

// NewLimit returns a limit; a rate of 0 is unlimited.
func NewLimit(clock mulberryspool.Clock, bytesPerSecond int64) *Limit {
	l := &Limit{clock: clock, limiter: rate.NewLimiter(rate.Inf, MaxBlock)}
	l.SetRate(bytesPerSecond)
	return l
}

// SetRate changes the rate in bytes a second; 0 is unlimited.
func (l *Limit) SetRate(bytesPerSecond int64) {
	now := l.clock.Now()
	if bytesPerSecond <= 0 {
		l.limiter.SetLimitAt(now, rate.Inf)
		return
	}
	burst := int(float64(bytesPerSecond) * burstTime.Seconds())
	l.limiter.SetBurstAt(now, max(MaxBlock, burst))
	l.limiter.SetLimitAt(now, rate.Limit(bytesPerSecond))
}

// Wait returns when n bytes may be sent; n is at most MaxBlock.
func (l *Limit) Wait(ctx context.Context, n int) error {
	now := l.clock.Now()
	reservation := l.limiter.ReserveN(now, n)
	if !fault.Sleep(ctx, l.clock, reservation.DelayFrom(now)) {
		reservation.CancelAt(l.clock.Now())
		return ctx.Err()
	}
	return nil
}
