package tables

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	operator "github.com/mulberryspool/mulberryspool/internal/operator/tables"
)

const (
	// The first retry comes soon, because most failures are short. The maximum
	// keeps 990 processes, the target size, below 100 calls a second in an
	// outage.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 20 * time.Second
	// fetchAttempts is how often a fetch from peers is tried; the count starts
	// again when a peer reports the revision once more.
	fetchAttempts = 5
	// maxSkippedPolls is how many polls in a row a process skips because its
	// peers report the revision that it has. A poll reads the whole object: 60 KB
	// every 30 s would use all of the 2 KB/s that a node may spend on control
	// traffic.
	maxSkippedPolls = 4
	// missingPollInterval is the mean time between reads while no tables exist.
	missingPollInterval = 2 * time.Second
	// minWatchDuration is the shortest regular duration of a watch without
	// changes. After a shorter one, the next watch is delayed.
	minWatchDuration = 500 * time.Millisecond
)

type (
	// state is the state of the reducer. The zero value has no tables in force.
	state struct {
		pollInterval time.Duration

		document mulberryspool.TablesDocument
		tables   *mulberryspool.Tables
		// rejected is the newest invalid revision above the one of document.
		rejected *mulberryspool.TablesRejection

		watcher bool
		// callRunning is set while a call to the object API runs.
		callRunning bool
		// watchRunning is set while that call is a watch.
		watchRunning bool
		// readFirst requires a read before the next watch.
		readFirst    bool
		nextCall     time.Time
		callFailures int
		// skippedPolls counts the polls that were skipped since the last call.
		skippedPolls int

		// peerRevision is the highest revision that peers reported.
		peerRevision  mulberryspool.Revision
		fetchRunning  bool
		nextFetch     time.Time
		fetchFailures int
	}

	// input is what the reducer gets with every event.
	input struct {
		now time.Time
		// random is a number in [0, 1) for jitter.
		random float64
		// lastPeerContact is when a peer last reported a revision.
		lastPeerContact time.Time
	}

	event interface{ isEvent() }

	// processStarted is the first event of a process. maxDelay is the maximum
	// delay of its first call.
	processStarted struct{ maxDelay time.Duration }
	// timerFired is sent at the time that nextWake returned.
	timerFired struct{}
	// elected reports whether this process is elected to watch the object.
	elected struct{ watcher bool }
	// revisionReported reports that a peer has a revision.
	revisionReported struct{ revision mulberryspool.Revision }
	// callEnded is the end of a call to the object API.
	callEnded struct {
		object  mulberryspool.Object
		err     error
		elapsed time.Duration
		// timedOut is set for a watch that got no response before its deadline.
		timedOut bool
	}
	// fetchEnded is the end of a call to a peer.
	fetchEnded struct {
		document mulberryspool.TablesDocument
		err      error
	}

	effect interface{ isEffect() }

	// read gets the object, watch waits for a revision above after, fetch gets
	// the document from the peer that last reported the highest revision, publish
	// sets a new view.
	read    struct{}
	watch   struct{ after mulberryspool.Revision }
	fetch   struct{}
	publish struct{ view mulberryspool.TablesView }
	// reject reports an invalid object, also while no tables are in force.
	reject struct {
		rejection mulberryspool.TablesRejection
	}
)

func (processStarted) isEvent()   {}
func (timerFired) isEvent()       {}
func (elected) isEvent()          {}
func (revisionReported) isEvent() {}
func (callEnded) isEvent()        {}
func (fetchEnded) isEvent()       {}

func (read) isEffect()    {}
func (watch) isEffect()   {}
func (fetch) isEffect()   {}
func (publish) isEffect() {}
func (reject) isEffect()  {}

// step updates the state for one event and returns the effects to perform.
func (s *state) step(in input, e event) []effect {
	var effects []effect
	switch e := e.(type) {
	case processStarted:
		s.nextCall = in.now.Add(time.Duration(in.random * float64(e.maxDelay)))
	case elected:
		if e.watcher && !s.watcher && s.callFailures == 0 && s.highestRevision() > 0 {
			s.nextCall = in.now
		}
		s.watcher = e.watcher
	case revisionReported:
		s.peerRevision = max(s.peerRevision, e.revision)
	case callEnded:
		effects = s.handleCallEnded(in, e)
	case fetchEnded:
		effects = s.handleFetchEnded(in, e)
	case timerFired:
	}
	return append(effects, s.startDue(in)...)
}

// startDue returns the effects that start the calls that are due.
func (s *state) startDue(in input) []effect {
	var effects []effect
	if !s.callRunning && !in.now.Before(s.nextCall) && s.skipsPoll(in) {
		s.skippedPolls++
		s.nextCall = in.now.Add(jitter(s.pollInterval, in.random))
	}
	if !s.callRunning && !in.now.Before(s.nextCall) {
		s.callRunning, s.skippedPolls = true, 0
		s.watchRunning = s.watcher && s.highestRevision() > 0 && !s.readFirst
		if s.watchRunning {
			effects = append(effects, watch{after: s.highestRevision()})
		} else {
			s.readFirst = false
			effects = append(effects, read{})
		}
	}
	if !s.fetchRunning && s.peerRevision > s.document.Revision && !in.now.Before(s.nextFetch) {
		s.fetchRunning = true
		effects = append(effects, fetch{})
	}
	return effects
}

// skipsPoll reports whether a poll can be skipped, because peers reported
// revisions within the last poll interval and none above the one in force.
func (s *state) skipsPoll(in input) bool {
	return !s.watcher && s.tables != nil && s.callFailures == 0 && !s.readFirst && s.skippedPolls < maxSkippedPolls &&
		s.peerRevision <= s.document.Revision && in.now.Sub(in.lastPeerContact) < s.pollInterval
}

// nextWake returns when the next call is due if there is no other event, and
// false if none is.
func (s *state) nextWake() (time.Time, bool) {
	var at time.Time
	if !s.callRunning {
		at = s.nextCall
	}
	if !s.fetchRunning && s.peerRevision > s.document.Revision && (at.IsZero() || s.nextFetch.Before(at)) {
		at = s.nextFetch
	}
	return at, !at.IsZero()
}

// highestRevision returns the highest revision that is in force or was rejected.
func (s *state) highestRevision() mulberryspool.Revision {
	if s.rejected != nil {
		return max(s.document.Revision, s.rejected.Revision)
	}
	return s.document.Revision
}

// handleCallEnded schedules the next call to the object API and applies the
// object.
func (s *state) handleCallEnded(in input, e callEnded) []effect {
	wasWatch := s.watchRunning
	s.callRunning, s.watchRunning = false, false
	switch {
	case e.err == nil:
		s.callFailures = 0
		s.nextCall = in.now
		if !s.watcher {
			s.nextCall = in.now.Add(jitter(s.pollInterval, in.random))
		}
		return s.applyObject(e.object)
	case e.timedOut:
		// The connection may be dead, so that a change was missed.
		s.readFirst = true
		s.nextCall = in.now
	case errors.Is(e.err, mulberryspool.ErrNotModified):
		s.callFailures = 0
		s.nextCall = in.now
		if e.elapsed < minWatchDuration {
			s.nextCall = in.now.Add(jitter(minWatchDuration, in.random))
		}
		if !s.watcher {
			s.nextCall = in.now.Add(jitter(s.pollInterval, in.random))
		}
	case errors.Is(e.err, mulberryspool.ErrNotFound):
		s.callFailures = 0
		s.nextCall = in.now.Add(jitter(missingPollInterval, in.random))
	default:
		s.callFailures++
		s.readFirst = wasWatch
		s.nextCall = in.now.Add(backoff(s.callFailures, in.random))
	}
	return nil
}

// applyObject puts a new object in force, or rejects it if it is invalid.
func (s *state) applyObject(object mulberryspool.Object) []effect {
	if object.Version <= s.highestRevision() {
		return nil
	}
	document := mulberryspool.TablesDocument{Revision: object.Version, Document: object.Value}
	parsed, rejection := parse(document)
	if rejection != nil {
		s.rejected = rejection
		effects := []effect{reject{rejection: *rejection}}
		if s.tables != nil {
			effects = append(effects, publish{view: s.view()})
		}
		return effects
	}
	return s.applyValid(document, parsed)
}

// handleFetchEnded applies the fetched document, or schedules the next fetch.
func (s *state) handleFetchEnded(in input, e fetchEnded) []effect {
	s.fetchRunning = false
	if e.err == nil && e.document.Revision > s.document.Revision {
		// An invalid document from a peer does not show that the object is
		// invalid, so it counts as a failed fetch.
		if parsed, rejection := parse(e.document); rejection == nil {
			s.fetchFailures = 0
			s.nextFetch = in.now
			return s.applyValid(e.document, parsed)
		}
	}
	s.fetchFailures++
	s.nextFetch = in.now.Add(backoff(s.fetchFailures, in.random))
	if s.fetchFailures >= fetchAttempts {
		s.peerRevision, s.fetchFailures = 0, 0
	}
	return nil
}

func (s *state) applyValid(document mulberryspool.TablesDocument, parsed *mulberryspool.Tables) []effect {
	s.document, s.tables = document, parsed
	if s.rejected != nil && s.rejected.Revision < document.Revision {
		s.rejected = nil
	}
	return []effect{publish{view: s.view()}}
}

func (s *state) view() mulberryspool.TablesView {
	return mulberryspool.TablesView{Revision: s.document.Revision, Tables: s.tables, Rejected: s.rejected}
}

// parse decodes and validates a document. The result depends on nothing else, so
// that it is the same in every process.
func parse(document mulberryspool.TablesDocument) (*mulberryspool.Tables, *mulberryspool.TablesRejection) {
	parsed, err := operator.Decode(document.Document)
	if err == nil {
		err = operator.Validate(parsed)
	}
	if err == nil {
		return &parsed, nil
	}
	rejection := &mulberryspool.TablesRejection{Revision: document.Revision, Reason: err.Error()}
	var problems operator.Problems
	if errors.As(err, &problems) {
		rejection.Table, rejection.Row, rejection.Reason = problems[0].Table, problems[0].Row, problems[0].Reason
	}
	return nil, rejection
}

// jitter returns a duration between 0.5 and 1.5 times the mean.
func jitter(mean time.Duration, random float64) time.Duration {
	return mean/2 + time.Duration(random*float64(mean))
}

// backoff returns a duration between 0.5 and 1 times a limit that doubles with
// each failure.
func backoff(failures int, random float64) time.Duration {
	limit := min(maxBackoff, minBackoff<<min(failures-1, 10))
	return limit/2 + time.Duration(random*float64(limit/2))
}
