// Package namedversion determines when the versions of models were named.
//
//	RecordAnswer (each answer of the store) --\
//	RecordVersion (list, watch) --------------> History --> Since, Reports
//	Merge (reports of peers) ----------------/
//
// The named version of a model is the one that the platform's operators want served.
//
// A process learns of a version at some time after it was named: its watch may have
// been lost, its messages may wait, and it may not have run. So the time at which a
// version was named is an interval. It begins with the last answer of the store at a
// smaller revision, of any process, and ends with the first sight of any process.
// Bounds count from its beginning.
//
// The bound of a served version counts from the first newer one. So a version is kept until a
// newer one has been named for the whole bound: then all versions before that are out of date.
//
// A store that is restored from a copy lacks the last versions until they are named again.
// So its answers don't date a version until settleTime after the restore, and revisions
// of different eras are not compared.
package namedversion

import (
	"cmp"
	"slices"
	"time"

	"github.com/mulberryspool/mulberryspool"
)

const (
	// maxVersions is the number of versions of a model that are kept. If more are named
	// within a bound, the oldest ones are merged.
	maxVersions = 64
	// maxAnswers is the number of recent answers of the store that are kept.
	maxAnswers = 64
	// minCorrection is the smallest correction that is reported to the caller. Each one
	// wakes the process and is sent to its peers.
	minCorrection = 10 * time.Millisecond
	// settleTime is how long after a restore of the store the operators may take to name
	// again the versions that the copy lacks.
	settleTime = 5 * time.Second
)

type (
	// Report is what a process sends its peers about a named version.
	Report struct {
		Version int64 `json:"version"`
		// AgeMillis is the time since the beginning of the interval.
		AgeMillis int64 `json:"ageMillis"`
		// SeenMillis is the time since the first sight; 0 if it is that of AgeMillis.
		SeenMillis int64 `json:"seenMillis,omitempty"`
		// Revision is the store's revision at which the version was named; 0 if not known.
		Revision mulberryspool.Revision `json:"revision,omitempty"`
		// Era is that of Revision.
		Era mulberryspool.Era `json:"era,omitempty" msgpack:",omitempty"`
		// UnnamedMillis is the time since the store's last answer to the sender at a
		// smaller revision; 0 if there was none.
		UnnamedMillis int64 `json:"unnamedMillis,omitempty"`
		// MergedMillis is the time since the first of the versions was named that were
		// merged into this one; 0 if there are none.
		MergedMillis int64 `json:"mergedMillis,omitempty" msgpack:",omitempty"`
	}

	// Delay is how much longer a report was on its way than the fastest message of its
	// sender; Beyond is 0 unless it is known.
	Delay struct {
		Known  bool
		Beyond time.Duration
	}

	// Change is a version that was added, or whose time was corrected.
	Change struct {
		Model   string
		Version int64
		// Since is when the version, or one that was merged into it, was named at the
		// earliest. Seen is when the version was named at the latest.
		Since, Seen time.Time
		// Before is the previous Since; zero if the version was added.
		Before time.Time
	}

	// History holds the named versions of each model. Set the exported fields before the
	// first call. It does no I/O, and is not safe for concurrent use.
	History struct {
		// AssumedAge is the assumed age at its first sight of a version that may have
		// been named long before; it also limits the length of an interval.
		AssumedAge time.Duration
		// Bound is how long an older version may be served after a newer one was named; 0 if
		// that is not known.
		Bound time.Duration

		// answers holds the recent answers of the store, the oldest first.
		answers []answer
		// The store may have lacked versions between unsettledFrom, its last answer before a
		// restore, and settledAt.
		unsettledFrom, settledAt time.Time
		// restoredEra is the era of the last restore; 0 if there was none.
		restoredEra mulberryspool.Era
		// models holds the versions of each model, the oldest first.
		models map[string][]version
	}

	// answer is an answer that the store gave after a time. It was at the position, or an
	// earlier one, at that time.
	answer struct {
		after time.Time
		at    mulberryspool.Position
		// listed is set if the answer showed the named versions themselves.
		listed bool
	}

	version struct {
		number int64
		// at is the earliest known position of the object with the version.
		at   mulberryspool.Position
		seen time.Time
		// unnamed holds when the version was not yet named, by the processes that know
		// such a time; the key of this process is empty. A report can only be late, so
		// the earliest time of each process counts.
		unnamed map[string]time.Time
		// undated holds the same by reports whose delay is not known.
		undated map[string]time.Time
		// merged is when the first of the older versions was named that were merged into this
		// one; zero if there are none.
		merged time.Time
		// reported is the last Since that was returned in a Change.
		reported time.Time
	}
)

// RecordAnswer records that the store gave an answer at a position after the given time, and
// whether it showed the named versions.
func (h *History) RecordAnswer(after time.Time, at mulberryspool.Position, listed bool) {
	if h.restoredEra > 0 && at.Era >= h.restoredEra && after.Before(h.settledAt) {
		return
	}
	if len(h.answers) == maxAnswers {
		h.answers = slices.Delete(h.answers, 0, 1)
	}
	h.answers = append(h.answers, answer{after: after, at: at, listed: listed})
}

// BeginEra records that the store was restored and is in an era, as is known since now.
func (h *History) BeginEra(era mulberryspool.Era, now time.Time) {
	h.restoredEra = era
	if !now.Before(h.settledAt) {
		h.unsettledFrom = now
		if n := len(h.answers); n > 0 {
			h.unsettledFrom = h.answers[n-1].after
		}
	}
	h.settledAt = now.Add(settleTime)
}

// unsettled reports whether versions may have been missing in the store at a time because it had
// just been restored.
func (h *History) unsettled(at time.Time) bool {
	return at.After(h.unsettledFrom) && at.Before(h.settledAt)
}

// RecordVersion records that the store has a named version, whose object was last
// changed at a position.
func (h *History) RecordVersion(model string, number int64, at mulberryspool.Position, now time.Time) (Change, bool) {
	return h.update(model, version{number: number, at: at, seen: now}, now)
}

// Merge adopts a report of a peer that arrived after a delay, which may not be known.
func (h *History) Merge(sender, model string, r Report, delay Delay, now time.Time) (Change, bool) {
	sentAt := now.Add(-delay.Beyond)
	before := func(millis int64) time.Time { return sentAt.Add(-time.Duration(millis) * time.Millisecond) }
	learned := version{number: r.Version, at: mulberryspool.Position{Era: r.Era, Revision: r.Revision}, seen: before(cmp.Or(r.SeenMillis, r.AgeMillis))}
	if r.MergedMillis > 0 {
		learned.merged = before(r.MergedMillis)
	}
	unnamed := make(map[string]time.Time, 1)
	switch {
	case r.UnnamedMillis > 0:
		unnamed[sender] = before(r.UnnamedMillis)
	case r.Revision == 0 && r.AgeMillis >= 0:
		// Peers of an earlier build report the age as exact.
		unnamed[sender] = before(r.AgeMillis)
	}
	if delay.Known {
		learned.unnamed = unnamed
	} else {
		learned.undated = unnamed
	}
	return h.update(model, learned, now)
}

// update adds a version, or what was learned of a known one.
func (h *History) update(model string, learned version, now time.Time) (Change, bool) {
	versions := h.models[model]
	i, known := slices.BinarySearchFunc(versions, learned.number, func(a version, number int64) int { return cmp.Compare(a.number, number) })
	if !known {
		if learned.unnamed == nil {
			learned.unnamed = make(map[string]time.Time)
		}
		if learned.undated == nil {
			learned.undated = make(map[string]time.Time)
		}
		h.addOwn(&learned)
		versions = slices.Insert(versions, i, learned)
	} else {
		versions[i].merge(learned)
		h.addOwn(&versions[i])
	}
	dropped := h.countOutdated(versions, now)
	if dropped == 0 && len(versions) > maxVersions {
		versions[1].addMerged(h.since(versions[0]))
		dropped = 1
	}
	versions, i = slices.Delete(versions, 0, dropped), max(0, i-dropped)
	if h.models == nil {
		h.models = make(map[string][]version)
	}
	h.models[model] = versions
	return h.change(model, &versions[i])
}

// countOutdated returns the number of the oldest versions that decide nothing any more, because all
// versions before a newer one are out of date.
func (h *History) countOutdated(versions []version, now time.Time) int {
	if h.Bound <= 0 {
		return 0
	}
	for i := len(versions) - 1; i > 0; i-- {
		if now.Sub(versions[i].seen) >= h.Bound {
			return i
		}
	}
	return 0
}

// change returns the change of a version since the last one that was returned, and false if
// there is none.
func (h *History) change(model string, v *version) (Change, bool) {
	since := h.since(*v)
	if !v.reported.IsZero() && since.Sub(v.reported).Abs() < minCorrection {
		return Change{}, false
	}
	change := Change{Model: model, Version: v.number, Since: since, Seen: v.seen, Before: v.reported}
	v.reported = since
	return change, true
}

// addMerged records that a version which was named at a time is merged into this one.
func (v *version) addMerged(named time.Time) {
	if !named.IsZero() && (v.merged.IsZero() || named.Before(v.merged)) {
		v.merged = named
	}
}

// merge adopts what was learned of the same version.
func (v *version) merge(learned version) {
	if learned.seen.Before(v.seen) {
		v.seen = learned.seen
	}
	// A later change of the object may have kept the version.
	if learned.at.Revision > 0 && (v.at.Revision == 0 || v.at.After(learned.at)) {
		v.at = learned.at
		delete(v.unnamed, "")
	}
	keepEarliest(v.unnamed, learned.unnamed)
	keepEarliest(v.undated, learned.undated)
	v.addMerged(learned.merged)
}

// keepEarliest adds the times to those known, of which the earliest of each sender counts.
func keepEarliest(known, learned map[string]time.Time) {
	for sender, at := range learned {
		if before, ok := known[sender]; !ok || at.Before(before) {
			known[sender] = at
		}
	}
}

// addOwn adds the time of the last answer to this process that shows that the version was not
// yet named: one at a smaller revision of its era or, in an earlier era, one that did not
// list it.
func (h *History) addOwn(v *version) {
	var last time.Time
	for _, a := range h.answers {
		unnamed := a.at.Era == v.at.Era && a.at.Revision < v.at.Revision || a.at.Era < v.at.Era && a.listed
		if unnamed && a.after.After(last) {
			last = a.after
		}
	}
	if !last.IsZero() {
		v.unnamed[""] = last
	}
}

// since returns when a version, or one that was merged into it, was named at the earliest.
func (h *History) since(v version) time.Time {
	since := h.ownSince(v)
	if !v.merged.IsZero() && v.merged.Before(since) {
		return v.merged
	}
	return since
}

// ownSince returns when a version itself was named at the earliest. A report whose delay is not
// known may make the version younger than it is, so it counts only if nothing else does.
func (h *History) ownSince(v version) time.Time {
	if at, ok := h.latest(v, v.unnamed); ok {
		return at
	}
	if at, ok := h.latest(v, v.undated); ok {
		return at
	}
	return v.seen.Add(-h.AssumedAge)
}

// latest returns the latest of the times at which a version was not yet named, and false
// if none counts. One after the first sight was delayed on its way.
func (h *History) latest(v version, times map[string]time.Time) (time.Time, bool) {
	earliest := v.seen.Add(-h.AssumedAge)
	var latest time.Time
	for _, at := range times {
		if at.After(v.seen) || h.AssumedAge > 0 && !at.After(earliest) || h.unsettled(at) {
			continue
		}
		if latest.IsZero() || at.After(latest) {
			latest = at
		}
	}
	return latest, !latest.IsZero()
}

// Since returns when each version of a model that is kept was named at the earliest.
func (h *History) Since(model string) map[int64]time.Time {
	known := make(map[int64]time.Time, len(h.models[model]))
	for _, v := range h.models[model] {
		known[v.number] = h.since(v)
	}
	return known
}

// Newest returns the newest named version of a model, 0 for none, and when it was named
// at the earliest.
func (h *History) Newest(model string) (int64, time.Time) {
	versions := h.models[model]
	if len(versions) == 0 {
		return 0, time.Time{}
	}
	newest := versions[len(versions)-1]
	return newest.number, h.since(newest)
}

// Reports returns the reports for the peers, by model.
func (h *History) Reports(now time.Time) map[string][]Report {
	reports := make(map[string][]Report, len(h.models))
	for model, versions := range h.models {
		for _, v := range versions[h.countOutdated(versions, now):] {
			r := Report{Version: v.number, Revision: v.at.Revision, Era: v.at.Era, AgeMillis: now.Sub(h.ownSince(v)).Milliseconds(), SeenMillis: max(1, now.Sub(v.seen).Milliseconds())}
			if at, ok := v.unnamed[""]; ok {
				r.UnnamedMillis = max(1, now.Sub(at).Milliseconds())
			}
			if !v.merged.IsZero() {
				r.MergedMillis = max(1, now.Sub(v.merged).Milliseconds())
			}
			reports[model] = append(reports[model], r)
		}
	}
	return reports
}
