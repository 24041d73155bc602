// Package refusals recognizes requests that an entry has refused before.
//
//	Record --> Log --> Find
//
// It is built for callers that send a refused request again at once, instead of after the time
// that they were told. The request has another ID then, and nearly its whole time left, so it
// looks like a new one. It has the same content, though, and its deadline is the same point in
// time. During an overload such requests come many times a second, and each slot that they
// get is taken from a new request that would be in time.
//
// A Log does no I/O and reads no clock. It must be used by one goroutine at a time.
package refusals

import "time"

const (
	// maxEntries is the number of refused requests that are remembered. 16,384 of them take
	// about 2 MB, and are those of some seconds of an overload.
	maxEntries = 16_384
	// tolerance is by how much the deadlines of two requests may differ to be the same: the
	// time on the way varies. With more, equal requests of other callers are taken for it.
	tolerance = 25 * time.Millisecond
	// earlyTolerance is by how much a caller may come too early.
	earlyTolerance = 20 * time.Millisecond
	// purgeInterval is the minimum time between two searches for requests to forget.
	purgeInterval = 250 * time.Millisecond
)

type (
	// Log holds the requests that were refused and whose deadlines have not passed. The zero
	// value is ready to use.
	Log struct {
		entries  map[uint64]entry
		purgedAt time.Time
	}

	entry struct {
		deadline, retryAt time.Time
	}
)

// Len returns the number of requests in the log.
func (l *Log) Len() int { return len(l.entries) }

// Record records that a request with a content was refused, and when its caller was told to
// send it again.
func (l *Log) Record(content uint64, deadline, retryAt, now time.Time) {
	if l.entries == nil {
		l.entries = make(map[uint64]entry)
	}
	l.purge(now)
	if _, ok := l.entries[content]; ok || len(l.entries) < maxEntries {
		l.entries[content] = entry{deadline: deadline, retryAt: retryAt}
	}
}

// Find returns the deadline that a request had when it was refused before, and whether it comes
// earlier than its caller was told. It returns the zero time if the request was not refused.
// A refusal is found once. Record the next one with the returned deadline, since otherwise a
// series of equal requests of other callers, each a little later, is taken for retries.
func (l *Log) Find(content uint64, deadline, now time.Time) (recorded time.Time, early bool) {
	l.purge(now)
	e, ok := l.entries[content]
	if !ok || e.deadline.Sub(deadline).Abs() > tolerance {
		return time.Time{}, false
	}
	delete(l.entries, content)
	return e.deadline, now.Before(e.retryAt.Add(-earlyTolerance))
}

// purge removes the requests whose deadlines have passed.
func (l *Log) purge(now time.Time) {
	if len(l.entries) == 0 || now.Sub(l.purgedAt) < purgeInterval {
		return
	}
	l.purgedAt = now
	for content, e := range l.entries {
		if now.After(e.deadline) {
			delete(l.entries, content)
		}
	}
}
