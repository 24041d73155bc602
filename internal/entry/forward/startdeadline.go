package forward

import (
	"sync"
	"time"
)

// startDeadline ends the wait for the start of a response when the backend server's
// version is out of date. A correction of when the newer one was named moves it.
type startDeadline struct {
	// mu is held while the deadline is determined and set, so that an outdated one does
	// not replace a corrected one.
	mu sync.Mutex
	// waiting is set while the response has not started, and latest is when the wait for
	// it ends in any case.
	waiting bool
	latest  time.Time
}

// setStartDeadline limits the wait for the start of the response.
func (a *attempt) setStartDeadline(latest time.Time) error {
	a.start.mu.Lock()
	defer a.start.mu.Unlock()
	a.start.waiting, a.start.latest = true, latest
	return a.conn.SetReadDeadline(earlier(a.startBy(), latest))
}

// setReadDeadline limits a read of a response that has started.
func (a *attempt) setReadDeadline(at time.Time) error {
	a.start.mu.Lock()
	defer a.start.mu.Unlock()
	a.start.waiting = false
	return a.conn.SetReadDeadline(at)
}

// extendDeadline moves the end of the wait for the start of the response, or of the read that
// is in progress.
func (a *attempt) extendDeadline(at time.Time) error {
	a.start.mu.Lock()
	defer a.start.mu.Unlock()
	if a.start.waiting {
		a.start.latest = at
		at = earlier(a.startBy(), at)
	}
	return a.conn.SetReadDeadline(at)
}

// renewStartDeadline applies what is known now of the newer versions.
func (a *attempt) renewStartDeadline() {
	a.start.mu.Lock()
	defer a.start.mu.Unlock()
	if a.start.waiting {
		// Fails only if the connection is closed, which ends the attempt as well.
		_ = a.conn.SetReadDeadline(earlier(a.startBy(), a.start.latest))
	}
}

// startBy returns when the attempt is given up unless the response has started; zero if
// no newer version is named.
func (a *attempt) startBy() time.Time {
	return a.handler.Scheduler.StartBy(a.pool.Name, a.decision)
}

// isOutdated reports whether an exchange timed out because its response did not
// start before the backend server's version was out of date.
func (a *attempt) isOutdated(err error) bool {
	return isTimeout(err) && a.startOverdue()
}

// startOverdue reports whether the response has not started and the backend server's version
// is out of date.
func (a *attempt) startOverdue() bool {
	a.start.mu.Lock()
	defer a.start.mu.Unlock()
	by := a.startBy()
	return a.start.waiting && !by.IsZero() && !a.handler.Clock.Now().Before(by)
}

// earlier returns the earlier time; a zero one does not count.
func earlier(by, latest time.Time) time.Time {
	if by.IsZero() || latest.Before(by) {
		return latest
	}
	return by
}
