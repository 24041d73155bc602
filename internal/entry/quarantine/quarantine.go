// Package quarantine decides which prompts are kept from backend servers, because
// a part of them crashes each server that begins to answer them.
//
//	RecordBroken, RecordBegun, Merge --> Quarantine --> Send, Wait or Reject
//	                                               \--> Findings, for the other entries
//
// The load pattern: one part is common to requests that arrive at all entries.
// Each of them crashes its server and cuts the answers of a whole batch, and is
// then sent to the next server, so a pool is lost within a second. The requests
// that it cuts share callers and other parts with it.
//
// An exchange that breaks before its answer has begun counts against all parts of
// its prompt, an answer that has begun refutes that. A part under suspicion is
// tried with one request at a time in the whole system, and rejected if that fails
// too. A part with which answers have begun before needs more crashes and a failed
// trial, and a crash that a worse part explains does not count, so that common parts
// survive the crashes of others.
//
// Every entry computes the same verdict, because crashes are merged as a set and
// a refutation is never taken back. Processes that only merge findings keep them for
// entries that restart. A Quarantine does no I/O and reads no clock. It
// must be used by one goroutine at a time.
package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// Send means that the prompt may be sent to a backend server.
	Send Verdict = iota
	// Wait means that a request with a part of the prompt is being tried.
	Wait
	// Reject means that a part of the prompt crashes backend servers.
	Reject
)

const (
	// Clear parts are sent to backend servers.
	Clear Level = iota
	// Suspected parts are sent with one request at a time.
	Suspected
	// Rejected parts are not sent.
	Rejected
)

const (
	// BeginTime is how long an answer must have gone on since its first event to
	// count as begun: the server may crash some steps later.
	BeginTime = 250 * time.Millisecond
	// suspectCrashes is the number of crashes from which a part is under suspicion.
	suspectCrashes = 1
	// rejectCrashes is the number of crashes from which a part is rejected.
	rejectCrashes = 2
	// provenAllowance is added to both for a part with which answers had begun
	// before its first crash.
	provenAllowance = 1
	// crashInterval is the interval within which the crashes of several servers
	// count as one, and only for the parts that were present in crashShare of them:
	// the others have a common cause other than the prompt.
	crashInterval = 50 * time.Millisecond
	crashShare    = 0.5
	// rejectTime is how long a part is rejected after rejectCrashes. Each further
	// crash doubles it, up to maxRejectTime. The next request after that is a trial.
	rejectTime    = 30 * time.Second
	maxRejectTime = 10 * time.Minute
	// abandonTime is the time between the end of an abandoned exchange and a crash of
	// its server within which the exchange counts as broken by the crash.
	abandonTime = 250 * time.Millisecond
	// maxAbandoned limits the abandoned exchanges that are kept for abandonTime.
	maxAbandoned = 64
	// memoryTime is how long crashes count beyond the time of rejection.
	memoryTime = time.Minute
	// trialSettleTime is the time between the announcement of a trial and its
	// request. Of the entries that announce one at the same time, one keeps it.
	trialSettleTime = 40 * time.Millisecond
	// trialTimeout is the time after which a trial without a result is void.
	trialTimeout = 2 * time.Second
	// maxSuspects limits the parts with crashes.
	maxSuspects = 128
	// maxCrashes limits the crashes that are kept of a part.
	maxCrashes = 12
	// maxFindings limits the parts that are reported at a time.
	maxFindings = 16
	// reportTime is how long a change is reported of a part that is not rejected.
	reportTime = 3 * time.Second
	// maxPartBytes limits the part of an ID that is used as it is.
	maxPartBytes = 48
	// maxProven limits each of the two generations of proven parts, provenTime is
	// how long a generation is filled.
	maxProven  = 4096
	provenTime = 5 * time.Minute
)

type (
	// Verdict is the kind of a decision.
	Verdict int
	// Level is how much speaks against a part of prompts.
	Level int
	// Part identifies a part of prompts for a model. It is at most maxPartBytes long.
	Part string
	// Server identifies an incarnation of a backend server.
	Server uint64

	// Decision is the result for a prompt.
	Decision struct {
		Verdict Verdict
		// Until is when to ask again; zero for Send.
		Until time.Time
		// Part is the part that the decision depends on, and Crashes the number of
		// its crashes; 0 if there is none.
		Part    Part
		Crashes int
		// Trial is set if the request is a trial of its parts, Announced if it has
		// become one with this decision.
		Trial, Announced bool
	}

	// Finding is what an entry reports of a part. It is encoded as a map, so the
	// field names are part of the protocol.
	Finding struct {
		Part Part
		// Proven means that answers had begun before the first crash.
		Proven  bool           `msgpack:",omitempty"`
		Crashes []CrashFinding `msgpack:",omitempty"`
		// TrialRequest is the request with which the sender tries the part; empty
		// for none.
		TrialRequest   mulberryspool.RequestID `msgpack:",omitempty"`
		TrialAgeMillis int64                   `msgpack:",omitempty"`
	}

	// CrashFinding is a crash of a backend server in a Finding. It is encoded as an
	// array, so the order of the fields is part of the protocol.
	CrashFinding struct {
		_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

		Server    Server
		AgeMillis int64
		Refuted   bool
		// Trial means that the part was being tried at the server.
		Trial bool
	}

	// Quarantine is an entry's view of the parts that are under suspicion. Set the
	// exported fields before the first use.
	Quarantine struct {
		// Entry is the name of this entry among its peers.
		Entry string

		suspects map[Part]*suspect
		// proven and provenBefore are two generations of the parts with which
		// answers have begun, as hashes.
		proven, provenBefore map[uint64]struct{}
		provenSince          time.Time
		// abandoned holds the exchanges that ended less than abandonTime ago.
		abandoned []abandoned
	}

	// abandoned is an exchange that the entry ended before the answer had begun.
	abandoned struct {
		parts   []Part
		server  Server
		isTrial bool
		at      time.Time
	}

	suspect struct {
		proven bool
		// crashes has one element for each server, in the order of time.
		crashes []crash
		trial   trial
		// open holds the crashes that count and that no other part explains, crashCount
		// their number and lastCrash the time of the last one.
		open       []crash
		crashCount int
		lastCrash  time.Time
		// ambiguous is set if another part explains the same crashes.
		ambiguous bool
		// changedAt is when something became known here that other entries may not
		// know. What they report doesn't change it.
		changedAt time.Time
	}

	crash struct {
		server Server
		at     time.Time
		// refuted is set once an answer has begun after the crash was known,
		// incidental if too few of the servers that crashed together had the part.
		refuted, incidental bool
		// trial is set if the part was being tried at the server.
		trial bool
	}

	// trial is the zero value if the part is not being tried.
	trial struct {
		entry   string
		request mulberryspool.RequestID
		at      time.Time
	}
)

// PartOf returns the part with the ID in prompts for the model.
func PartOf(model, id string) Part {
	part := model + "/" + id
	if len(part) > maxPartBytes {
		part = strconv.FormatUint(xxhash.Sum64String(part), 16)
	}
	return Part(part)
}

// ServerOf returns the incarnation of a backend server.
func ServerOf(b mulberryspool.BackendServer) Server {
	return Server(xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(b.Instance), uint64(b.Born))))
}

// Decide decides on a request with the parts in its prompt. It may make the request
// a trial, and the trial of a request is the same until EndTrial.
func (q *Quarantine) Decide(id mulberryspool.RequestID, parts []Part, now time.Time) Decision {
	if len(q.suspects) == 0 {
		return Decision{}
	}
	var (
		suspected []Part
		rejected  []Part
	)
	for _, p := range parts {
		s := q.suspects[p]
		if s == nil {
			continue
		}
		switch s.level(now) {
		case Rejected:
			rejected = append(rejected, p)
		case Suspected:
			suspected = append(suspected, p)
		}
	}
	// Only a request with one part of several that may explain the same crashes shows
	// which of them does.
	if len(rejected) == 1 && q.suspects[rejected[0]].ambiguous {
		suspected, rejected = append(suspected, rejected[0]), nil
	}
	switch {
	case len(rejected) > 0:
		return q.reject(rejected)
	case len(suspected) > 0:
		return q.try(id, suspected, now)
	}
	return Decision{}
}

// reject rejects a request until the last of the parts is no longer rejected.
func (q *Quarantine) reject(parts []Part) Decision {
	d := Decision{Verdict: Reject}
	for _, p := range parts {
		s := q.suspects[p]
		if until := s.rejectedUntil(); until.After(d.Until) {
			d.Until, d.Part, d.Crashes = until, p, s.crashCount
		}
	}
	return d
}

// try makes the request a trial of all parts, unless one of them is being tried.
func (q *Quarantine) try(id mulberryspool.RequestID, parts []Part, now time.Time) Decision {
	own := trial{entry: q.Entry, request: id, at: now}
	settledAt := now
	for _, p := range parts {
		s := q.suspects[p]
		d := Decision{Verdict: Wait, Part: p, Crashes: s.crashCount}
		switch {
		case !s.trial.running(now):
			settledAt = now.Add(trialSettleTime)
		case s.trial.entry == own.entry && s.trial.request == own.request:
			settledAt = later(settledAt, s.trial.at.Add(trialSettleTime))
		default:
			d.Until = s.trial.at.Add(trialTimeout)
			return d
		}
	}
	d := Decision{Verdict: Send, Part: parts[0], Crashes: q.suspects[parts[0]].crashCount, Trial: true}
	if now.Before(settledAt) {
		d.Verdict, d.Until = Wait, settledAt
	}
	for _, p := range parts {
		if s := q.suspects[p]; !s.trial.running(now) {
			s.trial, s.changedAt, d.Announced = own, now, true
		}
	}
	return d
}

// EndTrial ends the trial of a request that has no result, and reports whether
// there was one.
func (q *Quarantine) EndTrial(id mulberryspool.RequestID, parts []Part, now time.Time) bool {
	ended := false
	for _, p := range parts {
		if s := q.suspects[p]; s != nil && s.trial.entry == q.Entry && s.trial.request == id {
			s.trial, s.changedAt, ended = trial{}, now, true
		}
	}
	return ended
}

// IsTrial reports whether the request is the trial of one of the parts.
func (q *Quarantine) IsTrial(id mulberryspool.RequestID, parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool {
		s := q.suspects[p]
		return s != nil && s.trial.entry == q.Entry && s.trial.request == id
	})
}

// Rejects reports whether a request with the parts is rejected.
func (q *Quarantine) Rejects(parts []Part, now time.Time) bool {
	return slices.ContainsFunc(parts, func(p Part) bool {
		s := q.suspects[p]
		return s != nil && !s.ambiguous && s.level(now) == Rejected
	})
}

// IsClear reports whether no part is under suspicion or rejected.
func (q *Quarantine) IsClear(parts []Part, now time.Time) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool {
		s := q.suspects[p]
		return s != nil && s.level(now) != Clear
	})
}

// Expire forgets the parts whose crashes no longer count.
func (q *Quarantine) Expire(now time.Time) {
	before := len(q.suspects)
	maps.DeleteFunc(q.suspects, func(_ Part, s *suspect) bool {
		return now.Sub(s.crashes[len(s.crashes)-1].at) > s.rejectTime()+memoryTime
	})
	if len(q.suspects) != before {
		q.recount()
	}
	q.abandoned = slices.DeleteFunc(q.abandoned, func(a abandoned) bool { return now.Sub(a.at) > abandonTime })
}

// Levels returns the parts that are not clear.
func (q *Quarantine) Levels(now time.Time) map[Part]Level {
	if len(q.suspects) == 0 {
		return nil
	}
	levels := make(map[Part]Level)
	for p, s := range q.suspects {
		if level := s.level(now); level != Clear {
			levels[p] = level
		}
	}
	return levels
}

// suspect returns the state of a part, which the caller must give a crash if it is
// new.
func (q *Quarantine) suspect(p Part) *suspect {
	s := q.suspects[p]
	if s == nil {
		if q.suspects == nil {
			q.suspects = make(map[Part]*suspect)
		}
		_, proven := q.proven[p.hash()]
		_, provenBefore := q.provenBefore[p.hash()]
		s = &suspect{proven: proven || provenBefore}
		q.suspects[p] = s
	}
	return s
}

// limit removes the parts beyond maxSuspects whose last crashes are oldest.
func (q *Quarantine) limit() {
	if len(q.suspects) <= maxSuspects {
		return
	}
	for _, p := range q.byLastCrash()[maxSuspects:] {
		delete(q.suspects, p)
	}
}

// byLastCrash returns the parts, those with crashes that count first and then those
// that crashed a server last.
func (q *Quarantine) byLastCrash() []Part {
	return slices.SortedFunc(maps.Keys(q.suspects), func(a, b Part) int {
		x, y := q.suspects[a], q.suspects[b]
		return cmp.Or(cmp.Compare(min(1, y.crashCount), min(1, x.crashCount)), y.lastCrash.Compare(x.lastCrash), cmp.Compare(a, b))
	})
}

// rotateProven starts a new generation of proven parts when the current one is full.
func (q *Quarantine) rotateProven(now time.Time) {
	if q.proven != nil && len(q.proven) < maxProven && now.Sub(q.provenSince) < provenTime {
		return
	}
	q.proven, q.provenBefore, q.provenSince = make(map[uint64]struct{}), q.proven, now
}

// String returns the level as it appears in logs and metrics.
func (l Level) String() string {
	switch l {
	case Suspected:
		return "suspected"
	case Rejected:
		return "rejected"
	}
	return "clear"
}

func (p Part) hash() uint64 { return xxhash.Sum64String(string(p)) }

func (t trial) running(now time.Time) bool {
	return t.entry != "" && now.Sub(t.at) < trialTimeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
