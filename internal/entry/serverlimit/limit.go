// Package serverlimit decides when a request may be sent to a backend server that
// has named a rate limit.
//
//	Name, Lift, Merge --> Limit --> AvailableAt, Take
//	                           \--> Report, for the other entries
//
// The load pattern: a server in need names the requests per second that it accepts
// from all entries together. All of them have requests waiting, and the server is the
// least loaded one that they know.
//
// Every entry counts the requests of all entries against the limit. Each reports how
// many it has sent in total, so that lost reports are made up for by the next one. What
// others have sent before it was known here overdraws the budget, and is waited for
// later. Budgets tend to zero at the rate of the limit, so that those of all entries
// become equal: the entry with the largest would send all requests. An entry that has
// just started adopts the smallest budget of the others. An entry reports only the limits
// that it has read itself, with their age, so that no limit is kept alive by reports
// alone.
//
// A Limit does no I/O and reads no clock. It must be used by one goroutine at a time.
package serverlimit

import (
	"math"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// memoryTime is how long a limit holds that no answer names again.
	memoryTime = time.Minute
	// reportTime is how long an entry reports that a limit was lifted.
	reportTime = 2 * time.Second
	// burstTime is the time whose requests may be sent at once, at least one.
	burstTime = 500 * time.Millisecond
	// sendBudget is the budget from which a request may be sent. It makes the mean
	// budget zero at the rate of the limit.
	sendBudget = 0.5
	// settleTime is the time constant with which budgets become equal. With small
	// limits it is the time of settleRequests.
	settleTime     = 2 * time.Second
	settleRequests = 4
	// maxDebtTime bounds the time without a request after the budget was overdrawn.
	maxDebtTime = 4 * time.Second
	// minRate is used instead of smaller limits: only an answer shows that a limit
	// was lifted. It is in requests per second.
	minRate = 0.05
)

type (
	// Limit is the rate limit of one incarnation of a backend server. The zero value
	// is no limit.
	Limit struct {
		// rate is in requests per second. It holds from heardAt, when the newest answer
		// was received that named or lifted it.
		rate    float64
		named   bool
		heardAt time.Time
		// own is what this entry has read itself.
		own struct {
			rate    float64
			named   bool
			heardAt time.Time
		}
		// budget is the number of requests that may be sent at updatedAt. It is
		// negative after too many.
		budget    float64
		updatedAt time.Time
		// sent is the number of requests of this entry while there was a limit,
		// peerSent that of each other entry as it reported last.
		sent     uint64
		peerSent map[string]uint64
		// total is the number of requests of all entries that are known here.
		total uint64
	}

	// Report is an entry's view of a limit. It is encoded as a map, so the field
	// names are part of the protocol.
	Report struct {
		Instance mulberryspool.InstanceID
		Born     int64
		// Rate is in requests per second; 0 if AgeMillis is negative.
		Rate float64 `msgpack:",omitempty"`
		// Lifted means that the server names no limit any more.
		Lifted bool `msgpack:",omitempty"`
		// AgeMillis is the time since the sender received an answer that named or
		// lifted the limit; negative if it received none.
		AgeMillis int64
		// Sent is the number of requests of the sender.
		Sent uint64 `msgpack:",omitempty"`
		// Budget is the number of requests that the sender may send; negative after too
		// many.
		Budget float64 `msgpack:",omitempty"`
	}
)

// Active reports whether requests are limited.
func (l *Limit) Active(now time.Time) bool {
	return l.named && now.Sub(l.heardAt) < memoryTime
}

// Rate returns the limit in requests per second.
func (l *Limit) Rate() float64 { return max(minRate, l.rate) }

// Name records that an answer named the limit, and reports whether it has changed.
func (l *Limit) Name(rate float64, now time.Time) bool {
	l.own.rate, l.own.named, l.own.heardAt = rate, true, now
	return l.set(rate, true, now, now)
}

// Lift records that the answer to a request that was sent at the given time named no
// limit, and reports whether there was one.
func (l *Limit) Lift(sentAt, now time.Time) bool {
	if !l.Active(now) || !sentAt.After(l.heardAt) {
		return false
	}
	l.own.rate, l.own.named, l.own.heardAt = 0, false, now
	return l.set(0, false, now, now)
}

// set replaces the limit and reports whether it has changed.
func (l *Limit) set(rate float64, named bool, heardAt, now time.Time) bool {
	active := l.Active(now)
	if !active {
		l.budget = 0
	} else {
		l.refill(now)
	}
	changed := active != named || named && rate != l.rate
	l.rate, l.named, l.heardAt, l.updatedAt = rate, named, heardAt, now
	return changed
}

// AvailableAt returns when the next request may be sent; zero if there is no limit.
func (l *Limit) AvailableAt(now time.Time) time.Time {
	if !l.Active(now) {
		return time.Time{}
	}
	full := l.settleSeconds() * l.Rate()
	wait := l.settleSeconds() * math.Log((full-l.budget)/(full-sendBudget))
	return l.updatedAt.Add(time.Duration(wait * float64(time.Second)))
}

// Take counts a request of this entry.
func (l *Limit) Take(now time.Time) {
	if !l.Active(now) {
		return
	}
	l.sent++
	l.spend(1, now)
}

// Total returns the number of requests that are known here. Entries that know of the
// same requests return the same number, unless one of them has restarted.
func (l *Limit) Total() uint64 { return l.total }

// Merge adopts the report of another entry.
func (l *Limit) Merge(peer string, r Report, now time.Time) {
	if heardAt := now.Add(-time.Duration(r.AgeMillis) * time.Millisecond); r.AgeMillis >= 0 && heardAt.After(l.heardAt) {
		l.set(r.Rate, !r.Lifted, heardAt, now)
	}
	if l.peerSent == nil {
		l.peerSent = make(map[string]uint64)
	}
	known, ok := l.peerSent[peer]
	switch {
	case !l.Active(now):
	case !ok && r.Budget < 0:
		// An entry that has just started adopts what the others are overdrawn by.
		l.refill(now)
		l.budget = min(l.budget, max(r.Budget, l.minBudget()))
	case !ok:
	case r.Sent > known:
		// A smaller number is that of a restarted entry.
		l.spend(r.Sent-known, now)
	}
	l.peerSent[peer] = r.Sent
}

// Content returns the report without what changes as time passes.
func (r Report) Content() Report {
	r.AgeMillis, r.Budget = 0, 0
	return r
}

// Report returns what the other entries need to know, and false if that is nothing.
func (l *Limit) Report(now time.Time) (Report, bool) {
	r := Report{AgeMillis: -1, Sent: l.sent}
	if l.Active(now) {
		l.refill(now)
		r.Budget = l.budget
	}
	if !l.own.heardAt.IsZero() {
		r.Rate, r.Lifted, r.AgeMillis = l.own.rate, !l.own.named, now.Sub(l.own.heardAt).Milliseconds()
	}
	return r, l.Active(now) || !l.heardAt.IsZero() && now.Sub(l.heardAt) < reportTime
}

func (l *Limit) spend(requests uint64, now time.Time) {
	l.refill(now)
	l.total += requests
	l.budget = max(l.budget-float64(requests), l.minBudget())
}

// minBudget is the most that the budget can be overdrawn by, as a negative number.
func (l *Limit) minBudget() float64 { return -l.Rate() * maxDebtTime.Seconds() }

// refill brings the budget up to date. It grows by the rate, less its own value in
// each settleTime.
func (l *Limit) refill(now time.Time) {
	elapsed := max(0, now.Sub(l.updatedAt).Seconds())
	full := l.settleSeconds() * l.Rate()
	l.budget = full + (l.budget-full)*math.Exp(-elapsed/l.settleSeconds())
	l.budget = min(l.budget, max(sendBudget, l.Rate()*burstTime.Seconds()))
	l.updatedAt = now
}

func (l *Limit) settleSeconds() float64 {
	return max(settleTime.Seconds(), settleRequests/l.Rate())
}
