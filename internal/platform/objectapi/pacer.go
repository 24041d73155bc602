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
	// pacer decides when a process may send its next attempt. After a failure
	// all calls pause. Then one of them is sent as a probe, while the others
	// wait for its result.
	pacer struct {
		clock      mulberryspool.Clock
		minBackoff time.Duration
		maxBackoff time.Duration
		limit      rate.Limit
		burst      int

		mu      sync.Mutex
		random  *rand.Rand
		limiter *rate.Limiter
		// failures counts the failures since the last success.
		failures int
		// epoch increases with every change of failures, so that failures of
		// calls that were sent at the same time count as one.
		epoch int
		// notBefore is the end of the pause after a failure.
		notBefore time.Time
		probing   bool
		// changed is closed when failures, notBefore or probing change.
		changed chan struct{}
	}

	// permit allows one attempt. Its holder calls recordFailure, recordSuccess or
	// release.
	permit struct {
		epoch int
		// probe is set while the object API is not known to be up.
		probe bool
		// deferredCost is the part of its cost that a probe has not yet taken
		// from the budget.
		deferredCost int
	}

	// decision tells a call what to do. If ready is set, it may be sent at once.
	// Otherwise it waits for the pause or until changed is closed. Then it is
	// sent if it has a reservation that is still valid, or decided on again.
	decision struct {
		permit      permit
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
	if c.StartJitter > 0 {
		// A start is treated like the end of an outage.
		p.failures = 1
		p.notBefore = p.clock.Now().Add(p.jitter(c.StartJitter))
	}
}

// wait blocks until the call may be sent. It fails at once if that would be
// after the deadline.
func (p *pacer) wait(ctx context.Context, cost int, deadline time.Time) (permit, error) {
	for {
		d, err := p.decide(cost, deadline)
		if err != nil {
			return permit{}, err
		}
		if d.ready {
			return d.permit, nil
		}
		err = p.sleep(ctx, d)
		if d.reservation != nil {
			if err == nil && p.isCurrent(d.permit) {
				return d.permit, nil
			}
			d.reservation.CancelAt(p.clock.Now())
		}
		if err != nil {
			return permit{}, err
		}
	}
}

// decide returns when a call may be sent, or an error if that is not possible
// before the deadline.
func (p *pacer) decide(cost int, deadline time.Time) (decision, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !now.Before(deadline) {
		return decision{}, p.waitError()
	}
	if p.failures > 0 && p.probing {
		return decision{pause: deadline.Sub(now), changed: p.changed}, nil
	}
	if p.failures > 0 && now.Before(p.notBefore) {
		if p.notBefore.After(deadline) {
			return decision{}, p.waitError()
		}
		return decision{pause: p.notBefore.Sub(now), changed: p.changed}, nil
	}
	d := decision{permit: permit{epoch: p.epoch, probe: p.failures > 0}}
	if d.permit.probe {
		// A probe costs 1 until it succeeds. Otherwise a write would block the
		// reads of the process until the budget covers its whole cost.
		d.permit.deferredCost, cost = cost-1, 1
	}
	reservation := p.limiter.ReserveN(now, cost)
	delay := reservation.DelayFrom(now)
	if now.Add(delay).After(deadline) {
		reservation.CancelAt(now)
		return decision{}, errBudget
	}
	d.ready = delay == 0
	switch {
	case d.ready:
		p.probing = d.permit.probe
	case d.permit.probe:
		reservation.CancelAt(now)
		// Without jitter, processes that started together would probe at the
		// same time, because their budgets refill at the same time.
		p.notBefore = now.Add(delay + p.jitter(delay))
		d.pause, d.changed = p.notBefore.Sub(now), p.changed
	default:
		d.reservation, d.pause, d.changed = reservation, delay, p.changed
	}
	return d, nil
}

// waitError returns why no call may be sent. It requires the lock.
func (p *pacer) waitError() error {
	if p.failures == 0 {
		return errBudget
	}
	return errBackoff
}

// sleep waits for the pause, or until the pacer's state changes.
func (p *pacer) sleep(ctx context.Context, d decision) error {
	timer := p.clock.NewTimer(d.pause)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-d.changed:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait to send: %w", ctx.Err())
	}
}

// isCurrent reports whether the permit was issued in the current epoch.
func (p *pacer) isCurrent(granted permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return granted.epoch == p.epoch
}

// recordFailure starts or extends the pause. It ignores calls that were sent
// before the latest failure or success. It reports whether it started a pause.
func (p *pacer) recordFailure(granted permit, retryAfter time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if granted.epoch != p.epoch {
		return false
	}
	ceiling := p.maxBackoff
	if p.failures < 32 && p.minBackoff<<p.failures < ceiling {
		ceiling = p.minBackoff << p.failures
	}
	p.failures++
	// Full jitter spreads the processes over the whole pause. Processes with the
	// same Retry-After are spread over another period of that length.
	p.notBefore = p.clock.Now().Add(retryAfter + p.jitter(max(ceiling, retryAfter)))
	p.startEpoch()
	return p.failures == 1
}

// recordSuccess ends the pause. The budget starts empty, so that processes that
// return from an outage together send at their rates and not their bursts. It reports
// whether there was a pause.
func (p *pacer) recordSuccess(granted permit) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if granted.epoch != p.epoch || p.failures == 0 {
		return false
	}
	p.failures = 0
	p.emptyBudget()
	if granted.deferredCost > 0 {
		p.limiter.ReserveN(p.clock.Now(), granted.deferredCost)
	}
	p.startEpoch()
	return true
}

// answers reports whether the last attempt did not fail.
func (p *pacer) answers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures == 0
}

// release returns a permit whose attempt had no result.
func (p *pacer) release(granted permit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if granted.probe && granted.epoch == p.epoch {
		p.probing = false
		p.notifyWaiters()
	}
}

// charge takes the cost of a request that was already sent from the budget.
func (p *pacer) charge(cost int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.ReserveN(p.clock.Now(), cost)
}

// emptyBudget sets the budget to 0 tokens. It requires the lock. It creates a
// new limiter, because remaining fractions of a token would keep the budgets of
// processes that started together synchronized.
func (p *pacer) emptyBudget() {
	p.limiter = rate.NewLimiter(p.limit, p.burst)
	p.limiter.ReserveN(p.clock.Now(), p.burst)
}

// jitter returns a random duration below the limit. It requires the lock.
func (p *pacer) jitter(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(p.random.Int64N(int64(limit)))
}

// startEpoch starts a new epoch. It requires the lock.
func (p *pacer) startEpoch() {
	p.epoch++
	p.probing = false
	p.notifyWaiters()
}

// notifyWaiters wakes the waiting calls. It requires the lock.
func (p *pacer) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}
