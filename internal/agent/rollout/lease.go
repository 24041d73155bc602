package rollout

import "time"

// lease is this incarnation's right to send orders to the engine.
type lease struct {
	held bool
	// lost is set when a newer incarnation took the lease: this one never
	// orders again.
	lost    bool
	writing bool
	// check asks for a renewal, because the engine saw a higher number.
	check      bool
	number     uint64
	validUntil time.Duration
	ordersFrom time.Duration
	retryAt    time.Duration
	err        string
}

func (r *Rollout) leaseWritten(e LeaseWritten) {
	l := &r.lease
	l.writing = false
	l.check = false
	if l.lost {
		return
	}
	if !l.held {
		l.ordersFrom = e.OrdersFrom
	}
	l.held = true
	l.err = ""
	if e.Number > l.number {
		l.number = e.Number
		r.sequence = 0
	}
	l.validUntil = max(l.validUntil, e.ValidUntil)
}

func (r *Rollout) leaseFailed(now time.Duration, e LeaseFailed) {
	l := &r.lease
	l.writing = false
	l.err = e.Error
	l.retryAt = now + r.settings.RetryInterval
	if !e.Superseded {
		return
	}
	l.lost = true
	l.held = false
	r.closeGate(false)
	if r.step == stepDraining {
		r.step = stepIdle
	}
}

// keepLease takes the lease once, and renews it only while an order is to
// come: the object API's load must not grow with the fleet's idle time.
func (r *Rollout) keepLease(now time.Duration) {
	l := &r.lease
	if l.lost || l.writing || now < l.retryAt || !r.engineKnown {
		return
	}
	// The engine has seen the number of an incarnation that the lease has not.
	behind := r.engine.Fencing>>numberShift >= l.number && r.engine.Fencing > r.fencing && l.held
	expiring := r.pool.IgnoresFencing && r.swapAhead() && l.validUntil-now < r.settings.LeaseDuration/2
	if l.held && !behind && !expiring && !l.check {
		return
	}
	l.writing = true
	r.emit(WriteLease{AtLeast: r.engine.Fencing>>numberShift + 1, Renew: l.held})
}

// swapAhead reports whether the engine is to be given an order.
func (r *Rollout) swapAhead() bool {
	return r.step != stepIdle || !r.holds(r.goal())
}

// mayOrder reports whether the lease permits an order now.
func (r *Rollout) mayOrder(now time.Duration) bool {
	l := &r.lease
	if !l.held || l.lost || l.check {
		return false
	}
	if !r.pool.IgnoresFencing {
		return true
	}
	return now >= l.ordersFrom && now < l.validUntil
}
