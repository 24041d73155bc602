package objectapi

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/mulberryspool/mulberryspool"
)

type (
	// pacer decides when a process may send its next try. After a failure
	// all calls pause; then one of them probes while the others wait for it.
	pacer struct {
		clock      mulberryspool.Clock
		minBackoff time.Duration
		maxBackoff time.Duration
		limit      rate.Limit
		burst      int

		mu      sync.Mutex
		random  *rand.Rand
		limiter *rate.Limiter
		// failures counts those since the last success.
		failures int
		// epoch rises with every change of failures, so that the failures of
		// calls that were sent together count as one.
		epoch int
		// notBefore is the end of the pause.
		notBefore time.Time
		probing   bool
		// changed is closed when failures, notBefore or probing change.
		changed chan struct{}
	}

	// ticket permits one try. Its holder calls failed, succeeded or released.
	ticket struct {
		epoch int
		// probe is set while the object API is not known to be up.
		probe bool
		// owed is what a probe has not yet taken from the budget.
		owed int
	}

	// turn says what a call has to do before its try. Without a reservation
	// and pause it may be sent at once.
	turn struct {
		ticket      ticket
		ready       bool
		reservation *rate.Reservation
		pause       time.Duration
		changed     <-chan struct{}
	}
)

var (
	errBudget  = errors.New("call budget of this process is spent")
	errBackoff = errors.New("pausing after failures")
)

func (p *pacer) init(c *Client) {
	p.clock, p.random = c.Clock, c.Random
	p.minBackoff, p.maxBackoff = c.MinBackoff, c.MaxBackoff
	p.limit, p.burst = rate.Limit(c.CallsPerSecond), c.Burst
	p.limiter = rate.NewLimiter(p.limit, p.burst)
	p.changed = make(chan struct{})
	if c.StartSpread > 0 {
		// A start counts as the return from an outage.
		p.failures = 1
		p.notBefore = p.clock.Now().Add(p.jitter(c.StartSpread))
	}
}

// wait returns when the call may be sent. It fails at once if that would be
// after the deadline.
func (p *pacer) wait(ctx context.Context, cost int, deadline time.Time) (ticket, error) {
	for {
		t, err := p.next(cost, deadline)
		if err != nil {
			return ticket{}, err
		}
		if t.ready {
			return t.ticket, nil
		}
		err = p.sleep(ctx, t)
		if t.reservation != nil {
			if err == nil && p.isCurrent(t.ticket) {
				return t.ticket, nil
			}
			t.reservation.CancelAt(p.clock.Now())
		}
		if err != nil {
			return ticket{}, err
		}
	}
}

func (p *pacer) next(cost int, deadline time.Time) (turn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !now.Before(deadline) {
		return turn{}, p.reason()
	}
	if p.failures > 0 && p.probing {
		return turn{pause: deadline.Sub(now), changed: p.changed}, nil
	}
	if p.failures > 0 && now.Before(p.notBefore) {
		if p.notBefore.After(deadline) {
			return turn{}, p.reason()
		}
		return turn{pause: p.notBefore.Sub(now), changed: p.changed}, nil
	}
	t := turn{ticket: ticket{epoch: p.epoch, probe: p.failures > 0}}
	if t.ticket.probe {
		// A probe costs 1 until it succeeds. Else a write would keep the reads
		// of the process waiting until its whole cost is saved up.
		t.ticket.owed, cost = cost-1, 1
	}
	reservation := p.limiter.ReserveN(now, cost)
	delay := reservation.DelayFrom(now)
	if now.Add(delay).After(deadline) {
		reservation.CancelAt(now)
		return turn{}, errBudget
	}
	t.ready = delay == 0
	switch {
	case t.ready:
		p.probing = t.ticket.probe
	case t.ticket.probe:
		reservation.CancelAt(now)
		// Without jitter, the budgets of processes that started together
		// would let them probe together.
		p.notBefore = now.Add(delay + p.jitter(delay))
		t.pause, t.changed = p.notBefore.Sub(now), p.changed
	default:
		t.reservation, t.pause, t.changed = reservation, delay, p.changed
	}
	return t, nil
}

// reason needs the lock.
func (p *pacer) reason() error {
	if p.failures == 0 {
		return errBudget
	}
	return errBackoff
}

func (p *pacer) sleep(ctx context.Context, t turn) error {
	timer := p.clock.NewTimer(t.pause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-t.changed:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait to send: %w", ctx.Err())
	}
}

func (p *pacer) isCurrent(t ticket) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return t.epoch == p.epoch
}

// failed starts or lengthens the pause. A call that was sent before the
// latest failure or success does not count.
func (p *pacer) failed(t ticket, retryAfter time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.epoch != p.epoch {
		return
	}
	ceiling := p.maxBackoff
	if p.failures < 32 && p.minBackoff<<p.failures < ceiling {
		ceiling = p.minBackoff << p.failures
	}
	p.failures++
	// Full jitter spreads the processes over the whole pause. Those that were
	// told to wait for the same time are spread over that time again.
	p.notBefore = p.clock.Now().Add(retryAfter + p.jitter(max(ceiling, retryAfter)))
	p.change()
}

// succeeded ends the pause. The budget starts empty, so that the processes
// that return from an outage together add up to their rates, not their bursts.
func (p *pacer) succeeded(t ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.epoch != p.epoch || p.failures == 0 {
		return
	}
	p.failures = 0
	p.empty()
	if t.owed > 0 {
		p.limiter.ReserveN(p.clock.Now(), t.owed)
	}
	p.change()
}

// released gives a ticket back without a result.
func (p *pacer) released(t ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.probe && t.epoch == p.epoch {
		p.probing = false
		p.wake()
	}
}

// charge takes from the budget for a try that was already sent.
func (p *pacer) charge(cost int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.ReserveN(p.clock.Now(), cost)
}

// empty starts a budget without tokens. It needs the lock. A new limiter
// forgets fractions of a token, which would keep the budgets of processes
// that started together in step.
func (p *pacer) empty() {
	p.limiter = rate.NewLimiter(p.limit, p.burst)
	p.limiter.ReserveN(p.clock.Now(), p.burst)
}

// jitter needs the lock.
func (p *pacer) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(p.random.Int64N(int64(limit)))
}

// change needs the lock.
func (p *pacer) change() {
	p.epoch++
	p.probing = false
	p.wake()
}

// wake needs the lock.
func (p *pacer) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}
