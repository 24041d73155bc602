// Package configwatch decides which entries read the configuration from the store, and
// which read it from those.
//
//	heartbeats --> Record --> Election --> Watches, RemoteDelay
//
// A watch delivers the whole configuration with each change. On the links between
// regions, a copy for each entry takes longer than a change may take to be in force,
// and delays everything behind it: changes of servers, versions and live requests. So a
// few entries of each failure domain watch, and the others read from entries nearby.
package configwatch

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MinWait and MaxWait limit how long a watch waits for a change. A store that drops its
// history does not answer a waiting watch, and few entries watch.
const (
	MinWait = 500 * time.Millisecond
	MaxWait = 1300 * time.Millisecond
)

const (
	// replaceTime is the part of a bound that passes apart from the wait of a watch, if all
	// watchers lose the store right after it has answered them: the pause before the next
	// watch, the time after which that counts as unanswered, the heartbeat that reports it,
	// the list of another entry, and the reads of that entry's peers.
	replaceTime = 1300 * time.Millisecond
	// shortestMaxWait is the maximum wait for bounds that leave less.
	shortestMaxWait = 300 * time.Millisecond
	// watchersPerDomain is the number of entries of a failure domain that watch.
	watchersPerDomain = 1
	// minWatchers is the number of watchers without which further entries watch: one
	// more of each failure domain, and another one after each expandInterval.
	minWatchers    = 2
	expandInterval = 500 * time.Millisecond
	// answerTimeout is how long after its last answer an entry counts as watching that does
	// not report the loss of the store. It is longer than MaxWait and the time that the answer
	// may take.
	answerTimeout = 2200 * time.Millisecond
	// overdueShare is the share of a bound after which an entry reads from the store what its
	// peers have announced and not delivered, overdueRankShare is added for each entry of the
	// failure domain that does so earlier, up to maxOverdueShare.
	overdueShare, overdueRankShare, maxOverdueShare = 0.35, 0.025, 0.5
	// overdueTime is how long an entry watches at least that lacks what its peers have.
	overdueTime = time.Second
	// extraTime is how long an entry watches at least that replaces others.
	extraTime = 5 * time.Second
	// peerTimeout is how long after its last heartbeat a peer counts. They come at least twice
	// a second, and a change must be in force within seconds.
	peerTimeout = 1200 * time.Millisecond
	// remoteDelay is how long a process waits for a peer in its failure domain to have a
	// configuration before it reads it from another failure domain.
	remoteDelay = 400 * time.Millisecond
	// rankDelay is added for each process of the failure domain that reads earlier.
	rankDelay = 600 * time.Millisecond
	// watcherDelay is added while the store answers this process, because it is
	// probably about to deliver the same configuration.
	watcherDelay = 800 * time.Millisecond
)

type (
	// Election is an entry's view of who watches. Set the exported fields before the
	// first call. It does no I/O, and is not safe for concurrent use.
	Election struct {
		// Self is the name of this entry.
		Self string
		// FailureDomain is that of this entry.
		FailureDomain string

		peers map[string]peer
		// tooFewSince is since when there are fewer than minWatchers; zero if there are
		// enough.
		tooFewSince time.Time
		// extraUntil is until when this entry watches in place of others.
		extraUntil time.Time
		// elected is set while this entry watches by its rank, and from then on until the
		// store answers another entry of its failure domain that ranks before it.
		elected bool
	}

	peer struct {
		failureDomain string
		// reportedAt is when its last heartbeat arrived.
		reportedAt time.Time
		// answeredAt is when the store last answered the peer's call for the
		// configuration; zero if it does not watch.
		answeredAt time.Time
	}
)

// Record records a heartbeat of another entry. The store answered its last call for the
// configuration that long ago; a negative duration means that it does not watch.
func (e *Election) Record(name, failureDomain string, answered time.Duration, now time.Time) {
	if e.peers == nil {
		e.peers = make(map[string]peer)
	}
	p := peer{failureDomain: failureDomain, reportedAt: now}
	if answered >= 0 {
		p.answeredAt = now.Add(-answered)
	}
	e.peers[name] = p
}

// RecordAlive records a heartbeat of another entry that doesn't say whether it watches.
func (e *Election) RecordAlive(name string, now time.Time) {
	if p, ok := e.peers[name]; ok {
		p.reportedAt = now
		e.peers[name] = p
	}
}

// Wait returns how long the next watch waits for a change that must be in force everywhere
// within bound. It is short enough that other entries can replace all watchers within the bound.
func Wait(bound time.Duration) time.Duration {
	longest := min(MaxWait, max(shortestMaxWait, bound-replaceTime))
	shortest := min(MinWait, longest/2)
	return shortest + rand.N(longest-shortest)
}

// Watches reports whether this entry watches the configuration.
func (e *Election) Watches(now time.Time) bool {
	limit := watchersPerDomain
	switch {
	case e.watching(now) >= minWatchers:
		e.tooFewSince = time.Time{}
	case e.tooFewSince.IsZero():
		e.tooFewSince = now
		limit++
	default:
		limit += 1 + int(now.Sub(e.tooFewSince)/expandInterval)
	}
	rank := e.rank(now)
	e.elected = rank < watchersPerDomain || e.elected && e.answeredBefore(now) < watchersPerDomain
	if e.elected {
		return true
	}
	if rank < limit && !now.Before(e.extraUntil) {
		e.extraUntil = now.Add(extraTime)
	}
	return now.Before(e.extraUntil)
}

// OverdueAfter returns how long after a peer has announced a change that must be in force
// everywhere within bound this entry reads the store instead, if no peer delivers it.
func (e *Election) OverdueAfter(bound time.Duration, now time.Time) time.Duration {
	share := min(maxOverdueShare, overdueShare+overdueRankShare*float64(e.rank(now)))
	return time.Duration(share * float64(bound))
}

// WatchOverdue makes this entry watch for a short time, whoever else does.
func (e *Election) WatchOverdue(now time.Time) {
	if until := now.Add(overdueTime); until.After(e.extraUntil) {
		e.extraUntil = until
	}
}

// RemoteDelay returns how long this entry waits before it reads a configuration from
// another failure domain, so that the entries of its own do not all do so.
func (e *Election) RemoteDelay(reachable bool, now time.Time) time.Duration {
	delay := remoteDelay + time.Duration(e.rank(now))*rankDelay
	if reachable && e.Watches(now) {
		delay += watcherDelay
	}
	return delay
}

// Standing returns this entry's rank among those of its failure domain, and the number of peers
// that the store has answered recently.
func (e *Election) Standing(now time.Time) (rank, watching int) {
	return e.rank(now), e.watching(now)
}

// watching returns the number of peers that the store has answered recently.
func (e *Election) watching(now time.Time) int {
	n := 0
	for name, p := range e.peers {
		if now.Sub(p.reportedAt) > peerTimeout {
			delete(e.peers, name)
		} else if now.Sub(p.answeredAt) <= answerTimeout {
			n++
		}
	}
	return n
}

// answeredBefore returns the number of entries of this failure domain that rank before this
// one and that the store has answered recently.
func (e *Election) answeredBefore(now time.Time) int {
	n, own := 0, xxhash.Sum64String(e.Self)
	for name, p := range e.peers {
		if p.failureDomain == e.FailureDomain && now.Sub(p.reportedAt) <= peerTimeout && now.Sub(p.answeredAt) <= answerTimeout && xxhash.Sum64String(name) < own {
			n++
		}
	}
	return n
}

// rank returns this entry's position among those of its failure domain, in the same
// order for all of them.
func (e *Election) rank(now time.Time) int {
	rank, own := 0, xxhash.Sum64String(e.Self)
	for name, p := range e.peers {
		if p.failureDomain == e.FailureDomain && now.Sub(p.reportedAt) <= peerTimeout && xxhash.Sum64String(name) < own {
			rank++
		}
	}
	return rank
}
