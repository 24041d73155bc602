// Package ratelimit limits the rate at which a stand-in sends or receives bytes.
package ratelimit

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/mulberryspool/mulberryspool"
	"github.com/mulberryspool/mulberryspool/internal/standin/fault"
)

const (
	// MaxBlock is the largest number of bytes that one call of Wait accounts for.
	MaxBlock = 16 << 10
	// burstDuration bounds the burst after an idle period, as the time in which
	// the rate would transfer it. Over one second the transferred bytes exceed
	// the rate by at most a twentieth.
	burstDuration = 50 * time.Millisecond
)

// Limiter enforces a rate in bytes per second that all its users share.
type Limiter struct {
	clock   mulberryspool.Clock
	limiter *rate.Limiter
}

// NewLimiter returns a Limiter with a rate in bytes per second; 0 is unlimited.
func NewLimiter(clock mulberryspool.Clock, bytesPerSecond int64) *Limiter {
	l := &Limiter{clock: clock, limiter: rate.NewLimiter(rate.Inf, MaxBlock)}
	l.SetRate(bytesPerSecond)
	return l
}

// SetRate changes the rate in bytes per second; 0 is unlimited.
func (l *Limiter) SetRate(bytesPerSecond int64) {
	now := l.clock.Now()
	if bytesPerSecond <= 0 {
		l.limiter.SetLimitAt(now, rate.Inf)
		return
	}
	burst := int(float64(bytesPerSecond) * burstDuration.Seconds())
	l.limiter.SetBurstAt(now, max(MaxBlock, burst))
	l.limiter.SetLimitAt(now, rate.Limit(bytesPerSecond))
}

// Wait blocks until n bytes may be transferred; n must be at most MaxBlock.
func (l *Limiter) Wait(ctx context.Context, n int) error {
	now := l.clock.Now()
	reservation := l.limiter.ReserveN(now, n)
	if !fault.Sleep(ctx, l.clock, reservation.DelayFrom(now)) {
		reservation.CancelAt(l.clock.Now())
		return ctx.Err()
	}
	return nil
}
