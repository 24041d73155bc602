package coldstart

import (
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// window is the time in which an entry sends at most its share. It is longer than the second
	// of the bound: an entry that has used up its share of the processor is not scheduled for up
	// to a tenth of a second, and its requests would reach the server together with the next ones.
	window = 1100 * time.Millisecond
	// doubtTime is how long after the loss of a connection the server may have started again
	// without being listed yet.
	doubtTime = 1500 * time.Millisecond
)

// Server is what is known of one incarnation of a backend server. A nil one is never cold.
type Server struct {
	servers       *Servers
	instance      mulberryspool.InstanceID
	failureDomain string

	// listed is set while the server is listed, leftAt is when it no longer was.
	listed bool
	leftAt time.Time
	// row is the last object that was seen, rowUntil until when it says that the server is
	// cold.
	row      rowState
	rowUntil time.Time
	// startedAt is when the incarnation was first listed, unless it was in the first list.
	startedAt time.Time
	// answerUntil is until when the server is cold by its answer to the last of the requests
	// that were answered, which was sent at answerSentAt.
	answerUntil, answerSentAt time.Time
	// evacuationEndedAt is when the last evacuation ended, evacuationEnd the position of
	// that change.
	evacuationEndedAt time.Time
	evacuationEnd     mulberryspool.Position

	// lostAt is when a connection to the server was last lost or could not be opened; zero if
	// a response on an earlier one has shown since that the incarnation runs.
	lostAt time.Time

	// written holds the times of the last requests that this entry has written, reserved
	// those of the placements that may still be written.
	written, reserved []time.Time
	// reportedCold is what Changes has returned last.
	reportedCold bool
	share        cachedShare
}

type (
	rowState struct {
		position mulberryspool.Position
		coldFor  time.Duration
	}

	cachedShare struct {
		entriesVersion uint64
		total, share   int
	}
)

// Until returns until when the server is cold, or may have started again; zero if it is neither.
func (s *Server) Until(now time.Time) time.Time {
	until := s.knownUntil(now)
	if s == nil || !s.servers.enabled || s.lostAt.IsZero() {
		return until
	}
	if end := s.lostAt.Add(doubtTime); end.After(now) && end.After(until) {
		return end
	}
	return until
}

// knownUntil returns until when the server is known to be cold; zero if it is not.
func (s *Server) knownUntil(now time.Time) time.Time {
	if s == nil || !s.servers.enabled {
		return time.Time{}
	}
	until := s.rowUntil
	if s.answerUntil.After(until) {
		until = s.answerUntil
	}
	for _, from := range []time.Time{s.startedAt, s.evacuationEndedAt} {
		if end := from.Add(s.servers.coldTime); !from.IsZero() && end.After(until) {
			until = end
		}
	}
	if !until.After(now) {
		return time.Time{}
	}
	return until
}

// Share returns how many requests this entry may send to the server in a window while it is
// cold.
func (s *Server) Share(now time.Time) int {
	entries, total := s.servers.Entries, s.servers.total
	if now.Before(entries.readyAt()) {
		return 0
	}
	entries.expire(now)
	if s.share.total != total || s.share.entriesVersion != entries.version {
		s.share = cachedShare{entries.version, total, entries.share(s.instance, s.failureDomain, total)}
	}
	return s.share.share
}

// AvailableAt returns when the next request may be placed at the server; zero if that is now.
func (s *Server) AvailableAt(now time.Time) time.Time {
	until := s.Until(now)
	if until.IsZero() {
		return time.Time{}
	}
	share := s.Share(now)
	if share == 0 {
		if ready := s.servers.Entries.readyAt(); ready.After(now) && ready.Before(until) {
			return ready
		}
		return until
	}
	s.prune(now)
	n := len(s.written) + len(s.reserved)
	if n < share {
		return time.Time{}
	}
	used := append(slices.Clone(s.written), s.reserved...)
	slices.SortFunc(used, time.Time.Compare)
	if at := used[n-share].Add(window); at.Before(until) {
		return at
	}
	return until
}

// Reserve counts a request that is placed at the server until it is written, or for one
// window if it never is.
func (s *Server) Reserve(now time.Time) {
	if s == nil || !s.servers.enabled {
		return
	}
	s.prune(now)
	if !s.Until(now).IsZero() {
		s.reserved = append(s.reserved, now)
	}
}

// Write counts a request that is about to be written, in place of a reservation. It reports
// false if the request must not be written. Requests count before a server is known to be
// cold too: the news is up to 2 s old.
func (s *Server) Write(now time.Time) bool {
	if s == nil || !s.servers.enabled {
		return true
	}
	s.prune(now)
	if len(s.reserved) > 0 {
		s.reserved = s.reserved[1:]
	}
	if !s.Until(now).IsZero() && len(s.written) >= s.Share(now) {
		return false
	}
	s.written = append(s.written, now)
	// No share is larger than the total.
	s.written = s.written[max(0, len(s.written)-s.servers.total):]
	return true
}

// RecordAnswer records for how long the server is still cold by its answer to a request that
// was sent at the given time.
func (s *Server) RecordAnswer(coldFor time.Duration, sentAt, now time.Time) {
	if s == nil || sentAt.Before(s.answerSentAt) {
		return
	}
	s.answerSentAt, s.answerUntil = sentAt, now.Add(coldFor)
}

// RecordLost records that a connection to the server was lost, or could not be opened. The server
// may have crashed, and the next incarnation starts at the same address.
func (s *Server) RecordLost(now time.Time) {
	if s != nil {
		s.lostAt = now
	}
}

// RecordAlive records a response on a connection that was opened at a time. One that was opened
// before the loss of another one shows that the incarnation still runs.
func (s *Server) RecordAlive(openedAt time.Time) {
	if s != nil && openedAt.Before(s.lostAt) {
		s.lostAt = time.Time{}
	}
}

// observe records the server's object.
func (s *Server) observe(b mulberryspool.BackendServer, now time.Time) {
	row := rowState{b.Position(), b.ColdFor}
	if row == s.row {
		return
	}
	until := now.Add(b.ColdFor)
	// The first object of an era may come from a copy that is older than the last one.
	if row.position.Era == s.row.position.Era || until.After(s.rowUntil) {
		s.rowUntil = until
	}
	s.row = row
	if row.position.After(s.evacuationEnd) && s.evacuationEnd.Revision > 0 {
		s.evacuationEndedAt = time.Time{}
	}
}

// endEvacuation records that an evacuation ended with a change of the store; zero if its
// position is not known.
func (s *Server) endEvacuation(at mulberryspool.Position, now time.Time) {
	s.evacuationEndedAt, s.evacuationEnd = now, at
	if at.Revision > 0 && s.row.position.After(at) {
		s.evacuationEndedAt = time.Time{}
	}
}

// prune removes what is older than the window.
func (s *Server) prune(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) >= window }
	s.written = slices.DeleteFunc(s.written, old)
	s.reserved = slices.DeleteFunc(s.reserved, old)
}
