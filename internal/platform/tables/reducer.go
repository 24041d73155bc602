package tables

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryspool/mulberryspool"
	operator "github.com/mulberryspool/mulberryspool/internal/operator/tables"
)

const (
	// The first retry comes soon, because most failures are short; the last
	// one keeps 990 processes (R24) below 100 calls a second in an outage.
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 20 * time.Second
	// fetchAttempts bounds the tries to get one revision from peers; hearing
	// of it again starts anew.
	fetchAttempts = 5
	// maxSkippedPolls bounds the polls that a process leaves out one after the
	// other because peers name the revision that it has. A poll reads the whole
	// object, which at 60 KB and 30 s is all of the 2 KB/s of R28.
	maxSkippedPolls = 4
	// missingPoll is the time between reads while no tables exist.
	missingPoll = 2 * time.Second
	// quickAnswer is the time within which an unmodified watch ends too soon;
	// it is then not armed again at once.
	quickAnswer = 500 * time.Millisecond
)

type (
	// state is what the reducer knows. The zero value has nothing in force.
	state struct {
		pollInterval time.Duration

		document mulberryspool.TablesDocument
		tables   *mulberryspool.Tables
		// rejected is the newest invalid revision above document's.
		rejected *mulberryspool.TablesRejection

		watcher bool
		// calling is set while a call to the object API runs.
		calling bool
		// watching is set while that call is a watch.
		watching bool
		// confirm asks for a read before the next watch.
		confirm     bool
		apiAt       time.Time
		apiFailures int
		// skipped counts the polls left out since the last call.
		skipped int

		// wanted is the highest revision heard of from peers.
		wanted        mulberryspool.Revision
		fetching      bool
		fetchAt       time.Time
		fetchFailures int
	}

	// input is what every event comes with.
	input struct {
		now time.Time
		// random is from 0 up to 1 and spreads waits.
		random float64
		// contact is when a peer last named a revision.
		contact time.Time
	}

	event interface{ isEvent() }

	// started begins the life of a process.
	started struct{ spread time.Duration }
	// woken says that time has passed.
	woken struct{}
	// elected says whether this process holds a watch.
	elected struct{ watcher bool }
	// heard says that a peer has a revision.
	heard struct{ revision mulberryspool.Revision }
	// answered ends a call to the object API.
	answered struct {
		object  mulberryspool.Object
		err     error
		elapsed time.Duration
		// silent is set for a watch that its deadline ended without an answer.
		silent bool
	}
	// fetched ends a call to a peer.
	fetched struct {
		document mulberryspool.TablesDocument
		err      error
	}

	effect interface{ isEffect() }

	// read gets the object, watch waits for a revision above after, fetch
	// asks the peer that was heard last, publish hands out a new view.
	read    struct{}
	watch   struct{ after mulberryspool.Revision }
	fetch   struct{}
	publish struct{ view mulberryspool.TablesView }
	// reject reports an invalid object, also while nothing is in force.
	reject struct {
		rejection mulberryspool.TablesRejection
	}
)

func (started) isEvent()  {}
func (woken) isEvent()    {}
func (elected) isEvent()  {}
func (heard) isEvent()    {}
func (answered) isEvent() {}
func (fetched) isEvent()  {}

func (read) isEffect()    {}
func (watch) isEffect()   {}
func (fetch) isEffect()   {}
func (publish) isEffect() {}
func (reject) isEffect()  {}

// step takes in one event and returns what to do.
func (s *state) step(in input, e event) []effect {
	var effects []effect
	switch e := e.(type) {
	case started:
		s.apiAt = in.now.Add(time.Duration(in.random * float64(e.spread)))
	case elected:
		if e.watcher && !s.watcher && s.apiFailures == 0 && s.known() > 0 {
			s.apiAt = in.now
		}
		s.watcher = e.watcher
	case heard:
		s.wanted = max(s.wanted, e.revision)
	case answered:
		effects = s.answered(in, e)
	case fetched:
		effects = s.fetched(in, e)
	case woken:
	}
	return append(effects, s.due(in)...)
}

// due starts the calls whose time has come.
func (s *state) due(in input) []effect {
	var effects []effect
	if !s.calling && !in.now.Before(s.apiAt) && s.skipsPoll(in) {
		s.skipped++
		s.apiAt = in.now.Add(spread(s.pollInterval, in.random))
	}
	if !s.calling && !in.now.Before(s.apiAt) {
		s.calling, s.skipped = true, 0
		s.watching = s.watcher && s.known() > 0 && !s.confirm
		if s.watching {
			effects = append(effects, watch{after: s.known()})
		} else {
			s.confirm = false
			effects = append(effects, read{})
		}
	}
	if !s.fetching && s.wanted > s.document.Revision && !in.now.Before(s.fetchAt) {
		s.fetching = true
		effects = append(effects, fetch{})
	}
	return effects
}

// skipsPoll reports whether a poll can be left out, because peers have named
// revisions since the last one and none was above the one in force.
func (s *state) skipsPoll(in input) bool {
	return !s.watcher && s.tables != nil && s.apiFailures == 0 && !s.confirm && s.skipped < maxSkippedPolls &&
		s.wanted <= s.document.Revision && in.now.Sub(in.contact) < s.pollInterval
}

// next returns when due has to be looked at again without another event.
func (s *state) next() (time.Time, bool) {
	var at time.Time
	if !s.calling {
		at = s.apiAt
	}
	if !s.fetching && s.wanted > s.document.Revision && (at.IsZero() || s.fetchAt.Before(at)) {
		at = s.fetchAt
	}
	return at, !at.IsZero()
}

// known returns the highest revision read from the object API or in force.
func (s *state) known() mulberryspool.Revision {
	if s.rejected != nil {
		return max(s.document.Revision, s.rejected.Revision)
	}
	return s.document.Revision
}

func (s *state) answered(in input, e answered) []effect {
	wasWatch := s.watching
	s.calling, s.watching = false, false
	switch {
	case e.err == nil:
		s.apiFailures = 0
		s.apiAt = in.now
		if !s.watcher {
			s.apiAt = in.now.Add(spread(s.pollInterval, in.random))
		}
		return s.takeObject(e.object)
	case e.silent:
		// The watch may have gone silent with a change behind it.
		s.confirm = true
		s.apiAt = in.now
	case errors.Is(e.err, mulberryspool.ErrNotModified):
		s.apiFailures = 0
		s.apiAt = in.now
		if e.elapsed < quickAnswer {
			s.apiAt = in.now.Add(spread(quickAnswer, in.random))
		}
		if !s.watcher {
			s.apiAt = in.now.Add(spread(s.pollInterval, in.random))
		}
	case errors.Is(e.err, mulberryspool.ErrNotFound):
		s.apiFailures = 0
		s.apiAt = in.now.Add(spread(missingPoll, in.random))
	default:
		s.apiFailures++
		s.confirm = wasWatch
		s.apiAt = in.now.Add(backoff(s.apiFailures, in.random))
	}
	return nil
}

func (s *state) takeObject(object mulberryspool.Object) []effect {
	if object.Version <= s.known() {
		return nil
	}
	document := mulberryspool.TablesDocument{Revision: object.Version, Document: object.Value}
	parsed, rejection := check(document)
	if rejection != nil {
		s.rejected = rejection
		effects := []effect{reject{rejection: *rejection}}
		if s.tables != nil {
			effects = append(effects, publish{view: s.view()})
		}
		return effects
	}
	return s.takeValid(document, parsed)
}

func (s *state) fetched(in input, e fetched) []effect {
	s.fetching = false
	if e.err == nil && e.document.Revision > s.document.Revision {
		// An invalid document from a peer proves nothing about the object, so
		// it counts as a failed fetch.
		if parsed, rejection := check(e.document); rejection == nil {
			s.fetchFailures = 0
			s.fetchAt = in.now
			return s.takeValid(e.document, parsed)
		}
	}
	s.fetchFailures++
	s.fetchAt = in.now.Add(backoff(s.fetchFailures, in.random))
	if s.fetchFailures >= fetchAttempts {
		s.wanted, s.fetchFailures = 0, 0
	}
	return nil
}

func (s *state) takeValid(document mulberryspool.TablesDocument, parsed *mulberryspool.Tables) []effect {
	s.document, s.tables = document, parsed
	if s.rejected != nil && s.rejected.Revision < document.Revision {
		s.rejected = nil
	}
	return []effect{publish{view: s.view()}}
}

func (s *state) view() mulberryspool.TablesView {
	return mulberryspool.TablesView{Revision: s.document.Revision, Tables: s.tables, Rejected: s.rejected}
}

// check decodes and validates the bytes by themselves, so that every process
// comes to the same result.
func check(document mulberryspool.TablesDocument) (*mulberryspool.Tables, *mulberryspool.TablesRejection) {
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

// spread returns a time from a half to one and a half of the mean.
func spread(mean time.Duration, random float64) time.Duration {
	return mean/2 + time.Duration(random*float64(mean))
}

// backoff doubles with the failures and is spread from a half to the whole.
func backoff(failures int, random float64) time.Duration {
	limit := min(lastBackoff, firstBackoff<<min(failures-1, 10))
	return limit/2 + time.Duration(random*float64(limit/2))
}
