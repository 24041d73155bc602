package rollout

import "time"

// lease is the state of the lease, which gives this incarnation the right to
// send load orders to the engine.
type lease struct {
	held bool
	// lost is set when a newer incarnation took the lease. This one then never
	// sends a load order again.
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
		l.ordersFrom = e.OrdersAllowedFrom
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
	r.stopServing(false)
	if r.step == stepDraining {
		r.step = stepIdle
	}
}

// maintainLease takes the lease, takes a higher number when it is fenced out,
// and for engines that ignore fencing renews the lease while a swap is pending.
// An idle agent does not renew the lease, so that idle fleets make no calls to the
// object API.
func (r *Rollout) maintainLease(now time.Duration) {
	l := &r.lease
	if l.lost || l.writing || now < l.retryAt || !r.engineKnown {
		return
	}
	expiring := r.pool.IgnoresFencing && r.loadPending() && l.validUntil-now < r.settings.LeaseDuration/2
	if l.held && !r.fencedOut() && !expiring {
		return
	}
	l.writing = true
	write := WriteLease{Renew: l.held}
	if !l.held || r.fencedOut() {
		write.AtLeast = r.engine.Fencing>>leaseNumberShift + 1
	}
	r.emit(write)
}

// loadPending reports whether the agent is swapping or needs to swap.
func (r *Rollout) loadPending() bool {
	return r.step != stepIdle || !r.engineMatches(r.goal())
}

// leaseAllowsLoad reports whether the lease permits a load order now.
func (r *Rollout) leaseAllowsLoad(now time.Duration) bool {
	l := &r.lease
	if !l.held || l.lost || r.fencedOut() {
		return false
	}
	if !r.pool.IgnoresFencing {
		return true
	}
	return now >= l.ordersFrom && now < l.validUntil
}

// fencedOut reports whether the engine would reject this incarnation's load orders,
// because it has seen a higher fencing number of another incarnation, with the same
// or a higher lease number.
func (r *Rollout) fencedOut() bool {
	return r.lease.held && r.engine.Fencing>>leaseNumberShift >= r.lease.number && r.engine.Fencing > r.orderedFencing
}
