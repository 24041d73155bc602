package rollout

import "time"

// lease is this incarnation's right to send orders to the engine.
type lease struct {
	held bool
	// lost is set when a newer incarnation took the lease: this one never
	// orders again.
	lost       bool
	writing    bool
	number     uint64
	validUntil time.Duration
	ordersFrom time.Duration
	retryAt    time.Duration
	err        string
}

func (r *Rollout) leaseWritten(e LeaseWritten) {
	l := &r.lease
	l.writing = false
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
	expiring := r.pool.IgnoresFencing && r.swapAhead() && l.validUntil-now < r.settings.LeaseDuration/2
	if l.held && !r.behind() && !expiring {
		return
	}
	l.writing = true
	write := WriteLease{Renew: l.held}
	if !l.held || r.behind() {
		write.AtLeast = r.engine.Fencing>>numberShift + 1
	}
	r.emit(write)
}

// swapAhead reports whether the engine is to be given an order.
func (r *Rollout) swapAhead() bool {
	return r.step != stepIdle || !r.holds(r.goal())
}

// mayOrder reports whether the lease permits an order now.
func (r *Rollout) mayOrder(now time.Duration) bool {
	l := &r.lease
	if !l.held || l.lost || r.behind() {
		return false
	}
	if !r.pool.IgnoresFencing {
		return true
	}
	return now >= l.ordersFrom && now < l.validUntil
}

// behind reports whether the engine has seen an order of an incarnation with
// a higher number than this one's.
func (r *Rollout) behind() bool {
	return r.lease.held && r.engine.Fencing>>numberShift >= r.lease.number && r.engine.Fencing > r.fencing
}
