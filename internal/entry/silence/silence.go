// Package silence decides which backend servers have stopped sending.
//
//	Sent, Ended, Heard, Observe (this entry) --\
//	Merge (other entries) ----------------------> Silence --> Silent
//	                                                    \--> Report, for the other entries
//
// The load pattern: a part of the servers is suspended for seconds, and their connections
// stay open. Each entry has requests at a few of them. It notices a silent server only by
// its own requests, and sends a second attempt to the next one that it does not know of.
//
// A server is silent if the last observation of silence, by any entry, is later than the
// last byte from the server, to any entry, by silentAfter. The latest of each counts, so
// the order of reports does not matter. An entry reports only what it has observed itself,
// and a byte that refutes what another one reports: its path may be at fault. Observations
// expire, so that a server is tried again.
//
// A Silence does no I/O and reads no clock. It must be used by one goroutine at a time.
package silence

import (
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// silentAfter is the time without a byte after which a server counts as silent. It is
	// several times as long as the pauses between the events of a full batch, and half of
	// the time after which a request is sent to another server.
	silentAfter = 600 * time.Millisecond
	// forgetAfter is how long an observation counts.
	forgetAfter = 2500 * time.Millisecond
	// reportTime is how long an entry reports an observation.
	reportTime = time.Second
	// repeatAfter is how much newer than that of another entry an observation is reported.
	repeatAfter = 400 * time.Millisecond
)

type (
	// Silence is the silence of one incarnation of a backend server. The zero value is that
	// of one that is not silent.
	Silence struct {
		// outstanding is the number of this entry's requests at the server, since
		// waitingSince without a break.
		outstanding  int
		waitingSince time.Time
		// ownHeard and ownObserved are the last byte to, and the last observation of, this
		// entry; peerHeard and peerObserved those of the other entries.
		ownHeard, ownObserved   time.Time
		peerHeard, peerObserved time.Time
	}

	// Incarnation is one run of a backend server.
	Incarnation struct {
		Instance mulberryspool.InstanceID
		// Born is its start in Unix milliseconds.
		Born int64
	}

	// Report is what an entry has observed of a server. It is encoded as an array, because
	// there may be many.
	Report struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

		Instance mulberryspool.InstanceID
		Born     int64
		// SilentMillis is the time since the sender's last observation of silence,
		// HeardMillis that since the last byte that it received; negative for none.
		SilentMillis int64
		HeardMillis  int64
	}
)

// Incarnation returns the incarnation of the server.
func (r Report) Incarnation() Incarnation { return Incarnation{r.Instance, r.Born} }

// Sent records that a request is being sent.
func (s *Silence) Sent(now time.Time) {
	if s.outstanding == 0 {
		s.waitingSince = now
	}
	s.outstanding++
}

// Ended records the end of a request.
func (s *Silence) Ended() { s.outstanding = max(0, s.outstanding-1) }

// Heard records that the server sent something.
func (s *Silence) Heard(at time.Time) {
	if at.After(s.ownHeard) {
		s.ownHeard = at
	}
}

// Waits returns whether this entry waits for the server, and whether it has waited for so
// long without a byte that the server seems to be silent.
func (s *Silence) Waits(now time.Time) (waits, silent bool) {
	return s.outstanding > 0, s.Unheard(now) >= silentAfter
}

// Unheard returns how long this entry has waited for the server without a byte; 0 if it has no
// requests there.
func (s *Silence) Unheard(now time.Time) time.Duration {
	if s.outstanding == 0 {
		return 0
	}
	since := s.waitingSince
	if s.ownHeard.After(since) {
		since = s.ownHeard
	}
	return now.Sub(since)
}

// Excuse begins the wait again, because this entry itself has been delayed.
func (s *Silence) Excuse(now time.Time) { s.waitingSince = now }

// Observe records that this entry has found the server silent.
func (s *Silence) Observe(now time.Time) { s.ownObserved = now }

// Merge adopts a report of another entry.
func (s *Silence) Merge(r Report, now time.Time) {
	if at := now.Add(-time.Duration(r.SilentMillis) * time.Millisecond); r.SilentMillis >= 0 && at.After(s.peerObserved) {
		s.peerObserved = at
	}
	if at := now.Add(-time.Duration(r.HeardMillis) * time.Millisecond); r.HeardMillis >= 0 && at.After(s.peerHeard) {
		s.peerHeard = at
	}
}

// Silent reports whether the server is silent.
func (s *Silence) Silent(now time.Time) bool {
	observed := latest(s.ownObserved, s.peerObserved)
	return !observed.IsZero() && now.Sub(observed) < forgetAfter && observed.Sub(latest(s.ownHeard, s.peerHeard)) >= silentAfter
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Report returns what other entries need to know; false if that is nothing. What one of
// them has reported needs no repetition, so that there are not as many reports of a server
// as entries.
func (s *Silence) Report(now time.Time) (Report, bool) {
	r := Report{SilentMillis: -1, HeardMillis: -1}
	if !s.ownObserved.IsZero() && now.Sub(s.ownObserved) < reportTime && s.ownObserved.Sub(s.peerObserved) >= repeatAfter {
		r.SilentMillis = now.Sub(s.ownObserved).Milliseconds()
	}
	observed := latest(s.ownObserved, s.peerObserved)
	refutes := observed.Sub(s.ownHeard) < silentAfter && observed.Sub(s.peerHeard) >= silentAfter
	if refutes && !observed.IsZero() && !s.ownHeard.IsZero() && now.Sub(observed) < forgetAfter {
		r.HeardMillis = max(0, now.Sub(s.ownHeard).Milliseconds())
	}
	return r, r.SilentMillis >= 0 || r.HeardMillis >= 0
}
